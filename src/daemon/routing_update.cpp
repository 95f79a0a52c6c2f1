#include "chivefold/daemon/routing_update.h"

namespace chivefold {
namespace {

bool same(const Candidate &a, const Candidate &b) {
  return a.Service == b.Service && a.ServiceVersion == b.ServiceVersion &&
         a.DataCentre == b.DataCentre && a.Alive == b.Alive &&
         a.Leaving == b.Leaving;
}

bool same(const VersionSplit &a, const VersionSplit &b) {
  return a.Current == b.Current && a.Next == b.Next &&
         a.ShareBasisPoints == b.ShareBasisPoints;
}

Candidate toCandidate(const Member &m) {
  Candidate c;
  c.Peer = m.Peer;
  c.DataCentre = m.DataCentre;
  c.Service = m.Service;
  c.ServiceVersion = m.ServiceVersion;
  // A suspect may only be slow; calls to it are judged by their own results.
  c.Alive = m.State == MemberState::Alive || m.State == MemberState::Suspect;
  c.Leaving = m.State == MemberState::Leaving;
  return c;
}

} // namespace

RoutingUpdate::RoutingUpdate(Router &router, const ControlState &state,
                             const SafeSteps &steps, const MemberTable &members)
    : Routes(router), State(state), Steps(steps), Members(members) {}

void RoutingUpdate::refresh() {
  refreshMembers();
  refreshSplits();
  refreshTakenOut();
}

void RoutingUpdate::refreshMembers() {
  if (MembersRevision == Members.revision()) {
    return;
  }
  MembersRevision = Members.revision();
  std::set<Address> present;
  for (const auto &it : Members.members()) {
    present.insert(it.Peer);
    auto candidate = toCandidate(it);
    const auto known = Known.find(it.Peer);
    if (known != Known.end() && same(known->second, candidate)) {
      continue;
    }
    Routes.update(candidate);
    Known[it.Peer] = std::move(candidate);
  }
  for (auto it = Known.begin(); it != Known.end();) {
    if (present.count(it->first) != 0) {
      ++it;
      continue;
    }
    Routes.remove(it->first);
    it = Known.erase(it);
  }
}

void RoutingUpdate::refreshSplits() {
  std::map<std::string, VersionSplit> splits;
  for (const auto &it : State.configuration()->Services) {
    VersionSplit split;
    split.Current = State.effectiveVersion(it.first);
    const auto *move = State.move(it.first);
    if (move != nullptr && !move->Ended) {
      split.Next = move->ToVersion;
      split.ShareBasisPoints = Steps.shareOf(it.first);
    }
    splits.emplace(it.first, split);
  }
  for (const auto &it : splits) {
    const auto known = Splits.find(it.first);
    if (known == Splits.end() || !same(known->second, it.second)) {
      Routes.setSplit(it.first, it.second);
    }
  }
  for (const auto &it : Splits) {
    if (splits.count(it.first) == 0) {
      Routes.removeService(it.first);
    }
  }
  Splits = std::move(splits);
}

void RoutingUpdate::refreshTakenOut() {
  std::vector<std::string> takenOut;
  for (const auto &it : State.configuration()->FleetSettings.DataCentres) {
    if (Steps.isTakenOut(it)) {
      takenOut.push_back(it);
    }
  }
  if (takenOut != TakenOut) {
    Routes.setTakenOut(takenOut);
    TakenOut = std::move(takenOut);
  }
}

} // namespace chivefold
