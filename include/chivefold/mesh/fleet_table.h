/**
 * @file
 * Hosts of the fleet and the backend server that runs beside each daemon.
 */
#ifndef CHIVEFOLD_MESH_FLEET_TABLE_H
#define CHIVEFOLD_MESH_FLEET_TABLE_H

#include "chivefold/core/gate.h"
#include "chivefold/core/types.h"
#include "chivefold/mesh/departures.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivefold {

/** Whether a backend server accepts new requests. */
enum class ServerPhase : std::uint8_t { Absent, Ready, Draining };

/** @return "absent", "ready" or "draining". Thread-safe. */
std::string_view serverPhaseName(ServerPhase phase);

/** State of a backend server as reported by the daemon beside it. */
struct BackendServerState {
  /** Identifier of the server process, new on each start; "" if unknown. */
  std::string Instance;
  std::string Service;
  std::string Version;
  std::uint32_t Slots = 0;
  ServerPhase Phase = ServerPhase::Absent;
  /** Identifies the start of the server process, which may reuse the instance
   * identifier of an earlier one; 0 if unknown. */
  std::uint64_t Start = 0;
};

/** State that a daemon publishes about its host. */
struct HostState {
  Address Peer;
  std::string DataCentre;
  /** Random number chosen at each start of the daemon. */
  std::uint64_t BootId = 0;
  /** Incremented with each change of the state; comparable only between states
   * with the same BootId. */
  std::uint64_t Sequence = 0;
  /** The daemon is shutting down and accepts no new requests. */
  bool Leaving = false;
  BackendServerState Server;
  GateState Gate;
};

/** Entry of the fleet table. */
struct HostEntry {
  HostState State;
  /** False while only the address of the host is known. */
  bool StateKnown = false;
  /** Last contact or update; zero if there was none. */
  TimePoint LastSeenAt{};
  /** Last failed attempt to contact the host; zero if there was none. */
  TimePoint LastFailureAt{};
  /** Failed attempts since the last contact or update. */
  std::uint32_t Failures = 0;
  TimePoint AddedAt{};
  /** Servers of the host that have left, oldest first, for its next daemon. */
  std::vector<Departure> Departed;
  /** When the last of them was learned. */
  TimePoint DepartedAt{};

  bool reachable() const { return StateKnown && Failures == 0; }
};

/** Result of an update with a state that another host forwarded. */
enum class RelayedUpdateResult : std::uint8_t {
  /** The state was newer and was stored. */
  Applied,
  /** The state was not newer and was ignored. */
  Stale,
  /** The state belongs to another start of the daemon and was ignored: boot
   * identifiers have no order, so only the daemon itself can tell which start
   * is current. */
  OtherBoot
};

/**
 * Known hosts by the address of their daemon. Each host numbers its own states,
 * so that a copy forwarded by another host cannot replace a newer state. The
 * table holds at most MaxHosts. When it is full, a new host replaces the
 * unreachable host that was last seen longest ago; if all hosts are reachable,
 * the new host is ignored. Not thread-safe.
 */
class FleetTable {
public:
  static constexpr std::size_t MaxHosts = 8192;
  /** Time after which an unreachable host is removed. Its daemon announces
   * itself when it returns. */
  static constexpr Duration ExpireAfter = std::chrono::minutes(2);
  /** Departures kept of one host; the oldest are dropped. */
  static constexpr std::size_t MaxDepartures = 8;
  /** Time for which a host is told of them after the last one. A daemon that
   * starts later finds them in the store. */
  static constexpr Duration DepartureTime = std::chrono::minutes(5);

  explicit FleetTable(std::uint64_t seed);

  /** Adds a host of which only the address is known.
   * @return whether the host was added. */
  bool addAddress(const Address &peer, TimePoint now);

  /** Stores a state received from the host itself.
   * @return whether anything other than the gate state changed, or the host was
   * not reachable before. */
  bool update(const HostState &state, TimePoint now);

  /** Stores a state that another host forwarded, if it is newer. A state that
   * is not newer leaves the reachability of the host unchanged. */
  RelayedUpdateResult updateFromRelay(const HostState &state, TimePoint now);

  /** Records a failed attempt to contact the host, which becomes unreachable.
   */
  void recordFailure(const Address &peer, TimePoint now);
  /** Records that the host answered. */
  void recordContact(const Address &peer, TimePoint now);

  /** Records servers of a known host that have left. */
  void recordDepartures(const Address &peer,
                        const std::vector<Departure> &departures,
                        TimePoint now);
  /** @return what to tell the daemon of a host of the servers that left it. */
  std::vector<Departure> departuresOf(const Address &peer, TimePoint now) const;

  void remove(const Address &peer);

  const HostEntry *find(const Address &peer) const;
  const std::unordered_map<Address, HostEntry> &hosts() const { return Hosts; }

  /** @return an order-independent hash of all addresses, equal on daemons that
   * know the same hosts. */
  std::uint64_t addressDigest() const { return Digest; }
  std::vector<Address> addresses() const;

  /**
   * Selects the hosts to contact now: hosts whose state is unknown, hosts whose
   * last contact failed, with an exponential backoff, and the reachable host
   * that was last seen longest ago, if that time is long enough.
   */
  std::vector<Address> selectProbeTargets(TimePoint now);

  /** Removes hosts that are unreachable and were not seen for ExpireAfter.
   * @return the removed hosts. */
  std::vector<Address> removeExpired(TimePoint now);

private:
  /** @return the existing or new entry, or null if the table is full of
   * reachable hosts. */
  HostEntry *add(const Address &peer, TimePoint now);
  bool isContactDue(const HostEntry &entry, TimePoint now) const;

  std::mt19937_64 Random;
  std::unordered_map<Address, HostEntry> Hosts;
  std::uint64_t Digest = 0;
};

} // namespace chivefold

#endif
