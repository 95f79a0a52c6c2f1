#include "chivefold/mesh/placement.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

namespace {

/** Before the first call of a route. */
constexpr double FirstTimeUs = 50'000;
constexpr double FirstBytes = 1'000;
/** For a route that states no target latency. */
constexpr double DefaultTargetUs = 500'000;
/** Weight of the newest call in the figures of a route. */
constexpr double RouteWeight = 0.05;
constexpr double MinSlowness = 0.3;
constexpr double MaxSlowness = 20;
/** Random part of a value, so that daemons with equal views do not all choose
 * the same server. */
constexpr double Jitter = 0.01;
/** Retry-after time when no server of the service takes work. */
constexpr Duration NoServerRetryAfter = std::chrono::milliseconds(500);
/** Part of a rollout's target servers that takes part at any share: with less
 * the evidence is about single servers, with more a small share is no load. */
constexpr double MinTargetPart = 0.5;
/** Requests of a rollout's target that a daemon may catch up with at once, in
 * shares. */
constexpr std::int64_t MaxSplitCredit = 2 * std::int64_t{FullShare};

/** Worth of a request by its urgency; the platform states only the order. */
double worthOf(std::uint32_t priority) {
  return priority >= 2 ? Placement::LowestWorth : 3.0 - priority;
}

std::size_t urgencyOf(std::uint32_t priority) {
  return std::min<std::size_t>(priority, Placement::Urgencies - 1);
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
    const bool known = Fleet.find(it->first) != nullptr || it->second.Mine > 0;
    it = known ? std::next(it) : Loads.erase(it);
  }
}

bool Placement::takesWork(const HostEntry &entry) const {
  const auto &host = entry.State;
  return (entry.reachable() || host.Peer == Self) && !host.Leaving &&
         host.Server.Phase == ServerPhase::Ready &&
         !Orders.isEvacuated(host.DataCentre) &&
         Versions.share(host.Server.Service, host.Server.Version) > 0;
}

bool Placement::usable(const HostState &host, const PlacementRequest &request,
                       TimePoint now) const {
  const auto *tried = request.Tried;
  if (tried != nullptr &&
      std::find(tried->begin(), tried->end(), host.Peer) != tried->end()) {
    return false;
  }
  const auto load = Loads.find(host.Peer);
  return load == Loads.end() ||
         now >= load->second.NotBefore[urgencyOf(request.Priority)];
}

double Placement::decay(TimePoint since, TimePoint now) const {
  return std::exp2(-static_cast<double>((now - since).count()) /
                   static_cast<double>(Settings.HalfLife.count()));
}

// Requests at the server or on their way: those of this daemon, and of others
// as its gate last told.
double Placement::ahead(const Load &load, TimePoint now) const {
  return load.Mine + load.Others * decay(load.GateAt, now);
}

// Time until the answer in microseconds, and the share of failed calls.
double Placement::expectedTime(const HostState &host, double routeTime,
                               TimePoint now, double &errors) const {
  double slowness = 1;
  double before = 0;
  double slots = std::max<double>(host.Server.Slots, 1);
  const auto it = Loads.find(host.Peer);
  if (it != Loads.end()) {
    const auto &load = it->second;
    slowness = 1 + (load.Slowness - 1) * decay(load.SlownessAt, now);
    errors = load.Errors * decay(load.ErrorsAt, now);
    before = ahead(load, now);
    if (load.Limit > 0 && load.Limit < slots) {
      slots = load.Limit;
    }
  }
  // Up to its slots a server works at full speed; beyond, work waits. A nearly
  // full one is used last among equals.
  const double wait = std::max(0.0, before + 1 - slots) / slots;
  constexpr double pressure = 0.15;
  return routeTime * slowness *
         (1 + wait + pressure * std::min(1.0, before / slots));
}

