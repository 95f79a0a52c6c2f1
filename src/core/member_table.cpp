#include "chivefold/core/member_table.h"

#include "chivefold/core/enum_names.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chivefold {
namespace {

constexpr EnumNames<MemberState, 5> MemberStateNames{{{
    {MemberState::Alive, "alive"},
    {MemberState::Leaving, "leaving"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Unreachable, "unreachable"},
    {MemberState::Left, "left"},
}}};

bool isDead(MemberState s) { return s >= MemberState::Unreachable; }

std::uint64_t rendezvousWeight(const Member &m) {
  return hash64(toString(m.Peer), hash64(m.DataCentre));
}

/** @return whether @p update replaces @p known. */
bool supersedes(const Member &update, const Member &known) {
  if (update.Incarnation != known.Incarnation) {
    return update.Incarnation > known.Incarnation;
  }
  if (update.BootId != known.BootId) {
    return update.BootId > known.BootId;
  }
  return update.State > known.State;
}

} // namespace

std::string_view memberStateName(MemberState state) {
  return MemberStateNames.name(state);
}

std::optional<MemberState> memberStateFromName(std::string_view name) {
  return MemberStateNames.value(name);
}

MemberTable::MemberTable(Member self, std::uint64_t seed)
    : Self(std::move(self)), SelfRendezvousWeight(rendezvousWeight(Self)),
      Random(seed) {
  enqueueUpdate(Self.Peer);
}

void MemberTable::setFloor(LogOffset floor) {
  Self.Floor = std::max(Self.Floor, floor);
}

void MemberTable::updateSelf(std::string serviceVersion, MemberState state) {
  Self.ServiceVersion = std::move(serviceVersion);
  Self.State = state;
  ++Self.Incarnation;
  ++Revision;
  enqueueUpdate(Self.Peer);
}

bool MemberTable::merge(const Member &update, TimePoint now) {
  if (update.Peer == Self.Peer) {
    return mergeSelf(update);
  }
  const auto it = Members.find(update.Peer);
  if (it == Members.end()) {
    return insert(update, now);
  }
  auto &known = it->second.Value;
  known.Floor = std::max(known.Floor, update.Floor);
  if (!supersedes(update, known)) {
    return false;
  }
  applyUpdate(it->second, update, now);
  return true;
}

bool MemberTable::mergeSelf(const Member &update) {
  if (update.Incarnation < Self.Incarnation) {
    return false;
  }
  const bool isOwnUpdate = update.BootId == Self.BootId &&
                           update.Incarnation == Self.Incarnation &&
                           update.State <= Self.State;
  if (isOwnUpdate) {
    return false;
  }
  Self.Incarnation = update.Incarnation + 1;
  enqueueUpdate(Self.Peer);
  return true;
}

bool MemberTable::insert(const Member &update, TimePoint now) {
  if (Members.size() >= MembershipLimits::MaxMembers && !evictDead()) {
    return false;
  }
  auto &entry = Members[update.Peer];
  entry.Value.Floor = update.Floor;
  applyUpdate(entry, update, now);
  if (isDead(update.State)) {
    entry.FirstHeardDead = true;
    Updates.erase(update.Peer);
  }
  return true;
}

void MemberTable::applyUpdate(Entry &entry, const Member &update,
                              TimePoint now) {
  const auto floor = std::max(entry.Value.Floor, update.Floor);
  entry.Value = update;
  entry.Value.Floor = floor;
  entry.RendezvousWeight = rendezvousWeight(update);
  entry.FirstHeardDead = false;
  setState(entry, update.State, now);
  if (update.State == MemberState::Suspect) {
    suspect(entry, now);
  } else {
    enqueueUpdate(update.Peer);
  }
}

void MemberTable::setState(Entry &entry, MemberState state, TimePoint now) {
  ++Revision;
  entry.Value.State = state;
  entry.UnreachableLocally = false;
  entry.Deadline =
      now + (state == MemberState::Suspect ? MembershipLimits::SuspicionTimeout
                                           : MembershipLimits::DeadRetention);
}

std::optional<Member> MemberTable::mergeFromSender(const Member &sender,
                                                   TimePoint now) {
  if (merge(sender, now) || sender.Peer == Self.Peer) {
    return std::nullopt;
  }
  const auto it = Members.find(sender.Peer);
  if (it == Members.end()) {
    return std::nullopt;
  }
  const auto &known = it->second.Value;
  const bool sameRun =
      known.Incarnation == sender.Incarnation && known.BootId == sender.BootId;
  if (sameRun && it->second.UnreachableLocally) {
    setState(it->second, sender.State, now);
    return std::nullopt;
  }
  if (sameRun && known.State == sender.State) {
    return std::nullopt;
  }
  return known;
}

