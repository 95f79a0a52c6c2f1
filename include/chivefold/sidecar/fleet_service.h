/**
 * @file
 * Daemon discovery and exchange of backend server states between daemons.
 */
#ifndef CHIVEFOLD_SIDECAR_FLEET_SERVICE_H
#define CHIVEFOLD_SIDECAR_FLEET_SERVICE_H

#include "chivefold/io/logging.h"
#include "chivefold/io/peer_network.h"
#include "chivefold/mesh/announce_plan.h"
#include "chivefold/mesh/order_readers.h"
#include "chivefold/sidecar/ports.h"
#include "peer_generated.h"

#include <functional>
#include <random>
#include <set>

namespace chivefold {

/** State of other services that hello messages carry along. */
struct PiggybackedState {
  /** End of the operator's stream as known to the sender. */
  StorePosition OperatorEnd;
  /** Where the era of that end begins. */
  EraStart OperatorEraStart;
  /** Hash of the operator's records. */
  std::uint64_t OperatorDigest = 0;
  /** Time since the store confirmed that the stream ends there. */
  Duration Unconfirmed{};
  std::uint64_t RolloutDigest = 0;
  /** Server crashes known to the sender, with the requests that caused them. */
  std::vector<std::unique_ptr<wire::PoisonDeathT>> Deaths;
  /** Servers that have left: of the sender's host in a sent message, of the
   * receiver's in a received one. */
  std::vector<Departure> Departed;
  /** The sender knows all servers that left before it started. */
  bool KnowsDepartures = false;
};

/** Delivery path of an announcement; the values are used on the wire. */
enum class HelloRoute : std::uint8_t { Direct, ToRelay, Relayed };

/**
 * Registers this daemon in the store and sends hello messages to other daemons.
 * A daemon first writes its own address and then lists all addresses. Of two
 * daemons, the one that writes later therefore sees the other and contacts it,
 * so no polling of the store is needed.
 *
 * State changes are announced directly within the data centre and through
 * relays to other data centres. Periodic probes of the hosts that have been
 * silent longest recover missed announcements. Unreachable hosts are retried,
 * so peers find a restarted daemon even while the store is down. Address lists
 * are requested only while the address digests of two hosts differ, with
 * exponential backoff. Used on the reactor's thread only.
 */
class FleetService {
public:
  /** Interval between rounds of probes. */
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(500);
  static constexpr Duration HelloTimeout = std::chrono::milliseconds(800);
  /** Maximum number of hosts probed per round. */
  static constexpr std::size_t MaxProbes = 64;
  /** Minimum interval between requests for address lists; doubles up to
   * MaxAddressRequestInterval while the answers contain no new address. */
  static constexpr Duration MinAddressRequestInterval = std::chrono::seconds(2);
  static constexpr Duration MaxAddressRequestInterval =
      std::chrono::seconds(30);
  static constexpr Duration StoreTimeout = std::chrono::milliseconds(1000);
  static constexpr Duration MinStoreRetryDelay = std::chrono::milliseconds(100);
  static constexpr Duration MaxStoreRetryDelay = std::chrono::milliseconds(800);
  /** Bound of the random delay before addresses are written again, so that few
   * hosts find the same ones missing. */
  static constexpr Duration MaxRepairDelay = std::chrono::milliseconds(1500);

  using PiggybackProvider = std::function<PiggybackedState()>;
  /** Called when a hello message or an answer to one arrives from @p from. */
  using HelloObserver =
      std::function<void(const Address &from, const PiggybackedState &)>;

  /** @param own address of this host. @param self returns its current state.
   * @param changed called when the table has changed. The references must
   * outlive this object. */
  FleetService(Reactor &reactor, PeerNetwork &network, const StoreAccess &store,
               FleetTable &table, AnnouncePlan &plan,
               const OrderReaders &readers, Address own,
               std::function<HostState()> self, PiggybackProvider piggybacked,
               HelloObserver onHelloReceived, std::function<void()> changed,
               std::uint64_t seed);

  /** Registers this host and starts probing. Must be called only once. */
  void start();

  /** Sets what sees each record of the stream of hosts first, when they are
   * listed at the start. @p task returns whether the record is no host's. */
  void onOtherRecord(std::function<bool(const KeyedRecord &)> task) {
    OtherRecord = std::move(task);
  }

  /** Sets what runs after the listing, with the era of the store. */
  void onListed(std::function<void(std::uint64_t era)> task) {
    Listed = std::move(task);
  }

  /** @return how many entries of the store named no host. */
  std::uint64_t ignoredEntries() const { return IgnoredEntries; }

  /** @return up to @p max reachable other hosts, chosen at random. */
  std::vector<Address> randomHosts(std::size_t max);

  /** Announces the current state of this host to all other hosts. */
  void announce();

  /** Sends the current state to @p max random hosts. @param done called for
   * each that has it. */
  void notifySome(std::size_t max, const std::function<void()> &done);

  /** Handles a hello message: an announcement if @p respond is empty, else a
   * probe, which is answered with the state of this host. */
  void onHello(wire::HelloT &hello, const PeerResponder &respond);

private:
  void registerSelf();
  void listHosts(const std::string &afterKey);
  void retryStore(const Reason &reason);
  void onHostsListed(const KeyedBatch &batch);
  void scheduleRepair();
  void findMissing(const std::string &afterKey);
  void writeMissing();
  void probe();
  void sendHello(const Address &peer, std::function<void()> done = {});
  wire::HelloT makeHello() const;
  wire::HelloT makeHello(const Address &to) const;
  void addAddresses(wire::HelloT &hello) const;
  void sendAnnouncement(const Address &peer, wire::HelloT hello,
                        HelloRoute route);
  void handleHello(wire::HelloT &hello);
  void handleAnnouncement(wire::HelloT &hello);
  void relay(const HostState &state, const wire::HelloT &hello);
  void handleRelayedAnnouncement(const HostState &state);
  void onHostChanged(const HostState &state, bool isNew);
  void deliverPiggyback(const Address &peer, wire::HelloT &hello);
  void mergeAddresses(const wire::HelloT &hello);

  Reactor &Loop;
  PeerNetwork &Network;
  const StoreAccess Store;
  FleetTable &Table;
  AnnouncePlan &Plan;
  const OrderReaders &Readers;
  const Address Own;
  std::function<HostState()> Self;
  PiggybackProvider OwnPiggyback;
  HelloObserver OnHelloReceived;
  std::function<void()> Changed;
  std::function<bool(const KeyedRecord &)> OtherRecord;
  std::function<void(std::uint64_t)> Listed;
  std::mt19937_64 Random;
  /** The address digest in the last hello message differed from that of this
   * host. */
  bool AddressesDiffer = false;
  TimePoint NextAddressRequestAt{};
  Duration AddressRequestInterval = MinAddressRequestInterval;
  bool Written = false;
  /** Era of the store for which its addresses are complete as far as this host
   * knows. */
  std::uint64_t RepairedEra = 0;
  /** Addresses that the store was found to have. */
  std::set<std::string> Stored;
  std::uint32_t StoreFailures = 0;
  std::uint64_t IgnoredEntries = 0;
  Logger Lines{"fleet"};
};

} // namespace chivefold

#endif