double Placement::value(const HostState &host, const PlacementRequest &request,
                        TimePoint now, double &expectedUs) const {
  const auto figures = Routes.find(request.Route);
  const bool known = figures != Routes.end();
  double errors = 0;
  expectedUs = expectedTime(host, known ? figures->second.TimeUs : FirstTimeUs,
                            now, errors);
  const double target = request.TargetLatency > Duration::zero()
                            ? static_cast<double>(request.TargetLatency.count())
                            : DefaultTargetUs;
  const double ratio = expectedUs / target;
  const double inTime = 1 / (1 + std::pow(ratio, Settings.LatenessPower));
  const double worth = worthOf(request.Priority);
  double out =
      worth * (inTime + (1 - inTime) * Settings.LateValue -
               Settings.SlownessPrice * ratio - Settings.ErrorPrice * errors);
  if (host.Peer != Self) {
    out -= Settings.HopPrice;
  }
  if (host.DataCentre != DataCentre) {
    const double bytes = known ? figures->second.Bytes : FirstBytes;
    out -=
        (bytes + Settings.OverheadBytes) / 1000 * Settings.RemoteKilobytePrice;
  }
  return out;
}

// A full server in another data centre does not help: work would wait there as
// it does here, and its bytes would cross.
bool Placement::isFull(const HostState &host, TimePoint now) const {
  const auto it = Loads.find(host.Peer);
  if (it == Loads.end()) {
    return false;
  }
  const auto &load = it->second;
  return load.Limit > 0 && ahead(load, now) >= load.Limit;
}

// Whether the next request of a service is one for the target of its rollout.
bool Placement::isTurnOfTarget(const std::string &service,
                               const VersionPolicy::Split &split) const {
  if (split.ShareBasisPoints == 0 || split.ShareBasisPoints == FullShare) {
    return split.ShareBasisPoints == FullShare;
  }
  const auto it = SplitTurns.find(service);
  const auto turn = it == SplitTurns.end() ? 0 : it->second;
  return turn + split.ShareBasisPoints >= std::int64_t{FullShare};
}

// Counts a request that goes to a server (+1), or one that none has seen (-1):
// while gates refuse work the share is one of what servers get.
void Placement::countForSplit(const Address &peer, int sign) {
  const auto *entry = Fleet.find(peer);
  if (entry == nullptr) {
    return;
  }
  const auto &server = entry->State.Server;
  const auto split = Versions.split(server.Service);
  if (!split) {
    SplitTurns.erase(server.Service);
    return;
  }
  const auto change =
      std::int64_t{split->ShareBasisPoints} -
      (server.Version == split->Target ? std::int64_t{FullShare} : 0);
  auto &turn = SplitTurns[server.Service];
  turn = std::min(turn + sign * change, MaxSplitCredit);
}

// The hosts of a service whose servers take work.
std::vector<const HostState *>
Placement::able(const std::vector<Address> &hosts) const {
  std::vector<const HostState *> out;
  for (const auto &it : hosts) {
    const auto *entry = Fleet.find(it);
    if (entry != nullptr && takesWork(*entry)) {
      out.push_back(&entry->State);
    }
  }
  return out;
}

// Servers of a rollout's target that take part: few at a small share, so that
// each has the load that it will have at the end.
std::vector<Address>
Placement::targetServers(const std::vector<const HostState *> &able,
                         const VersionPolicy::Split &split) const {
  std::vector<Address> out;
  for (const auto *it : able) {
    if (it->Server.Version == split.Target) {
      out.push_back(it->Peer);
    }
  }
  std::sort(out.begin(), out.end());
  const auto part = std::max(
      static_cast<double>(split.ShareBasisPoints) / FullShare, MinTargetPart);
  out.resize(static_cast<std::size_t>(
      std::ceil(static_cast<double>(out.size()) * part)));
  return out;
}

