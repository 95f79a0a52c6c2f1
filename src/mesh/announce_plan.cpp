#include "chivefold/mesh/announce_plan.h"

#include <algorithm>
#include <map>

namespace chivefold {

AnnouncePlan::AnnouncePlan(const FleetTable &fleet, Address own,
                           std::string dataCentre, std::uint64_t seed)
    : Fleet(fleet), Own(std::move(own)), DataCentre(std::move(dataCentre)),
      Random(seed) {}

std::vector<AnnounceTarget> AnnouncePlan::targets() {
  std::vector<AnnounceTarget> out;
  std::map<std::string, std::vector<Address>> others;
  for (const auto &it : Fleet.hosts()) {
    if (!it.second.reachable() || it.first == Own) {
      continue;
    }
    if (it.second.State.DataCentre == DataCentre) {
      out.push_back({it.first, false});
    } else {
      others[it.second.State.DataCentre].push_back(it.first);
    }
  }
  for (auto &it : others) {
    auto &hosts = it.second;
    const bool relays = hosts.size() > Relays;
    std::shuffle(hosts.begin(), hosts.end(), Random);
    hosts.resize(std::min(hosts.size(), Relays));
    for (auto &host : hosts) {
      out.push_back({std::move(host), relays});
    }
  }
  return out;
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
