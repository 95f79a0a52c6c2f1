/**
 * @file
 * How long a client has been waiting before the attempt at hand.
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
 * Estimates the time since a client's first attempt. Clients state the time
 * that they still wait, which is the same number in nearly all first attempts
 * of a route and less in repeated ones; the most frequent number of a route is
 * taken as that of a first attempt. Not thread-safe.
 */
class AttemptAgeEstimator {
public:
  /** Routes whose usual number is kept. */
  static constexpr std::size_t MaxRoutes = 4096;
  /** Numbers that are counted for a route. */
  static constexpr std::size_t MaxCounters = 8;
  /** Occurrences after which a number is trusted. */
  static constexpr std::uint32_t MinOccurrences = 10;
  /** At this count all counts of a route are halved, so that a change of the
   * clients is followed. */
  static constexpr std::uint32_t HalvingThreshold = 400;

  /** Notes an attempt. @param timeLeft as the client states it. @return time
   * since the first attempt; zero if it is not known. */
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
