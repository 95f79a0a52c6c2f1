#include "chivefold/mesh/service_split.h"

namespace chivefold {

std::string ServiceSplit::choose(const MeshRoute &route) {
  if (route.Services.size() == 1 || Weights.size() >= MaxRoutes) {
    return route.Services.front().Service;
  }
  auto &running = Weights[route.Name];
  std::int64_t total = 0;
  const WeightedService *best = nullptr;
  for (const auto &it : route.Services) {
    total += it.Weight;
    auto &value = running[it.Service];
    value += it.Weight;
    if (it.Weight > 0 && (best == nullptr || value > running[best->Service])) {
      best = &it;
    }
  }
  if (best == nullptr) {
    return route.Services.front().Service;
  }
  running[best->Service] -= total;
  return best->Service;
}

} // namespace chivefold
