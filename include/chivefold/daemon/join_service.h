/**
 * @file
 * Finds peers at start, and again when a daemon is alone.
 */
#ifndef CHIVEFOLD_DAEMON_JOIN_SERVICE_H
#define CHIVEFOLD_DAEMON_JOIN_SERVICE_H

#include "chivefold/core/member_table.h"
#include "chivefold/daemon/control_service.h"
#include "chivefold/daemon/membership_service.h"
#include "chivefold/daemon/settings.h"
#include "chivefold/io/logging.h"
#include "chivefold/io/peer_network.h"
#include "chivefold/io/reactor.h"

#include <random>
#include <vector>

namespace chivefold {

/**
 * Asks the seeds and announced daemons for members and state until this daemon
 * is ready and knows a peer; then asks one of them now and then, which joins
 * halves of the fleet that do not know each other. A daemon without any live
 * peer announces itself in the log. Used on the reactor's thread only.
 */
class JoinService {
public:
  static constexpr Duration FirstPause = std::chrono::milliseconds(100);
  static constexpr Duration MaxPause = std::chrono::seconds(10);
  static constexpr Duration JoinTimeout = std::chrono::seconds(1);
  /** Time without a peer after which a daemon announces itself. */
  static constexpr Duration AloneTime = std::chrono::seconds(2);
  /** Peers asked at once. */
  static constexpr std::size_t Width = 5;

  JoinService(Reactor &reactor, PeerNetwork &network, ControlService &control,
              const ControlState &state, MembershipService &membership,
              MemberTable &members, const Settings &settings,
              std::uint64_t seed);
  ~JoinService();
  JoinService(const JoinService &) = delete;
  JoinService &operator=(const JoinService &) = delete;

  void start();

  void onJoin(const wire::JoinT &join, const PeerResponder &respond);

private:
  void tick();
  std::vector<Address> targets();
  void ask(const Address &peer);
  void onAnswer(const Address &peer, const wire::JoinAnswerT &answer);
  void announceIfAlone();
  Duration nextPause();

  Reactor &Loop;
  PeerNetwork &Network;
  ControlService &Control;
  const ControlState &State;
  MembershipService &Membership;
  MemberTable &Members;
  const Settings &Own;
  std::mt19937_64 Random;
  Duration Pause = FirstPause;
  TimePoint AnnounceAfter{};
  TimerId Timer = TimerId::None;
  Logger Lines{"join"};
};

} // namespace chivefold

#endif
