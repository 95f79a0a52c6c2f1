/**
 * @file
 * Speeds of the servers of a fleet, as one daemon learns them from answers.
 */
#ifndef CHIVEFOLD_MESH_FLEET_PACE_H
#define CHIVEFOLD_MESH_FLEET_PACE_H

#include "chivefold/core/types.h"
#include "chivefold/mesh/cost_model.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivefold {

/**
 * Separates what a request costs from how fast a server is. The slowness of a
 * server is its typical service time of a route relative to that of the fleet;
 * the cost of a route is the distribution of its service times, each divided by
 * the slowness of its server. Slownesses decay to 1 without answers. Not
 * thread-safe.
 */
class FleetPace {
public:
  /** Bounds of a slowness. */
  static constexpr double MinSlowness = 0.1;
  static constexpr double MaxSlowness = 10;
  /** Half-life of a slowness without answers. */
  static constexpr Duration HalfLife = std::chrono::seconds(20);
  /** Answers from which a slowness counts as known. Each states an average over
   * many calls. */
  static constexpr unsigned MinAnswers = 1;

  FleetPace();

  /** Records an answer. @param serviceTime at the server and @param typical of
   * the route there; ignored if not positive. */
  void record(const Address &peer, const std::string &route,
              Duration serviceTime, Duration typical, TimePoint now);
  /** Forgets a server. */
  void erase(const Address &peer) { Servers.erase(peer); }

  /** @return 1 for an average or unknown server, more for a slower one. */
  double slowness(const Address &peer, TimePoint now) const;
  bool isKnown(const Address &peer) const;
  /** @return costs of requests on an average server. */
  const CostModel &costs() const { return Costs; }

  /** Whether servers differ lastingly: at least a fifth of those with a known
   * slowness, four or more, is far from their median. @param before whether
   * they did when last asked; then an eighth is enough. */
  bool isUneven(const std::vector<Address> &peers, bool before,
                TimePoint now) const;

private:
  struct ServerPace {
    double LogSlowness = 0;
    unsigned Answers = 0;
    TimePoint At{};
  };

  double logSlowness(const Address &peer, TimePoint now) const;

  std::unordered_map<Address, ServerPace> Servers;
  /** Logarithm of the typical service time of each route over all answers, in
   * microseconds; bounded by CostModel::MaxRoutes. */
  std::unordered_map<std::string, double> RouteLogUs;
  CostModel Costs;
};

} // namespace chivefold

#endif
