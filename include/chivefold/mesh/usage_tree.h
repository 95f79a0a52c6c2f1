/**
 * @file
 * The order in which the daemons of the fleet pass their counts on.
 */
#ifndef CHIVEFOLD_MESH_USAGE_TREE_H
#define CHIVEFOLD_MESH_USAGE_TREE_H

#include "chivefold/mesh/fleet_table.h"

#include <cstddef>
#include <optional>

namespace chivefold {

/** Place of a daemon in the tree. */
struct UsageTreePlace {
  /** Next host towards the root; absent at the root itself. */
  std::optional<Address> Parent;
  /** Levels of hosts below, at most. */
  std::size_t LevelsBelow = 0;
  std::size_t Hosts = 1;
};

/** Number of hosts that pass their counts to one. */
constexpr std::size_t UsageTreeFanIn = 8;

/** Arranges the reachable hosts that do not leave by the hash of their address.
 * All hosts agree on the tree as far as they agree on who is reachable. @param
 * self is part of the tree, unless @p leaving. Thread-safe for a table that
 * does not change. */
UsageTreePlace usageTreePlace(const FleetTable &fleet, const Address &self,
                              bool leaving);

} // namespace chivefold

#endif
