/**
 * @file
 * Chooses the backend server for a request.
 */
#ifndef CHIVEFOLD_MESH_PLACEMENT_H
#define CHIVEFOLD_MESH_PLACEMENT_H

#include "chivefold/core/gate.h"
#include "chivefold/core/types.h"
#include "chivefold/mesh/fleet_pace.h"
#include "chivefold/mesh/fleet_table.h"
#include "chivefold/mesh/operator_state.h"
#include "chivefold/mesh/placement_view.h"
#include "chivefold/mesh/version_policy.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivefold {

/** How a server is chosen. */
enum class PlacementStrategy : std::uint8_t {
  /** By mean latency and the number of requests. */
  Latency,
  /** By the expected finish, from the work that servers still have to do and
   * the distribution of service times. */
  ExpectedWork,
  /** ExpectedWork for services whose servers prove to differ in speed, else
   * Latency. */
  Learned
};

/** @return "latency", "expected-work" or "learned". Thread-safe. */
std::string_view placementStrategyName(PlacementStrategy strategy);

/** Constants of the value that a server has for a request. Values and costs are
 * in units of LowestWorth; those called relative are fractions of the worth of
 * the request. */
struct PlacementSettings {
  PlacementStrategy Strategy = PlacementStrategy::Learned;
  /** Cost of a kilobyte that crosses data centres. Lies between the costs of
   * the two deployments. */
  double RemoteKilobyteCost = 0.1;
  /** Bytes of a request and its answer that are not in their bodies. */
  double OverheadBytes = 800;
  /** Value of an answer after the target latency, relative to one within it. */
  double LateAnswerValue = 0.4;
  /** Steepness with which the probability of an answer within the target falls:
   * 1 / (1 + (expected latency / target latency)^LatenessExponent). */
  double LatenessExponent = 3;
  /** Relative value lost per target latency of expected latency, so that the
   * faster of two servers that answer in time is chosen. */
  double LatencyPenalty = 0.1;
  /** The same for the expected wait and service time where the choice is by
   * expected work. A wait counts more, because a request that waits for a slot
   * makes later ones wait, too. */
  double WaitPenalty = 0.6;
  double ServicePenalty = 0.05;
  /** Relative value lost with a server whose calls all fail; less in proportion
   * to the error rate. */
  double ErrorPenalty = 1.0;
  /** Value lost when the server is on another host. */
  double RemoteHostPenalty = 0.005;
  /** Weight of the newest call in the moving averages of a server. */
  double LatencyWeight = 0.15;
  double ErrorWeight = 0.1;
  /** Half-life with which measurements of a server decay to their defaults. */
  Duration HalfLife = std::chrono::seconds(4);
  /** Longest back-off from a server that refused a request because it is full.
   */
  Duration MaxFullBackOff = std::chrono::milliseconds(150);
  /** Longest back-off from a server that refuses all requests, or whose stated
   * request limit leaves no room. */
  Duration MaxClosedBackOff = std::chrono::seconds(1);
};

/** A request that needs a server. */
struct PlacementRequest {
  std::string Service;
  /** Name of the route, by which latencies and sizes are averaged. */
  std::string Route;
  /** 0 is the most urgent. */
  std::uint32_t Priority = 0;
  /** Time within which an answer has its full value; zero if the route has
   * none. */
  Duration TargetLatency{};
  /** Hosts that already had an attempt and must not be chosen again; may be
   * null. */
  const std::vector<Address> *Tried = nullptr;
  /** Time until which an answer has its full value; if not set, TargetLatency
   * from now. */
  TimePoint InTimeUntil = TimePoint::max();
};

/** The chosen server, or when to try again. */
struct PlacementChoice {
  /** Host of the server; empty if no server can be used. */
  std::optional<Address> Peer;
  std::string Instance;
  /** Identifies the start of the server's process. */
  std::uint64_t ServerStart = 0;
  std::string Version;
  /** Expected latency of the chosen server. */
  Duration ExpectedLatency{};
  /** Strategy by which it was chosen; never Learned. */
  PlacementStrategy Strategy = PlacementStrategy::Latency;
  /** Used if Peer is empty: time until the client may try again. */
  Duration RetryAfter{};
  /** Number of servers that this request may try. */
  std::size_t Candidates = 0;
};

/**
 * Load balancer that chooses the server with the highest expected value. That
 * is the value of an answer within the target latency or after it, less the
 * cost of the bytes that cross data centres. Where servers differ in speed, the
 * probabilities follow from the work that each server still has to do, its
 * speed and the distribution of service times. Otherwise the expected latency
 * is computed from the server's measured latencies, from the load and the wait
 * for its request limit that its gate last reported, and from the requests that
 * this daemon has in progress there. It therefore avoids slow and failing
 * servers, evens out load, and tries servers again that have recovered. A
 * choice takes time linear in the servers of the service, and up to quadratic
 * in those of the target version during a rollout. Not thread-safe.
 */
