#include "chivefold/mesh/placement.h"

#include "chivefold/mesh/request_pacer.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

namespace {

/** Averages of a route before its first answered call. */
constexpr double InitialLatencyUs = 50'000;
constexpr double InitialBytes = 1'000;
/** Target latency of a route that states none. */
constexpr double DefaultTargetUs = 500'000;
/** Weight of the newest call in the moving averages of a route. */
constexpr double RouteStatsWeight = 0.05;
/** Bounds of the latency ratio of a single call. */
constexpr double MinLatencyRatio = 0.3;
constexpr double MaxLatencyRatio = 20;
/** Largest random addition to a value. Without it, daemons with the same data
 * would all choose the same server. */
constexpr double Jitter = 0.01;
/** Retry-after time when no server of the service can be used. */
constexpr Duration NoServerRetryAfter = std::chrono::milliseconds(500);

/** Worth of a request by its priority. The platform defines only the order of
 * priorities, not their worth. */
double worthOf(std::uint32_t priority) {
  return priority >= 2 ? Placement::LowestWorth : 3.0 - priority;
}

std::size_t priorityLevel(std::uint32_t priority) {
  return std::min<std::size_t>(priority, Placement::PriorityLevels - 1);
}

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

bool Placement::acceptsRequests(const HostEntry &entry) const {
  const auto &host = entry.State;
  return (entry.reachable() || host.Peer == Self) && !host.Leaving &&
         host.Server.Phase == ServerPhase::Ready && !hasLeft(host) &&
         !Orders.isEvacuated(host.DataCentre) &&
         Versions.share(host.Server.Service, host.Server.Version) > 0;
}

// Whether the current server stated in an answer that it shuts down. That may
// be known before the daemon beside it announces it, and still after it has
// restarted and forgotten it.
bool Placement::hasLeft(const HostState &host) const {
  const auto load = Loads.find(host.Peer);
  return load != Loads.end() && load->second.LeavingStart != 0 &&
         load->second.LeavingStart == host.Server.Start;
}

// Returns the load of a host whose current server states a request limit, else
// null.
const Placement::ServerLoad *
Placement::limitedLoad(const HostState &host) const {
  const auto it = Loads.find(host.Peer);
  if (it == Loads.end()) {
    return nullptr;
  }
  const auto &limit = it->second.StatedLimit;
  const bool isLimited = limit.Known == LimitKnowledge::Stated &&
                         limit.ServerStart == host.Server.Start;
  return isLimited ? &it->second : nullptr;
}

RequestLimit Placement::knownLimit(const Address &peer) const {
  const auto *entry = Fleet.find(peer);
  const auto *load = entry == nullptr ? nullptr : limitedLoad(entry->State);
  return load == nullptr ? RequestLimit() : load->StatedLimit;
}

// Estimates how long the request limit would hold a request.
Duration Placement::limitWait(const HostState &host, TimePoint now) const {
  const auto *load = limitedLoad(host);
  if (load == nullptr) {
    return Duration::zero();
  }
  const auto interval =
      1e6 / std::max(load->StatedLimit.PerSecond, RequestPacer::MinRate);
  return std::max(load->LimitFreeAt - now, Duration::zero()) +
         Duration(static_cast<Duration::rep>(load->SentSinceReport * interval));
}

bool Placement::mayTry(const HostState &host, const PlacementRequest &request,
                       TimePoint now) const {
  const auto *tried = request.Tried;
  if (tried != nullptr &&
      std::find(tried->begin(), tried->end(), host.Peer) != tried->end()) {
    return false;
  }
  const auto load = Loads.find(host.Peer);
  return load == Loads.end() ||
         now >= load->second.NotBefore[priorityLevel(request.Priority)];
}

double Placement::decay(TimePoint since, TimePoint now) const {
  return std::exp2(-static_cast<double>((now - since).count()) /
                   static_cast<double>(Settings.HalfLife.count()));
}

// Requests running, queued or on their way to a server: those of this daemon,
// and those of others as the gate last reported, with decay.
double Placement::outstandingRequests(const ServerLoad &load,
                                      TimePoint now) const {
  return load.OwnRequests + load.OtherRequests * decay(load.GateStateAt, now);
}

// Returns the expected latency in microseconds and sets the error rate.
double Placement::expectedLatencyUs(const HostState &host,
                                    double routeLatencyUs, TimePoint now,
                                    double &errorRate) const {
  double latencyRatio = 1;
  double outstanding = 0;
  double slots = std::max<double>(host.Server.Slots, 1);
  const auto it = Loads.find(host.Peer);
  if (it != Loads.end()) {
    const auto &load = it->second;
    latencyRatio =
        1 + (load.LatencyRatio - 1) * decay(load.LatencyRatioAt, now);
    errorRate = load.ErrorRate * decay(load.ErrorRateAt, now);
    outstanding = outstandingRequests(load, now);
    if (load.Limit > 0 && load.Limit < slots) {
      slots = load.Limit;
    }
  }
  // A server runs requests at full speed up to its slots; further ones wait.
  // The occupancy term makes the emptier of two otherwise equal servers win.
  const double waitFactor = std::max(0.0, outstanding + 1 - slots) / slots;
  constexpr double occupancyWeight = 0.15;
  return static_cast<double>(limitWait(host, now).count()) +
         routeLatencyUs * latencyRatio *
             (1 + waitFactor +
              occupancyWeight * std::min(1.0, outstanding / slots));
}

double Placement::expectedValue(const HostState &host,
                                const PlacementRequest &request, TimePoint now,
                                double &expectedUs) const {
  const auto stats = Routes.find(request.Route);
  const bool known = stats != Routes.end();
  double errorRate = 0;
  expectedUs = expectedLatencyUs(
      host, known ? stats->second.LatencyUs : InitialLatencyUs, now, errorRate);
  const double targetUs =
      request.TargetLatency > Duration::zero()
          ? static_cast<double>(request.TargetLatency.count())
          : DefaultTargetUs;
  const double ratio = expectedUs / targetUs;
  const double inTimeProbability =
      1 / (1 + std::pow(ratio, Settings.LatenessExponent));
  const double worth = worthOf(request.Priority);
  double out =
      worth *
      (inTimeProbability + (1 - inTimeProbability) * Settings.LateAnswerValue -
       Settings.LatencyPenalty * ratio - Settings.ErrorPenalty * errorRate);
  if (host.Peer != Self) {
    out -= Settings.RemoteHostPenalty;
  }
  if (host.DataCentre != DataCentre) {
    const double bytes = known ? stats->second.Bytes : InitialBytes;
    out -=
        (bytes + Settings.OverheadBytes) / 1000 * Settings.RemoteKilobyteCost;
  }
  return out;
}

Placement::LocalServers
Placement::localServers(const std::vector<const HostState *> &candidates,
                        TimePoint now) const {
  LocalServers out;
  for (const auto *host : candidates) {
    if (host->DataCentre == DataCentre) {
      out.Any = true;
      out.AnyWithinLimit |= limitWait(*host, now) <= Duration::zero();
    }
  }
  return out;
}

// A request would wait at a full server of another data centre as it does
// locally, and its bytes would cross data centres too. Local servers whose
// request limit holds requests up are no alternative to a full remote one,
// because their waits are longer.
bool Placement::isWorthCrossing(const HostState &host,
                                const LocalServers &local,
                                TimePoint now) const {
  return !(local.Any && limitWait(host, now) > Duration::zero()) &&
         !(local.AnyWithinLimit && isFull(host, now));
}

bool Placement::isFull(const HostState &host, TimePoint now) const {
  const auto it = Loads.find(host.Peer);
  if (it == Loads.end()) {
    return false;
  }
  const auto &load = it->second;
  return load.Limit > 0 && outstandingRequests(load, now) >= load.Limit;
}

// Returns the hosts whose servers accept requests.
std::vector<const HostState *>
Placement::eligibleServers(const std::vector<Address> &hosts) const {
  std::vector<const HostState *> out;
  for (const auto &address : hosts) {
    const auto *entry = Fleet.find(address);
    if (entry != nullptr && acceptsRequests(*entry)) {
      out.push_back(&entry->State);
    }
  }
  return out;
}

// Returns the time until a client may ask again for a server that this daemon
// backs off from.
Duration Placement::retryAfter(const HostState &host, std::uint32_t priority,
                               TimePoint now) const {
  const auto *load = limitedLoad(host);
  const auto until =
      load == nullptr ? now : load->LimitedUntil[priorityLevel(priority)];
  return until > now ? until - now : NoServerRetryAfter;
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

void Placement::started(const Address &peer) {
  auto &load = Loads[peer];
  ++load.OwnRequests;
  ++load.SentSinceReport;
  recordForSplit(peer, 1);
}

void Placement::updateGateState(ServerLoad &load, const GateState &gate,
                                TimePoint now) {
  load.Limit = gate.Limit;
  load.OtherRequests = std::max(0.0, static_cast<double>(gate.InFlight) +
                                         gate.Queued - load.OwnRequests);
  load.GateStateAt = now;
  load.LimitFreeAt = now + gate.LimitWait;
  load.SentSinceReport = 0;
  const auto &limit = gate.StatedLimit;
  // A daemon that has restarted does not know the limit until its server
  // answers.
  const bool isForgotten = limit.Known == LimitKnowledge::Unknown &&
                           (limit.ServerStart == 0 ||
                            limit.ServerStart == load.StatedLimit.ServerStart);
  if (!isForgotten) {
    load.StatedLimit = limit;
  }
  if (gate.ServerLeaving) {
    load.LeavingStart = limit.ServerStart;
  }
}

// Counts a request of this daemon as ended.
Placement::ServerLoad &Placement::endRequest(const Address &peer) {
  auto &load = Loads[peer];
  load.OwnRequests -= load.OwnRequests > 0 ? 1 : 0;
  return load;
}

void Placement::updateErrorRate(ServerLoad &load, double weight, bool failed,
                                TimePoint now) const {
  const double known = load.ErrorRate * decay(load.ErrorRateAt, now);
  load.ErrorRate = known + weight * ((failed ? 1 : 0) - known);
  load.ErrorRateAt = now;
}

void Placement::answered(const Address &peer, const std::string &route,
                         Duration latency, std::size_t bytes, bool serverError,
                         const GateState &gate, TimePoint now) {
  auto &load = endRequest(peer);
  updateGateState(load, gate, now);
  updateErrorRate(load, Settings.ErrorWeight, serverError, now);
  if (serverError) {
    return;
  }
  if (Routes.size() >= MaxRoutes && Routes.count(route) == 0) {
    return;
  }
  const auto us =
      static_cast<double>(std::max<std::int64_t>(latency.count(), 1));
  auto &stats =
      Routes.emplace(route, RouteStats{us, static_cast<double>(bytes)})
          .first->second;
  const double ratio = std::clamp(us / std::max(stats.LatencyUs, 1.0),
                                  MinLatencyRatio, MaxLatencyRatio);
  stats.LatencyUs += RouteStatsWeight * (us - stats.LatencyUs);
  stats.Bytes += RouteStatsWeight * (static_cast<double>(bytes) - stats.Bytes);
  const double latencyRatio =
      1 + (load.LatencyRatio - 1) * decay(load.LatencyRatioAt, now);
  load.LatencyRatio =
      latencyRatio + Settings.LatencyWeight * (ratio - latencyRatio);
  load.LatencyRatioAt = now;
}

void Placement::refused(const Address &peer, const GateState &gate,
                        std::uint32_t priority, Duration retryAfter,
                        TimePoint now) {
  auto &load = endRequest(peer);
  updateGateState(load, gate, now);
  const bool isClosed = gate.Limit == 0;
  const bool isLimited = gate.LimitWait > Duration::zero();
  const auto until = now + std::min(retryAfter, isClosed || isLimited
                                                    ? Settings.MaxClosedBackOff
                                                    : Settings.MaxFullBackOff);
  for (auto i = isClosed ? 0 : priorityLevel(priority); i < PriorityLevels;
       ++i) {
    load.NotBefore[i] = until;
    load.LimitedUntil[i] = now + retryAfter;
  }
}

void Placement::lost(const Address &peer, TimePoint now) {
  updateErrorRate(endRequest(peer), Settings.ErrorWeight * 2, true, now);
}

void Placement::cancelled(const Address &peer) { endRequest(peer); }

Duration Placement::expectedLatency(const std::string &route) const {
  const auto it = Routes.find(route);
  return Duration(static_cast<std::int64_t>(
      it == Routes.end() ? InitialLatencyUs : it->second.LatencyUs));
}

unsigned Placement::countReadyServers(const std::string &service,
                                      const std::string &version) const {
  const auto hosts = ByService.find(service);
  if (hosts == ByService.end()) {
    return 0;
  }
  return static_cast<unsigned>(std::count_if(
      hosts->second.begin(), hosts->second.end(), [&](const Address &it) {
        const auto *entry = Fleet.find(it);
        return entry != nullptr && (entry->reachable() || it == Self) &&
               !entry->State.Leaving &&
               entry->State.Server.Phase == ServerPhase::Ready &&
               entry->State.Server.Version == version;
      }));
}

} // namespace chivefold
