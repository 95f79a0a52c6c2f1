#include "chivefold/core/claim_table.h"

#include "chivefold/core/enum_names.h"

#include <algorithm>

namespace chivefold {
namespace {

constexpr EnumNames<ClaimAction, 7> ClaimActionNames{{{
    {ClaimAction::Wait, "wait"},
    {ClaimAction::Run, "run"},
    {ClaimAction::Answer, "answer"},
    {ClaimAction::Forward, "forward"},
    {ClaimAction::NotRun, "not-run"},
    {ClaimAction::Unknown, "unknown"},
    {ClaimAction::Conflict, "conflict"},
}}};

} // namespace

std::string_view claimActionName(ClaimAction a) {
  return ClaimActionNames.name(a);
}

std::size_t StoredResponse::bytes() const {
  std::size_t n = Body.size();
  for (const auto &it : Headers) {
    n += it.Name.size() + it.Value.size();
  }
  return n;
}

ClaimTable::ClaimTable(const ClaimLimits &limits) : Limits(limits) {}

ClaimEffect ClaimTable::request(const KeyHash &key, std::uint64_t bodyDigest,
                                ClaimHolder holder, WaiterId waiter) {
  const Waiter caller{waiter, bodyDigest};
  const auto it = Entries.find(key);
  if (it != Entries.end()) {
    return requestKnownKey(it->second, key, holder, caller);
  }
  if (holder == ClaimHolder::Other) {
    return {waiter, ClaimAction::Forward, nullptr};
  }
  // The entry of a claim that this daemon holds was evicted; the request may
  // have run.
  if (holder == ClaimHolder::Self || !ensureCapacity()) {
    return {waiter, ClaimAction::Unknown, nullptr};
  }
  auto &entry = Entries[key];
  entry.OrderPosition = InsertionOrder.insert(InsertionOrder.end(), key);
  return requestClaim(entry, key, caller);
}

ClaimEffect ClaimTable::requestClaim(Entry &entry, const KeyHash &key,
                                     const Waiter &waiter) {
  entry.State = Phase::Pending;
  AppendQueue.push_back(key);
  return addWaiter(entry, waiter);
}

ClaimEffect ClaimTable::addWaiter(Entry &entry, const Waiter &waiter) const {
  if (entry.Waiters.size() >= Limits.MaxWaiters) {
    return {waiter.Id, ClaimAction::Unknown, nullptr};
  }
  entry.Waiters.push_back(waiter);
  return {waiter.Id, ClaimAction::Wait, nullptr};
}

ClaimEffect ClaimTable::requestKnownKey(Entry &entry, const KeyHash &key,
                                        ClaimHolder holder,
                                        const Waiter &waiter) {
  switch (entry.State) {
  case Phase::Pending:
  case Phase::Appending:
    if (holder == ClaimHolder::Other) {
      return {waiter.Id, ClaimAction::Forward, nullptr};
    }
    return addWaiter(entry, waiter);
  case Phase::AppendUncertain:
  case Phase::Claimed:
    if (holder == ClaimHolder::Other) {
      return {waiter.Id, ClaimAction::Forward, nullptr};
    }
    if (holder == ClaimHolder::None) {
      return requestClaim(entry, key, waiter);
    }
    entry.State = Phase::Running;
    entry.BodyDigest = waiter.BodyDigest;
    entry.Waiters.push_back(waiter);
    return {waiter.Id, ClaimAction::Run, nullptr};
  case Phase::Running:
  case Phase::Answered:
  case Phase::Unknown:
    break;
  }
  if (entry.BodyDigest != waiter.BodyDigest) {
    return {waiter.Id, ClaimAction::Conflict, nullptr};
  }
  if (entry.State == Phase::Running) {
    return addWaiter(entry, waiter);
  }
  const bool isAnswered = entry.State == Phase::Answered;
  return {waiter.Id, isAnswered ? ClaimAction::Answer : ClaimAction::Unknown,
          entry.Response};
}

bool ClaimTable::ensureCapacity() {
  if (AppendQueue.size() >= 2 * Limits.MaxEntries) {
    return false;
  }
  if (Entries.size() < Limits.MaxEntries) {
    return true;
  }
  for (const auto &key : InsertionOrder) {
    const auto &entry = Entries.at(key);
    if (entry.State != Phase::Running && entry.Waiters.empty()) {
      erase(key);
      return true;
    }
  }
  return false;
}

void ClaimTable::dropResponse(Entry &entry) {
  if (entry.Response != nullptr) {
    ResponseBytes -= entry.Response->bytes();
    --ResponseCount;
    entry.Response.reset();
  }
}

void ClaimTable::erase(const KeyHash &key) {
  const auto it = Entries.find(key);
  dropResponse(it->second);
  const auto position = it->second.OrderPosition;
  Entries.erase(it);
  InsertionOrder.erase(position);
}

std::vector<ClaimEffect> ClaimTable::resolveWaiters(
    Entry &entry, ClaimAction action,
    const std::shared_ptr<const StoredResponse> &response) {
  std::vector<ClaimEffect> effects;
  effects.reserve(entry.Waiters.size());
  for (const auto &it : entry.Waiters) {
    effects.push_back({it.Id, action, response});
  }
  entry.Waiters.clear();
  return effects;
}

std::vector<KeyHash> ClaimTable::nextAppend() {
  if (!KeysInAppend.empty()) {
    return {};
  }
  while (!AppendQueue.empty() &&
         KeysInAppend.size() < Limits.MaxKeysPerRecord) {
    const auto key = AppendQueue.front();
    AppendQueue.pop_front();
    const auto it = Entries.find(key);
    if (it == Entries.end() || it->second.State != Phase::Pending) {
      continue;
    }
    if (it->second.Waiters.empty()) {
      erase(key); // All callers disconnected before the key was claimed.
      continue;
    }
    it->second.State = Phase::Appending;
    KeysInAppend.push_back(key);
  }
  return KeysInAppend;
}

void ClaimTable::appendAccepted() { KeysInAppend.clear(); }

std::vector<ClaimEffect> ClaimTable::appendFailed(bool certainlyNotInLog) {
  std::vector<ClaimEffect> effects;
  for (const auto &key : KeysInAppend) {
    const auto it = Entries.find(key);
    if (it == Entries.end() || it->second.State != Phase::Appending) {
      continue; // The claim was replayed before the failure was reported.
    }
    const auto released = resolveWaiters(it->second, ClaimAction::Unknown);
    effects.insert(effects.end(), released.begin(), released.end());
    // If the result of an earlier append of the key is unknown, that append may
    // still claim it. Requests with the erased key then get "outcome unknown",
    // which is safe.
    if (certainlyNotInLog) {
      erase(key);
    } else {
      it->second.State = Phase::AppendUncertain;
    }
  }
  KeysInAppend.clear();
  return effects;
}

std::vector<ClaimEffect> ClaimTable::claimReplayed(const KeyHash &key,
                                                   ClaimHolder holder) {
  const auto it = Entries.find(key);
  if (it == Entries.end()) {
    return {};
  }
  auto &entry = it->second;
  if (entry.State != Phase::Pending && entry.State != Phase::Appending &&
      entry.State != Phase::AppendUncertain) {
    return {};
  }
  if (holder != ClaimHolder::Self) {
    auto effects = resolveWaiters(entry, ClaimAction::Forward);
    erase(key);
    return effects;
  }
  if (entry.Waiters.empty()) {
    entry.State = Phase::Claimed;
    return {};
  }
  entry.State = Phase::Running;
  entry.BodyDigest = entry.Waiters.front().BodyDigest;
  std::vector<ClaimEffect> effects{
      {entry.Waiters.front().Id, ClaimAction::Run, nullptr}};
  std::vector<Waiter> sameBody;
  for (const auto &waiter : entry.Waiters) {
    if (waiter.BodyDigest == entry.BodyDigest) {
      sameBody.push_back(waiter);
    } else {
      effects.push_back({waiter.Id, ClaimAction::Conflict, nullptr});
    }
  }
  entry.Waiters = std::move(sameBody);
  return effects;
}

bool ClaimTable::attemptStarted(const KeyHash &key) {
  const auto it = Entries.find(key);
  if (it == Entries.end() || it->second.State != Phase::Running ||
      it->second.AttemptMayHaveRun) {
    return false;
  }
  it->second.AttemptMayHaveRun = true;
  return true;
}

void ClaimTable::attemptNotRun(const KeyHash &key) {
  const auto it = Entries.find(key);
  if (it != Entries.end() && it->second.State == Phase::Running) {
    it->second.AttemptMayHaveRun = false;
  }
}

std::vector<ClaimEffect> ClaimTable::answered(const KeyHash &key,
                                              StoredResponse response) {
  const auto it = Entries.find(key);
  if (it == Entries.end() || it->second.State != Phase::Running) {
    return {};
  }
  auto shared = std::make_shared<const StoredResponse>(std::move(response));
  auto effects = resolveWaiters(it->second, ClaimAction::Answer, shared);
  store(it->second, key, std::move(shared));
  return effects;
}

void ClaimTable::store(Entry &entry, const KeyHash &key,
                       std::shared_ptr<const StoredResponse> response) {
  entry.State = Phase::Unknown;
  if (response->bytes() > Limits.MaxResponseBytes) {
    return;
  }
  ResponseBytes += response->bytes();
  ++ResponseCount;
  entry.State = Phase::Answered;
  entry.Response = std::move(response);
  ResponseOrder.push_back(key);
  while (!ResponseOrder.empty() &&
         (ResponseOrder.size() > Limits.MaxResponses ||
          ResponseBytes > Limits.MaxTotalBytes)) {
    const auto oldest = Entries.find(ResponseOrder.front());
    ResponseOrder.pop_front();
    if (oldest != Entries.end() && oldest->second.Response != nullptr) {
      dropResponse(oldest->second);
      oldest->second.State = Phase::Unknown;
    }
  }
}

std::vector<ClaimEffect> ClaimTable::endedWithoutResponse(const KeyHash &key,
                                                          Outcome outcome) {
  const auto it = Entries.find(key);
  if (it == Entries.end() || it->second.State != Phase::Running) {
    return {};
  }
  auto &entry = it->second;
  if (outcome == Outcome::NotRun && !entry.AttemptMayHaveRun) {
    entry.State = Phase::Claimed;
    return resolveWaiters(entry, ClaimAction::NotRun);
  }
  entry.State = Phase::Unknown;
  return resolveWaiters(entry, ClaimAction::Unknown);
}

void ClaimTable::removeWaiter(const KeyHash &key, WaiterId waiter) {
  const auto it = Entries.find(key);
  if (it == Entries.end()) {
    return;
  }
  auto &list = it->second.Waiters;
  list.erase(
      std::remove_if(list.begin(), list.end(),
                     [waiter](const Waiter &w) { return w.Id == waiter; }),
      list.end());
}

std::size_t ClaimTable::size() const { return Entries.size(); }

std::size_t ClaimTable::storedBytes() const { return ResponseBytes; }

} // namespace chivefold
