#include "chivefold/mesh/fleet_table.h"

#include <algorithm>
#include <array>

namespace chivefold {

namespace {

constexpr std::array<std::string_view, 3> PhaseNames{"absent", "ready",
                                                     "draining"};
/** Delay before a failed host is contacted again. It doubles with each failure
 * up to the maximum, which bounds the time until a restarted host is noticed.
 */
constexpr Duration MinRetryDelay = std::chrono::milliseconds(250);
constexpr Duration MaxRetryDelay = std::chrono::seconds(2);
constexpr std::uint32_t MaxDoublings = 3;
/** Time since a reachable host was last seen after which it is probed. */
constexpr Duration IdleBeforeProbe = std::chrono::seconds(2);

std::uint64_t digestOf(const Address &peer) { return hash64(toString(peer)); }

bool sameServer(const BackendServerState &a, const BackendServerState &b) {
  return a.Instance == b.Instance && a.Service == b.Service &&
         a.Version == b.Version && a.Slots == b.Slots && a.Phase == b.Phase &&
         a.Start == b.Start;
}

} // namespace

std::string_view serverPhaseName(ServerPhase phase) {
  return PhaseNames[static_cast<std::size_t>(phase)];
}

FleetTable::FleetTable(std::uint64_t seed) : Random(seed) {}

HostEntry *FleetTable::add(const Address &peer, TimePoint now) {
  const auto it = Hosts.find(peer);
  if (it != Hosts.end()) {
    return &it->second;
  }
  if (Hosts.size() >= MaxHosts) {
    auto oldest = Hosts.end();
    for (auto host = Hosts.begin(); host != Hosts.end(); ++host) {
      if (!host->second.reachable() &&
          (oldest == Hosts.end() ||
           host->second.LastSeenAt < oldest->second.LastSeenAt)) {
        oldest = host;
      }
    }
    if (oldest == Hosts.end()) {
      return nullptr;
    }
    remove(Address(oldest->first));
  }
  auto &entry = Hosts[peer];
  entry.State.Peer = peer;
  entry.AddedAt = now;
  Digest ^= digestOf(peer);
  return &entry;
}

bool FleetTable::addAddress(const Address &peer, TimePoint now) {
  if (Hosts.count(peer) > 0) {
    return false;
  }
  return add(peer, now) != nullptr;
}

bool FleetTable::update(const HostState &state, TimePoint now) {
  auto *entry = add(state.Peer, now);
  if (entry == nullptr) {
    return false;
  }
  auto &known = entry->State;
  if (entry->StateKnown && known.BootId == state.BootId &&
      state.Sequence < known.Sequence) {
    return false;
  }
  const bool changed = !entry->reachable() || known.BootId != state.BootId ||
                       known.Leaving != state.Leaving ||
                       known.DataCentre != state.DataCentre ||
                       !sameServer(known.Server, state.Server);
  known = state;
  entry->StateKnown = true;
  entry->LastSeenAt = now;
  entry->Failures = 0;
  return changed;
}

RelayedUpdateResult FleetTable::updateFromRelay(const HostState &state,
                                                TimePoint now) {
  const auto *known = find(state.Peer);
  if (known != nullptr && known->StateKnown) {
    if (known->State.BootId != state.BootId) {
      return RelayedUpdateResult::OtherBoot;
    }
    if (state.Sequence <= known->State.Sequence) {
      return RelayedUpdateResult::Stale;
    }
  }
  update(state, now);
  return RelayedUpdateResult::Applied;
}

void FleetTable::recordFailure(const Address &peer, TimePoint now) {
  const auto it = Hosts.find(peer);
  if (it != Hosts.end()) {
    it->second.LastFailureAt = now;
    ++it->second.Failures;
  }
}

void FleetTable::recordContact(const Address &peer, TimePoint now) {
  const auto it = Hosts.find(peer);
  if (it != Hosts.end()) {
    it->second.LastSeenAt = now;
    it->second.Failures = 0;
  }
}

void FleetTable::recordDepartures(const Address &peer,
                                  const std::vector<Departure> &departures,
                                  TimePoint now) {
  const auto it = Hosts.find(peer);
  if (it == Hosts.end()) {
    return;
  }
  auto &known = it->second.Departed;
  for (const auto &departure : departures) {
    const bool isKnown =
        std::any_of(known.begin(), known.end(), [&](const Departure &other) {
          return other.Instance == departure.Instance &&
                 other.StartedAtMs == departure.StartedAtMs &&
                 other.AnnouncedAtMs >= departure.AnnouncedAtMs;
        });
    if (!isKnown) {
      known.push_back(departure);
      it->second.DepartedAt = now;
    }
  }
  if (known.size() > MaxDepartures) {
    known.erase(known.begin(),
                known.end() - static_cast<std::ptrdiff_t>(MaxDepartures));
  }
}

std::vector<Departure> FleetTable::departuresOf(const Address &peer,
                                                TimePoint now) const {
  const auto *entry = find(peer);
  return entry != nullptr && now < entry->DepartedAt + DepartureTime
             ? entry->Departed
             : std::vector<Departure>();
}

void FleetTable::remove(const Address &peer) {
  if (Hosts.erase(peer) > 0) {
    Digest ^= digestOf(peer);
  }
}

const HostEntry *FleetTable::find(const Address &peer) const {
  const auto it = Hosts.find(peer);
  return it == Hosts.end() ? nullptr : &it->second;
}

std::vector<Address> FleetTable::addresses() const {
  std::vector<Address> out;
  out.reserve(Hosts.size());
  for (const auto &it : Hosts) {
    out.push_back(it.first);
  }
  return out;
}

bool FleetTable::isContactDue(const HostEntry &entry, TimePoint now) const {
  if (entry.Failures == 0) {
    return !entry.StateKnown;
  }
  const auto doublings = std::min(entry.Failures - 1, MaxDoublings);
  const auto delay = std::min(MinRetryDelay * (1 << doublings), MaxRetryDelay);
  return now >= entry.LastFailureAt + delay;
}

std::vector<Address> FleetTable::selectProbeTargets(TimePoint now) {
  std::vector<Address> out;
  const HostEntry *leastRecent = nullptr;
  for (const auto &it : Hosts) {
    if (isContactDue(it.second, now)) {
      out.push_back(it.first);
    } else if (it.second.reachable() &&
               (leastRecent == nullptr ||
                it.second.LastSeenAt < leastRecent->LastSeenAt)) {
      leastRecent = &it.second;
    }
  }
  if (leastRecent != nullptr &&
      leastRecent->LastSeenAt + IdleBeforeProbe <= now) {
    out.push_back(leastRecent->State.Peer);
  }
  std::shuffle(out.begin(), out.end(), Random);
  return out;
}

std::vector<Address> FleetTable::removeExpired(TimePoint now) {
  std::vector<Address> out;
  for (const auto &it : Hosts) {
    const auto since = std::max(it.second.LastSeenAt, it.second.AddedAt);
    if (!it.second.reachable() && since + ExpireAfter <= now) {
      out.push_back(it.first);
    }
  }
  for (const auto &it : out) {
    remove(it);
  }
  return out;
}

} // namespace chivefold
