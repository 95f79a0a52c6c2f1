/**
 * @file
 * Runs the membership protocol: probes, indirect probes and urgent updates.
 */
#ifndef CHIVEFOLD_DAEMON_MEMBERSHIP_SERVICE_H
#define CHIVEFOLD_DAEMON_MEMBERSHIP_SERVICE_H

#include "chivefold/core/member_table.h"
#include "chivefold/io/logging.h"
#include "chivefold/io/peer_network.h"
#include "chivefold/io/reactor.h"
#include "peer_generated.h"

#include <functional>
#include <memory>

namespace chivefold {

/** Control state that travels with membership messages. */
class GossipPayload {
public:
  virtual ~GossipPayload() = default;
  /** @return the newest applied offset. */
  virtual LogOffset appliedOffset() const = 0;
  virtual std::uint64_t stateDigest() const = 0;
  /** @return the safe steps in force, bounded by SafeSteps. */
  virtual std::vector<std::unique_ptr<wire::SafeStepT>> stepsToSend() = 0;
  /** A peer told its progress and its safe steps. */
  virtual void
  heardProgress(const Address &peer, LogOffset applied, std::uint64_t digest,
                const std::vector<std::unique_ptr<wire::SafeStepT>> &steps) = 0;
  /** @return the newest deaths of backend servers, a bounded number. */
  virtual std::vector<std::unique_ptr<wire::PoisonDeathT>> deathsToSend() = 0;
  /** A peer sent deaths of backend servers. */
  virtual void heardDeaths(
      const std::vector<std::unique_ptr<wire::PoisonDeathT>> &deaths) = 0;
};

/**
 * Sends probes and answers those of peers. Changes of members reach the whole
 * fleet by updates on probes; a member that leaves is pushed at once, since
 * probes alone need several seconds. Used on the reactor's thread only.
 */
class MembershipService {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(200);
  /** Time for the answer to a probe, then once more for indirect probes. */
  static constexpr Duration ProbeTimeout = std::chrono::milliseconds(700);
  /** Peers that a daemon pushes an urgent update to. */
  static constexpr std::size_t UrgentFanout = 4;

  /** @param onChange runs after the table changed. */
  MembershipService(Reactor &reactor, PeerNetwork &network,
                    MemberTable &members, GossipPayload &payload,
                    std::function<void()> onChange);
  ~MembershipService();
  MembershipService(const MembershipService &) = delete;
  MembershipService &operator=(const MembershipService &) = delete;

  /** Begins probing. */
  void start();

  /** Handles one frame of the membership protocol. */
  void onPing(const wire::PingT &ping, const PeerResponder &respond);
  void onPingRequest(const wire::PingRequestT &request,
                     const PeerResponder &respond);

  /** Merges members that a peer sent, for instance in answer to a join. */
  void merge(const std::vector<Member> &members);

  /** Sets the state of this daemon and pushes it at once. */
  void announceSelf(MemberState state);

private:
  /** One probe of a member until its verdict. */
  struct Probe;

  void tick();
  void probe(const Address &target);
  void probeIndirectly(const Address &target);
  void finishIndirect(const std::shared_ptr<Probe> &probe, bool reachable);
  void pushUrgent(const std::vector<Member> &updates);
  wire::PingT makePing(const std::vector<Member> &updates);
  /** Merges updates and forwards the urgent ones that were new. */
  void mergeUpdates(const std::vector<Member> &updates);
  void onAck(const Address &target, const wire::AckT &ack);

  Reactor &Loop;
  PeerNetwork &Network;
  MemberTable &Members;
  GossipPayload &Payload;
  std::function<void()> OnChange;
  TimerId Timer = TimerId::None;
  Logger Log{"membership"};
};

} // namespace chivefold

#endif
