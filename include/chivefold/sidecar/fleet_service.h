/**
 * @file
 * How daemons find each other and learn of each other's backend servers.
 */
#ifndef CHIVEFOLD_SIDECAR_FLEET_SERVICE_H
#define CHIVEFOLD_SIDECAR_FLEET_SERVICE_H

#include "chivefold/io/logging.h"
#include "chivefold/io/peer_network.h"
#include "chivefold/mesh/announce_plan.h"
#include "chivefold/sidecar/ports.h"
#include "peer_generated.h"

#include <functional>
#include <random>

namespace chivefold {

/** What other services add to a greeting and read from one. */
struct GreetingExtras {
  /** Place that the sender has reached in the operator's stream. */
  std::uint64_t OperatorEnd = 0;
  /** Time since the store confirmed that there is nothing behind it. */
  Duration Unconfirmed{};
  std::uint64_t RolloutDigest = 0;
  /** Requests that servers died of, as far as the sender knows. */
  std::vector<std::unique_ptr<wire::PoisonDeathT>> Deaths;
};

/** How an announcement came; the values are those of the wire. */
enum class HelloRoute : std::uint8_t { Direct, ToRelay, Relayed };

/**
 * Registers this daemon in the store and greets the others. A daemon writes its
 * address first and then reads those of all: of two daemons the one that writes
 * later sees the other and greets it, so the pair knows each other without
 * polling. Changes are announced to the own data centre at once and to others
 * through relays; a slow probe of the host that was silent for longest finds
 * what was missed, and hosts that do not answer are tried again, so a restarted
 * daemon is found by its peers also while the store is down. Lists of addresses
 * are asked for only while the digests of two hosts differ, ever more seldom.
 * Used on the reactor's thread only.
 */
class FleetService {
public:
  /** Pause between two rounds of probes. */
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(500);
  static constexpr Duration GreetTimeout = std::chrono::milliseconds(800);
  /** Hosts greeted in one round of probes. */
  static constexpr std::size_t MaxProbes = 64;
  /** Pause before addresses are asked for again; doubles while the answers
   * have nothing new. */
  static constexpr Duration MinAddressPause = std::chrono::seconds(2);
  static constexpr Duration MaxAddressPause = std::chrono::seconds(30);
  static constexpr Duration StoreTimeout = std::chrono::milliseconds(1000);
  static constexpr Duration MinStorePause = std::chrono::milliseconds(100);
  static constexpr Duration MaxStorePause = std::chrono::milliseconds(800);

  using Extras = std::function<GreetingExtras()>;
  /** @p from greeted or answered. */
  using Heard =
      std::function<void(const Address &from, const GreetingExtras &)>;

  /** @param own address of this host. @param self returns its present state.
   * @param changed runs when the table changed. The references outlive this
   * object. */
  FleetService(Reactor &reactor, PeerNetwork &network, KeyedStore &store,
               FleetTable &table, AnnouncePlan &plan, Address own,
               std::function<HostState()> self, Extras extras, Heard heard,
               std::function<void()> changed, std::uint64_t seed);

  /** Registers and starts probing. Precondition: called once. */
  void start();

  /** @return up to @p max reachable hosts, drawn at random. */
  std::vector<Address> randomHosts(std::size_t max);

  /** Tells all hosts that the state of this one changed. */
  void announce();

  void onHello(wire::HelloT &hello, const PeerResponder &respond);

private:
  void registerSelf();
  void listHosts(const std::string &afterKey);
  void retryStore(const Reason &reason);
  void probe();
  void greet(const Address &peer);
  wire::HelloT hello() const;
  void addAddresses(wire::HelloT &hello) const;
  void pass(const Address &peer, wire::HelloT hello, HelloRoute route);
  void take(wire::HelloT &hello);
  void takeAnnouncement(wire::HelloT &hello);
  void relay(const HostState &state, const wire::HelloT &hello);
  void takeRelayed(const HostState &state);
  void noteNews(const HostState &state, bool isNew);
  void takeExtras(const Address &peer, wire::HelloT &hello);
  void takeAddresses(const wire::HelloT &hello);

  Reactor &Loop;
  PeerNetwork &Network;
  KeyedStore &Store;
  FleetTable &Table;
  AnnouncePlan &Plan;
  const Address Own;
  std::function<HostState()> Self;
  Extras OwnExtras;
  Heard OnHeard;
  std::function<void()> Changed;
  std::mt19937_64 Random;
  /** The last greeted or greeting host knew other addresses. */
  bool AddressesDiffer = false;
  TimePoint NextAddresses{};
  Duration AddressPause = MinAddressPause;
  bool Written = false;
  std::uint32_t StoreFailures = 0;
  Logger Lines{"fleet"};
};

} // namespace chivefold

#endif
