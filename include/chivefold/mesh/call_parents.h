/**
 * @file
 * Estimates the running request that a backend server's own call belongs to.
 */
#ifndef CHIVEFOLD_MESH_CALL_PARENTS_H
#define CHIVEFOLD_MESH_CALL_PARENTS_H

#include "chivefold/core/gate.h"
#include "chivefold/core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivefold {

/** A request that a backend server runs. */
struct RunningRequest {
  std::string Route;
  /** 0 is the most urgent. */
  std::uint32_t Rank = 0;
  TimePoint Deadline{};
  TimePoint InTimeUntil = TimePoint::max();
  TimePoint StartedAt{};
};

/**
 * Estimates which running request is behind a call that the backend server on
 * this host makes. Nothing in a call names that request, and the time left that
 * a call states is often shorter than that of its parent. What is known is what
 * runs at the server, and which routes fail when a call is refused: after a
 * refusal the server answers the request behind the call with an error at once.
 * The parents of a call route are learned from those errors.
 *
 * Of the running requests on such a route, those that end before the call are
 * not behind it. One whose deadline is the call's is; otherwise the one with
 * the median target stands for the rest.
 *
 * A wrong parent has bounded effects: it changes the order in which a call
 * waits, by at most one rank (rankOfCall()), and not whether, where or how
 * often it may run. Not thread-safe.
 */
class CallParents {
public:
  /** A call expires with its parent if their deadlines differ by no more. The
   * stated times are whole milliseconds, and the call needs time to arrive. */
  static constexpr Duration DeadlineTolerance = std::chrono::milliseconds(4);
  /** A route is a parent of a call route once this many errors on it, and this
   * fraction of all errors after refusals of those calls, were seen. */
  static constexpr std::uint32_t MinErrors = 4;
  static constexpr double MinErrorShare = 0.2;
  /** Beyond this many errors the counts of a call route are halved. */
  static constexpr std::uint32_t HalvingThreshold = 200;
  /** Maximum number of call routes, and of parent routes of each; further ones
   * are not learned. */
  static constexpr std::size_t MaxRoutes = 256;
  static constexpr std::size_t MaxParentRoutes = 8;
  /** Maximum number of running requests; further ones are no parents. */
  static constexpr std::size_t MaxRunning = 512;

  /** Records that the server runs a request. */
  void started(GateRequestId id, RunningRequest request);
  /** Records that the request has ended; unknown ones are ignored. */
  void ended(GateRequestId id);

  /** Records an error of the server on @p parentRoute that followed the refusal
   * of a call on @p callRoute. */
  void recordError(const std::string &callRoute,
                   const std::string &parentRoute);

  /** @return the running request that a call on @p callRoute with @p deadline
   * most likely belongs to; nothing if none is known to make such calls. */
  std::optional<RunningRequest> parentOf(const std::string &callRoute,
                                         TimePoint deadline) const;

private:
  struct ParentRoutes {
    std::uint32_t Errors = 0;
    std::unordered_map<std::string, std::uint32_t> ErrorsByRoute;
    bool contains(const std::string &route) const;
  };

  std::unordered_map<GateRequestId, RunningRequest> Running;
  /** By call route. */
  std::unordered_map<std::string, ParentRoutes> Parents;
};

/** @return the rank of a call on a route with @p priority: that of the request
 * behind it, but at most one above the route's own, since the parent may be
 * wrong. Thread-safe. */
std::uint32_t rankOfCall(std::uint32_t priority, std::uint32_t parentRank);

} // namespace chivefold

#endif
