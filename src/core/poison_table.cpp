#include "chivefold/core/poison_table.h"

#include <algorithm>

namespace chivefold {
namespace {

constexpr std::size_t CrashesToQuarantine = 2;

} // namespace

PoisonTable::PoisonTable(std::uint64_t seed) : Random(seed) {}

std::vector<PoisonUpdate>
PoisonTable::serverCrashed(const Address &server,
                           const std::vector<RequestDigest> &inFlight,
                           TimePoint now) {
  std::vector<PoisonUpdate> activeCrashes;
  for (const auto digest : inFlight) {
    const auto id = static_cast<CrashId>(Random());
    if (recordCrash(digest, {server, now, id}, now)) {
      advanceStage(id, Stage::Crashed);
      activeCrashes.push_back(
          {digest, server, Duration::zero(), false, id, MaxHops});
    }
  }
  return activeCrashes;
}

std::optional<PoisonUpdate> PoisonTable::merge(const PoisonUpdate &step,
                                               TimePoint now) {
  const auto age = std::max(step.Age, Duration::zero());
  const auto stage = step.Cleared ? Stage::Cleared : Stage::Crashed;
  if (age >= QuarantineTime || step.Id == CrashId::None ||
      !advanceStage(step.Id, stage)) {
    return std::nullopt;
  }
  if (step.Cleared) {
    recordAnswer(step.Digest, now - age);
    removeCrash(step.Digest, step.Id);
  } else if (!recordCrash(step.Digest, {step.Server, now - age, step.Id},
                          now)) {
    return std::nullopt;
  }
  if (step.Hops == 0) {
    return std::nullopt;
  }
  auto next = step;
  next.Hops = static_cast<std::uint8_t>(std::min(step.Hops, MaxHops) - 1);
  return next;
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

bool PoisonTable::recordCrash(RequestDigest digest, const Crash &crash,
                              TimePoint now) {
  auto it = Entries.find(digest);
  if (it == Entries.end()) {
    if (Entries.size() >= MaxDigests) {
      erase(InsertionOrder.front());
    }
    it = Entries.emplace(digest, Entry{}).first;
    it->second.Age = InsertionOrder.insert(InsertionOrder.end(), digest);
  }
  auto &crashes = it->second.Crashes;
  crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                               [now](const Crash &d) {
                                 return now - d.At >= QuarantineTime;
                               }),
                crashes.end());
  const bool isKnown =
      std::any_of(crashes.begin(), crashes.end(),
                  [&](const Crash &d) { return d.Server == crash.Server; });
  if (isKnown || crashes.size() >= MaxCrashesPerDigest) {
    return false;
  }
  crashes.push_back(crash);
  return true;
}

void PoisonTable::erase(RequestDigest digest) {
  const auto it = Entries.find(digest);
  const auto age = it->second.Age;
  Entries.erase(it);
  InsertionOrder.erase(age);
}

std::vector<PoisonUpdate> PoisonTable::requestAnswered(RequestDigest digest,
                                                       TimePoint now) {
  std::vector<PoisonUpdate> activeCrashes;
  if (quarantined(digest, now)) {
    return activeCrashes;
  }
  recordAnswer(digest, now);
  const auto it = Entries.find(digest);
  if (it == Entries.end()) {
    return activeCrashes;
  }
  for (const auto &crash : it->second.Crashes) {
    advanceStage(crash.Id, Stage::Cleared);
    activeCrashes.push_back(
        {digest, crash.Server, Duration::zero(), true, crash.Id, MaxHops});
  }
  erase(digest);
  return activeCrashes;
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

std::vector<PoisonUpdate> PoisonTable::activeCrashes(std::size_t max,
                                                     TimePoint now) const {
  std::vector<PoisonUpdate> all;
  for (auto it = InsertionOrder.rbegin(); it != InsertionOrder.rend(); ++it) {
    for (const auto &crash : Entries.at(*it).Crashes) {
      if (all.size() >= max) {
        return all;
      }
      if (now - crash.At < QuarantineTime) {
        all.push_back({*it, crash.Server, now - crash.At, false, crash.Id, 0});
      }
    }
  }
  return all;
}

std::optional<Duration> PoisonTable::quarantined(RequestDigest digest,
                                                 TimePoint now) const {
  const auto it = Entries.find(digest);
  if (it == Entries.end() || it->second.Crashes.size() < CrashesToQuarantine) {
    return std::nullopt;
  }
  const auto latest = std::max_element(
      it->second.Crashes.begin(), it->second.Crashes.end(),
      [](const Crash &a, const Crash &b) { return a.At < b.At; });
  const auto until = latest->At + QuarantineTime;
  if (until <= now) {
    return std::nullopt;
  }
  return until - now;
}

std::size_t PoisonTable::size() const { return Entries.size(); }

} // namespace chivefold
