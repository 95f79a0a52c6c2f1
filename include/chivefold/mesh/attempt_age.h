/**
 * @file
 * Estimates how long a client has waited since the first attempt of a request.
 */
#ifndef CHIVEFOLD_MESH_ATTEMPT_AGE_H
#define CHIVEFOLD_MESH_ATTEMPT_AGE_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivefold {

/**
 * Estimates the time since a client's first attempt from the remaining time
 * that each attempt states. First attempts of a route nearly all state the same
 * remaining time, the client's full timeout, and retries state less. The most
 * frequent value of a route is therefore taken as the remaining time of a first
 * attempt.
 *
 * Where the timeouts of clients vary, no value is frequent. First attempts then
 * fill a band of times more densely than retries, which come after any delay;
 * an attempt with less time than the band is taken for a retry of its mean. Not
 * thread-safe.
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
  /** Ranges of remaining times, so many to each doubling, by which the band of
   * first attempts is found. */
  static constexpr int RangesPerDoubling = 8;
  /** A range belongs to the band if it has at least this part of the attempts
   * of the fullest one, and no range between them has fewer. */
  static constexpr double MinBandDensity = 0.25;
  /** Attempts that a route needs before its band is used, and beyond which its
   * counts are halved. */
  static constexpr std::uint32_t MinBandAttempts = 50;
  static constexpr std::uint32_t MaxBandAttempts = 2000;

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
  /** Attempts whose remaining times are in one range. */
  struct Range {
    std::uint32_t Count = 0;
    double SumMs = 0;
  };
  struct RouteCounts {
    std::vector<Counter> Values;
    /** By range; bounded by the range of a 64-bit number. */
    std::map<int, Range> Ranges;
    std::uint32_t Attempts = 0;
  };
  static void countOccurrence(std::vector<Counter> &counters,
                              std::int64_t remainingMs);
  static void countRange(RouteCounts &counts, std::int64_t remainingMs);
  static std::int64_t ageByBand(const RouteCounts &counts,
                                std::int64_t remainingMs);

  std::unordered_map<std::string, RouteCounts> Routes;
};

} // namespace chivefold

#endif
