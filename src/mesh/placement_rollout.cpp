// Share of a rollout's target version in the requests of its service.
#include "chivefold/mesh/placement.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

namespace {

/** Minimum fraction of the target version's servers that get requests, at any
 * share. With fewer the evidence would be about single servers; with more a
 * small share would put no real load on each of them. */
constexpr double MinTargetFraction = 0.5;
/** Limit of a split balance in basis points, which is two requests. Bounds the
 * burst to the target version after a time in which it could get none. */
constexpr std::int64_t MaxSplitBalance = 2 * std::int64_t{FullShare};

} // namespace

// Whether the next request of a service is due to the target of its rollout.
bool Placement::isTargetTurn(const std::string &service,
                             const VersionPolicy::Split &split) const {
  if (split.ShareBasisPoints == 0 || split.ShareBasisPoints == FullShare) {
    return split.ShareBasisPoints == FullShare;
  }
  const auto it = SplitBalances.find(service);
  const auto balance = it == SplitBalances.end() ? 0 : it->second;
  return balance + split.ShareBasisPoints >= std::int64_t{FullShare};
}

// Counts a request that is sent (+1), or takes one back that no server received
// (-1). The share of the target version is thus a share of the requests that
// servers receive, also while gates refuse many of them.
void Placement::recordForSplit(const Address &peer, int delta) {
  const auto *entry = Fleet.find(peer);
  if (entry == nullptr) {
    return;
  }
  const auto &server = entry->State.Server;
  const auto split = Versions.split(server.Service);
  if (!split) {
    SplitBalances.erase(server.Service);
    return;
  }
  const auto change =
      std::int64_t{split->ShareBasisPoints} -
      (server.Version == split->Target ? std::int64_t{FullShare} : 0);
  auto &balance = SplitBalances[server.Service];
  balance = std::min(balance + delta * change, MaxSplitBalance);
}

// Returns the servers of a rollout's target version that get requests. At a
// small share only some do, so that the load of each is closer to that after
// the rollout.
std::vector<Address>
Placement::targetServers(const std::vector<const HostState *> &eligible,
                         const VersionPolicy::Split &split) const {
  std::vector<Address> out;
  for (const auto *host : eligible) {
    if (host->Server.Version == split.Target) {
      out.push_back(host->Peer);
    }
  }
  std::sort(out.begin(), out.end());
  const auto fraction =
      std::max(static_cast<double>(split.ShareBasisPoints) / FullShare,
               MinTargetFraction);
  out.resize(static_cast<std::size_t>(
      std::ceil(static_cast<double>(out.size()) * fraction)));
  return out;
}

} // namespace chivefold
