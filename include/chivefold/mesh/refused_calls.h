/**
 * @file
 * Failures of a backend server that follow from a refused call of its own.
 */
#ifndef CHIVEFOLD_MESH_REFUSED_CALLS_H
#define CHIVEFOLD_MESH_REFUSED_CALLS_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace chivefold {

/**
 * Answers the load pattern of a full service that requests of another one call:
 * they run, fail at their call and would be repeated, to fail again.
 *
 * Tells which failures of a backend server follow from a refused call of its
 * own. Calls come to the daemon like requests of clients, so the routes that
 * the server calls are learned: the server answers its caller with an error
 * right after such a refusal, while refusals of clients and errors of the
 * server meet by chance only. Not thread-safe.
 */
class RefusedCallTracker {
public:
  /** Longest time from the refusal of a call to the error that it causes; the
   * server is on the same host, and is answered at once. */
  static constexpr Duration MaxErrorDelay = std::chrono::milliseconds(6);
  /** Refusals of a route that must have met an error, and their part of all,
   * before it counts as one that the server calls. */
  static constexpr std::uint32_t MinMatches = 4;
  static constexpr double MinMatchRatio = 0.5;
  /** Refusals after which the counts of a route are halved. */
  static constexpr std::uint32_t HalvingThreshold = 200;
  /** Routes whose refusals are counted. */
  static constexpr std::size_t MaxRoutes = 4096;

  /** A request of this host was not answered. */
  void recordRefusal(const std::string &route, TimePoint now);
  /** The server answered with an error. @return whether a refused call is the
   * cause; each refusal explains one error. */
  bool matchError(TimePoint now);
  /** @return whether the server makes the requests of that route. */
  bool isOutboundRoute(const std::string &route) const;

private:
  struct RouteCounts {
    std::uint32_t Refusals = 0;
    std::uint32_t Matches = 0;
    double matchRatio() const;
  };
  struct Refusal {
    std::string Route;
    TimePoint At;
  };

  std::unordered_map<std::string, RouteCounts> Routes;
  /** Refusals that no error has met so far. */
  std::deque<Refusal> UnmatchedRefusals;
};

} // namespace chivefold

#endif
