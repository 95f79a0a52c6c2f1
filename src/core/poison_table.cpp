#include "chivefold/core/poison_table.h"

#include <algorithm>

namespace chivefold {
namespace {

constexpr std::size_t DeathsToQuarantine = 2;

} // namespace

PoisonTable::PoisonTable(std::uint64_t seed) : Random(seed) {}

std::vector<PoisonStep>
PoisonTable::serverDied(const Address &server,
                        const std::vector<RequestDigest> &inFlight,
                        TimePoint now) {
  std::vector<PoisonStep> steps;
  for (const auto digest : inFlight) {
    const auto id = static_cast<DeathId>(Random());
    if (record(digest, {server, now, id}, now)) {
      advance(id, Stage::Died);
      steps.push_back({digest, server, Duration::zero(), false, id, MaxHops});
    }
  }
  return steps;
}

std::optional<PoisonStep> PoisonTable::merge(const PoisonStep &step,
                                             TimePoint now) {
  const auto age = std::max(step.Age, Duration::zero());
  const auto stage = step.Cleared ? Stage::Cleared : Stage::Died;
  if (age >= QuarantineTime || step.Id == DeathId::None ||
      !advance(step.Id, stage)) {
    return std::nullopt;
  }
  if (step.Cleared) {
    noteAnswer(step.Digest, now - age);
    clear(step.Digest, step.Id);
  } else if (!record(step.Digest, {step.Server, now - age, step.Id}, now)) {
    return std::nullopt;
  }
  if (step.Hops == 0) {
    return std::nullopt;
  }
  auto next = step;
  next.Hops = static_cast<std::uint8_t>(std::min(step.Hops, MaxHops) - 1);
  return next;
}

// @return whether this is news of the death; its clearing is final.
bool PoisonTable::advance(DeathId id, Stage stage) {
  const auto [it, isNew] = Seen.emplace(id, stage);
  if (!isNew) {
    const bool further = it->second < stage;
    it->second = std::max(it->second, stage);
    return further;
  }
  SeenOrder.push_back(id);
  if (SeenOrder.size() > MaxSeen) {
    Seen.erase(SeenOrder.front());
    SeenOrder.pop_front();
  }
  return true;
}

bool PoisonTable::record(RequestDigest digest, const Death &death,
                         TimePoint now) {
  auto it = Entries.find(digest);
  if (it == Entries.end()) {
    if (Entries.size() >= MaxDigests) {
      erase(Ages.front());
    }
    it = Entries.emplace(digest, Entry{}).first;
    it->second.Age = Ages.insert(Ages.end(), digest);
  }
  auto &deaths = it->second.Deaths;
  deaths.erase(std::remove_if(deaths.begin(), deaths.end(),
                              [now](const Death &d) {
                                return now - d.At >= QuarantineTime;
                              }),
               deaths.end());
  const bool isKnown =
      std::any_of(deaths.begin(), deaths.end(),
                  [&](const Death &d) { return d.Server == death.Server; });
  if (isKnown || deaths.size() >= MaxDeaths) {
    return false;
  }
  deaths.push_back(death);
  return true;
}

void PoisonTable::erase(RequestDigest digest) {
  const auto it = Entries.find(digest);
  const auto age = it->second.Age;
  Entries.erase(it);
  Ages.erase(age);
}

std::vector<PoisonStep> PoisonTable::succeeded(RequestDigest digest,
                                               TimePoint now) {
  std::vector<PoisonStep> steps;
  if (quarantined(digest, now)) {
    return steps;
  }
  noteAnswer(digest, now);
  const auto it = Entries.find(digest);
  if (it == Entries.end()) {
    return steps;
  }
  for (const auto &death : it->second.Deaths) {
    advance(death.Id, Stage::Cleared);
    steps.push_back(
        {digest, death.Server, Duration::zero(), true, death.Id, MaxHops});
  }
  erase(digest);
  return steps;
}

void PoisonTable::clear(RequestDigest digest, DeathId id) {
  const auto it = Entries.find(digest);
  if (it == Entries.end()) {
    return;
  }
  auto &deaths = it->second.Deaths;
  deaths.erase(std::remove_if(deaths.begin(), deaths.end(),
                              [id](const Death &d) { return d.Id == id; }),
               deaths.end());
  if (deaths.empty()) {
    erase(digest);
  }
}

void PoisonTable::noteAnswer(RequestDigest digest, TimePoint answeredAt) {
  auto &answer = Answers[static_cast<std::size_t>(digest) % MaxAnswers];
  if (answer.Digest != digest || answer.At < answeredAt) {
    answer = {digest, answeredAt};
  }
}

bool PoisonTable::isInnocent(RequestDigest digest, TimePoint now) const {
  const auto &answer = Answers[static_cast<std::size_t>(digest) % MaxAnswers];
  return answer.Digest == digest && answer.At != TimePoint{} &&
         now - answer.At < InnocentTime;
}

std::vector<PoisonStep> PoisonTable::steps(std::size_t max,
                                           TimePoint now) const {
  std::vector<PoisonStep> all;
  for (auto it = Ages.rbegin(); it != Ages.rend(); ++it) {
    for (const auto &death : Entries.at(*it).Deaths) {
      if (all.size() >= max) {
        return all;
      }
      if (now - death.At < QuarantineTime) {
        all.push_back({*it, death.Server, now - death.At, false, death.Id, 0});
      }
    }
  }
  return all;
}

std::optional<Duration> PoisonTable::quarantined(RequestDigest digest,
                                                 TimePoint now) const {
  const auto it = Entries.find(digest);
  if (it == Entries.end() || it->second.Deaths.size() < DeathsToQuarantine) {
    return std::nullopt;
  }
  const auto latest = std::max_element(
      it->second.Deaths.begin(), it->second.Deaths.end(),
      [](const Death &a, const Death &b) { return a.At < b.At; });
  const auto until = latest->At + QuarantineTime;
  if (until <= now) {
    return std::nullopt;
  }
  return until - now;
}

std::size_t PoisonTable::size() const { return Entries.size(); }

} // namespace chivefold
