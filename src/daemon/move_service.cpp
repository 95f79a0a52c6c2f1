#include "chivefold/daemon/move_service.h"

#include "chivefold/daemon/wire_convert.h"

#include <algorithm>

namespace chivefold {
MoveService::MoveService(Reactor &reactor, PeerNetwork &network,
                         MoveParts parts, const Settings &settings,
                         DaemonId self)
    : Loop(reactor), Network(network), Parts(parts), Own(settings),
      Self(std::move(self)) {}

MoveService::~MoveService() { Loop.cancel(Timer); }

void MoveService::start() { tick(); }

bool MoveService::isCandidate(const MoveState &move) const {
  return !move.Ended && move.ToVersion == Own.ServiceVersion &&
         Parts.Control.readiness().Ready;
}

void MoveService::tick() {
  Timer = Loop.schedule(Loop.now() + TickInterval, [this] { tick(); });
  const auto *found = Parts.State.move(Own.Service);
  if (found == nullptr || !isCandidate(*found)) {
    Controller.reset();
    Driven = Version::None;
    Stats.clear();
    Parts.Control.setFollowing(false);
    return;
  }
  const auto move = *found;
  if (!Controller || Driven != move.Move) {
    Controller.emplace(MoveSettings());
    Driven = move.Move;
    recordsApplied();
  }
  collect();
  const auto seen = view(move);
  Parts.Control.setFollowing(mustFollowLog(seen));
  for (const auto &it : Controller->tick(Loop.now(), Loop.utcNow(), seen)) {
    perform(move, it);
  }
}

void MoveService::recordsApplied() {
  const auto *lease = Parts.State.lease(Own.Service);
  if (lease != nullptr && lease->LastOffset != SeenLease) {
    SeenLease = lease->LastOffset;
    HolderSeen = Loop.now();
  }
}

void MoveService::collect() {
  for (auto &it : Stats) {
    it.second.Live = false;
  }
  for (const auto &it : Parts.Members.members()) {
    if (it.Service != Own.Service || it.State != MemberState::Alive) {
      continue;
    }
    const auto known = Stats.find({it.Peer, it.BootId});
    if (known != Stats.end()) {
      known->second.Live = true;
    }
    collectFrom(it);
  }
}

void MoveService::collectFrom(const Member &member) {
  const auto sentAt = Loop.now();
  const std::pair<Address, std::uint64_t> gate{member.Peer, member.BootId};
  if (member.Peer == Self.Peer) {
    Stats[gate] = {Own.ServiceVersion, Parts.Gate.counts(), sentAt, true};
    return;
  }
  wire::StatsRequestT request;
  request.service = Own.Service;
  Network.request(
      member.Peer, frameBody(std::move(request)), sentAt + StatsTimeout,
      [this, gate, version = member.ServiceVersion,
       sentAt](const PeerOutcome &outcome) {
        const auto *answer =
            outcome.Answer ? outcome.Answer->AsStatsAnswer() : nullptr;
        if (answer == nullptr || Driven == Version::None) {
          return;
        }
        Stats[gate] = {version, statsFromWire(answer->stats), sentAt, true};
      });
}

void MoveService::onStatsRequest(const wire::StatsRequestT &request,
                                 const PeerResponder &respond) const {
  wire::StatsAnswerT answer;
  if (request.service == Own.Service) {
    answer.stats = statsToWire(Parts.Gate.counts(), Own.ServiceVersion);
  }
  if (respond) {
    respond(frameBody(std::move(answer)));
  }
}

void MoveService::addCounts(const MoveState &move, MoveView &view) const {
  KindSums oldSums;
  KindSums newSums;
  for (const auto &it : Stats) {
    const bool isNew = it.second.ServiceVersion == move.ToVersion;
    (isNew ? newSums : oldSums).add(it.second.Counts);
    if (it.second.Live &&
        (!view.CountsRead || it.second.ReadAt < *view.CountsRead)) {
      view.CountsRead = it.second.ReadAt;
    }
  }
  view.OldCounts = oldSums.all();
  view.NewCounts = newSums.all();
}

unsigned MoveService::rank(const MoveState &move) const {
  const auto weight = [&move](const Address &a) {
    return hash64(toString(a), raw(move.Move));
  };
  unsigned before = 0;
  for (const auto &it : Parts.Members.members()) {
    const bool candidate = it.Service == Own.Service &&
                           it.ServiceVersion == move.ToVersion &&
                           it.State == MemberState::Alive;
    if (candidate && weight(it.Peer) > weight(Self.Peer)) {
      ++before;
    }
  }
  return before;
}

bool MoveService::isTakenBack(const MoveState &move) const {
  const auto steps = Parts.Steps.steps();
  return std::any_of(steps.begin(), steps.end(), [&move](const SafeStep &s) {
    return s.Kind == SafeStepKind::TakeBack && s.Subject == move.Service &&
           s.Move == move.Move;
  });
}

bool MoveService::mustFollowLog(const MoveView &view) const {
  const bool holderSilent =
      !HolderSeen || Loop.now() - *HolderSeen > HolderSilence;
  return view.HeldByThisDaemon || view.Rank < FollowingRanks || holderSilent;
}

MoveView MoveService::view(const MoveState &move) const {
  MoveView view;
  view.Move = move.Move;
  view.Deadline = move.Deadline;
  view.ShareBasisPoints = move.ShareBasisPoints;
  if (const auto *lease = Parts.State.lease(Own.Service)) {
    view.CurrentEpoch = lease->LeaseEpoch;
    view.HeldByThisDaemon = lease->Holder == Self;
  }
  view.HolderSeen = HolderSeen;
  view.Rank = rank(move);
  addCounts(move, view);
  for (const auto &it : Parts.Members.members()) {
    if (it.Service == Own.Service && it.ServiceVersion == move.ToVersion &&
        it.State == MemberState::Alive) {
      ++view.AbleServers;
    }
  }
  view.LogAvailable = Parts.Control.logStatus().Available;
  view.LogRead = Parts.Control.logStatus().ReadAt;
  view.TakenBack = isTakenBack(move);
  view.Ended = move.Ended;
  return view;
}

void MoveService::append(RecordBody body, std::string_view what) {
  Parts.Control.append(
      std::move(body), AppendTimeout,
      [this, what](const Result<LogOffset> &offset, bool /*maybe*/) {
        if (offset) {
          Parts.Control.catchUp(*offset);
          Lines.debug("record appended",
                      {{"record", what}, {"offset", raw(*offset)}});
        } else {
          Lines.warn("record not appended",
                     {{"record", what}, {"reason", toString(offset.reason())}});
        }
      });
}

void MoveService::perform(const MoveState &move, const MoveAction &action) {
  if (const auto *take = std::get_if<TakeLease>(&action)) {
    append(LeaseTakeRecord{move.Service, move.Move, Self, take->ExpectedEpoch},
           "lease");
  } else if (const auto *renew = std::get_if<RenewLease>(&action)) {
    append(LeaseTakeRecord{move.Service, move.Move, Self, renew->ExpectedEpoch},
           "lease");
  } else if (const auto *step = std::get_if<AppendStep>(&action)) {
    append(MoveStepRecord{move.Service, move.Move, step->LeaseEpoch,
                          step->ShareBasisPoints},
           "step");
  } else if (const auto *back = std::get_if<TakeBackNow>(&action)) {
    SafeStep safe;
    safe.Kind = SafeStepKind::TakeBack;
    safe.Subject = move.Service;
    safe.Move = move.Move;
    safe.Reason = back->Reason;
    Parts.Control.startStep(safe);
  } else if (const auto *end = std::get_if<AppendEnd>(&action)) {
    append(MoveEndRecord{move.Service, move.Move, end->LeaseEpoch, end->Result,
                         end->Reason, end->Evidence},
           "end");
  }
}

std::string MoveService::holdReason() const {
  return Controller ? Controller->holdReason() : std::string();
}

} // namespace chivefold
