#include "chivefold/core/poison_table.h"

#include <algorithm>

namespace chivefold {
namespace {

constexpr std::size_t ServersToQuarantine = 2;
constexpr std::size_t CrashesToQuarantine = 3;

} // namespace

PoisonTable::PoisonTable(std::uint64_t seed) : Random(seed) {}

std::vector<PoisonUpdate>
PoisonTable::serverCrashed(const Address &server,
                           const std::vector<RequestDigest> &inFlight,
                           TimePoint at, CrashEvidence evidence) {
  std::vector<PoisonUpdate> updates;
  for (const auto digest : inFlight) {
    const auto id = static_cast<CrashId>(Random());
    const bool isSeen = evidence == CrashEvidence::Direct;
    if (recordCrash(digest, {server, at, id, evidence, isSeen}, at)) {
      advanceStage(id, Stage::Crashed);
      updates.push_back(
          {digest, server, Duration::zero(), false, id, MaxHops, evidence});
    }
  }
  return updates;
}

std::optional<PoisonUpdate> PoisonTable::merge(const PoisonUpdate &update,
                                               TimePoint now) {
  const auto age = std::max(update.Age, Duration::zero());
  const auto stage = update.Cleared ? Stage::Cleared : Stage::Crashed;
  if (age >= QuarantineTime || update.Id == CrashId::None ||
      !advanceStage(update.Id, stage)) {
    return std::nullopt;
  }
  if (update.Cleared) {
    recordAnswer(update.Digest, now - age);
    removeCrash(update.Digest, update.Id);
  } else if (!recordCrash(
                 update.Digest,
                 {update.Server, now - age, update.Id, update.Evidence, false},
                 now)) {
    return std::nullopt;
  }
  if (update.Hops == 0) {
    return std::nullopt;
  }
  auto forwarded = update;
  forwarded.Hops =
      static_cast<std::uint8_t>(std::min(update.Hops, MaxHops) - 1);
  return forwarded;
}

void PoisonTable::restore(const PoisonUpdate &crash, bool isOwn,
                          TimePoint now) {
  merge(crash, now);
  const auto it = Entries.find(crash.Digest);
  if (!isOwn || it == Entries.end()) {
    return;
  }
  for (auto &known : it->second.Crashes) {
    known.IsObserved = known.IsObserved || known.Id == crash.Id;
  }
}

// @return whether the stage of the crash advanced; a cleared crash stays
// cleared.
bool PoisonTable::advanceStage(CrashId id, Stage stage) {
  const auto [it, isNew] = KnownCrashes.emplace(id, stage);
  if (!isNew) {
    const bool isAdvance = it->second < stage;
    it->second = std::max(it->second, stage);
    return isAdvance;
  }
  KnownCrashOrder.push_back(id);
  if (KnownCrashOrder.size() > MaxKnownCrashes) {
    KnownCrashes.erase(KnownCrashOrder.front());
    KnownCrashOrder.pop_front();
  }
  return true;
}

// Ordinary requests that were in flight at one crash must not displace those of
// which more is known.
void PoisonTable::makeRoom() {
  const auto oldest =
      std::find_if(InsertionOrder.begin(), InsertionOrder.end(),
                   [this](RequestDigest digest) {
                     return Entries.at(digest).Crashes.size() <= 1;
                   });
  erase(oldest == InsertionOrder.end() ? InsertionOrder.front() : *oldest);
}

PoisonTable::Entry &PoisonTable::entryOf(RequestDigest digest) {
  const auto it = Entries.find(digest);
  if (it != Entries.end()) {
    return it->second;
  }
  if (Entries.size() >= MaxDigests) {
    makeRoom();
  }
  auto &entry = Entries[digest];
  entry.OrderPosition = InsertionOrder.insert(InsertionOrder.end(), digest);
  return entry;
}

bool PoisonTable::recordCrash(RequestDigest digest, const Crash &crash,
                              TimePoint now) {
  auto &crashes = entryOf(digest).Crashes;
  crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                               [now](const Crash &d) {
                                 return now - d.At >= QuarantineTime;
                               }),
                crashes.end());
  const auto known =
      std::find_if(crashes.begin(), crashes.end(), [&](const Crash &d) {
        return d.Server == crash.Server &&
               std::chrono::abs(d.At - crash.At) < SameCrashWindow;
      });
  if (known != crashes.end()) {
    known->Evidence = std::min(known->Evidence, crash.Evidence);
    return false;
  }
  if (crashes.size() >= MaxCrashesPerDigest) {
    return false;
  }
  crashes.push_back(crash);
  ++Revision;
  return true;
}

void PoisonTable::erase(RequestDigest digest) {
  const auto it = Entries.find(digest);
  const auto position = it->second.OrderPosition;
  ++Revision;
  Entries.erase(it);
  InsertionOrder.erase(position);
}