void MemberTable::probeFailed(const Address &target, TimePoint now) {
  const auto it = Members.find(target);
  if (it != Members.end() && it->second.Value.State < MemberState::Suspect) {
    suspect(it->second, now);
  }
}

void MemberTable::suspect(Entry &entry, TimePoint now) {
  setState(entry, MemberState::Suspect, now);
  if (isMassSuspicion(entry.Value.DataCentre, now)) {
    markMassUnreachable(entry.Value.DataCentre, now);
  } else {
    enqueueUpdate(entry.Value.Peer);
  }
}

bool MemberTable::isMassSuspicion(const std::string &dataCentre,
                                  TimePoint now) {
  auto &times = Suspicions[dataCentre];
  times.push_back(now);
  while (times.front() + MembershipLimits::MassSuspicionWindow < now ||
         times.size() > MembershipLimits::MaxMembers) {
    times.pop_front();
  }
  const auto size =
      std::count_if(Members.begin(), Members.end(), [&](const auto &it) {
        const auto &entry = it.second;
        return entry.Value.DataCentre == dataCentre &&
               (entry.UnreachableLocally || !isDead(entry.Value.State));
      });
  return times.size() >= MembershipLimits::MassSuspicionMinimum &&
         times.size() * 4 > static_cast<std::size_t>(size);
}

void MemberTable::markMassUnreachable(const std::string &dataCentre,
                                      TimePoint now) {
  for (auto &it : Members) {
    auto &entry = it.second;
    if (entry.Value.DataCentre == dataCentre &&
        entry.Value.State == MemberState::Suspect) {
      setState(entry, MemberState::Unreachable, now);
      entry.UnreachableLocally = true;
      Updates.erase(it.first);
    }
  }
}

void MemberTable::tick(TimePoint now) {
  for (auto it = Members.begin(); it != Members.end();) {
    auto &entry = it->second;
    const bool expired = entry.Deadline <= now;
    if (expired && isDead(entry.Value.State)) {
      Updates.erase(it->first);
      it = Members.erase(it);
      ++Revision;
      continue;
    }
    if (expired && entry.Value.State == MemberState::Suspect) {
      setState(entry, MemberState::Unreachable, now);
      enqueueUpdate(it->first);
    }
    ++it;
  }
  for (auto it = Suspicions.begin(); it != Suspicions.end();) {
    const bool old =
        it->second.back() + MembershipLimits::MassSuspicionWindow < now;
    it = old ? Suspicions.erase(it) : std::next(it);
  }
}

bool MemberTable::evictDead() {
  auto oldest = Members.end();
  for (auto it = Members.begin(); it != Members.end(); ++it) {
    if (isDead(it->second.Value.State) &&
        (oldest == Members.end() ||
         it->second.Deadline < oldest->second.Deadline)) {
      oldest = it;
    }
  }
  if (oldest == Members.end()) {
    return false;
  }
  Updates.erase(oldest->first);
  Members.erase(oldest);
  ++Revision;
  return true;
}

const Member *MemberTable::find(const Address &address) const {
  if (address == Self.Peer) {
    return &Self;
  }
  const auto it = Members.find(address);
  return it == Members.end() ? nullptr : &it->second.Value;
}

std::vector<Member> MemberTable::members() const {
  std::vector<Member> all{Self};
  for (const auto &it : Members) {
    if (!it.second.FirstHeardDead) {
      all.push_back(it.second.Value);
    }
  }
  std::sort(all.begin(), all.end(),
            [](const Member &a, const Member &b) { return a.Peer < b.Peer; });
  return all;
}

std::size_t MemberTable::aliveCount() const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 Members.begin(), Members.end(), [](const auto &it) {
                   return it.second.Value.State == MemberState::Alive;
                 }));
}

std::size_t MemberTable::otherAliveDataCentreCount() const {
  std::set<std::string_view> names;
  for (const auto *it : aliveOthers()) {
    names.insert(it->DataCentre);
  }
  return names.size();
}

LogOffset MemberTable::floorOf(const Address &address) const {
  const auto *m = find(address);
  return m == nullptr ? LogOffset::None : m->Floor;
}

} // namespace chivefold
