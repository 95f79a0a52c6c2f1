#include "chivefold/core/router.h"

#include <algorithm>
#include <cmath>

namespace chivefold {
namespace {

constexpr std::int64_t FullShare = 10000;
/** Assumed latency of a service before its first answer, in microseconds. */
constexpr double InitialLatencyUs = 1000;
constexpr double ServerLatencyWeight = 0.2;
constexpr double ServiceLatencyWeight = 0.02;
constexpr double FailureWeight = 0.3;
constexpr double RefusalWeight = 0.05;
/** Added to the requests in flight of each server, so that an idle cold server
 * is used once the others are about half loaded. */
constexpr double IdleServerLoad = 0.5;
/** Scores below this load are treated as equal when data centres are compared,
 * so that a low load does not cause traffic to another data centre. */
constexpr double MinComparedLoad = 0.5;
/** Additional score factor of a server whose limit is reached. */
constexpr double LimitReachedFactor = 3;
constexpr double SpilloverStep = 0.1;
constexpr int MaxRandomDraws = 6;

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

/** Observations older than this many half-lives have no weight. Otherwise a
 * recovered server would stay unused while all servers are idle, because of a
 * small remaining weight. */
constexpr double MaxHalfLives = 4;

/** @return the remaining weight of an observation of age @p age. */
double remainingWeight(Duration age, Duration halfLife) {
  const double halfLives = seconds(age) / seconds(halfLife);
  if (halfLives >= MaxHalfLives) {
    return 0;
  }
  return halfLives <= 0 ? 1 : std::exp2(-halfLives);
}

bool contains(const std::vector<Address> &list, const Address &address) {
  return std::find(list.begin(), list.end(), address) != list.end();
}

} // namespace

Router::Router(std::uint64_t seed, std::string ownDataCentre,
               const RouterTuning &tuning)
    : Random(seed), OwnDataCentre(std::move(ownDataCentre)), Tuning(tuning) {}

Router::Server *Router::find(const Address &peer) {
  const auto it = ByAddress.find(peer);
  return it == ByAddress.end() ? nullptr : &Servers[it->second];
}

Router::ServiceState &Router::serviceOf(const Server &server) {
  return Services[server.Info.Service];
}

void Router::attach(std::uint32_t index) {
  auto &service = serviceOf(Servers[index]);
  service.Members.push_back(index);
  rebuildPools(service);
}

void Router::detach(std::uint32_t index) {
  auto &service = serviceOf(Servers[index]);
  auto &members = service.Members;
  members.erase(std::remove(members.begin(), members.end(), index),
                members.end());
  rebuildPools(service);
  if (members.empty() && !service.HasSplit) {
    Services.erase(Servers[index].Info.Service);
  }
}

void Router::update(const Candidate &candidate) {
  const auto known = ByAddress.find(candidate.Peer);
  if (known != ByAddress.end()) {
    auto &server = Servers[known->second];
    if (server.Info.Service == candidate.Service &&
        server.Info.ServiceVersion == candidate.ServiceVersion) {
      server.Info = candidate;
      rebuildPools(serviceOf(server));
      return;
    }
    remove(candidate.Peer);
  }
  if (ByAddress.size() >= MaxServers) {
    return;
  }
  std::uint32_t index = 0;
  if (FreeSlots.empty()) {
    index = static_cast<std::uint32_t>(Servers.size());
    Servers.emplace_back();
  } else {
    index = FreeSlots.back();
    FreeSlots.pop_back();
  }
  Servers[index] = Server{};
  Servers[index].Info = candidate;
  ByAddress[candidate.Peer] = index;
  attach(index);
}

void Router::remove(const Address &peer) {
  const auto it = ByAddress.find(peer);
  if (it == ByAddress.end()) {
    return;
  }
  const auto index = it->second;
  detach(index);
  ByAddress.erase(it);
  FreeSlots.push_back(index);
}

void Router::setTakenOut(const std::vector<std::string> &dataCentres) {
  TakenOut = dataCentres;
  for (auto &[name, service] : Services) {
    rebuildPools(service);
  }
}

void Router::setSplit(const std::string &service, const VersionSplit &split) {
  auto &state = Services[service];
  if (!state.HasSplit) {
    // The random start keeps daemons that start together from sending calls to
    // the new version in lockstep.
    state.Accumulator = static_cast<std::int64_t>(Random() % FullShare);
  }
  state.HasSplit = true;
  state.Split = split;
  rebuildPools(state);
}

void Router::removeService(const std::string &service) {
  const auto it = Services.find(service);
  if (it == Services.end()) {
    return;
  }
  it->second.HasSplit = false;
  it->second.Split = {};
  rebuildPools(it->second);
  if (it->second.Members.empty()) {
    Services.erase(it);
  }
}

bool Router::takenOut(const std::string &dataCentre) const {
  return std::find(TakenOut.begin(), TakenOut.end(), dataCentre) !=
         TakenOut.end();
}

void Router::rebuildPools(ServiceState &service) {
  for (auto *pool : {&service.Current, &service.Next}) {
    pool->Local.clear();
    pool->Remote.clear();
  }
  if (!service.HasSplit) {
    return;
  }
  for (const auto index : service.Members) {
    const auto &info = Servers[index].Info;
    if (!info.Alive || info.Leaving || takenOut(info.DataCentre)) {
      continue;
    }
    const bool isCurrent = info.ServiceVersion == service.Split.Current;
    if (!isCurrent && (service.Split.Next.empty() ||
                       info.ServiceVersion != service.Split.Next)) {
      continue;
    }
    auto &pool = isCurrent ? service.Current : service.Next;
    const bool isLocal = info.DataCentre == OwnDataCentre;
    (isLocal ? pool.Local : pool.Remote).push_back(index);
  }
}

bool Router::usable(const Server &server, const std::vector<Address> &tried,
                    TimePoint now) {
  return server.NotBefore <= now && !server.Gate.Leaving &&
         !contains(tried, server.Info.Peer);
}

double Router::errorsAt(const Server &server, TimePoint now) const {
  return server.Errors == 0
             ? 0
             : server.Errors *
                   remainingWeight(now - server.ErrorsAt, Tuning.ErrorHalfLife);
}

double Router::latencyAt(const Server &server, const ServiceState &service,
                         TimePoint now) const {
  const double typical =
      service.LatencyUs > 0 ? service.LatencyUs : InitialLatencyUs;
  if (server.LatencyUs == 0) {
    return typical;
  }
  // Old measurements decay towards the typical latency, so that a server that
  // was slow is tried again.
  return typical +
         (server.LatencyUs - typical) *
             remainingWeight(now - server.LatencyAt, Tuning.ErrorHalfLife);
}

double Router::score(const Server &server, const ServiceState &service,
                     TimePoint now) const {
  const double latency = latencyAt(server, service, now);
  const double limit = std::max(1U, server.Gate.Limit);
  double load = server.InFlight;
  if (server.ExternalLoad > 0) {
    load += server.ExternalLoad *
            remainingWeight(now - server.GateAt, Tuning.GateHalfLife);
  }
  const double limitFactor = load >= limit ? LimitReachedFactor : 1;
  const double errors = errorsAt(server, now);
  // Squared, so that a single error does not exclude a good server.
  const double penalty = 1 + Tuning.ErrorPenalty * errors * errors;
  return latency * (load + IdleServerLoad) / limit * limitFactor * penalty;
}

Router::Pick Router::pickFrom(const std::vector<std::uint32_t> &pool,
                              const ServiceState &service,
                              const std::vector<Address> &tried,
                              TimePoint now) {
  Pick best;
  std::uint32_t first = 0;
  int found = 0;
  const auto consider = [&](std::uint32_t index) {
    auto &server = Servers[index];
    if ((found > 0 && index == first) || !usable(server, tried, now)) {
      return;
    }
    const double value = score(server, service, now);
    if (best.Chosen == nullptr || value < best.Score) {
      best = {&server, value};
    }
    first = index;
    ++found;
  };
  if (pool.size() > 2) {
    for (int n = 0; n < MaxRandomDraws && found < 2; ++n) {
      consider(pool[Random() % pool.size()]);
    }
  }
  if (found == 0 && !pool.empty()) {
    const auto start = Random() % pool.size();
    for (std::size_t n = 0; n < std::min(pool.size(), MaxScan); ++n) {
      consider(pool[(start + n) % pool.size()]);
    }
  }
  return best;
}

Router::Server *Router::pickFromPool(Pool &pool, const ServiceState &service,
                                     const std::vector<Address> &tried,
                                     TimePoint now) {
  const auto local = pickFrom(pool.Local, service, tried, now);
  const auto remote = pickFrom(pool.Remote, service, tried, now);
  if (local.Chosen == nullptr || remote.Chosen == nullptr) {
    return local.Chosen != nullptr ? local.Chosen : remote.Chosen;
  }
  pool.Spillover = std::max(
      0.0, pool.Spillover - seconds(now - pool.SpilloverAt) /
                                seconds(Tuning.LocalPreferenceRecoveryTime));
  pool.SpilloverAt = now;
  const double minLatencyScore =
      MinComparedLoad *
      (service.LatencyUs > 0 ? service.LatencyUs : InitialLatencyUs);
  const double factor =
      1 + (Tuning.LocalPreferenceFactor - 1) * (1 - pool.Spillover);
  if (std::max(local.Score, minLatencyScore) <=
      factor * std::max(remote.Score, minLatencyScore)) {
    return local.Chosen;
  }
  pool.Spillover = std::min(1.0, pool.Spillover + SpilloverStep);
  return remote.Chosen;
}

bool Router::selectsNext(ServiceState &service, bool firstAttempt) {
  const auto share = static_cast<std::int64_t>(service.Split.ShareBasisPoints);
  if (service.Split.Next.empty() || share <= 0) {
    return false;
  }
  if (!firstAttempt) {
    return share >= FullShare;
  }
  service.Accumulator += std::min(share, FullShare);
  if (service.Accumulator < FullShare) {
    return false;
  }
  service.Accumulator -= FullShare;
  return true;
}

Duration Router::earliestRetry(const Pool &pool, TimePoint now) const {
  Duration wait = Duration::max();
  for (const auto *list : {&pool.Local, &pool.Remote}) {
    for (std::size_t n = 0; n < std::min(list->size(), MaxScan); ++n) {
      wait = std::min(wait, Servers[(*list)[n]].NotBefore - now);
    }
  }
  return wait;
}

RouteChoice Router::choose(std::string_view service,
                           const std::vector<Address> &tried, TimePoint now) {
  const auto it = Services.find(std::string(service));
  if (it == Services.end() || !it->second.HasSplit) {
    return {};
  }
  auto &state = it->second;
  const bool isNext = selectsNext(state, tried.empty());
  auto &wanted = isNext ? state.Next : state.Current;
  auto *server = pickFromPool(wanted, state, tried, now);
  if (server == nullptr && isNext) {
    server = pickFromPool(state.Current, state, tried, now);
  } else if (server == nullptr && state.Split.ShareBasisPoints > 0 &&
             state.Accumulator >= 0) {
    // Next takes the call in advance; the accumulator keeps its share correct
    // over time.
    server = pickFromPool(state.Next, state, tried, now);
    state.Accumulator -= server != nullptr ? FullShare : 0;
  }
  if (server != nullptr) {
    return {true, server->Info.Peer, server->Info.ServiceVersion, {}};
  }
  const auto wait = earliestRetry(wanted, now);
  const bool isKnown = wait > Duration::zero() && wait != Duration::max();
  return {false, {}, {}, isKnown ? wait : Duration::zero()};
}

RouteChoice Router::chooseForSuspect(std::string_view service,
                                     const std::vector<Address> &tried,
                                     const std::vector<Address> &crashed,
                                     TimePoint now) {
  auto avoided = tried;
  avoided.insert(avoided.end(), crashed.begin(), crashed.end());
  const auto choice = choose(service, avoided, now);
  return choice.Found || crashed.empty() ? choice : choose(service, tried, now);
}

void Router::updateGateState(Server &server, const GateState &gate,
                             TimePoint now) {
  server.Gate = gate;
  server.ExternalLoad =
      std::max(0.0, static_cast<double>(gate.InFlight) + gate.Queued -
                        static_cast<double>(server.InFlight));
  server.GateAt = now;
}

void Router::addLatency(Server &server, double latency, TimePoint now) {
  const double known = latencyAt(server, serviceOf(server), now);
  server.LatencyUs = server.LatencyUs == 0
                         ? latency
                         : known + ServerLatencyWeight * (latency - known);
  server.LatencyAt = now;
}

void Router::addError(Server &server, double weight, TimePoint now) {
  const double errors = errorsAt(server, now);
  server.Errors = errors + weight * (1 - errors);
  server.ErrorsAt = now;
}

void Router::started(const Address &peer, TimePoint /*now*/) {
  if (auto *server = find(peer)) {
    ++server->InFlight;
  }
}

void Router::answered(const Address &peer, Duration latency,
                      const GateState &gate, TimePoint now) {
  auto *server = find(peer);
  if (server == nullptr) {
    return;
  }
  server->InFlight -= server->InFlight > 0 ? 1 : 0;
  const auto sample = static_cast<double>(latency.count());
  addLatency(*server, sample, now);
  server->Errors = errorsAt(*server, now) * (1 - FailureWeight / 3);
  server->ErrorsAt = now;
  updateGateState(*server, gate, now);
  auto &typical = serviceOf(*server).LatencyUs;
  typical = typical == 0 ? sample
                         : typical + ServiceLatencyWeight * (sample - typical);
}

void Router::refused(const Address &peer, const GateState &gate,
                     Duration retryAfter, TimePoint now) {
  auto *server = find(peer);
  if (server == nullptr) {
    return;
  }
  server->InFlight -= server->InFlight > 0 ? 1 : 0;
  addError(*server, RefusalWeight, now);
  updateGateState(*server, gate, now);
  server->NotBefore = now + std::min(retryAfter, Tuning.MaxBackOff);
}

void Router::failed(const Address &peer, Duration latency, TimePoint now) {
  auto *server = find(peer);
  if (server == nullptr) {
    return;
  }
  server->InFlight -= server->InFlight > 0 ? 1 : 0;
  addError(*server, FailureWeight, now);
  addLatency(*server,
             std::max(static_cast<double>(latency.count()),
                      serviceOf(*server).LatencyUs),
             now);
}

void Router::cancelled(const Address &peer) {
  if (auto *server = find(peer)) {
    server->InFlight -= server->InFlight > 0 ? 1 : 0;
  }
}

std::size_t Router::size() const { return ByAddress.size(); }

} // namespace chivefold
