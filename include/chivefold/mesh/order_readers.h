/**
 * @file
 * Selects the hosts that read the operator's stream on behalf of the others.
 */
#ifndef CHIVEFOLD_MESH_ORDER_READERS_H
#define CHIVEFOLD_MESH_ORDER_READERS_H

#include "chivefold/mesh/fleet_table.h"

#include <string>

namespace chivefold {

/**
 * Selects a few readers in each data centre by rendezvous hashing (Thaler and
 * Ravishankar, 1998) over the reachable hosts. This needs no election, and the
 * number of calls to the store grows with the number of data centres and not
 * with the number of hosts. While the views of the daemons differ, more hosts
 * may act as readers, which is harmless. Not thread-safe.
 */
class OrderReaders {
public:
  static constexpr std::size_t ReadersPerDataCentre = 2;

  /** @param own address of this host.
   * @param dataCentre data centre of this host. */
  OrderReaders(const FleetTable &fleet, Address own, std::string dataCentre);

  /** @return whether this host is one of the readers. */
  bool includesSelf() const;

  /** @return the number of reachable hosts, this one included. */
  std::size_t reachableHosts() const;

private:
  const FleetTable &Fleet;
  const Address Own;
  const std::string DataCentre;
};

} // namespace chivefold

#endif
