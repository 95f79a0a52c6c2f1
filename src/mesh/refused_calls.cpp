#include "chivefold/mesh/refused_calls.h"

#include <algorithm>

namespace chivefold {

double RefusedCalls::Counts::part() const {
  return Refusals == 0 ? 0 : static_cast<double>(Matches) / Refusals;
}

void RefusedCalls::note(const std::string &route, TimePoint now) {
  if (Routes.size() >= MaxRoutes && Routes.count(route) == 0) {
    return;
  }
  auto &counts = Routes[route];
  if (++counts.Refusals > MaxRefusals) {
    counts.Refusals /= 2;
    counts.Matches /= 2;
  }
  while (!Recent.empty() && Recent.front().At + MaxDelay < now) {
    Recent.pop_front();
  }
  Recent.push_back({route, now});
}

bool RefusedCalls::isCall(const std::string &route) const {
  const auto it = Routes.find(route);
  return it != Routes.end() && it->second.Matches >= MinMatches &&
         it->second.part() >= MinMatchedPart;
}

bool RefusedCalls::explains(TimePoint now) {
  while (!Recent.empty() && Recent.front().At + MaxDelay < now) {
    Recent.pop_front();
  }
  // The likeliest cause is of the route whose refusals met errors most often.
  const auto cause = std::max_element(
      Recent.begin(), Recent.end(), [this](const Refusal &a, const Refusal &b) {
        return Routes.at(a.Route).part() < Routes.at(b.Route).part();
      });
  if (cause == Recent.end()) {
    return false;
  }
  const auto route = std::move(cause->Route);
  Recent.erase(cause);
  ++Routes.at(route).Matches;
  return isCall(route);
}

} // namespace chivefold
