/**
 * @file
 * Follows the operator's records in the platform's store.
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

/** What the feed works with; all outlive it. */
struct OrderFeedParts {
  KeyedStore &Store;
  PeerNetwork &Network;
  OperatorState &State;
  AnnouncePlan &Plan;
  const OrderReaders &Readers;
};

/**
 * Lists the newest records once. Readers then wait for further ones with one
 * long poll at a time, and tell a few random hosts of the place that they have
 * reached; these fetch what they lack and tell others in turn. Greetings carry
 * the place too, with the time since the store last confirmed it. A host that
 * learns of no such confirmation for too long reads the store itself. Used on
 * the reactor's thread only.
 */
class OrderFeed {
public:
  /** The store answers a poll without a record after this time. Together with
   * AnswerSlack it bounds how long a poll that was lost delays an order. */
  static constexpr Duration PollTime = std::chrono::milliseconds(1000);
  static constexpr Duration AnswerSlack = std::chrono::milliseconds(500);
  static constexpr Duration ListTimeout = std::chrono::milliseconds(1000);
  static constexpr Duration MinPause = std::chrono::milliseconds(100);
  static constexpr Duration MaxPause = std::chrono::milliseconds(500);
  static constexpr Duration FetchTimeout = std::chrono::milliseconds(400);
  /** Without an answer of the store for this time a reader asks its peers. */
  static constexpr Duration StaleAfter = std::chrono::milliseconds(800);
  /** Pause between two checks of whether this host has to read. */
  static constexpr Duration DutyInterval = std::chrono::milliseconds(250);
  /** A host that is no reader reads the store if the place that it has reached
   * was not confirmed for this time. */
  static constexpr Duration MaxUnconfirmed = std::chrono::milliseconds(2500);
  /** Hosts of the own data centre that are told of a new place: an epidemic
   * that reaches 98 of 100 at once, greetings find the rest. */
  static constexpr std::size_t NoticeFanout = 4;
  /** Records are fetched from another data centre only if no host of this one
   * had them for this time: a configuration can have 256 KB. */
  static constexpr Duration PreferNear = std::chrono::milliseconds(400);
  /** Larger values are compressed for other hosts: a configuration that is
   * fetched by four of them fills the link of a small host for 0.4 s. */
  static constexpr std::size_t MaxPlainBytes = 1024;
  /** Hosts that can be asked for records, newest notice last. */
  static constexpr std::size_t MaxSources = 4;

  /** @param own address of this host. @param changed runs after records were
   * applied. */
  OrderFeed(Reactor &reactor, const OrderFeedParts &parts, Address own,
            std::function<void(const OperatorChange &)> changed,
            std::uint64_t seed);

  /** Starts reading. Precondition: called once. */
  void start();

  /** A peer told how far it has read. */
  void onPeer(const Address &peer, const GreetingExtras &extras);
  void onNotice(const wire::OrdersNoticeT &notice);

  /** Answers a peer that lacks records from @p after on. */
  void onFetch(const wire::FetchOrdersT &fetch, const PeerResponder &respond);

  /** @return time since the store last confirmed, here or to a peer, that there
   * are no further records than those that are known here. */
  Duration unconfirmedFor() const;

  /** @return whether the operator may have written what is not known here. */
  bool mayBeBehind() const { return unconfirmedFor() > MaxUnconfirmed; }

private:
  void checkDuty();
  void list(const std::string &afterKey);
  void onListed(const Result<KeyedBatch> &batch);
  void poll();
  void onPolled(const Result<KeyedBatch> &batch);
  void pause(const Reason &reason, bool relist);
  void apply(const std::vector<KeyedRecord> &records);
  void report(const OperatorChange &change);
  void storeAnswered();
  void learnOfMore(const Address &peer, std::uint64_t end);
  void fetchFromSource();
  void fetch(const Address &peer);
  void takeOrders(wire::OrdersT &orders);
  Result<KeyedRecord> recordOf(wire::KeyedRecordT &from);
  std::unique_ptr<wire::KeyedRecordT> toWire(const KeyedRecord &record);
  void tellOthers(std::size_t perOtherDataCentre);

  Reactor &Loop;
  const OrderFeedParts Parts;
  OperatorState &State;
  const Address Own;
  std::function<void(const OperatorChange &)> Changed;
  std::mt19937_64 Random;
  std::vector<KeyedRecord> Listing;
  std::optional<std::uint64_t> ListingEnd;
  /** Place from which the store is read next. */
  std::uint64_t Next = 0;
  TimePoint AnsweredAt{};
  /** When the store had no further records than are known here. */
  TimePoint ConfirmedAt{};
  /** Values as they are sent to other hosts, by key; at most as many as there
   * are records. */
  struct Packed {
    std::uint64_t Offset = 0;
    std::vector<std::uint8_t> Bytes;
  };
  std::map<std::string, Packed> PackedValues;
  /** A host that knows more, and the place that it has reached. */
  struct Source {
    Address Peer;
    std::uint64_t End = 0;
  };
  std::deque<Source> Sources;
  TimerId SourceTimer = TimerId::None;
  /** A listing, a poll or the pause after a failed one is in progress. */
  bool Reading = false;
  std::uint32_t Failures = 0;
  bool Complete = false;
  bool Fetching = false;
  Logger Lines{"orders"};
};

} // namespace chivefold

#endif
