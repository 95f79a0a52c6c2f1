#include "chivefold/core/rate_limit.h"

#include <algorithm>

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

} // namespace chivefold
