#include "chivefold/mesh/attempt_age.h"

#include <algorithm>

namespace chivefold {

// Misra-Gries summary: a number that makes up more than one in MaxCounted + 1
// of all is always among the counters.
void AttemptAge::count(std::vector<Counter> &counters, std::int64_t ms) {
  const auto it = std::find_if(counters.begin(), counters.end(),
                               [ms](const Counter &c) { return c.Ms == ms; });
  if (it != counters.end()) {
    if (++it->Count >= MaxOccurrences) {
      for (auto &c : counters) {
        c.Count /= 2;
      }
    }
    return;
  }
  if (counters.size() < MaxCounted) {
    counters.push_back({ms, 1});
    return;
  }
  for (auto &c : counters) {
    c.Count -= std::min(c.Count, 1U);
  }
  counters.erase(std::remove_if(counters.begin(), counters.end(),
                                [](const Counter &c) { return c.Count == 0; }),
                 counters.end());
}

Duration AttemptAge::note(const std::string &route, Duration timeLeft) {
  if (Routes.size() >= MaxRoutes && Routes.count(route) == 0) {
    return {};
  }
  using std::chrono::milliseconds;
  const auto ms = std::chrono::duration_cast<milliseconds>(timeLeft).count();
  auto &counters = Routes[route];
  count(counters, ms);
  const auto usual = std::max_element(
      counters.begin(), counters.end(),
      [](const Counter &a, const Counter &b) { return a.Count < b.Count; });
  if (usual == counters.end() || usual->Count < MinOccurrences) {
    return {};
  }
  return milliseconds(std::max<std::int64_t>(usual->Ms - ms, 0));
}

} // namespace chivefold
