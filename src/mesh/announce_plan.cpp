#include "chivefold/mesh/announce_plan.h"

#include <algorithm>
#include <iterator>

namespace chivefold {

AnnouncePlan::AnnouncePlan(const FleetTable &fleet, Address own,
                           std::string dataCentre, std::uint64_t seed)
    : Fleet(fleet), Own(std::move(own)), DataCentre(std::move(dataCentre)),
      Random(seed) {}

AnnouncePlan::ByDataCentre AnnouncePlan::shuffledHosts() {
  ByDataCentre out;
  for (const auto &it : Fleet.hosts()) {
    if (it.second.reachable() && it.first != Own) {
      out[it.second.State.DataCentre].push_back(it.first);
    }
  }
  for (auto &it : out) {
    std::shuffle(it.second.begin(), it.second.end(), Random);
  }
  return out;
}

std::vector<AnnounceTarget> AnnouncePlan::targets() {
  std::vector<AnnounceTarget> out;
  for (auto &it : shuffledHosts()) {
    auto &hosts = it.second;
    const bool useRelays =
        it.first != DataCentre && hosts.size() > RelaysPerDataCentre;
    if (useRelays) {
      hosts.resize(RelaysPerDataCentre);
    }
    for (auto &host : hosts) {
      out.push_back({std::move(host), useRelays});
    }
  }
  return out;
}

std::vector<Address>
AnnouncePlan::sampleHosts(std::size_t localCount,
                          std::size_t perRemoteDataCentre) {
  std::vector<Address> out;
  for (auto &it : shuffledHosts()) {
    auto &hosts = it.second;
    hosts.resize(std::min(hosts.size(), it.first == DataCentre
                                            ? localCount
                                            : perRemoteDataCentre));
    std::move(hosts.begin(), hosts.end(), std::back_inserter(out));
  }
  return out;
}

bool AnnouncePlan::isPreferredSource(const Address &peer) const {
  const auto isLocal = [this](const HostEntry &it) {
    return it.reachable() && it.State.DataCentre == DataCentre;
  };
  const auto *entry = Fleet.find(peer);
  return (entry != nullptr && isLocal(*entry)) ||
         std::none_of(Fleet.hosts().begin(), Fleet.hosts().end(),
                      [&](const auto &it) {
                        return it.first != Own && isLocal(it.second);
                      });
}

std::vector<Address> AnnouncePlan::relayTargets(const Address &origin) const {
  std::vector<Address> out;
  for (const auto &it : Fleet.hosts()) {
    if (it.second.reachable() && it.first != Own && it.first != origin &&
        it.second.State.DataCentre == DataCentre) {
      out.push_back(it.first);
    }
  }
  return out;
}

} // namespace chivefold
