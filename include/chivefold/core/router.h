/**
 * @file
 * Selection of a backend server for a call.
 */
#ifndef CHIVEFOLD_CORE_ROUTER_H
#define CHIVEFOLD_CORE_ROUTER_H

#include "chivefold/core/gate.h"
#include "chivefold/core/types.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivefold {

/** A backend server as described by the member table. */
struct Candidate {
  /** Address of the daemon beside the server. */
  Address Peer;
  std::string DataCentre;
  std::string Service;
  std::string ServiceVersion;
  bool Alive = true;
  bool Leaving = false;
};

/** Versions of a service and the share of traffic that the new version gets
 * during a rollout. */
struct VersionSplit {
  std::string Current;
  /** Empty if no rollout is in progress. */
  std::string Next;
  /** Share of Next in basis points (1/10,000). */
  std::uint32_t ShareBasisPoints = 0;
};

/** The chosen server, or the time to wait if there is none. */
struct RouteChoice {
  bool Found = false;
  Address Peer;
  std::string ServiceVersion;
  /** If none was found: time until a server that refused a call may be tried
   * again. */
  Duration RetryAfter{};
};

struct RouterTuning {
  /** Servers in the same data centre are preferred while their score is at most
   * this multiple of the score of remote ones. */
  double LocalPreferenceFactor = 2.0;
  /** Time in which the full preference for the own data centre is restored. */
  Duration LocalPreferenceRecoveryTime = std::chrono::seconds(5);
  /** Half-lives of the weight of observed errors and latencies, and of gate
   * states. */
  Duration ErrorHalfLife = std::chrono::seconds(5);
  Duration GateHalfLife = std::chrono::milliseconds(500);
  /** Added to the score factor 1 of a server whose calls all fail. */
  double ErrorPenalty = 200;
  Duration MaxBackOff = std::chrono::seconds(1);
};

/**
 * Chooses the server for a call: first the version according to its share, then
 * the better of two random servers (power of two choices), with a preference
 * for the own data centre. A choice takes constant time; an update takes time
 * linear in the number of servers of the service. Holds at most MaxServers
 * servers; further ones are ignored until others are removed. Not thread-safe.
 */
class Router {
public:
  static constexpr std::size_t MaxServers = 16384;
  /** Maximum number of servers scanned if random choices find no usable one. */
  static constexpr std::size_t MaxScan = 64;

  Router(std::uint64_t seed, std::string ownDataCentre,
         const RouterTuning &tuning = {});

  /** Adds or updates a server. Its load statistics are kept unless its service
   * or version changed. */
  void update(const Candidate &candidate);
  void remove(const Address &peer);

  /** Sets the data centres that get no new calls; replaces the previous list.
   */
  void setTakenOut(const std::vector<std::string> &dataCentres);

  /** Sets the versions of a service. No server is chosen for a service without
   * them. */
  void setSplit(const std::string &service, const VersionSplit &split);
  void removeService(const std::string &service);

  /**
   * Chooses a server. The first attempt of a call (empty @p tried) goes to Next
   * according to its share; later ones go to Current, or to Next at a full
   * share. If no server of that version is usable, the other version is used,
   * but Next only up to its share.
   * @param tried servers that this call must not use again.
   */
  RouteChoice choose(std::string_view service,
                     const std::vector<Address> &tried, TimePoint now);

  /** Chooses a server for a call that may crash it: like choose(), but one of
   * @p crashed, which it has crashed already, only if there is no other. A
   * second crash of the same server would tell nothing new. */
  RouteChoice chooseForSuspect(std::string_view service,
                               const std::vector<Address> &tried,
                               const std::vector<Address> &crashed,
                               TimePoint now);

