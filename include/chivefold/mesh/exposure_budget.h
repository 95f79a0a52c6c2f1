/**
 * @file
 * How many requests a version that is not yet trusted may get.
 */
#ifndef CHIVEFOLD_MESH_EXPOSURE_BUDGET_H
#define CHIVEFOLD_MESH_EXPOSURE_BUDGET_H

#include "chivefold/core/types.h"

namespace chivefold {

/** Bound of the requests that a bad version may get: a share of those that
 * reach its service between the order and its deadline, and some more. */
struct ExposureLimit {
  double Share = 0.1;
  double Slack = 50;
};

/**
 * Spends the bound of one rollout so that a version cannot exceed it, whenever
 * it turns bad: what the full share needs up to the deadline is set aside, and
 * the rest is spread over the time before. Not thread-safe.
 */
class ExposureBudget {
public:
  /** Part of the bound that is spent; the rest is for requests under way and
   * for a rate that falls. */
  static constexpr double UsableShareFraction = 0.97;
  static constexpr double UsableSlackFraction = 0.9;
  /** What is set aside for the time at the top, in parts of the rate: requests
   * that full servers had refused come beside those that were answered, and the
   * test must not use up what that time needs. */
  static constexpr double BacklogFactor = 1.25;
  /** Time constant of the rate of requests. */
  static constexpr Duration RateTimeConstant = std::chrono::milliseconds(1500);

  explicit ExposureBudget(const ExposureLimit &limit);

  /** Notes how many calls all versions and the new one have answered, and the
   * part of the requests that the new one gets from now on. All calls of the
   * new one count, so that a driver that takes over goes on with what was
   * spent.
   * @param now not before that of the last call. */
  void update(TimePoint now, double allCalls, double newCalls, double fraction);

  /** @return part of the requests that the new version may get until
   * @p fullTrafficFrom, if it gets all of them from then to @p deadline. */
  double fractionUntil(TimePoint fullTrafficFrom, TimePoint deadline,
                       TimePoint now) const;

  /** @return whether it may get all requests from now to @p deadline. */
  bool coversFullTraffic(TimePoint deadline, TimePoint now) const;

  /** @return requests to the service a second; 0 until it is known. */
  double rate() const { return Rate; }

private:
  double remaining(TimePoint deadline, TimePoint now) const;

  ExposureLimit Limit;
  TimePoint UpdatedAt{};
  /** When the calls were first counted, and how many there were. */
  TimePoint FirstUpdateAt{};
  double InitialCalls = 0;
  double AllCalls = 0;
  double NewCalls = 0;
  double Rate = 0;
  double Fraction = 0;
  /** Requests that the part has let through at the rate of the time. */
  double ModelledNewCalls = 0;
};

} // namespace chivefold

#endif
