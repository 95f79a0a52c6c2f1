/**
 * @file
 * Choice of the backend server for a request.
 */
#ifndef CHIVEFOLD_MESH_PLACEMENT_H
#define CHIVEFOLD_MESH_PLACEMENT_H

#include "chivefold/core/gate.h"
#include "chivefold/core/types.h"
#include "chivefold/mesh/fleet_table.h"
#include "chivefold/mesh/operator_state.h"
#include "chivefold/mesh/version_policy.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivefold {

struct PlacementSettings {
  /** Price of a kilobyte that crosses data centres, in parts of the worth of a
   * request of the lowest worth; between the prices of the two deployments. */
  double RemoteKilobyteCost = 0.1;
  /** Bytes of both messages of a call that are not its bodies. */
  double OverheadBytes = 800;
  /** Value of an answer after the target latency, relative to one in time. */
  double LateAnswerValue = 0.4;
  /** How sharply the chance of an answer in time falls with the expected time:
   * the power of their ratio in the odds. */
  double LatenessExponent = 3;
  /** Value lost for each target latency of expected time, so that of two
   * servers that answer in time the faster one is chosen. */
  double LatencyPenalty = 0.1;
  /** Value lost with a server that always fails. */
  double ErrorPenalty = 1.0;
  /** Value lost with a hop to another host of the data centre. */
  double RemoteHostPenalty = 0.005;
  /** Weight of the newest call in what is known of a server. */
  double LatencyWeight = 0.15;
  double ErrorWeight = 0.1;
  /** Time in which an old figure loses half of its weight. */
  Duration HalfLife = std::chrono::seconds(4);
  /** Longest time for which a server that refused is not asked again, when it
   * is full and when it takes no work at all. */
  Duration MaxFullBackOff = std::chrono::milliseconds(150);
  Duration MaxClosedBackOff = std::chrono::seconds(1);
};

/** A request to be placed. */
struct PlacementRequest {
  std::string Service;
  /** Names the route, for sizes and times. */
  std::string Route;
  std::uint32_t Priority = 0;
  /** Time within which an answer has its full value; zero if not stated. */
  Duration TargetLatency{};
  /** Hosts that this request must not use again. */
  const std::vector<Address> *Tried = nullptr;
};

/** The chosen host, or why there is none. */
struct PlacementChoice {
  std::optional<Address> Peer;
  std::string Instance;
  std::string Version;
  /** Expected time until the answer. */
  Duration ExpectedLatency{};
  /** Without a choice: when one may be possible. */
  Duration RetryAfter{};
  /** Servers that could be used, for log lines. */
  std::size_t Candidates = 0;
};

/**
 * Chooses the server with the highest expected value: that of an answer in time
 * or late, less the price of the bytes that cross data centres. The expected
 * time comes from the server's speed as measured, its queue as its gate last
 * told and the calls of this daemon since. Answers slow and failing servers,
 * one-sided load and servers that just returned. Costs O(servers of the
 * service) a choice. Not thread-safe.
 */
class Placement {
public:
  /** Routes whose sizes and times are kept. */
  static constexpr std::size_t MaxRoutes = 4096;
  static constexpr std::uint32_t LowestWorth = 1;
  /** Priorities told apart; the last one stands for all behind it. */
  static constexpr std::size_t PriorityLevels = 4;

  /** The references outlive this object. */
  Placement(const FleetTable &fleet, const OperatorState &orders,
            VersionPolicy &versions, Address self, std::string dataCentre,
            std::uint64_t seed, const PlacementSettings &settings = {});

  /** Rebuilds the lists of servers by service after a change of the fleet. */
  void refresh();

  PlacementChoice choose(const PlacementRequest &request, TimePoint now);

  /** A request was sent. Followed by exactly one of answered(), refused(),
   * lost() and cancelled(), after notDelivered() if it came back unsent. */
  void started(const Address &peer);
  /** No server has seen the request. */
  void notDelivered(const Address &peer) { recordForSplit(peer, -1); }
  /** @param bytes of the request and its answer. */
  void answered(const Address &peer, const std::string &route, Duration latency,
                std::size_t bytes, bool serverError, const GateState &gate,
                TimePoint now);
  /** @param priority of the request: a server that is full for less urgent work
   * may still take more urgent work. */
  void refused(const Address &peer, const GateState &gate,
               std::uint32_t priority, Duration retryAfter, TimePoint now);
  void lost(const Address &peer, TimePoint now);
  void cancelled(const Address &peer);

  /** @return expected time of service of a route on a usual server. */
  Duration expectedLatency(const std::string &route) const;

  /** @return ready servers of @p service that may get requests. */
  unsigned countReadyServers(const std::string &service,
                             const std::string &version) const;

private:
  struct ServerLoad {
    std::uint32_t OwnRequests = 0;
    /** Load at the gate that others caused, as of GateAt. */
    double OtherRequests = 0;
    std::uint32_t Limit = 0;
    TimePoint GateStateAt{};
    /** Time of service relative to what is usual for the route. */
    double LatencyRatio = 1;
    TimePoint LatencyRatioAt{};
    /** Smoothed share of failed calls. */
    double ErrorRate = 0;
    TimePoint ErrorRateAt{};
    /** When a request of each urgency may be tried again. */
    std::array<TimePoint, PriorityLevels> NotBefore{};
  };
  struct RouteStats {
    double LatencyUs = 0;
    double Bytes = 0;
  };

  bool acceptsRequests(const HostEntry &entry) const;
  std::vector<const HostState *>
  eligibleServers(const std::vector<Address> &hosts) const;
  bool isFull(const HostState &host, TimePoint now) const;
  bool mayTry(const HostState &host, const PlacementRequest &request,
              TimePoint now) const;
  double decay(TimePoint since, TimePoint now) const;
  double expectedValue(const HostState &host, const PlacementRequest &request,
                       TimePoint now, double &expectedUs) const;
  double expectedLatencyUs(const HostState &host, double routeLatencyUs,
                           TimePoint now, double &errorRate) const;
  double outstandingRequests(const ServerLoad &load, TimePoint now) const;
  ServerLoad &endRequest(const Address &peer);
  static void updateGateState(ServerLoad &load, const GateState &gate,
                              TimePoint now);
  void updateErrorRate(ServerLoad &load, double weight, bool failed,
                       TimePoint now) const;
  bool isTargetTurn(const std::string &service,
                    const VersionPolicy::Split &split) const;
  void recordForSplit(const Address &peer, int delta);
  std::vector<Address>
  targetServers(const std::vector<const HostState *> &eligible,
                const VersionPolicy::Split &split) const;

  const FleetTable &Fleet;
  const OperatorState &Orders;
  VersionPolicy &Versions;
  Address Self;
  std::string DataCentre;
  std::mt19937_64 Random;
  PlacementSettings Settings;
  /** Hosts by service, with servers in any phase. */
  std::unordered_map<std::string, std::vector<Address>> ByService;
  std::unordered_map<Address, ServerLoad> Loads;
  std::unordered_map<std::string, RouteStats> Routes;
  /** What servers of each service got during its rollout: the sum of the
   * target's shares less FullShare for each request at the target. */
  std::unordered_map<std::string, std::int64_t> SplitBalances;
};

} // namespace chivefold

#endif
