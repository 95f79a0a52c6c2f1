// What a choice would consider, without making one.
#include "chivefold/mesh/placement.h"

#include "chivefold/core/enum_names.h"

#include <algorithm>

namespace chivefold {

namespace {

constexpr EnumNames<Obstacle, 13> ObstacleNames{{{
    {Obstacle::None, "none"},
    {Obstacle::Unreachable, "unreachable"},
    {Obstacle::HostLeaving, "host-leaving"},
    {Obstacle::NotReady, "not-ready"},
    {Obstacle::ServerLeaving, "server-leaving"},
    {Obstacle::Evacuated, "evacuated"},
    {Obstacle::NoShare, "no-share"},
    {Obstacle::NotAccepted, "not-accepted"},
    {Obstacle::Tried, "tried"},
    {Obstacle::BackOff, "back-off"},
    {Obstacle::LimitElsewhere, "limit-elsewhere"},
    {Obstacle::FullElsewhere, "full-elsewhere"},
    {Obstacle::OtherVersion, "other-version"},
}}};

bool isBetter(const CandidateView &a, const CandidateView &b) {
  if (a.RuledOutBy != b.RuledOutBy) {
    return a.RuledOutBy < b.RuledOutBy;
  }
  return a.Value != b.Value ? a.Value > b.Value : a.Host.Peer < b.Host.Peer;
}

} // namespace

std::string_view obstacleName(Obstacle obstacle) {
  return ObstacleNames.name(obstacle);
}

/** The candidates of one request. */
class Placement::Explainer {
public:
  Explainer(const Placement &from, const PlacementRequest &request,
            const std::vector<Address> &hosts, TimePoint now)
      : From(from), Wanted(request), Now(now),
        Split(from.Versions.split(request.Service)),
        ByWork(from.lastChoseByWork(request.Service)),
        Costs(ByWork ? from.costOf(request, now) : RequestCost()) {
    const auto eligible = from.eligibleServers(hosts);
    Local = from.localServers(eligible, now);
    const bool isFirst = request.Tried == nullptr || request.Tried->empty();
    WantsTarget = Split && (isFirst || Split->ShareBasisPoints == FullShare) &&
                  from.isTargetTurn(request.Service, *Split);
    if (WantsTarget) {
      Targets = from.targetServers(eligible, *Split);
    }
  }

  CandidateView view(const HostEntry &entry) const;
  /** Orders the candidates and marks the best one. */
  void rank(std::vector<CandidateView> &all) const;

private:
  bool isTarget(const HostState &host) const {
    return Split && host.Server.Version == Split->Target;
  }
  Obstacle obstacleToUse(const HostEntry &entry) const;
  Obstacle obstacleNow(const HostState &host) const;
  void addLoad(CandidateView &out) const;