class Placement {
public:
  /** Maximum number of routes with averages; further ones use defaults. */
  static constexpr std::size_t MaxRoutes = 4096;
  /** Worth of a request of the lowest priority. */
  static constexpr std::uint32_t LowestWorth = 1;
  /** Number of distinguished priorities; the last level holds all lower ones.
   */
  static constexpr std::size_t PriorityLevels = 16;

  /** @param seed of the random tie-breaking. The references must outlive this
   * object. */
  Placement(const FleetTable &fleet, const OperatorState &orders,
            VersionPolicy &versions, Address self, std::string dataCentre,
            std::uint64_t seed, const PlacementSettings &settings = {});

  /** Rebuilds the lists of servers by service. Call after a fleet change. */
  void refresh();

  /** Chooses a server for an attempt; does not count it as sent. */
  PlacementChoice choose(const PlacementRequest &request, TimePoint now);

  /** @return how all servers of the service stand for an attempt now, the one
   * that choose() prefers first. Changes nothing. */
  std::vector<CandidateView> explain(const PlacementRequest &request,
                                     TimePoint now) const;

  /** Records that a request was sent to @p peer. Exactly one of answered(),
   * refused(), lost() and cancelled() must follow, with notDelivered() before
   * it if no server received the request. */
  void started(const Address &peer);
  /** Records that no server received a request; it then does not count for the
   * share of a rollout. */
  void notDelivered(const Address &peer) { recordForSplit(peer, -1); }
  /** Records an answer. @param bytes of the bodies of the request and its
   * answer.
   * @param serverError whether the server itself failed. */
  void answered(const Address &peer, const std::string &route, Duration latency,
                std::size_t bytes, bool serverError, const GateState &gate,
                TimePoint now);
  /** Records a refusal and backs off from the server. @param priority of the
   * request: a full server may still accept requests of a higher priority, so
   * the back-off covers this priority and lower ones. A gate with limit 0
   * refuses all priorities. */
  void refused(const Address &peer, const GateState &gate,
               std::uint32_t priority, Duration retryAfter, TimePoint now);
  /** Records a request that failed without an answer or a refusal. Counts as an
   * error with twice the weight. */
  void lost(const Address &peer, TimePoint now);
  /** Records that a request was cancelled by this daemon. */
  void cancelled(const Address &peer);

  /** @return the request limit that the current server of @p peer last stated
   * to this daemon. Passed on with each request, so that it is not lost when
   * the daemon beside the server restarts. */
  RequestLimit knownLimit(const Address &peer) const;

  /** @return the start of the server beside the daemon at @p peer; 0 if it is
   * not known. */
  std::uint64_t serverStart(const Address &peer) const {
    const auto *entry = Fleet.find(peer);
    return entry == nullptr ? 0 : entry->State.Server.Start;
  }

  /** @return number of hosts in the fleet, whether they can be reached or not.
   */
  std::size_t fleetSize() const { return Fleet.hosts().size(); }

  /** @return expected latency of a route on an average server. */
  Duration expectedLatency(const std::string &route) const;

  /** @return number of reachable, ready servers of @p version. Ignores
   * evacuated data centres and the version's share. */
  unsigned countReadyServers(const std::string &service,
                             const std::string &version) const;

private:
  class Explainer;
  /** What this daemon knows of a server. */
  struct ServerLoad {
    /** Requests of this daemon in progress at the server. */
    std::uint32_t OwnRequests = 0;
    /** Requests of other daemons, as the gate reported at GateStateAt. */
    double OtherRequests = 0;
    /** Concurrency limit that the gate last reported; 0 if unknown or
     * if the gate refuses all requests. */
    std::uint32_t Limit = 0;
    TimePoint GateStateAt{};
    /** Work beyond the free slots, per slot and in units of the service time
     * there; negative while slots are free. As reported at GateStateAt, and its
     * moving average over reports. */
    double ExcessWork = 0;
    double MeanExcessWork = 0;
    bool HasExcessWork = false;
    /** Moving average of latency relative to the average of the route. */
    double LatencyRatio = 1;
    TimePoint LatencyRatioAt{};
    /** Moving average of the fraction of failed calls. */
    double ErrorRate = 0;
    TimePoint ErrorRateAt{};
    /** End of the back-off for each priority level. */
    std::array<TimePoint, PriorityLevels> NotBefore{};
    /** Request limit that the server last stated. */
    RequestLimit StatedLimit;
    /** Time at which the gate expected the limit to let a request start. */
    TimePoint LimitFreeAt{};
    /** Requests of this daemon since that report. */
    std::uint32_t SentSinceReport = 0;
    /** Earliest time at which the limit may let each priority level start. */
    std::array<TimePoint, PriorityLevels> LimitedUntil{};
    /** Start of a server that stated that it shuts down; 0 if none did. */
    std::uint64_t LeavingStart = 0;
  };
  /** Moving averages of a route over all servers. */
  struct RouteStats {
    double LatencyUs = 0;
    double Bytes = 0;
  };

