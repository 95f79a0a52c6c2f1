/**
 * @file
 * Drives one move of a service's traffic to a new version.
 */
#ifndef CHIVEFOLD_CORE_MOVE_CONTROLLER_H
#define CHIVEFOLD_CORE_MOVE_CONTROLLER_H

#include "chivefold/core/record.h"
#include "chivefold/core/sequential_test.h"
#include "chivefold/core/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chivefold {

/** Weights and times of a move. Each deployment states its own. */
struct MoveSettings {
  SequentialTestSettings Test;
  /** Rising shares in basis points; the last is 10,000. */
  std::vector<std::uint32_t> Steps = {500, 1000, 2500, 5000, 10000};
  /** Part of the time of a step after which evidence is enough to go on. */
  double EvidenceDwellFraction = 0.6;
  /** With evidence a step lasts no longer than this. */
  Duration MaxEvidenceDwell = std::chrono::minutes(10);
  /** Calls at the present share without which there is no evidence. */
  double MinStepCalls = 20;
  /** Evidence against the version (1 is bad) above which no step is taken
   * early, and above which none is taken even if the deadline forces it. */
  double MaxSuspicion = 0.35;
  double MaxForcedSuspicion = 0.6;
  /** Part of the move's time that is spent watching at the last share. */
  double ObservationFraction = 0.2;
  /** The watch lasts no longer than this. */
  Duration MaxObservation = std::chrono::minutes(30);
  /** Parts of the move's time that a share, or the observation, lasts at least,
   * even if the deadline is then missed. */
  double MinDwellFraction = 0.02;
  double MinObservationFraction = 0.05;
  /** Part of the time left that is kept free before the deadline, between
   * MinReserve and MaxReserve, for the append of "done" to reach all. */
  double ReserveFraction = 0.05;
  Duration MinReserve = std::chrono::seconds(2);
  Duration MaxReserve = std::chrono::seconds(30);
  /** A candidate takes over after this time without a record of the holder. */
  Duration LeaseTimeout = std::chrono::seconds(30);
  Duration RenewInterval = std::chrono::seconds(10);
  /** Additional wait of a candidate for each rank before it. */
  Duration RankDelay = std::chrono::seconds(3);
  /** An append whose record is not seen in this time is repeated. */
  Duration RetryInterval = std::chrono::seconds(5);
  /** Statistics or a log position older than this allow no step. */
  Duration MaxViewAge = std::chrono::seconds(5);
  /** A move without any able server of the new version is taken back after
   * this time, if it has a share. */
  Duration NoServerTimeout = std::chrono::seconds(10);
};

/** The move as the daemon sees it at one instant. */
struct MoveView {
  /** Offset of the configuration that asked for the move. */
  Version Move = Version::None;
  UtcTime Deadline{};
  /** Committed share of the new version. */
  std::uint32_t ShareBasisPoints = 0;
  /** Lease epoch in force, or None. */
  Epoch CurrentEpoch = Epoch::None;
  bool HeldByThisDaemon = false;
  /** When this daemon last applied a lease record or step of the holder, on
   * its own clock; absent if never. */
  std::optional<TimePoint> HolderSeen;
  /** Place of this daemon among the candidates in rendezvous order. */
  unsigned Rank = 0;
  /**
   * Sums over all gates heard of, by address and boot id, with the last known
   * counts of a gate that does not answer: a gate that drops out of the sum and
   * returns would have its past counted twice.
   */
  std::vector<KindCounts> OldCounts;
  std::vector<KindCounts> NewCounts;
  /** When the oldest of the counts was collected; absent if never. */
  std::optional<TimePoint> CountsRead;
  /** Servers of the new version that can take work. */
  unsigned AbleServers = 0;
  bool LogAvailable = false;
  /** When the end of the log was last known to be applied; absent if never. */
  std::optional<TimePoint> LogRead;
  /** A take-back is in force, by safe step or by record. */
  bool TakenBack = false;
  /** The end of the move is in the log. */
  bool Ended = false;
};