  const Placement &From;
  const PlacementRequest &Wanted;
  TimePoint Now;
  std::optional<VersionPolicy::Split> Split;
  bool ByWork;
  RequestCost Costs;
  LocalServers Local;
  bool WantsTarget = false;
  std::vector<Address> Targets;
};

// Why the server gets no requests at all.
Obstacle Placement::Explainer::obstacleToUse(const HostEntry &entry) const {
  const auto &host = entry.State;
  if (From.acceptsRequests(entry)) {
    return Obstacle::None;
  }
  if (!entry.reachable() && !(host.Peer == From.Self)) {
    return Obstacle::Unreachable;
  }
  if (host.Leaving) {
    return Obstacle::HostLeaving;
  }
  if (host.Server.Phase != ServerPhase::Ready) {
    return Obstacle::NotReady;
  }
  if (From.hasLeft(host)) {
    return Obstacle::ServerLeaving;
  }
  if (From.Orders.isEvacuated(host.DataCentre)) {
    return Obstacle::Evacuated;
  }
  return From.Versions.share(host.Server.Service, host.Server.Version) == 0
             ? Obstacle::NoShare
             : Obstacle::NotAccepted;
}

// Why a server that gets requests does not get this one.
Obstacle Placement::Explainer::obstacleNow(const HostState &host) const {
  if (!From.mayTry(host, Wanted, Now)) {
    const auto *tried = Wanted.Tried;
    const bool wasTried =
        tried != nullptr &&
        std::find(tried->begin(), tried->end(), host.Peer) != tried->end();
    return wasTried ? Obstacle::Tried : Obstacle::BackOff;
  }
  if (host.DataCentre != From.DataCentre &&
      !From.isWorthCrossing(host, Local, Now)) {
    return From.limitWait(host, Now) > Duration::zero()
               ? Obstacle::LimitElsewhere
               : Obstacle::FullElsewhere;
  }
  const bool isOpenTarget =
      std::find(Targets.begin(), Targets.end(), host.Peer) != Targets.end();
  return isTarget(host) && !isOpenTarget ? Obstacle::OtherVersion
                                         : Obstacle::None;
}

void Placement::Explainer::addLoad(CandidateView &out) const {
  const auto it = From.Loads.find(out.Host.Peer);
  if (it == From.Loads.end()) {
    return;
  }
  const auto &load = it->second;
  out.Outstanding = From.outstandingRequests(load, Now);
  out.OwnRequests = load.OwnRequests;
  out.Limit = load.Limit;
  out.ErrorRate = load.ErrorRate * From.decay(load.ErrorRateAt, Now);
  const auto level = std::min<std::size_t>(Wanted.Priority, PriorityLevels - 1);
  out.BackOff = std::max(load.NotBefore[level] - Now, Duration::zero());
  if (From.limitedLoad(out.Host) != nullptr) {
    out.LimitPerSecond = load.StatedLimit.PerSecond;
  }
}

CandidateView Placement::Explainer::view(const HostEntry &entry) const {
  CandidateView out;
  out.Host = entry.State;
  out.RuledOutBy = obstacleToUse(entry);
  if (out.RuledOutBy == Obstacle::None) {
    out.RuledOutBy = obstacleNow(entry.State);
  }
  const auto rated = ByWork ? From.rateByWork(entry.State, Wanted, Costs, Now)
                            : From.rateByLatency(entry.State, Wanted, Now);
  out.Value = rated.Value;
  out.ExpectedLatency = Duration(static_cast<std::int64_t>(rated.ExpectedUs));
  out.LimitWait = From.limitWait(entry.State, Now);
  out.ShareBasisPoints = From.Versions.share(entry.State.Server.Service,
                                             entry.State.Server.Version);
  addLoad(out);
  return out;
}

void Placement::Explainer::rank(std::vector<CandidateView> &all) const {
  const auto isWanted = [this](const CandidateView &it) {
    return it.RuledOutBy == Obstacle::None && isTarget(it.Host) == WantsTarget;
  };
  // Without a server of the version that is due, another one is used.
  if (std::any_of(all.begin(), all.end(), isWanted)) {
    for (auto &it : all) {
      if (it.RuledOutBy == Obstacle::None && !isWanted(it)) {
        it.RuledOutBy = Obstacle::OtherVersion;
      }
    }
  }
  std::sort(all.begin(), all.end(), isBetter);
  if (!all.empty()) {
    all.front().IsBest = all.front().RuledOutBy == Obstacle::None;
  }
}

std::vector<CandidateView> Placement::explain(const PlacementRequest &request,
                                              TimePoint now) const {
  std::vector<CandidateView> out;
  const auto hosts = ByService.find(request.Service);
  if (hosts == ByService.end()) {
    return out;
  }
  const Explainer explainer(*this, request, hosts->second, now);
  for (const auto &it : hosts->second) {
    if (const auto *entry = Fleet.find(it)) {
      out.push_back(explainer.view(*entry));
    }
  }
  explainer.rank(out);
  return out;
}

} // namespace chivefold