  /** A server that may be chosen. */
  struct Candidate {
    const HostState *Host = nullptr;
    double Value = 0;
    double ExpectedUs = 0;
  };

  /** What a request is expected to cost on an average server. */
  struct RequestCost {
    /** Distribution of its service time; null if not known. */
    const DurationDistribution *Times = nullptr;
    Duration Expected{};
    /** Time until an answer is late. */
    Duration Left{};
  };

  /** Whether servers of a service differ in speed. */
  struct SpeedEvidence {
    bool IsUneven = false;
    TimePoint Until{};
  };

  /** Whether the data centre of this daemon has servers of a service, and
   * whether the request limit of one of them lets a request start now. */
  struct LocalServers {
    bool Any = false;
    bool AnyWithinLimit = false;
  };

  /** Retry-after time when no server of the service can be used. */
  static constexpr Duration NoServerRetryAfter = std::chrono::milliseconds(500);

  static std::size_t priorityLevel(std::uint32_t priority) {
    return std::min<std::size_t>(priority, PriorityLevels - 1);
  }

  /** Worth of a request by its priority. The platform defines only the order of
   * priorities, not their worth. */
  static double worthOf(std::uint32_t priority);
  static Duration targetLatency(const PlacementRequest &request);

  bool acceptsRequests(const HostEntry &entry) const;
  std::vector<const HostState *>
  eligibleServers(const std::vector<Address> &hosts) const;
  bool hasLeft(const HostState &host) const;
  const ServerLoad *limitedLoad(const HostState &host) const;
  Duration limitWait(const HostState &host, TimePoint now) const;
  Duration retryAfter(const HostState &host, std::uint32_t priority,
                      TimePoint now) const;
  LocalServers localServers(const std::vector<const HostState *> &candidates,
                            TimePoint now) const;
  bool isWorthCrossing(const HostState &host, const LocalServers &local,
                       TimePoint now) const;
  bool isFull(const HostState &host, TimePoint now) const;
  bool mayTry(const HostState &host, const PlacementRequest &request,
              TimePoint now) const;
  double decay(TimePoint since, TimePoint now) const;
  double expectedLatencyUs(const HostState &host, double routeLatencyUs,
                           TimePoint now, double &errorRate) const;
  Candidate rateByLatency(const HostState &host,
                          const PlacementRequest &request, TimePoint now) const;
  double inTimeProbabilityByMean(Duration finish, Duration left) const;
  double valueOf(const HostState &host, const PlacementRequest &request,
                 double inTimeProbability, double latencyPenalty,
                 double errorRate) const;
  bool choosesByWork(const std::string &service,
                     const std::vector<Address> &hosts, TimePoint now);
  bool lastChoseByWork(const std::string &service) const;
  Duration workWait(const HostState &host, const ServerLoad &load,
                    Duration cost, TimePoint now) const;
  RequestCost costOf(const PlacementRequest &request, TimePoint now) const;
  Candidate rateByWork(const HostState &host, const PlacementRequest &request,
                       const RequestCost &costs, TimePoint now) const;
  const Candidate &selectBest(std::vector<Candidate> &candidates);
  double outstandingRequests(const ServerLoad &load, TimePoint now) const;
  ServerLoad &endRequest(const Address &peer);
  static void updateGateState(ServerLoad &load, const GateState &gate,
                              TimePoint now);
  void updateExcessWork(const Address &peer, const GateState &gate,
                        const std::string &route, TimePoint now);
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
  /** Hosts by service; their servers may be in any phase. */
  std::unordered_map<std::string, std::vector<Address>> ByService;
  std::unordered_map<Address, ServerLoad> Loads;
  std::unordered_map<std::string, RouteStats> Routes;
  FleetPace Pace;
  /** By service; erased with its last host. */
  std::unordered_map<std::string, SpeedEvidence> Evidence;
  /** Requests owed to the target version of each service's rollout, in basis
   * points: every request sent adds the target's share, and every one sent to
   * the target subtracts FullShare. */
  std::unordered_map<std::string, std::int64_t> SplitBalances;
};

} // namespace chivefold

#endif
