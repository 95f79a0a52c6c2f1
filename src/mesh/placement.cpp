#include "chivefold/mesh/placement.h"

#include <algorithm>

namespace chivefold {

namespace {

/** Largest random addition to a value. Without it, daemons with the same data
 * would all choose the same server. */
constexpr double Jitter = 0.01;

constexpr std::array<std::string_view, 3> StrategyNames{
    "latency", "expected-work", "learned"};

} // namespace

std::string_view placementStrategyName(PlacementStrategy strategy) {
  return StrategyNames.at(static_cast<std::size_t>(strategy));
}

Placement::Placement(const FleetTable &fleet, const OperatorState &orders,
                     VersionPolicy &versions, Address self,
                     std::string dataCentre, std::uint64_t seed,
                     const PlacementSettings &settings)
    : Fleet(fleet), Orders(orders), Versions(versions), Self(std::move(self)),
      DataCentre(std::move(dataCentre)), Random(seed), Settings(settings) {}

void Placement::refresh() {
  ByService.clear();
  for (const auto &it : Fleet.hosts()) {
    const auto &server = it.second.State.Server;
    if (!it.second.StateKnown || server.Service.empty()) {
      continue;
    }
    ByService[server.Service].push_back(it.first);
    if (server.Phase == ServerPhase::Ready) {
      Versions.addReadyVersion(server.Service, server.Version);
    }
  }
  for (auto it = Loads.begin(); it != Loads.end();) {
    const bool known =
        Fleet.find(it->first) != nullptr || it->second.OwnRequests > 0;
    if (!known) {
      Pace.erase(it->first);
    }
    it = known ? std::next(it) : Loads.erase(it);
  }
  for (auto it = Evidence.begin(); it != Evidence.end();) {
    it = ByService.count(it->first) > 0 ? std::next(it) : Evidence.erase(it);
  }
}

// Chooses the server of the highest value. Precondition: there is a candidate.
const Placement::Candidate &
Placement::selectBest(std::vector<Candidate> &candidates) {
  std::uniform_real_distribution<double> jitter(0, Jitter);
  for (auto &it : candidates) {
    it.Value += jitter(Random);
  }
  return *std::max_element(
      candidates.begin(), candidates.end(),
      [](const auto &a, const auto &b) { return a.Value < b.Value; });
}

PlacementChoice Placement::choose(const PlacementRequest &request,
                                  TimePoint now) {
  PlacementChoice out;
  out.RetryAfter = NoServerRetryAfter;
  const auto hosts = ByService.find(request.Service);
  if (hosts == ByService.end()) {
    return out;
  }
  const bool isFirstAttempt =
      request.Tried == nullptr || request.Tried->empty();
  const auto split = Versions.split(request.Service);
  // While the share is partial, retries go to the old version.
  const bool wantsTarget =
      split && (isFirstAttempt || split->ShareBasisPoints == FullShare) &&
      isTargetTurn(request.Service, *split);
  const auto candidates = eligibleServers(hosts->second);
  const auto targets =
      wantsTarget ? targetServers(candidates, *split) : std::vector<Address>{};
  const auto local = localServers(candidates, now);
  const bool byWork = choosesByWork(request.Service, hosts->second, now);
  const auto costs = byWork ? costOf(request, now) : RequestCost();
  std::vector<Candidate> rated;
  rated.reserve(candidates.size());
  bool haveWantedVersion = false;
  std::optional<Duration> soonest;
  for (const auto *host : candidates) {
    if (!mayTry(*host, request, now)) {
      const auto after = retryAfter(*host, request.Priority, now);
      soonest = std::min(soonest.value_or(after), after);
      continue;
    }
    if (host->DataCentre != DataCentre && !isWorthCrossing(*host, local, now)) {
      continue;
    }
    ++out.Candidates;
    // The target version must not get requests beyond its share; targets is
    // empty unless this request is due to it.
    const bool isTarget = split && host->Server.Version == split->Target;
    const bool isWantedVersion = isTarget == wantsTarget;
    if ((isTarget && std::find(targets.begin(), targets.end(), host->Peer) ==
                         targets.end()) ||
        (haveWantedVersion && !isWantedVersion)) {
      continue;
    }
    if (isWantedVersion && !haveWantedVersion) {
      haveWantedVersion = true;
      rated.clear();
    }
    rated.push_back(byWork ? rateByWork(*host, request, costs, now)
                           : rateByLatency(*host, request, now));
  }
  if (!rated.empty()) {
    const auto &chosen = selectBest(rated);
    out.Peer = chosen.Host->Peer;
    out.Instance = chosen.Host->Server.Instance;
    out.ServerStart = chosen.Host->Server.Start;
    out.Version = chosen.Host->Server.Version;
    out.ExpectedLatency =
        Duration(static_cast<std::int64_t>(chosen.ExpectedUs));
    out.Strategy =
        byWork ? PlacementStrategy::ExpectedWork : PlacementStrategy::Latency;
  }
  out.RetryAfter = soonest.value_or(NoServerRetryAfter);
  return out;
}

} // namespace chivefold