  /** Reports that a call was sent. Exactly one of the four functions below must
   * follow for each call. Reports about an unknown server are ignored. */
  void started(const Address &peer, TimePoint now);
  void answered(const Address &peer, Duration latency, const GateState &gate,
                TimePoint now);
  /** Reports that the gate refused the call, which was not run. The server is
   * not chosen for @p retryAfter, at most MaxBackOff. */
  void refused(const Address &peer, const GateState &gate, Duration retryAfter,
               TimePoint now);
  /** Reports that the call failed or was answered with a server error. Its
   * latency counts as at least the typical latency of the service, so that a
   * server with fast errors does not appear idle. */
  void failed(const Address &peer, Duration latency, TimePoint now);
  /** Reports that the call was cancelled, which only reduces the calls in
   * flight. */
  void cancelled(const Address &peer);

  /** @return number of servers known. */
  std::size_t size() const;

private:
  struct Server {
    Candidate Info;
    std::uint32_t InFlight = 0;
    /** Smoothed latency in microseconds; 0 before the first answer. */
    double LatencyUs = 0;
    TimePoint LatencyAt{};
    /** Smoothed share of failures and refusals, 0 to 1, at time ErrorsAt. */
    double Errors = 0;
    TimePoint ErrorsAt{};
    GateState Gate;
    /** Load at the gate caused by other daemons, at time GateAt. */
    double ExternalLoad = 0;
    TimePoint GateAt{};
    TimePoint NotBefore{};
  };
  /** Usable servers of one version, as indexes into Servers. */
  struct Pool {
    std::vector<std::uint32_t> Local;
    std::vector<std::uint32_t> Remote;
    /** 0: local servers are preferred by LocalPreferenceFactor; 1: no
     * preference. */
    double Spillover = 0;
    TimePoint SpilloverAt{};
  };
  struct ServiceState {
    VersionSplit Split;
    bool HasSplit = false;
    /** All servers of the service, as indexes into Servers. */
    std::vector<std::uint32_t> Members;
    Pool Current;
    Pool Next;
    /** Sum of the shares of past calls; when it reaches 10,000, a call goes to
     * Next and 10,000 is subtracted. Negative after Next took a call in place
     * of Current. */
    std::int64_t Accumulator = 0;
    /** Smoothed latency of the service in microseconds; 0 before the first
     * answer. */
    double LatencyUs = 0;
  };
  struct Pick {
    Server *Chosen = nullptr;
    double Score = 0;
  };

  Server *find(const Address &peer);
  ServiceState &serviceOf(const Server &server);
  void attach(std::uint32_t index);
  void detach(std::uint32_t index);
  void rebuildPools(ServiceState &service);
  bool takenOut(const std::string &dataCentre) const;
  static bool usable(const Server &server, const std::vector<Address> &tried,
                     TimePoint now);
  double score(const Server &server, const ServiceState &service,
               TimePoint now) const;
  double latencyAt(const Server &server, const ServiceState &service,
                   TimePoint now) const;
  double errorsAt(const Server &server, TimePoint now) const;
  void addError(Server &server, double weight, TimePoint now);
  void addLatency(Server &server, double latency, TimePoint now);
  static void updateGateState(Server &server, const GateState &gate,
                              TimePoint now);
  Pick pickFrom(const std::vector<std::uint32_t> &pool,
                const ServiceState &service, const std::vector<Address> &tried,
                TimePoint now);
  Server *pickFromPool(Pool &pool, const ServiceState &service,
                       const std::vector<Address> &tried, TimePoint now);
  static bool selectsNext(ServiceState &service, bool firstAttempt);
  Duration earliestRetry(const Pool &pool, TimePoint now) const;

  std::mt19937_64 Random;
  std::string OwnDataCentre;
  RouterTuning Tuning;
  std::vector<Server> Servers;
  std::vector<std::uint32_t> FreeSlots;
  std::unordered_map<Address, std::uint32_t> ByAddress;
  std::unordered_map<std::string, ServiceState> Services;
  std::vector<std::string> TakenOut;
};

} // namespace chivefold

#endif
