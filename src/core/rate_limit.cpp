#include "chivefold/core/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

RateLimiter::RateLimiter(double perSecond, double burst, TimePoint now)
    : PerSecond(perSecond), Burst(burst), Tokens(burst), RefilledAt(now) {}

bool RateLimiter::tryAcquire(TimePoint now) {
  const std::chrono::duration<double> passed = now - RefilledAt;
  Tokens = std::min(Burst, Tokens + PerSecond * std::max(0.0, passed.count()));
  RefilledAt = std::max(RefilledAt, now);
  if (Tokens < 1) {
    return false;
  }
  Tokens -= 1;
  return true;
}

void RateLimiter::add(double tokens) {
  Tokens = std::min(Burst, Tokens + tokens);
}

void RateMeter::record(TimePoint now) {
  PerSecond =
      perSecond(now) + 1 / std::chrono::duration<double>(TimeConstant).count();
  UpdatedAt = std::max(UpdatedAt, now);
}

double RateMeter::perSecond(TimePoint now) const {
  const auto passed = std::max(now - UpdatedAt, Duration::zero());
  return PerSecond * std::exp(-static_cast<double>(passed.count()) /
                              static_cast<double>(TimeConstant.count()));
}

} // namespace chivefold
