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
      steps.push_back({digest, server, Duration::zero()});
    }
  }
  return steps;
}

bool PoisonTable::merge(const PoisonStep &step, TimePoint now) {
  const auto age = std::max(step.Age, Duration::zero());
  return age < QuarantineTime &&
         record(step.Digest, step.Server, now - age, now);
}

bool PoisonTable::record(RequestDigest digest, const Address &server,
                         TimePoint diedAt, TimePoint now) {
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

void PoisonTable::succeeded(RequestDigest digest, TimePoint now) {
  if (Entries.count(digest) != 0 && !quarantined(digest, now)) {
    erase(digest);
  }
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
