#include "chivefold/mesh/call_parents.h"

#include <algorithm>
#include <utility>

namespace chivefold {

bool CallParents::ParentRoutes::contains(const std::string &route) const {
  const auto it = ErrorsByRoute.find(route);
  return it != ErrorsByRoute.end() && it->second >= MinErrors &&
         it->second >= MinErrorShare * Errors;
}

void CallParents::started(GateRequestId id, RunningRequest request) {
  if (Running.size() < MaxRunning) {
    Running.insert_or_assign(id, std::move(request));
  }
}

void CallParents::ended(GateRequestId id) { Running.erase(id); }

void CallParents::recordError(const std::string &callRoute,
                              const std::string &parentRoute) {
  if (Parents.size() >= MaxRoutes && Parents.count(callRoute) == 0) {
    return;
  }
  auto &parents = Parents[callRoute];
  auto &byRoute = parents.ErrorsByRoute;
  if (byRoute.size() < MaxParentRoutes || byRoute.count(parentRoute) > 0) {
    ++byRoute[parentRoute];
  }
  if (++parents.Errors <= HalvingThreshold) {
    return;
  }
  parents.Errors /= 2;
  for (auto it = byRoute.begin(); it != byRoute.end();) {
    it->second /= 2;
    it = it->second == 0 ? byRoute.erase(it) : std::next(it);
  }
}

std::optional<RunningRequest>
CallParents::parentOf(const std::string &callRoute, TimePoint deadline) const {
  const auto parents = Parents.find(callRoute);
  if (parents == Parents.end()) {
    return std::nullopt;
  }
  std::vector<const RunningRequest *> candidates;
  for (const auto &it : Running) {
    const auto left = it.second.Deadline - deadline;
    if (left < -DeadlineTolerance ||
        !parents->second.contains(it.second.Route)) {
      continue;
    }
    if (left <= DeadlineTolerance) {
      return it.second;
    }
    candidates.push_back(&it.second);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto median =
      candidates.begin() + static_cast<std::ptrdiff_t>(candidates.size() / 2);
  std::nth_element(candidates.begin(), median, candidates.end(),
                   [](const auto *a, const auto *b) {
                     return a->InTimeUntil < b->InTimeUntil;
                   });
  return **median;
}

std::uint32_t rankOfCall(std::uint32_t priority, std::uint32_t parentRank) {
  return priority == 0 ? parentRank : std::max(parentRank, priority - 1);
}

} // namespace chivefold
