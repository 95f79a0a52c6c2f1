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
  const Waiting caller{waiter, bodyDigest};
  const auto it = Entries.find(key);
  if (it != Entries.end()) {
    return resume(it->second, key, holder, caller);
  }
  if (holder == ClaimHolder::Other) {
    return {waiter, ClaimAction::Forward, nullptr};
  }
  // A claim of this daemon without an entry was evicted and may have run.
  if (holder == ClaimHolder::Self || !makeRoom()) {
    return {waiter, ClaimAction::Unknown, nullptr};
  }
  auto &entry = Entries[key];
  entry.Age = Ages.insert(Ages.end(), key);
  return claim(entry, key, caller);
}

ClaimEffect ClaimTable::claim(Entry &entry, const KeyHash &key,
                              const Waiting &waiter) {
  entry.State = Phase::Pending;
  ToAppend.push_back(key);
  return join(entry, waiter);
}

ClaimEffect ClaimTable::join(Entry &entry, const Waiting &waiter) const {
  if (entry.Waiters.size() >= Limits.MaxWaiters) {
    return {waiter.Id, ClaimAction::Unknown, nullptr};
  }
  entry.Waiters.push_back(waiter);
  return {waiter.Id, ClaimAction::Wait, nullptr};
}

ClaimEffect ClaimTable::resume(Entry &entry, const KeyHash &key,
                               ClaimHolder holder, const Waiting &waiter) {
  switch (entry.State) {
  case Phase::Pending:
  case Phase::Appending:
    if (holder == ClaimHolder::Other) {
      return {waiter.Id, ClaimAction::Forward, nullptr};
    }
    return join(entry, waiter);
  case Phase::Lost:
  case Phase::Unused:
    if (holder == ClaimHolder::Other) {
      return {waiter.Id, ClaimAction::Forward, nullptr};
    }
    if (holder == ClaimHolder::None) {
      return claim(entry, key, waiter);
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
    return join(entry, waiter);
  }
  const bool isAnswered = entry.State == Phase::Answered;
  return {waiter.Id, isAnswered ? ClaimAction::Answer : ClaimAction::Unknown,
          entry.Response};
}

bool ClaimTable::makeRoom() {
  if (ToAppend.size() >= 2 * Limits.MaxEntries) {
    return false;
  }
  if (Entries.size() < Limits.MaxEntries) {
    return true;
  }
  for (const auto &key : Ages) {
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
  const auto age = it->second.Age;
  Entries.erase(it);
  Ages.erase(age);
}

std::vector<ClaimEffect>
ClaimTable::release(Entry &entry, ClaimAction action,
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
  if (!InAppend.empty()) {
    return {};
  }
  while (!ToAppend.empty() && InAppend.size() < Limits.MaxKeysPerRecord) {
    const auto key = ToAppend.front();
    ToAppend.pop_front();
    const auto it = Entries.find(key);
    if (it == Entries.end() || it->second.State != Phase::Pending) {
      continue;
    }
    if (it->second.Waiters.empty()) {
      erase(key); // Its callers are gone before anything was claimed.
      continue;
    }
    it->second.State = Phase::Appending;
    InAppend.push_back(key);
  }
  return InAppend;
}

void ClaimTable::appended() { InAppend.clear(); }

std::vector<ClaimEffect> ClaimTable::appendFailed(bool certain) {
  std::vector<ClaimEffect> effects;
  for (const auto &key : InAppend) {
    const auto it = Entries.find(key);
    if (it == Entries.end() || it->second.State != Phase::Appending) {
      continue; // Seen in the log before the failure was reported.
    }
    const auto released = release(it->second, ClaimAction::Unknown);
    effects.insert(effects.end(), released.begin(), released.end());
    // A key whose earlier append was lost may still be claimed by it; erasing
    // it then reads "outcome unknown", which is safe.
    if (certain) {
      erase(key);
    } else {
      it->second.State = Phase::Lost;
    }
  }
  InAppend.clear();
  return effects;
}

std::vector<ClaimEffect> ClaimTable::claimSeen(const KeyHash &key,
                                               ClaimHolder holder) {
  const auto it = Entries.find(key);
  if (it == Entries.end()) {
    return {};
  }
  auto &entry = it->second;
  if (entry.State != Phase::Pending && entry.State != Phase::Appending &&
      entry.State != Phase::Lost) {
    return {};
  }
  if (holder != ClaimHolder::Self) {
    auto effects = release(entry, ClaimAction::Forward);
    erase(key);
    return effects;
  }
  if (entry.Waiters.empty()) {
    entry.State = Phase::Unused;
    return {};
  }
  entry.State = Phase::Running;
  entry.BodyDigest = entry.Waiters.front().BodyDigest;
  std::vector<ClaimEffect> effects{
      {entry.Waiters.front().Id, ClaimAction::Run, nullptr}};
  std::vector<Waiting> joined;
  for (const auto &waiter : entry.Waiters) {
    if (waiter.BodyDigest == entry.BodyDigest) {
      joined.push_back(waiter);
    } else {
      effects.push_back({waiter.Id, ClaimAction::Conflict, nullptr});
    }
  }
  entry.Waiters = std::move(joined);
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
  auto effects = release(it->second, ClaimAction::Answer, shared);
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
  Responses.push_back(key);
  while (!Responses.empty() && (Responses.size() > Limits.MaxResponses ||
                                ResponseBytes > Limits.MaxTotalBytes)) {
    const auto oldest = Entries.find(Responses.front());
    Responses.pop_front();
    if (oldest != Entries.end() && oldest->second.Response != nullptr) {
      dropResponse(oldest->second);
      oldest->second.State = Phase::Unknown;
    }
  }
}

std::vector<ClaimEffect> ClaimTable::ended(const KeyHash &key,
                                           Outcome outcome) {
  const auto it = Entries.find(key);
  if (it == Entries.end() || it->second.State != Phase::Running) {
    return {};
  }
  auto &entry = it->second;
  if (outcome == Outcome::NotRun && !entry.AttemptMayHaveRun) {
    entry.State = Phase::Unused;
    return release(entry, ClaimAction::NotRun);
  }
  entry.State = Phase::Unknown;
  return release(entry, ClaimAction::Unknown);
}

void ClaimTable::forget(const KeyHash &key, WaiterId waiter) {
  const auto it = Entries.find(key);
  if (it == Entries.end()) {
    return;
  }
  auto &list = it->second.Waiters;
  list.erase(
      std::remove_if(list.begin(), list.end(),
                     [waiter](const Waiting &w) { return w.Id == waiter; }),
      list.end());
}

std::size_t ClaimTable::size() const { return Entries.size(); }

std::size_t ClaimTable::storedBytes() const { return ResponseBytes; }

} // namespace chivefold
