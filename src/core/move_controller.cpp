#include "chivefold/core/move_controller.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chivefold {

namespace {

Duration scale(Duration time, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

} // namespace

MoveController::MoveController(MoveSettings settings)
    : Settings(std::move(settings)), Test(Settings.Test) {
  assert(!Settings.Steps.empty() && Settings.Steps.back() == 10000);
}

std::vector<MoveAction> MoveController::tick(TimePoint now, UtcTime utcNow,
                                             const MoveView &view) {
  std::vector<MoveAction> actions;
  HoldReason.clear();
  if (view.Ended) {
    return actions;
  }
  updateFromView(now, utcNow, view);
  if (EndReason.empty()) {
    EndReason = reasonToTakeBack(now, utcNow, view);
    EndEvidence = EndReason.empty() ? "" : Test.assess().Evidence;
  }
  if (!EndReason.empty()) {
    takeBack(now, view, actions);
  } else if (view.HeldByThisDaemon) {
    advance(now, view, actions);
  } else {
    tryTakeLease(now, view, actions);
  }
  return actions;
}

void MoveController::updateFromView(TimePoint now, UtcTime utcNow,
                                    const MoveView &view) {
  const bool first = !FirstTick;
  if (first) {
    FirstTick = now;
    TotalTime = std::max(Duration::zero(), Duration(view.Deadline - utcNow));
  }
  Test.update(view.OldCounts, view.NewCounts);
  if (first || view.ShareBasisPoints != SeenShare ||
      view.CurrentEpoch != SeenEpoch) {
    if (view.ShareBasisPoints != SeenShare) {
      Test.restart();
    }
    SeenShare = view.ShareBasisPoints;
    SeenEpoch = view.CurrentEpoch;
    Emitted[static_cast<std::size_t>(ActionKind::Step)].reset();
    scheduleNextStep(now, utcNow, view);
  }
  if (!view.LogAvailable || !isFresh(now, view.LogRead)) {
    LogFreshSince.reset();
  } else if (!LogFreshSince) {
    LogFreshSince = now;
  }
  if (view.AbleServers > 0 || view.ShareBasisPoints == 0) {
    NoServerSince.reset();
  } else if (!NoServerSince) {
    NoServerSince = now;
  }
}

void MoveController::scheduleNextStep(TimePoint now, UtcTime utcNow,
                                      const MoveView &view) {
  const auto left =
      std::max(Duration::zero(), Duration(view.Deadline - utcNow));
  const auto reserve = std::clamp(scale(left, Settings.ReserveFraction),
                                  Settings.MinReserve, Settings.MaxReserve);
  const auto usable = std::max(Duration::zero(), left - reserve);
  const auto steps = static_cast<Duration::rep>(remainingSteps(SeenShare));
  const auto observation =
      std::min({scale(TotalTime, Settings.ObservationFraction),
                Settings.MaxObservation, usable / (steps + 1)});
  if (SeenShare == 0) {
    EvidenceTime = ForcedTime = now;
  } else if (steps == 0) {
    const auto least = scale(TotalTime, Settings.MinObservationFraction);
    EvidenceTime = now + std::max(least, observation);
    ForcedTime = now + std::max(least, usable);
  } else {
    const auto least = scale(TotalTime, Settings.MinDwellFraction);
    const auto slot = std::max(least, (usable - observation) / steps);
    ForcedTime = now + slot;
    EvidenceTime =
        now +
        std::max(least, std::min(scale(slot, Settings.EvidenceDwellFraction),
                                 Settings.MaxEvidenceDwell));
  }
}

std::string MoveController::reasonToTakeBack(TimePoint now, UtcTime utcNow,
                                             const MoveView &view) {
  if (view.TakenBack) {
    return "taken back by a safe step";
  }
  if (view.ShareBasisPoints > 0 && Test.assess().Result == TestVerdict::Bad) {
    return "the new version is worse than the old one";
  }
  if (utcNow >= view.Deadline) {
    return "the deadline passed before the move was done";
  }
  if (NoServerSince && now - *NoServerSince >= Settings.NoServerTimeout) {
    return "no server of the new version can take work";
  }
  return {};
}

void MoveController::takeBack(TimePoint now, const MoveView &view,
                              std::vector<MoveAction> &actions) {
  if (!TakenBackSince) {
    TakenBackSince = now;
  }
  HoldReason = EndReason;
  if (!view.TakenBack && tryEmit(ActionKind::TakeBack, now)) {
    actions.emplace_back(TakeBackNow{EndReason, EndEvidence});
  }
  // A take-back record is applied from any daemon. The other candidates wait
  // for the holder first, so that not all of them append it.
  const auto wait = view.HeldByThisDaemon
                        ? Duration::zero()
                        : Settings.RankDelay * (view.Rank + 1);
  if (view.LogAvailable && now - *TakenBackSince >= wait &&
      tryEmit(ActionKind::End, now)) {
    actions.emplace_back(AppendEnd{view.CurrentEpoch, MoveResult::TakenBack,
                                   EndReason, EndEvidence});
  }
}

void MoveController::tryTakeLease(TimePoint now, const MoveView &view,
                                  std::vector<MoveAction> &actions) {
  HoldReason = "this daemon does not hold the lease of the move";
  if (!LogFreshSince) {
    HoldReason = "the log is not available";
    return;
  }
  // The lease timeout runs only while the log is available: during an outage a
  // running holder cannot renew its lease either.
  auto since = std::max(*FirstTick, *LogFreshSince);
  auto wait = Settings.RankDelay * view.Rank;
  if (view.CurrentEpoch != Epoch::None) {
    since = std::max(since, view.HolderSeen.value_or(since));
    wait += Settings.LeaseTimeout;
  }
  if (now - since >= wait && tryEmit(ActionKind::Take, now)) {
    actions.emplace_back(TakeLease{view.CurrentEpoch});
  }
}

void MoveController::advance(TimePoint now, const MoveView &view,
                             std::vector<MoveAction> &actions) {
  if (view.LogAvailable &&
      (!view.HolderSeen || now - *view.HolderSeen >= Settings.RenewInterval) &&
      tryEmit(ActionKind::Renew, now)) {
    actions.emplace_back(RenewLease{view.CurrentEpoch});
  }
  HoldReason = reasonToHold(now, view);
  if (!HoldReason.empty()) {
    return;
  }
  if (remainingSteps(view.ShareBasisPoints) == 0) {
    if (tryEmit(ActionKind::End, now)) {
      actions.emplace_back(AppendEnd{view.CurrentEpoch, MoveResult::Done,
                                     "watched at the full share",
                                     Test.assess().Evidence});
    }
  } else if (tryEmit(ActionKind::Step, now)) {
    actions.emplace_back(AppendStep{view.CurrentEpoch,
                                    *std::upper_bound(Settings.Steps.begin(),
                                                      Settings.Steps.end(),
                                                      view.ShareBasisPoints)});
  }
}

std::string MoveController::reasonToHold(TimePoint now,
                                         const MoveView &view) const {
  if (!view.LogAvailable || !isFresh(now, view.LogRead)) {
    return "the log is not available";
  }
  // A holder that was paused must first see that it still holds the lease.
  if (!view.HolderSeen || now - *view.HolderSeen >= Settings.LeaseTimeout) {
    return "the renewal of the lease is not confirmed";
  }
  if (view.AbleServers == 0) {
    return "no server of the new version can take work";
  }
  if (view.ShareBasisPoints == 0) {
    return {};
  }
  if (!isFresh(now, view.CountsRead)) {
    return "the statistics are too old";
  }
  const auto assessment = Test.assess();
  const bool forced = now >= ForcedTime;
  if (assessment.Suspicion >
      (forced ? Settings.MaxForcedSuspicion : Settings.MaxSuspicion)) {
    return "evidence against the new version: " + assessment.Evidence;
  }
  const bool evident = assessment.Result == TestVerdict::Good &&
                       Test.callsSinceRestart() >= Settings.MinStepCalls;
  if (now < EvidenceTime || (!forced && !evident)) {
    return "collecting evidence";
  }
  return {};
}

bool MoveController::tryEmit(ActionKind kind, TimePoint now) {
  auto &last = Emitted[static_cast<std::size_t>(kind)];
  if (last && now - *last < Settings.RetryInterval) {
    return false;
  }
  last = now;
  return true;
}

std::size_t MoveController::remainingSteps(std::uint32_t share) const {
  return static_cast<std::size_t>(
      Settings.Steps.end() -
      std::upper_bound(Settings.Steps.begin(), Settings.Steps.end(), share));
}

bool MoveController::isFresh(TimePoint now,
                             const std::optional<TimePoint> &time) const {
  return time && now - *time <= Settings.MaxViewAge;
}

} // namespace chivefold
