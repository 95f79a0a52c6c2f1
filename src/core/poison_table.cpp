#include "chivefold/core/poison_table.h"

#include <algorithm>

namespace chivefold {
namespace {

constexpr std::size_t DeathsToQuarantine = 2;

} // namespace

std::vector<PoisonStep>
PoisonTable::serverDied(const Address &server,
                        const std::vector<RequestDigest> &inFlight,
                        TimePoint now) {
  std::vector<PoisonStep> steps;
  for (const auto digest : inFlight) {
    if (record(digest, server, now, now)) {
      steps.push_back({digest, server, Duration::zero(), false});
    }
  }
  return steps;
}

bool PoisonTable::merge(const PoisonStep &step, TimePoint now) {
  const auto age = std::max(step.Age, Duration::zero());
  if (age >= QuarantineTime) {
    return false;
  }
  return step.Cleared ? clear(step.Digest, now - age, now)
                      : record(step.Digest, step.Server, now - age, now);
}

bool PoisonTable::record(RequestDigest digest, const Address &server,
                         TimePoint diedAt, TimePoint now) {
  // A copy of a death that is still under way must not undo an answer.
  const auto answer = answeredAt(digest);
  if (answer && *answer > diedAt) {
    return false;
  }
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
                  [&](const Death &d) { return d.Server == server; });
  // A copy of a known step must not renew it, or it would circulate forever.
  if (isKnown || deaths.size() >= DeathsToQuarantine) {
    return false;
  }
  deaths.push_back({server, diedAt});
  return true;
}

void PoisonTable::erase(RequestDigest digest) {
  const auto it = Entries.find(digest);
  const auto age = it->second.Age;
  Entries.erase(it);
  Ages.erase(age);
}

std::optional<PoisonStep> PoisonTable::succeeded(RequestDigest digest,
                                                 TimePoint now) {
  const auto it = Entries.find(digest);
  const auto server = it != Entries.end() && !it->second.Deaths.empty()
                          ? it->second.Deaths.front().Server
                          : Address();
  if (!clear(digest, now, now)) {
    return std::nullopt;
  }
  return PoisonStep{digest, server, Duration::zero(), true};
}

bool PoisonTable::clear(RequestDigest digest, TimePoint answeredAt,
                        TimePoint now) {
  if (quarantined(digest, now)) {
    return false;
  }
  auto &answer = Answers[static_cast<std::size_t>(digest) % MaxAnswers];
  if (answer.Digest != digest || answer.At < answeredAt) {
    answer = {digest, answeredAt};
  }
  const auto it = Entries.find(digest);
  const auto isLater = [answeredAt](const Death &d) {
    return d.At > answeredAt;
  };
  if (it == Entries.end() || std::any_of(it->second.Deaths.begin(),
                                         it->second.Deaths.end(), isLater)) {
    return false;
  }
  erase(digest);
  return true;
}

std::optional<TimePoint> PoisonTable::answeredAt(RequestDigest digest) const {
  const auto &answer = Answers[static_cast<std::size_t>(digest) % MaxAnswers];
  return answer.Digest == digest && answer.At != TimePoint{}
             ? std::optional<TimePoint>(answer.At)
             : std::nullopt;
}

bool PoisonTable::isInnocent(RequestDigest digest, TimePoint now) const {
  const auto answer = answeredAt(digest);
  return answer && now - *answer < InnocentTime;
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
        all.push_back({*it, death.Server, now - death.At, false});
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
  const auto &deaths = it->second.Deaths;
  const auto until = std::max(deaths[0].At, deaths[1].At) + QuarantineTime;
  if (until <= now) {
    return std::nullopt;
  }
  return until - now;
}

std::size_t PoisonTable::size() const { return Entries.size(); }

} // namespace chivefold
