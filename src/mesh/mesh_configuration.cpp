#include "chivefold/mesh/mesh_configuration.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <limits>
#include <set>

namespace chivefold {

namespace {

constexpr std::array<std::string_view, 2> KindNames{"idempotent",
                                                    "at-most-once"};

// Converts to lower case and removes the port.
std::string canonicalHostname(std::string_view hostname) {
  std::string out(hostname.substr(0, hostname.find(':')));
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

} // namespace

std::string_view requestKindName(RequestKind kind) {
  return KindNames[static_cast<std::size_t>(kind)];
}

bool leadsTo(const MeshRoute &route, std::string_view service) {
  const bool isOnlyOne = route.Services.size() == 1;
  return std::any_of(route.Services.begin(), route.Services.end(),
                     [&](const WeightedService &it) {
                       return it.Service == service &&
                              (it.Weight > 0 || isOnlyOne);
                     });
}

RouteTable::RouteTable(MeshConfiguration configuration)
    : Configuration(std::move(configuration)) {
  for (std::size_t i = 0; i < Configuration.Routes.size(); ++i) {
    const auto &route = Configuration.Routes[i];
    RoutesByHostname[canonicalHostname(route.Hostname)].emplace(
        route.PathPrefix, i);
    RoutePriorities =
        std::max(RoutePriorities, std::uint64_t{route.Priority} + 1);
  }
  if (Configuration.Customers) {
    Keys.emplace(*Configuration.Customers);
    std::set<std::uint32_t> priorities;
    for (const auto &it : *Configuration.Customers) {
      priorities.insert(it.Priority);
    }
    CustomerPriorities.assign(priorities.begin(), priorities.end());
  }
}

std::uint32_t RouteTable::priority(const MeshCustomer *customer,
                                   const MeshRoute &route) const {
  if (customer == nullptr) {
    return route.Priority;
  }
  // The place among the customers' priorities keeps the numbers small.
  const auto it = std::lower_bound(
      CustomerPriorities.begin(), CustomerPriorities.end(), customer->Priority);
  const auto place =
      static_cast<std::uint64_t>(it - CustomerPriorities.begin());
  constexpr std::uint64_t max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::min(place * RoutePriorities + route.Priority, max));
}

const MeshRoute *RouteTable::find(std::string_view hostname,
                                  std::string_view path) const {
  const auto host = RoutesByHostname.find(canonicalHostname(hostname));
  if (host == RoutesByHostname.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only the parts of the path up to a slash are
  // candidates; the longest one is tried first.
  for (auto n = path.rfind('/'); n != std::string_view::npos;
       n = n == 0 ? std::string_view::npos : path.rfind('/', n - 1)) {
    const auto it = host->second.find(std::string(path.substr(0, n + 1)));
    if (it != host->second.end()) {
      return &Configuration.Routes[it->second];
    }
  }
  return nullptr;
}

const MeshService *RouteTable::service(std::string_view name) const {
  const auto it = Configuration.Services.find(name);
  return it == Configuration.Services.end() ? nullptr : &it->second;
}

} // namespace chivefold
