/**
 * @file
 * Selects the receivers of host announcements.
 */
#ifndef CHIVEFOLD_MESH_ANNOUNCE_PLAN_H
#define CHIVEFOLD_MESH_ANNOUNCE_PLAN_H

#include "chivefold/mesh/fleet_table.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace chivefold {

/** Receiver of an announcement. */
struct AnnounceTarget {
  Address Peer;
  /** Whether the receiver forwards the announcement to the other hosts of its
   * data centre. */
  bool IsRelay = false;
};

/**
 * Hierarchical multicast of announcements, after Astrolabe (van Renesse et al.,
 * 2003), with random representatives. Hosts of the local data centre receive an
 * announcement directly. Each remote data centre receives it through a few
 * randomly chosen relays, so that traffic between data centres grows with the
 * number of data centres and not with the number of hosts. With two relays, a
 * data centre misses an announcement only if both relays fail; periodic probes
 * then deliver the new state. Not thread-safe.
 */
class AnnouncePlan {
public:
  /** Relays used for each remote data centre. */
  static constexpr std::size_t RelaysPerDataCentre = 2;

  /** @param own address of this host.
   * @param dataCentre data centre of this host. */
  AnnouncePlan(const FleetTable &fleet, Address own, std::string dataCentre,
               std::uint64_t seed);

  /** @return the hosts to which this host sends its own announcements. */
  std::vector<AnnounceTarget> targets();

  /** @return the hosts to which this host, as a relay, forwards an
   * announcement of @p origin. */
  std::vector<Address> relayTargets(const Address &origin) const;

  /** @return randomly chosen reachable hosts: up to @p localCount of this data
   * centre and up to @p perRemoteDataCentre of each other data centre. */
  std::vector<Address> sampleHosts(std::size_t localCount,
                                   std::size_t perRemoteDataCentre);

  /** @return whether to request bulk data from @p peer: it is a reachable host
   * of this data centre, or this data centre has no other reachable host. */
  bool isPreferredSource(const Address &peer) const;

private:
  using ByDataCentre = std::map<std::string, std::vector<Address>>;

  /** @return all reachable hosts but this one, in random order. */
  ByDataCentre shuffledHosts();

  const FleetTable &Fleet;
  const Address Own;
  const std::string DataCentre;
  std::mt19937_64 Random;
};

} // namespace chivefold

#endif
