/**
 * @file
 * Limits and measures rates.
 */
#ifndef CHIVEFOLD_CORE_RATE_LIMIT_H
#define CHIVEFOLD_CORE_RATE_LIMIT_H

#include "chivefold/core/types.h"

namespace chivefold {

/** Limits the rate of an operation with a token bucket, which starts full. Each
 * operation takes one token. Not thread-safe. */
class RateLimiter {
public:
  /** @param perSecond tokens added per second. @param burst capacity of the
   * bucket. */
  RateLimiter(double perSecond, double burst, TimePoint now);

  /** Takes a token if there is one. @return whether the operation may be done
   * now. */
  bool tryAcquire(TimePoint now);

  /** Adds tokens, up to the capacity of the bucket. */
  void add(double tokens);

private:
  double PerSecond;
  double Burst;
  double Tokens;
  TimePoint RefilledAt;
};

/** Measures the rate of an operation as an exponential moving average. Not
 * thread-safe. */
class RateMeter {
public:
  /** Records one operation. */
  void record(TimePoint now);

  /** @return operations per second over about the last TimeConstant. */
  double perSecond(TimePoint now) const;

  static constexpr Duration TimeConstant = std::chrono::seconds(2);

private:
  double PerSecond = 0;
  TimePoint UpdatedAt{};
};

} // namespace chivefold

#endif
