/**
 * @file
 * Controller of one move, the gradual shift of a service's traffic to a new
 * version.
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

/** Parameters of a move. */
struct MoveSettings {
  SequentialTestSettings Test;
  /** Traffic shares of the new version in basis points, in ascending order; the
   * last is 10,000. */
  std::vector<std::uint32_t> Steps = {500, 1000, 2500, 5000, 10000};
  /** Fraction of a step's time after which the next step is taken if the
   * evidence for the version is sufficient. */
  double EvidenceDwellFraction = 0.6;
  /** Upper bound of that time. */
  Duration MaxEvidenceDwell = std::chrono::minutes(10);
  /** Fewest calls at the current share for sufficient evidence. */
  double MinStepCalls = 20;
  /** Assessment::Suspicion above which no step is taken early, and above which
   * none is taken even if the deadline requires it. */
  double MaxSuspicion = 0.35;
  double MaxForcedSuspicion = 0.6;
  /** Fraction of the move's time for which the version is observed at the full
   * share. */
  double ObservationFraction = 0.2;
  /** Upper bound of that observation. */
  Duration MaxObservation = std::chrono::minutes(30);
  /** Shortest time at a share, and of the observation at the full share, as
   * fractions of the move's time. They apply even if the deadline is then
   * missed. */
  double MinDwellFraction = 0.02;
  double MinObservationFraction = 0.05;
  /** Fraction of the remaining time that is reserved before the deadline, for
   * the MoveResult::Done record to reach all daemons. Limited to MinReserve to
   * MaxReserve. */
  double ReserveFraction = 0.05;
  Duration MinReserve = std::chrono::seconds(2);
  Duration MaxReserve = std::chrono::seconds(30);
  /** Time without a record of the lease holder after which a candidate takes
   * over. */
  Duration LeaseTimeout = std::chrono::seconds(30);
  Duration RenewInterval = std::chrono::seconds(10);
  /** Additional delay of a candidate for each one ranked before it. */
  Duration RankDelay = std::chrono::seconds(3);
  /** Time after which an append is repeated if its effect is not seen. */
  Duration RetryInterval = std::chrono::seconds(5);
  /** Age of the statistics or of the log position above which no step is
   * taken. */
  Duration MaxViewAge = std::chrono::seconds(5);
  /** Time without an available server of the new version after which a move is
   * taken back, if the version has a share of the traffic. */
  Duration NoServerTimeout = std::chrono::seconds(10);
};

/** Input of the controller: the state of the move as known to this daemon at
 * one instant. */
struct MoveView {
  /** Offset of the configuration change that requested the move. */
  Version Move = Version::None;
  UtcTime Deadline{};
  /** Share of the new version by the newest applied step. */
  std::uint32_t ShareBasisPoints = 0;
  /** Current lease epoch, or None. */
  Epoch CurrentEpoch = Epoch::None;
  bool HeldByThisDaemon = false;
  /** When this daemon last applied a lease or step record of the holder, by its
   * own monotonic clock; absent if never. */
  std::optional<TimePoint> HolderSeen;
  /** Rank of this daemon among the candidates in rendezvous hashing order. */
  unsigned Rank = 0;
  /**
   * Sums over all known gates, identified by address and boot id. They include
   * the last known counts of gates that do not answer: the calls of a gate that
   * left the sums and returned would be counted twice.
   */
  std::vector<KindCounts> OldCounts;
  std::vector<KindCounts> NewCounts;
  /** When the oldest of the counts was collected; absent if there are none. */
  std::optional<TimePoint> CountsRead;
  /** Available servers of the new version. */
  unsigned AbleServers = 0;
  bool LogAvailable = false;
  /** When this daemon had last applied the log up to its end; absent if
   * never. */
  std::optional<TimePoint> LogRead;
  /** Whether the move is taken back, by a safe step or by a record. */
  bool TakenBack = false;
  /** Whether the record that ends the move was applied. */
  bool Ended = false;
};

/** Appends a LeaseTakeRecord that takes the lease over. */
struct TakeLease {
  Epoch ExpectedEpoch = Epoch::None;
};
/** Appends a LeaseTakeRecord that renews the lease of this daemon. */
struct RenewLease {
  Epoch ExpectedEpoch = Epoch::None;
};
/** Appends a MoveStepRecord that raises the share. */
struct AppendStep {
  Epoch LeaseEpoch = Epoch::None;
  std::uint32_t ShareBasisPoints = 0;
};
/** Takes the move back by a safe step, which takes effect on this daemon at
 * once and is sent to all others without the log. */
struct TakeBackNow {
  std::string Reason;
  std::string Evidence;
};
/** Appends a MoveEndRecord. */
struct AppendEnd {
  Epoch LeaseEpoch = Epoch::None;
  MoveResult Result = MoveResult::TakenBack;
  std::string Reason;
  std::string Evidence;
};
/** An action that the daemon must start. */
using MoveAction =
    std::variant<TakeLease, RenewLease, AppendStep, TakeBackNow, AppendEnd>;

/**
 * Decides the steps of one move on one candidate, a daemon that runs next to a
 * server of the new version. The controller knows only from the view whether
 * its daemon holds the lease. A daemon that was paused or lags behind cannot
 * raise the share, since its records carry an outdated lease epoch.
 *
 * Not thread-safe. Use one object for each move. A tick returns at most two
 * actions.
 */
class MoveController {
public:
  /** Precondition: MoveSettings::Steps is not empty, is in ascending order and
   * ends with 10,000. */
  explicit MoveController(MoveSettings settings);

  /**
   * Call about once a second.
   * @param now monotonic time of this daemon.
   * @param utcNow wall-clock time, used only to compute the time to the
   * deadline.
   * @return the actions to start, in order. Appends may fail or be lost; the
   * controller repeats them until the view shows their effect.
   */
  std::vector<MoveAction> tick(TimePoint now, UtcTime utcNow,
                               const MoveView &view);

  /** @return the current assessment of the new version, for reports. */
  Assessment assessment() const { return Test.assess(); }

  /** @return why the share is not raised now, for operators; empty if nothing
   * prevents it. */
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
  /** @return whether RetryInterval has passed since the last action of this
   * kind; if so, the interval starts again. */
  bool tryEmit(ActionKind kind, TimePoint now);
  std::size_t remainingSteps(std::uint32_t share) const;
  bool isFresh(TimePoint now, const std::optional<TimePoint> &time) const;

  MoveSettings Settings;
  SequentialTest Test;
  std::optional<TimePoint> FirstTick;
  /** Since when the log has been available and up to date without
   * interruption. */
  std::optional<TimePoint> LogFreshSince;
  std::optional<TimePoint> NoServerSince;
  std::optional<TimePoint> TakenBackSince;
  /** Time from the first tick to the deadline. */
  Duration TotalTime{};
  std::uint32_t SeenShare = 0;
  Epoch SeenEpoch = Epoch::None;
  /** When the next step may be taken on sufficient evidence, and when the
   * deadline requires it. */
  TimePoint EvidenceTime{};
  TimePoint ForcedTime{};
  /** When an action of each kind was last emitted. */
  std::array<std::optional<TimePoint>, ActionKindCount> Emitted{};
  std::string EndReason;
  std::string EndEvidence;
  std::string HoldReason;
};

} // namespace chivefold

#endif