PlacementChoice Placement::choose(const PlacementRequest &request,
                                  TimePoint now) {
  PlacementChoice out;
  out.RetryAfter = NoServerRetryAfter;
  const auto hosts = ByService.find(request.Service);
  if (hosts == ByService.end()) {
    return out;
  }
  const bool first = request.Tried == nullptr || request.Tried->empty();
  const auto split = Versions.split(request.Service);
  // At a partial share a repeated request stays with the old version.
  const bool wantsTarget = split &&
                           (first || split->ShareBasisPoints == FullShare) &&
                           isTurnOfTarget(request.Service, *split);
  const auto candidates = able(hosts->second);
  const auto targets =
      wantsTarget ? targetServers(candidates, *split) : std::vector<Address>{};
  const bool hasLocal =
      std::any_of(candidates.begin(), candidates.end(), [this](const auto *it) {
        return it->DataCentre == DataCentre;
      });
  std::uniform_real_distribution<double> jitter(0, Jitter);
  double best = 0;
  const HostState *chosen = nullptr;
  bool chosenFits = false;
  for (const auto *it : candidates) {
    if (!usable(*it, request, now) ||
        (hasLocal && it->DataCentre != DataCentre && isFull(*it, now))) {
      continue;
    }
    ++out.Candidates;
    // Requests beyond the share of a rollout's target must not reach it.
    const bool isTarget = split && it->Server.Version == split->Target;
    const bool fits = isTarget == wantsTarget;
    if (isTarget &&
        std::find(targets.begin(), targets.end(), it->Peer) == targets.end()) {
      continue;
    }
    double expectedUs = 0;
    const double gain = value(*it, request, now, expectedUs) + jitter(Random);
    if (chosen == nullptr || (fits && !chosenFits) ||
        (fits == chosenFits && gain > best)) {
      best = gain;
      chosen = it;
      chosenFits = fits;
      out.Expected = Duration(static_cast<std::int64_t>(expectedUs));
    }
  }
  if (chosen != nullptr) {
    out.Peer = chosen->Peer;
    out.Instance = chosen->Server.Instance;
    out.Version = chosen->Server.Version;
  }
  return out;
}

void Placement::started(const Address &peer) {
  ++Loads[peer].Mine;
  countForSplit(peer, 1);
}

void Placement::learnGate(Load &load, const GateState &gate, TimePoint now) {
  load.Limit = gate.Limit;
  load.Others = std::max(0.0, static_cast<double>(gate.InFlight) + gate.Queued -
                                  load.Mine);
  load.GateAt = now;
}

// A request of this daemon ended.
Placement::Load &Placement::release(const Address &peer) {
  auto &load = Loads[peer];
  load.Mine -= load.Mine > 0 ? 1 : 0;
  return load;
}

void Placement::learnError(Load &load, double weight, bool failed,
                           TimePoint now) const {
  const double known = load.Errors * decay(load.ErrorsAt, now);
  load.Errors = known + weight * ((failed ? 1 : 0) - known);
  load.ErrorsAt = now;
}

void Placement::answered(const Address &peer, const std::string &route,
                         Duration latency, std::size_t bytes, bool serverError,
                         const GateState &gate, TimePoint now) {
  auto &load = release(peer);
  learnGate(load, gate, now);
  learnError(load, Settings.ErrorWeight, serverError, now);
  if (serverError) {
    return;
  }
  if (Routes.size() >= MaxRoutes && Routes.count(route) == 0) {
    return;
  }
  const auto us =
      static_cast<double>(std::max<std::int64_t>(latency.count(), 1));
  auto &figures =
      Routes.emplace(route, RouteFigures{us, static_cast<double>(bytes)})
          .first->second;
  const double ratio =
      std::clamp(us / std::max(figures.TimeUs, 1.0), MinSlowness, MaxSlowness);
  figures.TimeUs += RouteWeight * (us - figures.TimeUs);
  figures.Bytes += RouteWeight * (static_cast<double>(bytes) - figures.Bytes);
  const double slowness = 1 + (load.Slowness - 1) * decay(load.SlownessAt, now);
  load.Slowness = slowness + Settings.SpeedWeight * (ratio - slowness);
  load.SlownessAt = now;
}

void Placement::refused(const Address &peer, const GateState &gate,
                        std::uint32_t priority, Duration retryAfter,
                        TimePoint now) {
  auto &load = release(peer);
  learnGate(load, gate, now);
  const bool closed = gate.Limit == 0;
  const auto until =
      now + std::min(retryAfter, closed ? Settings.MaxClosedBackOff
                                        : Settings.MaxFullBackOff);
  for (auto i = closed ? 0 : urgencyOf(priority); i < Urgencies; ++i) {
    load.NotBefore[i] = until;
  }
}

void Placement::lost(const Address &peer, TimePoint now) {
  learnError(release(peer), Settings.ErrorWeight * 2, true, now);
}

void Placement::cancelled(const Address &peer) { release(peer); }

Duration Placement::expected(const std::string &route) const {
  const auto it = Routes.find(route);
  return Duration(static_cast<std::int64_t>(
      it == Routes.end() ? FirstTimeUs : it->second.TimeUs));
}

unsigned Placement::ableServers(const std::string &service,
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
