/**
 * @file
 * Follows the operator's records in the platform's store.
 */
#ifndef CHIVEFOLD_SIDECAR_ORDER_FEED_H
#define CHIVEFOLD_SIDECAR_ORDER_FEED_H

#include "chivefold/io/logging.h"
#include "chivefold/io/peer_network.h"
#include "chivefold/mesh/operator_state.h"
#include "chivefold/sidecar/fleet_service.h"
#include "chivefold/sidecar/ports.h"
#include "peer_generated.h"

#include <functional>
#include <random>
#include <set>

namespace chivefold {

/**
 * Reads the newest records once, then waits for further ones with one long poll
 * at a time. If the store does not answer, the records are fetched from a peer
 * that has read further. Used on the reactor's thread only.
 */
class OrderFeed {
public:
  /** The store answers a poll without a record after this time. Together with
   * AnswerSlack it bounds how long a poll that was lost delays an order. */
  static constexpr Duration PollTime = std::chrono::milliseconds(2500);
  static constexpr Duration AnswerSlack = std::chrono::milliseconds(500);
  static constexpr Duration ListTimeout = std::chrono::milliseconds(1000);
  static constexpr Duration MinPause = std::chrono::milliseconds(100);
  static constexpr Duration MaxPause = std::chrono::milliseconds(500);
  static constexpr Duration FetchTimeout = std::chrono::milliseconds(800);
  /** Without an answer of the store for this time its peers are asked. */
  static constexpr Duration StaleAfter = std::chrono::milliseconds(800);

  /** @param changed runs after records were applied. The references outlive
   * this object. */
  OrderFeed(Reactor &reactor, KeyedStore &store, PeerNetwork &network,
            OperatorState &state,
            std::function<void(const OperatorChange &)> changed,
            std::uint64_t seed);

  /** Starts reading. Precondition: called once. */
  void start();

  /** A peer told how far it has read. */
  void onPeer(const Address &peer, const GreetingExtras &extras);

  /** Answers a peer that cannot read the store. */
  void onFetch(const PeerResponder &respond) const;

  /** @return time since the store last answered. */
  Duration storeAge() const;

private:
  void list(const std::string &afterKey);
  void onListed(const Result<KeyedBatch> &batch);
  void poll();
  void onPolled(const Result<KeyedBatch> &batch);
  void pause(const Reason &reason, bool relist);
  void apply(const std::vector<KeyedRecord> &records);
  void report(const OperatorChange &change);
  void storeAnswered();
  void takeOrders(wire::OrdersT &orders);

  Reactor &Loop;
  KeyedStore &Store;
  PeerNetwork &Network;
  OperatorState &State;
  std::function<void(const OperatorChange &)> Changed;
  std::mt19937_64 Random;
  std::vector<KeyedRecord> Listing;
  std::optional<std::uint64_t> ListingEnd;
  /** Place from which the store is read next. */
  std::uint64_t Next = 0;
  TimePoint AnsweredAt{};
  std::uint32_t Failures = 0;
  bool Complete = false;
  bool Fetching = false;
  Logger Lines{"orders"};
};

} // namespace chivefold

#endif
