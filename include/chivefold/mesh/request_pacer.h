/**
 * @file
 * Spaces the requests to a backend server that states a request limit.
 */
#ifndef CHIVEFOLD_MESH_REQUEST_PACER_H
#define CHIVEFOLD_MESH_REQUEST_PACER_H

#include "chivefold/core/types.h"

#include <cstddef>
#include <optional>

namespace chivefold {

/**
 * Generic cell rate algorithm (ITU-T I.371), a token bucket whose state is one
 * point in time. If requests start only when mayStart() allows it, at most
 * 1 + (t + BurstTime) * rate of them start in any period of length t. The
 * bucket is nearly empty when a limit begins, so that requests which waited for
 * it do not start together. Starts beyond the rate are not made up for later.
 * Not thread-safe.
 */
class RequestPacer {
public:
  /** Lowest rate, in requests per second. Only an answer can tell that a limit
   * has ended, so that even a limit of 0 needs a request now and then. */
  static constexpr double MinRate = 0.1;

  /** @param burstTime time by which a request may be ahead of an even spacing,
   * so that a server that was idle catches up. */
  explicit RequestPacer(Duration burstTime) : BurstTime(burstTime) {}

  /** Sets the limit in requests per second; nothing means no limit. A limit
   * that replaces another one keeps the requests already started in account. */
  void setRate(std::optional<double> perSecond, TimePoint now);

  bool isLimited() const { return PerSecond.has_value(); }
  /** @return requests per second, at least MinRate. Precondition: isLimited().
   */
  double rate() const { return *PerSecond; }

  bool mayStart(TimePoint now) const;
  /** Records a request that was started, also one beyond the limit. */
  void started(TimePoint now);

  /** @return time until a request may start if @p ahead others start before it;
   * zero without a limit. */
  Duration wait(std::size_t ahead, TimePoint now) const;

private:
  Duration interval() const;

  Duration BurstTime;
  std::optional<double> PerSecond;
  /** Time of the next request if requests were spaced evenly. */
  TimePoint NextAt{};
};

} // namespace chivefold

#endif
