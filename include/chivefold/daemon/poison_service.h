/**
 * @file
 * Spreads the deaths of backend servers and refuses requests that cause them.
 */
#ifndef CHIVEFOLD_DAEMON_POISON_SERVICE_H
#define CHIVEFOLD_DAEMON_POISON_SERVICE_H

#include "chivefold/core/poison_table.h"
#include "chivefold/core/rate_limit.h"
#include "chivefold/daemon/call_message.h"
#include "chivefold/io/logging.h"
#include "chivefold/io/peer_network.h"
#include "chivefold/io/reactor.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace chivefold {

/** @return the digest of service, method, target and body. Thread-safe. */
RequestDigest digestOf(const CallMessage &call);

/** Used on the reactor's thread only. */
class PoisonService {
public:
  /** Peers that get each new death. Each of them passes it on once: with 4 a
   * given daemon of 14 misses a death in 0.8% of all cases, with 8 in under
   * 0.01%. */
  static constexpr std::size_t Fanout = 8;
  /** Steps that are spread a second, each to Fanout peers, so that the death of
   * many servers at once does not load the links; the rest reaches other
   * daemons with probes, and is counted in the log. */
  static constexpr double SpreadsPerSecond = 20;
  static constexpr double SpreadBurst = 60;
  /** Deaths on each probe, for daemons that the fanout misses. Older ones are
   * left out; about 50 B each. */
  static constexpr std::size_t DeathsPerProbe = 8;
  /** Deaths for a joining daemon; older ones are left out. */
  static constexpr std::size_t DeathsPerJoin = 2 * PoisonTable::MaxDigests;

  /** @return up to so many reachable peers, drawn at random. */
  using Peers = std::function<std::vector<Address>(std::size_t)>;

  PoisonService(Reactor &reactor, PeerNetwork &network, Peers peers,
                std::uint64_t seed);

  /** The backend server beside the daemon at @p server died while it ran the
   * request. The daemon's address identifies the server, since the server's own
   * may be the same loopback address on every host. */
  void serverDied(const Address &server, RequestDigest digest);

  /** A call to the server beside the daemon at @p server was lost with that
   * daemon at @p at, and the server has started again since. */
  void serverPresumedDead(const Address &server, RequestDigest digest,
                          TimePoint at);

  /** Sets what runs after crashes became known or were cleared. @param isUrgent
   * whether requests are suspected that were not before. */
  using ChangeTask = std::function<void(bool isUrgent)>;
  void onChange(ChangeTask task) { Changed = std::move(task); }

  /** Takes crashes that an earlier process has kept. @param isOwn whether that
   * was a predecessor of this daemon. */
  void restore(const std::vector<PoisonUpdate> &crashes, bool isOwn);

  /** @return the crashes that the daemon at @p own must keep for its successor.
   */
  std::vector<PoisonUpdate> crashesToKeep(const Address &own,
                                          std::size_t max) const {
    return Table.crashesToKeep(own, max, Loop.now());
  }

  /** A backend server answered the request. */
  void succeeded(RequestDigest digest);

  /** @return whether any request is suspected or refused. */
  bool isEmpty() const { return Table.size() == 0; }

  /** @return time until the request is accepted again, if it is refused. */
  std::optional<Duration> quarantined(RequestDigest digest) const;

  /** @return the servers that the request has crashed, by the addresses of
   * their daemons. */
  std::vector<Address> crashedServers(RequestDigest digest) const {
    return Table.crashedServers(digest);
  }

  /** Handles deaths that a peer sent. */
  void onDeath(const wire::PoisonDeathT &death);
  void onDeaths(const std::vector<std::unique_ptr<wire::PoisonDeathT>> &deaths);

  /** @return up to @p max known deaths, for peers. */
  std::vector<std::unique_ptr<wire::PoisonDeathT>>
  deathsToSend(std::size_t max) const;

private:
  void recordCrash(const Address &server, RequestDigest digest, TimePoint at,
                   CrashEvidence evidence);
  void spread(const PoisonUpdate &step);
  void notify(bool isUrgent);

  Reactor &Loop;
  PeerNetwork &Network;
  Peers RandomPeers;
  PoisonTable Table;
  RateLimiter Spreads;
  ChangeTask Changed;
  Logger Lines{"poison"};
};

} // namespace chivefold

#endif
