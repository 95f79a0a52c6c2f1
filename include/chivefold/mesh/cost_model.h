/**
 * @file
 * Distributions of the service times of requests, learned by route.
 */
#ifndef CHIVEFOLD_MESH_COST_MODEL_H
#define CHIVEFOLD_MESH_COST_MODEL_H

#include "chivefold/core/types.h"

#include <array>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace chivefold {

/**
 * Histogram of durations with logarithmic bins between 0.25 ms and about a
 * minute; others count as the nearest bound. Old samples lose weight as new
 * ones arrive. All queries take constant time. Not thread-safe.
 */
class DurationDistribution {
public:
  /** Samples that a distribution holds at most, by weight. */
  static constexpr double MaxSamples = 512;

  void record(Duration value);

  /** @return weight of the recorded samples; 0 to MaxSamples. */
  double samples() const { return Total; }
  /** @return the mean; zero without samples. */
  Duration mean() const;
  /** @return the probability that a value is at most @p limit; 0 without
   * samples. */
  double probabilityWithin(Duration limit) const;
  /** @return the smallest value that a share of @p p, 0 to 1, does not exceed;
   * zero without samples. */
  Duration quantile(double p) const;
  /** @return the expected excess of a value over @p age, given that it exceeds
   * it; at least half of @p age if no sample does, zero without samples. */
  Duration expectedExcess(Duration age) const;

private:
  static constexpr std::size_t Bins = 72;

  static double binOf(double us);
  static double lowerBound(double bin);
  void rebuildSums();

  std::array<double, Bins> Weights{};
  /** Weight of the bins below each one. */
  std::array<double, Bins + 1> Below{};
  /** Sum of weight and value of each bin and those above it, in microseconds.
   */
  std::array<double, Bins + 1> ValueAbove{};
  double Total = 0;
};

/**
 * Service times by route: a distribution for each of a bounded number of
 * routes, and one over all for the others and for routes with few samples. Not
 * thread-safe.
 */
class CostModel {
public:
  /** Maximum number of routes with a distribution of their own. */
  static constexpr std::size_t MaxRoutes = 1024;
  /** Samples from which a distribution is used. */
  static constexpr double MinSamples = 16;

  /** @param initial expected service time before any sample. */
  explicit CostModel(Duration initial) : Initial(initial) {}

  void record(const std::string &route, Duration serviceTime);

  std::size_t routes() const { return Routes.size(); }
  /** @return the distribution of a route, or that of all routes; null if
   * neither has enough samples. */
  const DurationDistribution *find(const std::string &route) const;
  /** @return expected service time of a request. */
  Duration expected(const std::string &route) const;
  /** @return expected time until a request ends that has been running for @p
   * age. */
  Duration remaining(const std::string &route, Duration age) const;

private:
  Duration Initial;
  std::unordered_map<std::string, DurationDistribution> Routes;
  DurationDistribution All;
};

} // namespace chivefold

#endif
