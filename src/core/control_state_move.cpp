// Applies lease, step and end records of moves.
#include "chivefold/core/control_state.h"

namespace chivefold {

MoveState *ControlState::runningMove(const std::string &service, Version move) {
  const auto it = Moves.find(service);
  const bool running =
      it != Moves.end() && it->second.Move == move && !it->second.Ended;
  return running ? &it->second : nullptr;
}

Verdict ControlState::applyBody(const RecordContext &context,
                                const LeaseTakeRecord &r) {
  if (runningMove(r.Service, r.Move) == nullptr) {
    return Verdict(VerdictKind::Unknown);
  }
  const auto it = Leases.find(r.Service);
  const auto current = it == Leases.end() ? Epoch::None : it->second.LeaseEpoch;
  if (r.ExpectedEpoch != current) {
    return Verdict(VerdictKind::StaleEpoch);
  }
  if (it != Leases.end() && it->second.Holder == r.Holder) {
    it->second.LastOffset = context.Offset;
    return {};
  }
  Leases[r.Service] = {r.Service, r.Move, r.Holder, context.Offset,
                       context.Offset};
  return {};
}

Verdict ControlState::applyBody(const RecordContext &context,
                                const MoveStepRecord &r) {
  auto *m = runningMove(r.Service, r.Move);
  if (m == nullptr ||
      r.ShareBasisPoints > ControlStateLimits::FullShareBasisPoints) {
    return Verdict(VerdictKind::Unknown);
  }
  const auto it = Leases.find(r.Service);
  if (it == Leases.end() || it->second.LeaseEpoch != r.LeaseEpoch) {
    return Verdict(VerdictKind::StaleEpoch);
  }
  it->second.LastOffset = context.Offset;
  m->ShareBasisPoints = r.ShareBasisPoints;
  m->StepOffset = context.Offset;
  return {};
}

Verdict ControlState::applyBody(const RecordContext &context,
                                const MoveEndRecord &r) {
  auto *m = runningMove(r.Service, r.Move);
  if (m == nullptr) {
    return Verdict(VerdictKind::Unknown);
  }
  if (r.Result == MoveResult::Done) {
    const auto it = Leases.find(r.Service);
    if (it == Leases.end() || it->second.LeaseEpoch != r.LeaseEpoch) {
      return Verdict(VerdictKind::StaleEpoch);
    }
    Overrides[r.Service] = {m->ToVersion, context.Offset};
  }
  endMove(*m, context.Offset, r.Result, r.Reason);
  m->Evidence = r.Evidence.substr(0, ControlStateLimits::MaxEvidenceBytes);
  return {};
}

void ControlState::endMove(MoveState &move, LogOffset at, MoveResult result,
                           const std::string &reason) {
  move.Ended = true;
  move.Result = result;
  move.EndOffset = at;
  move.Reason = reason.substr(0, ControlStateLimits::MaxReasonBytes);
  if (result == MoveResult::TakenBack) {
    move.ShareBasisPoints = 0;
  }
  Leases.erase(move.Service);
}

} // namespace chivefold
