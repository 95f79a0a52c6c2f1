#include "chivefold/mesh/service_split.h"

namespace chivefold {

std::string ServiceSplit::choose(const MeshRoute &route) {
  if (route.Services.size() == 1 || CurrentWeights.size() >= MaxRoutes) {
    return route.Services.front().Service;
  }
  auto &currentWeights = CurrentWeights[route.Name];
  std::int64_t totalWeight = 0;
  const WeightedService *best = nullptr;
  for (const auto &candidate : route.Services) {
    totalWeight += candidate.Weight;
    auto &currentWeight = currentWeights[candidate.Service];
    currentWeight += candidate.Weight;
    if (candidate.Weight > 0 &&
        (best == nullptr || currentWeight > currentWeights[best->Service])) {
      best = &candidate;
    }
  }
  if (best == nullptr) {
    return route.Services.front().Service;
  }
  currentWeights[best->Service] -= totalWeight;
  return best->Service;
}

} // namespace chivefold
