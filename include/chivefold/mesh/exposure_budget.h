/**
 * @file
 * Limits the requests that an unverified version receives during a rollout.
 */
#ifndef CHIVEFOLD_MESH_EXPOSURE_BUDGET_H
#define CHIVEFOLD_MESH_EXPOSURE_BUDGET_H

#include "chivefold/core/types.h"

namespace chivefold {

/** Limit on the requests that a bad version may receive: a share of all
 * requests to its service between the rollout order and its deadline, plus a
 * constant number. */
struct ExposureLimit {
  /** Fraction of all requests to the service. */
  double Share = 0.1;
  /** Requests allowed in addition to the share. */
  double Slack = 50;
};

/**
 * Allocates the exposure limit of one rollout over time, so that the new
 * version stays within the limit at whatever time it turns bad. The requests
 * needed to send it full traffic up to the deadline are reserved; the remaining
 * ones are spread evenly over the time before. Not thread-safe.
 */
class ExposureBudget {
public:
  /** Fractions of the limit's share and slack that are allocated. The rest
   * covers requests in flight and a falling request rate. */
  static constexpr double UsableShareFraction = 0.97;
  static constexpr double UsableSlackFraction = 0.9;
  /** Factor on the request rate for which the full-traffic period is reserved.
   * Requests that overloaded servers had refused arrive in that period as well,
   * and the test must not consume what the period needs. */
  static constexpr double BacklogFactor = 1.25;
  /** Time constant of the exponential moving average of the request rate. */
  static constexpr Duration RateTimeConstant = std::chrono::milliseconds(1500);

  explicit ExposureBudget(const ExposureLimit &limit);

  /** Updates the counts of answered calls.
   * @param now must not be before that of the previous update.
   * @param allCalls calls answered by all versions.
   * @param newCalls calls answered by the new version, including those before
   * this object was created, so that a driver that takes over a rollout counts
   * the exposure under its predecessor.
   * @param fraction fraction of the requests that the new version receives from
   * now on. */
  void update(TimePoint now, double allCalls, double newCalls, double fraction);

  /** @return the fraction of the requests that the new version may receive
   * until
   * @p fullTrafficFrom, if it receives all requests from then to @p deadline.
   */
  double fractionUntil(TimePoint fullTrafficFrom, TimePoint deadline,
                       TimePoint now) const;

  /** @return whether the new version may receive all requests from now to
   * @p deadline. */
  bool coversFullTraffic(TimePoint deadline, TimePoint now) const;

  /** @return requests to the service per second; 0 until measured. */
  double rate() const { return Rate; }

private:
  /** @return requests that the new version may still receive, given the
   * expected number of requests up to @p deadline. */
  double remaining(TimePoint deadline, TimePoint now) const;

  ExposureLimit Limit;
  TimePoint UpdatedAt{};
  /** Time and call count of the first update. */
  TimePoint FirstUpdateAt{};
  double InitialCalls = 0;
  double AllCalls = 0;
  double NewCalls = 0;
  double Rate = 0;
  double Fraction = 0;
  /** Requests that the new version should have received by the fractions in
   * force and the measured rate; runs ahead of the counts of answered calls. */
  double ModelledNewCalls = 0;
};

} // namespace chivefold

#endif
