/**
 * @file
 * Detects errors of a backend server that were caused by its own refused calls.
 */
#ifndef CHIVEFOLD_MESH_REFUSED_CALLS_H
#define CHIVEFOLD_MESH_REFUSED_CALLS_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace chivefold {

/**
 * Detects which errors of a backend server were caused by a refused call that
 * the server made itself. Retrying such a request is useless while the called
 * service is overloaded: it would run again and fail at the same call.
 *
 * The daemon receives the server's calls in the same way as client requests, so
 * it learns from timing which routes the server calls. The server answers its
 * caller with an error right after one of its calls is refused, while refusals
 * of client requests precede errors only by chance. Not thread-safe.
 */
class RefusedCallTracker {
public:
  /** Longest time from the refusal of a call to the error that it causes.
   * Short, because the server runs on the same host and gets the refusal at
   * once. */
  static constexpr Duration MaxErrorDelay = std::chrono::milliseconds(6);
  /** A route counts as called by the server once this many of its refusals, and
   * this fraction of all its refusals, were followed by an error. */
  static constexpr std::uint32_t MinMatches = 4;
  static constexpr double MinMatchRatio = 0.5;
  /** Beyond this many refusals the counts of a route are halved. */
  static constexpr std::uint32_t HalvingThreshold = 200;
  /** Maximum number of routes with counts; refusals of further ones are
   * ignored. */
  static constexpr std::size_t MaxRoutes = 4096;

  /** Records that a request from this host, of a client or of the server, got
   * no answer from a backend server. */
  void recordRefusal(const std::string &route, TimePoint now);
  /** Matches an error answer of the server with the refusal that most likely
   * caused it; a refusal is matched with one error only. @return the route of
   * that refusal if the server calls it. */
  std::optional<std::string> matchError(TimePoint now);
  /** @return whether the server itself calls @p route. */
  bool isOutboundRoute(const std::string &route) const;

private:
  struct RouteCounts {
    std::uint32_t Refusals = 0;
    /** Refusals that were matched with an error. */
    std::uint32_t Matches = 0;
    double matchRatio() const;
  };
  struct Refusal {
    std::string Route;
    TimePoint At;
  };

  std::unordered_map<std::string, RouteCounts> Routes;
  /** Refusals not matched with an error; dropped after MaxErrorDelay. */
  std::deque<Refusal> UnmatchedRefusals;
};

} // namespace chivefold

#endif
