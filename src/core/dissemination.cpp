#include "chivefold/core/dissemination.h"

#include <algorithm>

namespace chivefold {

Dissemination::Dissemination(ControlState &state, MemberTable &members)
    : State(state), Members(members), KnownTail(state.applied()) {}

Accepted Dissemination::accept(const std::vector<LogEntry> &records,
                               const std::optional<Address> &from,
                               TimePoint now) {
  std::vector<LogEntry> applied;
  for (const auto &it : records) {
    KnownTail = std::max(KnownTail, it.Offset);
    if (applyNext(it)) {
      applied.push_back(it);
      applyHeld(applied);
    } else if (it.Offset > State.applied()) {
      hold(it);
    }
  }
  Accepted result;
  result.Applied = applied.size();
  const bool answer = FetchPeer && FetchPeer == from;
  if (!answer && Starting.ready()) {
    result.Pushes = pushesOf(applied, from);
  }
  // An answer without progress leaves the deadline to tick(), which asks
  // another peer; asking the same one again would loop.
  if (answer && !applied.empty()) {
    FetchPeer.reset();
  }
  if (State.applied() < KnownTail) {
    result.Next = from ? fetchFrom(*from, now) : fetchFromAny(now);
  }
  return result;
}

bool Dissemination::applyNext(const LogEntry &entry) {
  if (raw(entry.Offset) != raw(State.applied()) + 1 || !State.apply(entry)) {
    return false;
  }
  Members.setFloor(State.applied());
  remember(entry);
  if (Observer) {
    Observer(entry);
  }
  return true;
}

void Dissemination::hold(const LogEntry &entry) {
  Held.emplace(entry.Offset, entry);
  if (Held.size() > DisseminationLimits::HeldRecords) {
    Held.erase(std::prev(Held.end()));
  }
}

void Dissemination::applyHeld(std::vector<LogEntry> &applied) {
  while (!Held.empty() && Held.begin()->first <= State.applied()) {
    Held.erase(Held.begin());
  }
  while (!Held.empty() && applyNext(Held.begin()->second)) {
    applied.push_back(std::move(Held.begin()->second));
    Held.erase(Held.begin());
  }
}

void Dissemination::remember(const LogEntry &entry) {
  Ring.push_back(entry);
  RingBytes += entry.Bytes.size();
  while (Ring.size() > DisseminationLimits::RingRecords ||
         RingBytes > DisseminationLimits::RingBytes) {
    RingBytes -= Ring.front().Bytes.size();
    Ring.pop_front();
  }
}

std::vector<Push> Dissemination::pushesOf(const std::vector<LogEntry> &records,
                                          const std::optional<Address> &from) {
  std::vector<Push> pushes;
  std::vector<LogEntry> message;
  std::size_t bytes = 0;
  for (const auto &it : records) {
    bytes += it.Bytes.size();
    if (!message.empty() && bytes > DisseminationLimits::MessageBytes) {
      break;
    }
    message.push_back(it);
  }
  if (message.empty()) {
    return pushes;
  }
  for (auto &it : Members.randomPeers(DisseminationLimits::Fanout, true)) {
    if (it != from) {
      pushes.push_back({std::move(it), message});
    }
  }
  return pushes;
}

std::optional<Fetch> Dissemination::fetchFrom(const Address &peer,
                                              TimePoint now) {
  if (FetchPeer && now < FetchDeadline) {
    return std::nullopt;
  }
  FetchPeer = peer;
  FetchDeadline = now + DisseminationLimits::FetchTimeout;
  return Fetch{peer, State.applied()};
}

std::optional<Fetch> Dissemination::fetchFromAny(TimePoint now) {
  const auto peers = Members.randomPeers(1, false);
  return peers.empty() ? std::nullopt : fetchFrom(peers.front(), now);
}

std::optional<Fetch> Dissemination::peerApplied(const Address &peer,
                                                LogOffset applied,
                                                TimePoint now) {
  KnownTail = std::max(KnownTail, applied);
  return applied > State.applied() ? fetchFrom(peer, now) : std::nullopt;
}

std::optional<Fetch> Dissemination::tick(TimePoint now) {
  if (State.applied() >= KnownTail) {
    FetchPeer.reset();
    return std::nullopt;
  }
  return fetchFromAny(now);
}

Served Dissemination::serve(LogOffset after) const {
  Served served;
  if (after >= State.applied()) {
    return served;
  }
  if (Ring.empty() || raw(Ring.front().Offset) > raw(after) + 1) {
    served.SnapshotNeeded = true;
    return served;
  }
  // Offsets in the ring have no gaps.
  const auto first = raw(after) + 1 - raw(Ring.front().Offset);
  std::size_t bytes = 0;
  for (auto n = first; n < Ring.size(); ++n) {
    bytes += Ring[n].Bytes.size();
    if (n > first && bytes > DisseminationLimits::MessageBytes) {
      break;
    }
    served.Records.push_back(Ring[n]);
  }
  return served;
}

Status Dissemination::installSnapshot(std::string_view bytes) {
  auto state = ControlState::decodeSnapshot(bytes);
  if (!state) {
    return state.reason();
  }
  return installState(std::move(*state));
}

Status Dissemination::installState(ControlState state) {
  if (state.applied() <= State.applied() || state.version() < State.version()) {
    return Reason{ErrorCode::Conflict, "snapshot is not newer than the state"};
  }
  State = std::move(state);
  KnownTail = std::max(KnownTail, State.applied());
  Members.setFloor(State.applied());
  Ring.clear();
  RingBytes = 0;
  FetchPeer.reset();
  std::vector<LogEntry> applied;
  applyHeld(applied);
  return Done{};
}

Readiness Dissemination::readiness() {
  // Asked several times a second; the view costs time in proportion to the
  // fleet, and a daemon that is ready stays so.
  if (Starting.ready()) {
    return {true, {}};
  }
  return Starting.update({State.applied(), Members.aliveCount() - 1,
                          Members.otherAliveDataCentres()});
}

} // namespace chivefold
