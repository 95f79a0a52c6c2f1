#include "chivefold/mesh/attempt_age.h"

#include <algorithm>

namespace chivefold {

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

Duration AttemptAgeEstimator::recordAttempt(const std::string &route,
                                            Duration remainingTime) {
  if (Routes.size() >= MaxRoutes && Routes.count(route) == 0) {
    return {};
  }
  using std::chrono::milliseconds;
  const auto remainingMs =
      std::chrono::duration_cast<milliseconds>(remainingTime).count();
  auto &counters = Routes[route];
  countOccurrence(counters, remainingMs);
  const auto mostFrequent = std::max_element(
      counters.begin(), counters.end(),
      [](const Counter &a, const Counter &b) { return a.Count < b.Count; });
  if (mostFrequent == counters.end() || mostFrequent->Count < MinOccurrences) {
    return {};
  }
  return milliseconds(
      std::max<std::int64_t>(mostFrequent->RemainingMs - remainingMs, 0));
}

} // namespace chivefold