std::vector<PoisonUpdate> PoisonTable::requestAnswered(RequestDigest digest,
                                                       TimePoint now) {
  std::vector<PoisonUpdate> updates;
  if (quarantined(digest, now)) {
    return updates;
  }
  recordAnswer(digest, now);
  const auto it = Entries.find(digest);
  if (it == Entries.end()) {
    return updates;
  }
  for (const auto &crash : it->second.Crashes) {
    advanceStage(crash.Id, Stage::Cleared);
    updates.push_back({digest, crash.Server, Duration::zero(), true, crash.Id,
                       MaxHops, crash.Evidence});
  }
  erase(digest);
  return updates;
}

void PoisonTable::removeCrash(RequestDigest digest, CrashId id) {
  const auto it = Entries.find(digest);
  if (it == Entries.end()) {
    return;
  }
  auto &crashes = it->second.Crashes;
  crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                               [id](const Crash &d) { return d.Id == id; }),
                crashes.end());
  ++Revision;
  if (crashes.empty()) {
    erase(digest);
  }
}

void PoisonTable::recordAnswer(RequestDigest digest, TimePoint answeredAt) {
  auto &answer = RecentAnswers[static_cast<std::size_t>(digest) % MaxAnswers];
  if (answer.Digest != digest || answer.At < answeredAt) {
    answer = {digest, answeredAt};
  }
}

bool PoisonTable::wasRecentlyAnswered(RequestDigest digest,
                                      TimePoint now) const {
  const auto &answer =
      RecentAnswers[static_cast<std::size_t>(digest) % MaxAnswers];
  return answer.Digest == digest && answer.At != TimePoint{} &&
         now - answer.At < RecentAnswerWindow;
}

std::vector<PoisonUpdate> PoisonTable::select(std::size_t max, TimePoint now,
                                              const IsWanted &isWanted) const {
  std::vector<PoisonUpdate> all;
  for (const bool isRepeated : {true, false}) {
    for (auto it = InsertionOrder.rbegin(); it != InsertionOrder.rend(); ++it) {
      const auto &entry = Entries.at(*it);
      if ((entry.Crashes.size() > 1) != isRepeated) {
        continue;
      }
      for (const auto &crash : entry.Crashes) {
        if (all.size() >= max) {
          return all;
        }
        if (now - crash.At < QuarantineTime && isWanted(entry, crash)) {
          all.push_back({*it, crash.Server, now - crash.At, false, crash.Id, 0,
                         crash.Evidence});
        }
      }
    }
  }
  return all;
}

std::vector<PoisonUpdate> PoisonTable::activeCrashes(std::size_t max,
                                                     TimePoint now) const {
  return select(max, now, [](const Entry &entry, const Crash &crash) {
    return entry.Crashes.size() > 1 || crash.Evidence == CrashEvidence::Direct;
  });
}

std::vector<PoisonUpdate> PoisonTable::crashesToKeep(const Address &own,
                                                     std::size_t max,
                                                     TimePoint now) const {
  return select(max, now, [&own](const Entry &entry, const Crash &crash) {
    return crash.IsObserved ||
           std::any_of(entry.Crashes.begin(), entry.Crashes.end(),
                       [&own](const Crash &it) { return it.Server == own; });
  });
}

// Returns the servers of the crashes whose evidence is @p weakest or stronger.
std::vector<Address> PoisonTable::serversOf(const Entry &entry,
                                            CrashEvidence weakest) {
  std::vector<Address> servers;
  for (const auto &it : entry.Crashes) {
    if (it.Evidence <= weakest &&
        std::find(servers.begin(), servers.end(), it.Server) == servers.end()) {
      servers.push_back(it.Server);
    }
  }
  return servers;
}

std::vector<Address> PoisonTable::crashedServers(RequestDigest digest) const {
  const auto it = Entries.find(digest);
  return it == Entries.end() ? std::vector<Address>()
                             : serversOf(it->second, CrashEvidence::Inferred);
}

// Whether the crashes suffice for a quarantine.
bool PoisonTable::isDangerous(const Entry &entry) {
  return entry.Crashes.size() >= CrashesToQuarantine ||
         serversOf(entry, CrashEvidence::Direct).size() >= ServersToQuarantine;
}

std::optional<Duration> PoisonTable::quarantined(RequestDigest digest,
                                                 TimePoint now) const {
  const auto it = Entries.find(digest);
  if (it == Entries.end()) {
    return std::nullopt;
  }
  TimePoint until{};
  if (isDangerous(it->second)) {
    for (const auto &crash : it->second.Crashes) {
      until = std::max(until, crash.At + QuarantineTime);
    }
  }
  if (until <= now) {
    return std::nullopt;
  }
  return until - now;
}

std::size_t PoisonTable::size() const { return Entries.size(); }

} // namespace chivefold
