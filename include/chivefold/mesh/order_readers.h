/**
 * @file
 * Which hosts read the operator's stream for the others.
 */
#ifndef CHIVEFOLD_MESH_ORDER_READERS_H
#define CHIVEFOLD_MESH_ORDER_READERS_H

#include "chivefold/mesh/fleet_table.h"

#include <string>

namespace chivefold {

/**
 * Chooses a few readers in each data centre by rendezvous hashing (Thaler and
 * Ravishankar, 1998) over the hosts that can be reached: no election, and calls
 * of the store that grow with the number of data centres. Daemons whose views
 * differ choose more readers for a while, which is harmless. Not thread-safe.
 */
class OrderReaders {
public:
  static constexpr std::size_t ReadersPerDataCentre = 2;

  /** @param own address and @param dataCentre of this host. */
  OrderReaders(const FleetTable &fleet, Address own, std::string dataCentre);

  /** @return whether this host is one of the readers. */
  bool includesSelf() const;

private:
  const FleetTable &Fleet;
  const Address Own;
  const std::string DataCentre;
};

} // namespace chivefold

#endif
