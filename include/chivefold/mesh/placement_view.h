/**
 * @file
 * How Placement rates the servers of a service for one request, for operators.
 */
#ifndef CHIVEFOLD_MESH_PLACEMENT_VIEW_H
#define CHIVEFOLD_MESH_PLACEMENT_VIEW_H

#include "chivefold/core/types.h"
#include "chivefold/mesh/fleet_table.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace chivefold {

/** What rules a server out for a request. */
enum class Obstacle : std::uint8_t {
  None,
  Unreachable,
  /** The daemon beside the server shuts down. */
  HostLeaving,
  /** The server is absent or drains. */
  NotReady,
  /** The server stated in an answer that it shuts down. */
  ServerLeaving,
  Evacuated,
  /** The server's version gets no requests. */
  NoShare,
  /** Placement does not use the server for another reason. */
  NotAccepted,
  /** The request has already had an attempt there. */
  Tried,
  /** The server refused a request a short time ago. */
  BackOff,
  /** In another data centre, and its request limit leaves no room. */
  LimitElsewhere,
  /** In another data centre, and full. */
  FullElsewhere,
  /** By the share of a rollout, the request goes to another version. */
  OtherVersion
};

/** @return "none", "unreachable", "host-leaving", ... Thread-safe. */
std::string_view obstacleName(Obstacle obstacle);

/** A server of the service of a request. */
struct CandidateView {
  /** As the daemon beside the server last published it. */
  HostState Host;
  Obstacle RuledOutBy = Obstacle::None;
  /** Has the highest value of those that are not ruled out. A choice adds a
   * small random number to the values, so that a server of nearly the same
   * value may be chosen in its place. */
  bool IsBest = false;
  double Value = 0;
  Duration ExpectedLatency{};
  /** Requests running, queued or on their way to the server. */
  double Outstanding = 0;
  /** Those of this daemon. */
  std::uint32_t OwnRequests = 0;
  /** Concurrency limit that the gate last reported to this daemon; 0 if
   * unknown. */
  std::uint32_t Limit = 0;
  double ErrorRate = 0;
  /** Time left for which this daemon sends no requests of the priority. */
  Duration BackOff{};
  /** Time for which the stated request limit would hold the request. */
  Duration LimitWait{};
  std::optional<double> LimitPerSecond;
  /** Share of the server's version, in 1/10,000. */
  std::uint32_t ShareBasisPoints = 0;
};

} // namespace chivefold

#endif
