#include "chivefold/mesh/order_readers.h"

#include <algorithm>

namespace chivefold {

OrderReaders::OrderReaders(const FleetTable &fleet, Address own,
                           std::string dataCentre)
    : Fleet(fleet), Own(std::move(own)), DataCentre(std::move(dataCentre)) {}

bool OrderReaders::includesSelf() const {
  const auto rank = [](const Address &peer) {
    return hash64("orders/" + toString(peer));
  };
  const auto own = rank(Own);
  const auto rankedBefore = std::count_if(
      Fleet.hosts().begin(), Fleet.hosts().end(), [&](const auto &it) {
        return it.first != Own && it.second.reachable() &&
               !it.second.State.Leaving &&
               it.second.State.DataCentre == DataCentre && rank(it.first) < own;
      });
  return static_cast<std::size_t>(rankedBefore) < ReadersPerDataCentre;
}

std::size_t OrderReaders::reachableHosts() const {
  return static_cast<std::size_t>(std::count_if(
      Fleet.hosts().begin(), Fleet.hosts().end(), [&](const auto &it) {
        return it.first == Own || it.second.reachable();
      }));
}

} // namespace chivefold
