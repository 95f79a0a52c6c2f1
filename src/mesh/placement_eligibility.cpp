// Which servers may get a request.
#include "chivefold/mesh/placement.h"
#include "chivefold/mesh/request_pacer.h"

#include <algorithm>

namespace chivefold {

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
