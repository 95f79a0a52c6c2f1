/**
 * @file
 * Replicates the operator's records from the platform's store.
 */
#ifndef CHIVEFOLD_SIDECAR_ORDER_FEED_H
#define CHIVEFOLD_SIDECAR_ORDER_FEED_H

#include "chivefold/io/logging.h"
#include "chivefold/io/peer_network.h"
#include "chivefold/mesh/announce_plan.h"
#include "chivefold/mesh/operator_state.h"
#include "chivefold/mesh/order_readers.h"
#include "chivefold/sidecar/fleet_service.h"
#include "chivefold/sidecar/ports.h"
#include "peer_generated.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace chivefold {

/** Dependencies of OrderFeed; all must outlive it. */
struct OrderFeedDependencies {
  KeyedStore &Store;
  PeerNetwork &Network;
  OperatorState &State;
  AnnouncePlan &Plan;
  const OrderReaders &Readers;
};

/**
 * Keeps this host's copy of the operator's records up to date. At start, it
 * lists the newest record of each key. Afterwards only a few hosts, the
 * readers, follow the store, each with one long poll at a time. When a reader
 * receives records, it sends its end offset to a few random hosts, which fetch
 * the missing records from it and notify others in turn. Hello messages also
 * carry the end offset, with the time since the store last confirmed it. A host
 * that receives no confirmation for MaxUnconfirmed reads the store itself.
 *
 * When the store has come back from an older copy, the readers list it again,
 * and the other hosts take the new history from them. Used on the reactor's
 * thread only.
 */
class OrderFeed {
public:
  /** Time after which the store answers a long poll without a record. Together
   * with PollAnswerMargin it bounds the delay of an order by a lost poll. */
  static constexpr Duration LongPollTime = std::chrono::milliseconds(1000);
  static constexpr Duration PollAnswerMargin = std::chrono::milliseconds(500);
  static constexpr Duration ListTimeout = std::chrono::milliseconds(1000);
  static constexpr Duration MinRetryDelay = std::chrono::milliseconds(100);
  static constexpr Duration MaxRetryDelay = std::chrono::milliseconds(500);
  static constexpr Duration FetchTimeout = std::chrono::milliseconds(400);
  /** A reader without an answer from the store for this time fetches from its
   * peers. */
  static constexpr Duration StoreSilenceLimit = std::chrono::milliseconds(800);
  /** Interval between checks of whether this host must read the store. */
  static constexpr Duration ReaderCheckInterval =
      std::chrono::milliseconds(250);
  /** A host that is not a reader reads the store if its end offset has not been
   * confirmed for this time. */
  static constexpr Duration MaxUnconfirmed = std::chrono::milliseconds(2500);
  /** Number of hosts of the fleet that start to read in one check if none has a
   * confirmation, so that the load on the store does not grow with the fleet.
   */
  static constexpr std::size_t FallbackReadersPerCheck = 16;
  /** Number of hosts in the own data centre that are notified of a new end
   * offset. With this fan-out, gossip reaches 98 of 100 hosts immediately;
   * hello messages reach the rest. */
  static constexpr std::size_t NoticeFanout = 4;
  /** Delay before records are fetched from another data centre, during which a
   * host of the own data centre may offer them. Saves traffic between data
   * centres: a configuration can have 256 KB. */
  static constexpr Duration RemoteFetchDelay = std::chrono::milliseconds(400);
  /** Larger values are compressed before they are sent to other hosts. Without
   * compression, four fetches of a configuration occupy the link of a small
   * host for 0.4 s. */
  static constexpr std::size_t MaxUncompressedBytes = 1024;
  /** Maximum number of remembered hosts from which records can be fetched. */
  static constexpr std::size_t MaxSources = 4;

  /** @param own address of this host. @param changed called after records have
   * been applied. */
  OrderFeed(Reactor &reactor, const OrderFeedDependencies &parts, Address own,
            std::function<void(const OperatorChange &)> changed,
            std::uint64_t seed);

  /** Starts reading the store. Must be called only once. */
  void start();

  /** Handles the end offset and confirmation time in a peer's hello message. */
  void onPeer(const Address &peer, const PiggybackedState &piggybacked);
  /** Handles a peer's notice of a new end offset. */
  void onNotice(const wire::OrdersNoticeT &notice);

  /** Answers a peer's request for the records from offset @p fetch.after on. */
  void onFetch(const wire::FetchOrdersT &fetch, const PeerResponder &respond);

  /** @return time since the store last confirmed, to this host or to a peer,
   * that no records exist beyond those known to this host. */
  Duration unconfirmedFor() const;

  /** @return whether the operator may have written records that this host does
   * not know. */
  bool mayBeStale() const { return unconfirmedFor() > MaxUnconfirmed; }

  /** @return whether another host has records that this one is still fetching.
   */
  bool isBehindPeer() const { return Fetching || !Sources.empty(); }

  /** @return how often records of the operator were ignored because they cannot
   * be read or are older. */
  std::uint64_t ignoredRecords() const { return IgnoredRecords; }

private:
  void checkReaderRole();
  bool mayFallBack();
  void readStore();
  void list(const std::string &afterKey);
  void onListed(const Result<KeyedBatch> &batch);
  void poll();
  void onPolled(const Result<KeyedBatch> &batch);
  void scheduleRetry(const Reason &reason, bool relist);
  void onHistoryReplaced(std::uint64_t era);
  void reportEra(const StorePosition &before);
  void apply(const std::vector<KeyedRecord> &records);
  void report(const OperatorChange &change);
  void onStoreAnswered();
  void onNewerEnd(const Address &peer, const StorePosition &end);
  void fetchFromSource();
  void fetch(const Address &peer, const StorePosition &after);
  void applyOrders(wire::OrdersT &orders);
  Result<KeyedRecord> decodeRecord(wire::KeyedRecordT &from);
  std::unique_ptr<wire::KeyedRecordT> toWire(const KeyedRecord &record);
  void notifyPeers(std::size_t perOtherDataCentre);

  Reactor &Loop;
  const OrderFeedDependencies Parts;
  OperatorState &State;
  const Address Own;
  std::function<void(const OperatorChange &)> Changed;
  std::mt19937_64 Random;
  std::vector<KeyedRecord> Listing;
  std::optional<StorePosition> ListingEnd;
  /** Place from which the store is read next. */
  StorePosition NextRead;
  /** The records behind NextRead may be known; they are read for deletions,
   * which a listing does not contain. */
  bool Rereading = false;
  /** The store no longer has the records at NextRead. */
  bool MustList = false;
  /** Digest of a peer's records that were all fetched last. */
  std::uint64_t FetchedDigest = 0;
  TimePoint AnsweredAt{};
  /** When the store last had no records unknown to this host. */
  TimePoint ConfirmedAt{};
  /** Compressed value of a record. */
  struct CompressedValue {
    StorePosition Place;
    std::vector<std::uint8_t> Bytes;
  };
  /** Compressed values by key; bounded by the number of records. */
  std::map<std::string, CompressedValue> CompressedValues;
  /** A host with more records, and the end of its stream. */
  struct Source {
    Address Peer;
    StorePosition End;
  };
  /** Ordered by notice, newest last. */
  std::deque<Source> Sources;
  TimerId SourceTimer = TimerId::None;
  /** A listing, a poll or the delay before a retry is in progress. */
  bool Reading = false;
  std::uint32_t Failures = 0;
  bool Complete = false;
  bool Fetching = false;
  std::uint64_t IgnoredRecords = 0;
  Logger Lines{"orders"};
};

} // namespace chivefold

#endif
