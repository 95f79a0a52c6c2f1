/**
 * @file
 * Estimates how long a client has waited since the first attempt of a request.
 */
#ifndef CHIVEFOLD_MESH_ATTEMPT_AGE_H
#define CHIVEFOLD_MESH_ATTEMPT_AGE_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivefold {

/**
 * Estimates the time since a client's first attempt from the remaining time
 * that each attempt states. First attempts of a route nearly all state the same
 * remaining time, the client's full timeout, and retries state less. The most
 * frequent value of a route is therefore taken as the remaining time of a first
 * attempt. Not thread-safe.
 */
class AttemptAgeEstimator {
public:
  /** Maximum number of routes with counters; attempts of further routes have an
   * unknown age. */
  static constexpr std::size_t MaxRoutes = 4096;
  /** Maximum number of distinct remaining times counted per route. */
  static constexpr std::size_t MaxCounters = 8;
  /** Occurrences that the most frequent value needs before it is used. */
  static constexpr std::uint32_t MinOccurrences = 10;
  /** When a counter reaches this value, all counters of the route are halved,
   * so that the estimate follows a change of the clients' timeouts. */
  static constexpr std::uint32_t HalvingThreshold = 400;

  /**
   * Records an attempt and estimates its age.
   * @param remainingTime how long the client will still wait, as it states.
   * @return estimated time since the first attempt; zero if unknown.
   */
  Duration recordAttempt(const std::string &route, Duration remainingTime);

private:
  struct Counter {
    std::int64_t RemainingMs;
    std::uint32_t Count;
  };
  static void countOccurrence(std::vector<Counter> &counters,
                              std::int64_t remainingMs);

  std::unordered_map<std::string, std::vector<Counter>> Routes;
};

} // namespace chivefold

#endif
