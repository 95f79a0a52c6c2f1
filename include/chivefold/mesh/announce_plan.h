/**
 * @file
 * To whom a daemon sends the news of its host.
 */
#ifndef CHIVEFOLD_MESH_ANNOUNCE_PLAN_H
#define CHIVEFOLD_MESH_ANNOUNCE_PLAN_H

#include "chivefold/mesh/fleet_table.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace chivefold {

/** A receiver of an announcement. */
struct AnnounceTarget {
  Address Peer;
  /** It passes the announcement on within its data centre. */
  bool IsRelay = false;
};

/**
 * Hosts of the own data centre get an announcement directly, and each other one
 * through a few relays drawn at random, so that the bytes between data centres
 * grow with the number of these and not with that of hosts. With two relays
 * the news of a host is missed only if both fail; probes find that. The scheme
 * is the hierarchical multicast of van Renesse et al., Astrolabe (2003), with
 * random representatives. Not thread-safe.
 */
class AnnouncePlan {
public:
  /** Relays of a data centre. */
  static constexpr std::size_t RelaysPerDataCentre = 2;

  /** @param own address and @param dataCentre of this host. */
  AnnouncePlan(const FleetTable &fleet, Address own, std::string dataCentre,
               std::uint64_t seed);

  /** @return receivers of the news of this host. */
  std::vector<AnnounceTarget> targets();

  /** @return to whom this host passes on the news of @p origin. */
  std::vector<Address> relayTargets(const Address &origin) const;

  /** @return up to @p localCount hosts of this data centre and @p
   * perRemoteDataCentre of each other one, drawn at random. */
  std::vector<Address> sampleHosts(std::size_t localCount,
                                   std::size_t perRemoteDataCentre);

  /** @return whether to ask @p peer for bulky content now: it is in this data
   * centre, or no other host of this one can be reached. */
  bool isPreferredSource(const Address &peer) const;

private:
  using ByDataCentre = std::map<std::string, std::vector<Address>>;

  ByDataCentre shuffledHosts();

  const FleetTable &Fleet;
  const Address Own;
  const std::string DataCentre;
  std::mt19937_64 Random;
};

} // namespace chivefold

#endif
