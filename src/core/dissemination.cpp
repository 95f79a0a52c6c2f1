#include "chivefold/core/dissemination.h"

#include <algorithm>

namespace chivefold {

Dissemination::Dissemination(ControlState &state, MemberTable &members)
    : State(state), Members(members), KnownTail(state.applied()) {}

AcceptResult Dissemination::accept(const std::vector<LogEntry> &records,
                                   const std::optional<Address> &from,
                                   TimePoint now) {
  std::vector<LogEntry> applied;
  for (const auto &it : records) {
    KnownTail = std::max(KnownTail, it.Offset);
    if (applyNext(it)) {
      applied.push_back(it);
      applyBuffered(applied);
    } else if (it.Offset > State.applied()) {
      bufferOutOfOrder(it);
    }
  }
  AcceptResult result;
  result.Applied = applied.size();
  const bool answer = FetchPeer && FetchPeer == from;
  if (!answer && StartupRecovery.ready()) {
    result.Pushes = makePushes(applied, from);
  }
  // If the answer had no new records, the fetch stays outstanding until its
  // deadline, when tick() asks another peer. Asking the same peer again would
  // loop.
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
  addRecent(entry);
  if (Observer) {
    Observer(entry);
  }
  return true;
}

void Dissemination::bufferOutOfOrder(const LogEntry &entry) {
  OutOfOrder.emplace(entry.Offset, entry);
  if (OutOfOrder.size() > DisseminationLimits::MaxOutOfOrderRecords) {
    OutOfOrder.erase(std::prev(OutOfOrder.end()));
  }
}

void Dissemination::applyBuffered(std::vector<LogEntry> &applied) {
  while (!OutOfOrder.empty() && OutOfOrder.begin()->first <= State.applied()) {
    OutOfOrder.erase(OutOfOrder.begin());
  }
  while (!OutOfOrder.empty() && applyNext(OutOfOrder.begin()->second)) {
    applied.push_back(std::move(OutOfOrder.begin()->second));
    OutOfOrder.erase(OutOfOrder.begin());
  }
}

void Dissemination::addRecent(const LogEntry &entry) {
  RecentRecords.push_back(entry);
  RecentBytes += entry.Bytes.size();
  while (RecentRecords.size() > DisseminationLimits::MaxRecentRecords ||
         RecentBytes > DisseminationLimits::MaxRecentBytes) {
    RecentBytes -= RecentRecords.front().Bytes.size();
    RecentRecords.pop_front();
  }
}

std::vector<Push>
Dissemination::makePushes(const std::vector<LogEntry> &records,
                          const std::optional<Address> &from) {
  std::vector<Push> pushes;
  std::vector<LogEntry> message;
  std::size_t bytes = 0;
  for (const auto &it : records) {
    bytes += it.Bytes.size();
    if (!message.empty() && bytes > DisseminationLimits::MaxMessageBytes) {
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

FetchResponse Dissemination::recordsAfter(LogOffset after) const {
  FetchResponse response;
  if (after >= State.applied()) {
    return response;
  }
  if (RecentRecords.empty() ||
      raw(RecentRecords.front().Offset) > raw(after) + 1) {
    response.SnapshotNeeded = true;
    return response;
  }
  // The offsets in RecentRecords are contiguous.
  const auto first = raw(after) + 1 - raw(RecentRecords.front().Offset);
  std::size_t bytes = 0;
  for (auto n = first; n < RecentRecords.size(); ++n) {
    bytes += RecentRecords[n].Bytes.size();
    if (n > first && bytes > DisseminationLimits::MaxMessageBytes) {
      break;
    }
    response.Records.push_back(RecentRecords[n]);
  }
  return response;
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
  RecentRecords.clear();
  RecentBytes = 0;
  FetchPeer.reset();
  std::vector<LogEntry> applied;
  applyBuffered(applied);
  return Done{};
}

Readiness Dissemination::readiness() {
  // Called several times a second. Counting members takes time proportional to
  // the fleet size, and a daemon that is ready stays ready.
  if (StartupRecovery.ready()) {
    return {true, {}};
  }
  return StartupRecovery.update({State.applied(), Members.aliveCount() - 1,
                                 Members.otherAliveDataCentreCount()});
}

} // namespace chivefold
