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

/** A backend server as the member table knows it. */
struct Candidate {
  /** Address of the daemon beside the server. */
  Address Peer;
  std::string DataCentre;
  std::string Service;
  std::string ServiceVersion;
  bool Alive = true;
  bool Leaving = false;
};

/** Versions of a service and the share of the one that a move starts. */
struct VersionSplit {
  std::string Current;
  /** Empty if no move runs. */
  std::string Next;
  /** Share of Next in 1/10,000. */
  std::uint32_t ShareBasisPoints = 0;
};

/** A chosen server, or why there is none. */
struct RouteChoice {
  bool Found = false;
  Address Peer;
  std::string ServiceVersion;
  /** If none was found: time until a refusing server may be tried again. */
  Duration RetryAfter{};
};

struct RouterTuning {
  /** The own data centre is preferred while its score is within this factor. */
  double LocalPreferenceFactor = 2.0;
  /** Time in which the preference for the own data centre comes back. */
  Duration LocalPreferenceRecoveryTime = std::chrono::seconds(5);
  /** Time in which errors and gate states lose half of their weight. */
  Duration ErrorHalfLife = std::chrono::seconds(5);
  Duration GateHalfLife = std::chrono::milliseconds(500);
  /** Score factor of a server whose calls all fail. */
  double ErrorPenalty = 200;
  Duration MaxBackOff = std::chrono::seconds(1);
};

/**
 * Chooses servers: version by share, then the better of two random servers,
 * the own data centre preferred. A choice costs O(1) in the fleet size; an
 * update costs O(servers of the service). Holds at most MaxServers servers;
 * further ones are ignored until others are removed. Not thread-safe.
 */
class Router {
public:
  static constexpr std::size_t MaxServers = 16384;
  /** Servers looked at when random choices hit only unusable ones. */
  static constexpr std::size_t MaxScan = 64;

  Router(std::uint64_t seed, std::string ownDataCentre,
         const RouterTuning &tuning = {});

  /** Adds or changes a server. What is known of its load is kept unless its
   * service or version changed. */
  void update(const Candidate &candidate);
  void remove(const Address &peer);

  /** Data centres that get no new work; replaces the previous list. */
  void setTakenOut(const std::vector<std::string> &dataCentres);

  /** Sets the versions of a service. Without it the service gets no calls. */
  void setSplit(const std::string &service, const VersionSplit &split);
  void removeService(const std::string &service);

  /**
   * Chooses a server. The first attempt of a call (empty @p tried) draws from
   * the share; later ones go to Current, or to Next at a full share. If no
   * server of the version is usable the other version is chosen, Next only up
   * to its share.
   * @param tried servers that this call must not use again.
   */
  RouteChoice choose(std::string_view service,
                     const std::vector<Address> &tried, TimePoint now);

  /** A call was sent. Each is followed by exactly one of the four below;
   * feedback about an unknown server is ignored. */
  void started(const Address &peer, TimePoint now);
  void answered(const Address &peer, Duration latency, const GateState &gate,
                TimePoint now);
  /** The gate refused (not run); the server is avoided for @p retryAfter, at
   * most MaxBackOff. */
  void refused(const Address &peer, const GateState &gate, Duration retryAfter,
               TimePoint now);
  /** The call failed or was answered with a server error. Counts with at least
   * the latency that is typical of the service, so fast errors never look
   * idle. */
  void failed(const Address &peer, Duration latency, TimePoint now);
  /** The call was cancelled; only its slot is freed. */
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
    /** Smoothed share of failures and refusals, 0 to 1, as of ErrorsAt. */
    double Errors = 0;
    TimePoint ErrorsAt{};
    GateState Gate;
    /** Load at the gate that other daemons caused, as of GateAt. */
    double ExternalLoad = 0;
    TimePoint GateAt{};
    TimePoint NotBefore{};
  };
  /** Usable servers of one version, as indexes into Servers. */
  struct Pool {
    std::vector<std::uint32_t> Local;
    std::vector<std::uint32_t> Remote;
    /** 0: local preferred by LocalPreferenceFactor; 1: no preference. */
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
    /** Low-discrepancy accumulator; a call goes to Next when it reaches
     * 10,000. Negative after Next took a call beyond its turn. */
    std::int64_t Accumulator = 0;
    /** Typical latency of the service in microseconds. */
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
