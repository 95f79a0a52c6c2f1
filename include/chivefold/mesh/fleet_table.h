/**
 * @file
 * The hosts of the fleet and the backend servers beside their daemons.
 */
#ifndef CHIVEFOLD_MESH_FLEET_TABLE_H
#define CHIVEFOLD_MESH_FLEET_TABLE_H

#include "chivefold/core/gate.h"
#include "chivefold/core/types.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivefold {

/** Whether a backend server takes new work. */
enum class ServerPhase : std::uint8_t { Absent, Ready, Draining };

/** @return "absent", "ready" or "draining". Thread-safe. */
std::string_view serverPhaseName(ServerPhase phase);

/** A backend server as the daemon beside it knows it. */
struct BackendServerState {
  /** Identity of this start of the server; "" if none is known. */
  std::string Instance;
  std::string Service;
  std::string Version;
  std::uint32_t Slots = 0;
  ServerPhase Phase = ServerPhase::Absent;
};

/** What a daemon says of itself. */
struct HostState {
  Address Peer;
  std::string DataCentre;
  /** Random for each start of the daemon. */
  std::uint64_t BootId = 0;
  /** Rises with each change within one start. */
  std::uint64_t Sequence = 0;
  /** The daemon stops; it takes no new work. */
  bool Leaving = false;
  BackendServerState Server;
  GateState Gate;
};

/** A host in the table. */
struct HostEntry {
  HostState State;
  /** False until the daemon itself was heard: only its address is known. */
  bool StateKnown = false;
  /** When an attempt to reach it last succeeded or failed; zero for never. */
  TimePoint LastSeenAt{};
  TimePoint LastFailureAt{};
  std::uint32_t Failures = 0;
  TimePoint AddedAt{};

  bool reachable() const { return StateKnown && Failures == 0; }
};

/** What a state that another host passed on is worth. */
enum class RelayedUpdateResult : std::uint8_t {
  /** Newer than what was known, and taken. */
  Applied,
  Stale,
  /** Of another start of the daemon: only that daemon can tell which is the
   * later one. */
  OtherBoot
};

/**
 * Hosts by the address of their daemon. The state of a host is numbered by that
 * host, so that a copy passed on by another is never taken for newer than it
 * is. At most MaxHosts are kept; on overflow
 * the host that has been unreachable for longest is dropped, and if all are
 * reachable the new one is ignored. Not thread-safe.
 */
class FleetTable {
public:
  static constexpr std::size_t MaxHosts = 8192;
  /** An unreachable host is forgotten after this time; its daemon would
   * announce itself on return. */
  static constexpr Duration ExpireAfter = std::chrono::minutes(2);

  explicit FleetTable(std::uint64_t seed);

  /** Adds an address to contact. @return whether it was new. */
  bool addAddress(const Address &peer, TimePoint now);

  /** Takes what a host said of itself. @return whether anything but its gate
   * changed. */
  bool update(const HostState &state, TimePoint now);

  /** Takes what another host passed on. A state that is not newer says nothing
   * of whether the host can be reached. */
  RelayedUpdateResult updateFromRelay(const HostState &state, TimePoint now);

  /** An attempt to reach the host failed. */
  void recordFailure(const Address &peer, TimePoint now);
  /** The host answered. */
  void recordContact(const Address &peer, TimePoint now);

  void remove(const Address &peer);

  const HostEntry *find(const Address &peer) const;
  const std::unordered_map<Address, HostEntry> &hosts() const { return Hosts; }

  /** @return a hash of all addresses, equal on daemons that know the same
   * hosts. */
  std::uint64_t addressDigest() const { return Digest; }
  std::vector<Address> addresses() const;

  /**
   * Chooses hosts to contact now: all that were never heard or failed, at a
   * pace that slows with each failure, and one other that was not heard for
   * longest.
   */
  std::vector<Address> selectProbeTargets(TimePoint now);

  /** Drops hosts that have been unreachable for ForgetAfter. @return them. */
  std::vector<Address> removeExpired(TimePoint now);

private:
  HostEntry *add(const Address &peer, TimePoint now);
  bool isContactDue(const HostEntry &entry, TimePoint now) const;

  std::mt19937_64 Random;
  std::unordered_map<Address, HostEntry> Hosts;
  std::uint64_t Digest = 0;
};

} // namespace chivefold

#endif
