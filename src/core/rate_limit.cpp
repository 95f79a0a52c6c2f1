#include "chivefold/core/rate_limit.h"

#include <algorithm>

namespace chivefold {

RateLimit::RateLimit(double perSecond, double burst, TimePoint now)
    : PerSecond(perSecond), Burst(burst), Tokens(burst), RefilledAt(now) {}

bool RateLimit::take(TimePoint now) {
  const std::chrono::duration<double> passed = now - RefilledAt;
  Tokens = std::min(Burst, Tokens + PerSecond * std::max(0.0, passed.count()));
  RefilledAt = std::max(RefilledAt, now);
  if (Tokens < 1) {
    return false;
  }
  Tokens -= 1;
  return true;
}

void RateLimit::add(double tokens) {
  Tokens = std::min(Burst, Tokens + tokens);
}

} // namespace chivefold