struct TakeLease {
  Epoch ExpectedEpoch = Epoch::None;
};
struct RenewLease {
  Epoch ExpectedEpoch = Epoch::None;
};
/** Raises the share under LeaseEpoch. */
struct AppendStep {
  Epoch LeaseEpoch = Epoch::None;
  std::uint32_t ShareBasisPoints = 0;
};
/** A safe step: in force here at once and spread to all daemons. */
struct TakeBackNow {
  std::string Reason;
  std::string Evidence;
};
/** Ends the move in the log. */
struct AppendEnd {
  Epoch LeaseEpoch = Epoch::None;
  MoveResult Result = MoveResult::TakenBack;
  std::string Reason;
  std::string Evidence;
};
/** What the daemon is to do now; no entry means nothing. */
using MoveAction =
    std::variant<TakeLease, RenewLease, AppendStep, TakeBackNow, AppendEnd>;

/**
 * Decides the steps of one move on one candidate (a daemon beside a server of
 * the new version). Whether the daemon holds the lease is only known from the
 * view, so a daemon that was paused or lags behind cannot raise a share: its
 * records carry an epoch that is no longer in force.
 *
 * Not thread-safe. One object for each move; at most two actions a tick.
 */
class MoveController {
public:
  /** Precondition: Steps is not empty, rises and ends at 10,000. */
  explicit MoveController(MoveSettings settings);

  /**
   * Call about once a second.
   * @param now monotonic time of this daemon; never goes back.
   * @param utcNow wall clock, compared with the deadline only.
   * @return the actions to start, in order. Appends may fail or get lost; the
   * controller repeats them until the view shows their effect.
   */
  std::vector<MoveAction> tick(TimePoint now, UtcTime utcNow,
                               const MoveView &view);

  /** @return the test's present assessment, for reports. */
  Assessment assessment() const { return Test.assess(); }

  /** @return why the share does not rise at present, for operators; empty if
   * nothing holds it back. */
  const std::string &holdReason() const { return HoldReason; }

private:
  enum class ActionKind : std::uint8_t { Take, Renew, Step, TakeBack, End };
  static constexpr std::size_t ActionKindCount = 5;

  void updateFromView(TimePoint now, UtcTime utcNow, const MoveView &view);
  void scheduleNextStep(TimePoint now, UtcTime utcNow, const MoveView &view);
  std::string reasonToTakeBack(TimePoint now, UtcTime utcNow,
                               const MoveView &view);
  void takeBack(TimePoint now, const MoveView &view,
                std::vector<MoveAction> &actions);
  void tryTakeLease(TimePoint now, const MoveView &view,
                    std::vector<MoveAction> &actions);
  void advance(TimePoint now, const MoveView &view,
               std::vector<MoveAction> &actions);
  std::string reasonToHold(TimePoint now, const MoveView &view) const;
  bool tryEmit(ActionKind kind, TimePoint now);
  std::size_t remainingSteps(std::uint32_t share) const;
  bool isFresh(TimePoint now, const std::optional<TimePoint> &time) const;

  MoveSettings Settings;
  SequentialTest Test;
  std::optional<TimePoint> FirstTick;
  /** Since when the view of the log has been up to date without a break. */
  std::optional<TimePoint> LogFreshSince;
  std::optional<TimePoint> NoServerSince;
  std::optional<TimePoint> TakenBackSince;
  /** Time that the move had at the first tick. */
  Duration TotalTime{};
  std::uint32_t SeenShare = 0;
  Epoch SeenEpoch = Epoch::None;
  /** When evidence is enough, and when the deadline forces the next step. */
  TimePoint EvidenceTime{};
  TimePoint ForcedTime{};
  /** Last emission of each kind of action. */
  std::array<std::optional<TimePoint>, ActionKindCount> Emitted{};
  std::string EndReason;
  std::string EndEvidence;
  std::string HoldReason;
};

} // namespace chivefold

#endif
