#include "chivefold/mesh/refused_calls.h"

#include <algorithm>

namespace chivefold {

double RefusedCallTracker::RouteCounts::matchRatio() const {
  return Refusals == 0 ? 0 : static_cast<double>(Matches) / Refusals;
}

void RefusedCallTracker::recordRefusal(const std::string &route,
                                       TimePoint now) {
  if (Routes.size() >= MaxRoutes && Routes.count(route) == 0) {
    return;
  }
  auto &counts = Routes[route];
  if (++counts.Refusals > HalvingThreshold) {
    counts.Refusals /= 2;
    counts.Matches /= 2;
  }
  while (!UnmatchedRefusals.empty() &&
         UnmatchedRefusals.front().At + MaxErrorDelay < now) {
    UnmatchedRefusals.pop_front();
  }
  UnmatchedRefusals.push_back({route, now});
}

bool RefusedCallTracker::isOutboundRoute(const std::string &route) const {
  const auto it = Routes.find(route);
  return it != Routes.end() && it->second.Matches >= MinMatches &&
         it->second.matchRatio() >= MinMatchRatio;
}

std::optional<std::string> RefusedCallTracker::matchError(TimePoint now) {
  while (!UnmatchedRefusals.empty() &&
         UnmatchedRefusals.front().At + MaxErrorDelay < now) {
    UnmatchedRefusals.pop_front();
  }
  // The most likely cause is the refusal whose route has the highest match
  // ratio.
  const auto cause =
      std::max_element(UnmatchedRefusals.begin(), UnmatchedRefusals.end(),
                       [this](const Refusal &a, const Refusal &b) {
                         return Routes.at(a.Route).matchRatio() <
                                Routes.at(b.Route).matchRatio();
                       });
  if (cause == UnmatchedRefusals.end()) {
    return std::nullopt;
  }
  const auto route = std::move(cause->Route);
  UnmatchedRefusals.erase(cause);
  ++Routes.at(route).Matches;
  return isOutboundRoute(route) ? std::optional<std::string>(route)
                                : std::nullopt;
}

} // namespace chivefold
