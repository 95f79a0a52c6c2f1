/**
 * @file
 * Drives the move of this daemon's service, if this daemon is a candidate.
 */
#ifndef CHIVEFOLD_DAEMON_MOVE_SERVICE_H
#define CHIVEFOLD_DAEMON_MOVE_SERVICE_H

#include "chivefold/core/member_table.h"
#include "chivefold/core/move_controller.h"
#include "chivefold/core/safe_steps.h"
#include "chivefold/daemon/control_service.h"
#include "chivefold/daemon/gate_service.h"
#include "chivefold/daemon/settings.h"
#include "chivefold/io/logging.h"
#include "chivefold/io/peer_network.h"
#include "chivefold/io/reactor.h"

#include <map>
#include <memory>
#include <optional>

namespace chivefold {

/** What a move is judged and driven with. */
struct MoveParts {
  ControlService &Control;
  const ControlState &State;
  const SafeSteps &Steps;
  const MemberTable &Members;
  const GateService &Gate;
};

/** Used on the reactor's thread only. */
class MoveService {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(500);
  static constexpr Duration StatsTimeout = std::chrono::milliseconds(800);
  static constexpr Duration AppendTimeout = std::chrono::seconds(3);
  /** Candidates that read the log themselves while another one holds the
   * lease; all of them do when it has been silent for HolderSilence. */
  static constexpr unsigned FollowingRanks = 2;
  static constexpr Duration HolderSilence = std::chrono::seconds(20);

  MoveService(Reactor &reactor, PeerNetwork &network, MoveParts parts,
              const Settings &settings, DaemonId self);
  ~MoveService();
  MoveService(const MoveService &) = delete;
  MoveService &operator=(const MoveService &) = delete;

  void start();

  /** Call after log records were applied. */
  void recordsApplied();

  void onStatsRequest(const wire::StatsRequestT &request,
                      const PeerResponder &respond) const;

  /** @return why the share does not rise at present; "" if nothing holds it. */
  std::string holdReason() const;

private:
  /** Newest figures of one gate. */
  struct GateStats {
    std::string ServiceVersion;
    std::vector<KindCounts> Counts;
    TimePoint ReadAt{};
    /** Whether the gate is alive, so that fresh counts are expected of it. */
    bool Live = true;
  };

  void tick();
  bool isCandidate(const MoveState &move) const;
  void collect();
  void collectFrom(const Member &member);
  MoveView view(const MoveState &move) const;
  void addCounts(const MoveState &move, MoveView &view) const;
  bool isTakenBack(const MoveState &move) const;
  bool mustFollowLog(const MoveView &view) const;
  unsigned rank(const MoveState &move) const;
  void perform(const MoveState &move, const MoveAction &action);
  void append(RecordBody body, std::string_view what);

  Reactor &Loop;
  PeerNetwork &Network;
  MoveParts Parts;
  const Settings &Own;
  DaemonId Self;
  std::optional<MoveController> Controller;
  Version Driven = Version::None;
  LogOffset SeenLease = LogOffset::None;
  std::optional<TimePoint> HolderSeen;
  /** One entry for each run of a gate of this service, kept until the move
   * ends: counts that left the sum and came back would count twice. */
  std::map<std::pair<Address, std::uint64_t>, GateStats> Stats;
  TimerId Timer = TimerId::None;
  Logger Lines{"moves"};
};

} // namespace chivefold

#endif
