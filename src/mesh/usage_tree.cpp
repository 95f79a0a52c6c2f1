#include "chivefold/mesh/usage_tree.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace chivefold {

namespace {

using Ranked = std::pair<std::uint64_t, Address>;

Ranked rank(const Address &host) {
  constexpr std::uint64_t seed = 0x7573616765;
  return {hash64(toString(host), seed), host};
}

// Level of a place in a tree that is filled level by level.
std::size_t levelOf(std::size_t place) {
  std::size_t level = 0;
  for (; place > 0; place = (place - 1) / UsageTreeFanIn) {
    ++level;
  }
  return level;
}

} // namespace

UsageTreePlace usageTreePlace(const FleetTable &fleet, const Address &self,
                              bool leaving) {
  std::vector<Ranked> hosts;
  for (const auto &it : fleet.hosts()) {
    if (it.first != self && it.second.reachable() && !it.second.State.Leaving) {
      hosts.push_back(rank(it.first));
    }
  }
  UsageTreePlace out;
  if (leaving) {
    if (!hosts.empty()) {
      out.Parent = std::min_element(hosts.begin(), hosts.end())->second;
    }
    out.Hosts = hosts.size();
    return out;
  }
  const auto own = rank(self);
  hosts.push_back(own);
  std::sort(hosts.begin(), hosts.end());
  const auto place = static_cast<std::size_t>(
      std::lower_bound(hosts.begin(), hosts.end(), own) - hosts.begin());
  if (place > 0) {
    out.Parent = hosts[(place - 1) / UsageTreeFanIn].second;
  }
  out.LevelsBelow = levelOf(hosts.size() - 1) - levelOf(place);
  out.Hosts = hosts.size();
  return out;
}

} // namespace chivefold
