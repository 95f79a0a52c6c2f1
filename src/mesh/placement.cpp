#include "chivefold/mesh/placement.h"

#include <algorithm>

namespace chivefold {

namespace {

/** Largest random addition to a value. Without it, daemons with the same data
 * would all choose the same server. */
constexpr double Jitter = 0.01;

} // namespace

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
    it = known ? std::next(it) : Loads.erase(it);
  }
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
  std::uniform_real_distribution<double> jitter(0, Jitter);
  double bestValue = 0;
  const HostState *chosen = nullptr;
  bool chosenIsWantedVersion = false;
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
    if (isTarget && std::find(targets.begin(), targets.end(), host->Peer) ==
                        targets.end()) {
      continue;
    }
    double expectedUs = 0;
    const double candidateValue =
        expectedValue(*host, request, now, expectedUs) + jitter(Random);
    if (chosen == nullptr || (isWantedVersion && !chosenIsWantedVersion) ||
        (isWantedVersion == chosenIsWantedVersion &&
         candidateValue > bestValue)) {
      bestValue = candidateValue;
      chosen = host;
      chosenIsWantedVersion = isWantedVersion;
      out.ExpectedLatency = Duration(static_cast<std::int64_t>(expectedUs));
    }
  }
  if (chosen != nullptr) {
    out.Peer = chosen->Peer;
    out.Instance = chosen->Server.Instance;
    out.ServerStart = chosen->Server.Start;
    out.Version = chosen->Server.Version;
  }
  out.RetryAfter = soonest.value_or(NoServerRetryAfter);
  return out;
}

} // namespace chivefold
