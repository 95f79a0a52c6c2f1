/**
 * @file
 * A bound on how often something is done.
 */
#ifndef CHIVEFOLD_CORE_RATE_LIMIT_H
#define CHIVEFOLD_CORE_RATE_LIMIT_H

#include "chivefold/core/types.h"

namespace chivefold {

/** Token bucket, full at the start. Not thread-safe. */
class RateLimiter {
public:
  /** @param perSecond tokens gained a second. @param burst tokens kept at
   * most. */
  RateLimiter(double perSecond, double burst, TimePoint now);

  /** @return whether it may be done now; if so a token is taken. */
  bool tryAcquire(TimePoint now);

  /** Adds tokens, up to the burst. */
  void add(double tokens);

private:
  double PerSecond;
  double Burst;
  double Tokens;
  TimePoint RefilledAt;
};

} // namespace chivefold

#endif
