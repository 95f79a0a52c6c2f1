#include "chivefold/mesh/attempt_age.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace chivefold {

namespace {

int rangeOf(std::int64_t remainingMs) {
  const auto ms = static_cast<double>(std::max<std::int64_t>(remainingMs, 1));
  return static_cast<int>(
      std::floor(std::log2(ms) * AttemptAgeEstimator::RangesPerDoubling));
}

} // namespace

// Misra-Gries summary: a value with more than one in MaxCounters + 1 of all
// occurrences always has a counter.
void AttemptAgeEstimator::countOccurrence(std::vector<Counter> &counters,
                                          std::int64_t remainingMs) {
  const auto it = std::find_if(
      counters.begin(), counters.end(),
      [remainingMs](const Counter &c) { return c.RemainingMs == remainingMs; });
  if (it != counters.end()) {
    if (++it->Count >= HalvingThreshold) {
      for (auto &c : counters) {
        c.Count /= 2;
      }
    }
    return;
  }
  if (counters.size() < MaxCounters) {
    counters.push_back({remainingMs, 1});
    return;
  }
  for (auto &c : counters) {
    c.Count -= std::min(c.Count, 1U);
  }
  counters.erase(std::remove_if(counters.begin(), counters.end(),
                                [](const Counter &c) { return c.Count == 0; }),
                 counters.end());
}

void AttemptAgeEstimator::countRange(RouteCounts &counts,
                                     std::int64_t remainingMs) {
  auto &range = counts.Ranges[rangeOf(remainingMs)];
  ++range.Count;
  range.SumMs += static_cast<double>(remainingMs);
  if (++counts.Attempts <= MaxBandAttempts) {
    return;
  }
  counts.Attempts /= 2;
  for (auto it = counts.Ranges.begin(); it != counts.Ranges.end();) {
    it->second.SumMs /= 2;
    it->second.Count /= 2;
    it = it->second.Count == 0 ? counts.Ranges.erase(it) : std::next(it);
  }
}

// Returns the age of an attempt by the band of first attempts, in ms; 0 if it
// may be one of them.
std::int64_t AttemptAgeEstimator::ageByBand(const RouteCounts &counts,
                                            std::int64_t remainingMs) {
  if (counts.Attempts < MinBandAttempts) {
    return 0;
  }
  const auto &ranges = counts.Ranges;
  const auto fullest = std::max_element(
      ranges.begin(), ranges.end(), [](const auto &a, const auto &b) {
        return a.second.Count < b.second.Count;
      });
  const auto isDense = [&](int range) {
    const auto it = ranges.find(range);
    return it != ranges.end() &&
           it->second.Count >= MinBandDensity * fullest->second.Count;
  };
  int lowest = fullest->first;
  for (; isDense(lowest - 1); --lowest) {
  }
  if (rangeOf(remainingMs) >= lowest) {
    return 0;
  }
  double sumMs = 0;
  double count = 0;
  for (int range = lowest; isDense(range); ++range) {
    sumMs += ranges.at(range).SumMs;
    count += ranges.at(range).Count;
  }
  return static_cast<std::int64_t>(sumMs / count) - remainingMs;
}

Duration AttemptAgeEstimator::recordAttempt(const std::string &route,
                                            Duration remainingTime) {
  if (Routes.size() >= MaxRoutes && Routes.count(route) == 0) {
    return {};
  }
  using std::chrono::milliseconds;
  const auto remainingMs =
      std::chrono::duration_cast<milliseconds>(remainingTime).count();
  auto &counts = Routes[route];
  auto &counters = counts.Values;
  countOccurrence(counters, remainingMs);
  countRange(counts, remainingMs);
  const auto mostFrequent = std::max_element(
      counters.begin(), counters.end(),
      [](const Counter &a, const Counter &b) { return a.Count < b.Count; });
  if (mostFrequent == counters.end() || mostFrequent->Count < MinOccurrences) {
    return milliseconds(ageByBand(counts, remainingMs));
  }
  return milliseconds(
      std::max<std::int64_t>(mostFrequent->RemainingMs - remainingMs, 0));
}

} // namespace chivefold
