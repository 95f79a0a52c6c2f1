/**
 * @file
 * Speed of a backend server, apart from its queue and from single requests.
 */
#ifndef CHIVEFOLD_MESH_SERVICE_PACE_H
#define CHIVEFOLD_MESH_SERVICE_PACE_H

#include "chivefold/core/types.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace chivefold {

/**
 * Learns on two time scales how fast one server runs its requests. The typical
 * service time of each route is its geometric mean over many calls, on which a
 * few long requests have little weight. The disturbance is the factor by which
 * the calls of the last moments exceeded it; it decays to 1 within a second
 * without calls. Not thread-safe.
 */
class ServicePace {
public:
  static constexpr std::size_t MaxRoutes = 1024;
  /** Calls from which a typical service time is stated, so that a disturbance
   * at the start is not taken for the speed of the server. */
  static constexpr unsigned MinCalls = 64;
  /** Calls from which a disturbance is told. */
  static constexpr unsigned MinCallsBefore = 8;
  /** Bounds of the disturbance factor. */
  static constexpr double MinDisturbance = 0.5;
  static constexpr double MaxDisturbance = 8;

  void record(const std::string &route, Duration serviceTime, TimePoint now);

  /** @return zero before MinCalls calls of the route. */
  Duration typical(const std::string &route) const;
  double disturbance(TimePoint now) const;

private:
  struct RoutePace {
    double LogUs = 0;
    unsigned Calls = 0;
  };

  double logDisturbance(TimePoint now) const;

  std::unordered_map<std::string, RoutePace> Routes;
  double LogDisturbance = 0;
  TimePoint DisturbedAt{};
};

} // namespace chivefold

#endif
