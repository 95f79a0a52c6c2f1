#include "chivefold/sidecar/order_feed.h"

#include "chivefold/daemon/wire_convert.h"

#include <algorithm>

namespace chivefold {

OrderFeed::OrderFeed(Reactor &reactor, KeyedStore &store, PeerNetwork &network,
                     OperatorState &state,
                     std::function<void(const OperatorChange &)> changed,
                     std::uint64_t seed)
    : Loop(reactor), Store(store), Network(network), State(state),
      Changed(std::move(changed)), Random(seed) {}

void OrderFeed::start() { list(""); }

Duration OrderFeed::storeAge() const {
  constexpr Duration max = std::chrono::hours(1);
  return AnsweredAt == TimePoint{} ? max
                                   : std::min(max, Loop.now() - AnsweredAt);
}

void OrderFeed::list(const std::string &afterKey) {
  Store.list(KeyedStream::Orders, afterKey, Loop.now() + ListTimeout,
             [this](const Result<KeyedBatch> &batch) { onListed(batch); });
}

void OrderFeed::onListed(const Result<KeyedBatch> &batch) {
  if (!batch) {
    return pause(batch.reason(), true);
  }
  storeAnswered();
  // Pages are no snapshot: what lies behind the first page's end is read again.
  ListingEnd = ListingEnd.value_or(batch->End);
  Listing.insert(Listing.end(), batch->Records.begin(), batch->Records.end());
  if (batch->HasMore && !batch->Records.empty()) {
    return list(batch->Records.back().Key);
  }
  const auto change = State.applyListing(Listing, *ListingEnd);
  Next = *ListingEnd;
  Listing.clear();
  ListingEnd.reset();
  Complete = true;
  report(change);
  poll();
}

void OrderFeed::poll() {
  const auto now = Loop.now();
  Store.read(KeyedStream::Orders, Next, now + PollTime,
             now + PollTime + AnswerSlack,
             [this](const Result<KeyedBatch> &batch) { onPolled(batch); });
}

void OrderFeed::onPolled(const Result<KeyedBatch> &batch) {
  if (!batch) {
    return pause(batch.reason(), batch.reason().Code == ErrorCode::LogTrimmed);
  }
  storeAnswered();
  if (!batch->Records.empty()) {
    Next = batch->Records.back().Offset + 1;
    State.advance(Next);
    apply(batch->Records);
  }
  poll();
}

void OrderFeed::apply(const std::vector<KeyedRecord> &records) {
  OperatorChange all;
  for (const auto &it : records) {
    const auto change = State.apply(it);
    all.Configuration |= change.Configuration;
    all.Rollouts |= change.Rollouts;
    all.Evacuations |= change.Evacuations;
    if (change.Ignored.Code != ErrorCode::Ok) {
      all.Ignored = change.Ignored;
    }
  }
  report(all);
}

void OrderFeed::report(const OperatorChange &change) {
  if (change.Ignored.Code != ErrorCode::Ok) {
    Lines.warn("ignored a record", {{"error", errorName(change.Ignored.Code)},
                                    {"reason", change.Ignored.Message}});
  }
  if (!change.any()) {
    return;
  }
  Lines.info("orders changed",
             {{"version",
               State.routes() ? State.routes()->configuration().Version : 0},
              {"end", State.end()},
              {"rollouts", State.rollouts().size()},
              {"evacuated", State.evacuated().size()},
              {"store_age_ms",
               static_cast<std::uint64_t>(storeAge().count() / 1000)}});
  Changed(change);
}

void OrderFeed::storeAnswered() {
  AnsweredAt = Loop.now();
  if (Failures > 0) {
    Lines.info("the store answers again",
               {{"failures", std::uint64_t{Failures}}});
    Failures = 0;
  }
}

void OrderFeed::pause(const Reason &reason, bool relist) {
  if (Failures == 0) {
    Lines.warn("the store does not answer",
               {{"error", errorName(reason.Code)}, {"reason", reason.Message}});
  }
  Listing.clear();
  ListingEnd.reset();
  constexpr std::uint32_t maxDoublings = 3;
  const auto longest =
      std::min(MinPause * (1 << std::min(Failures, maxDoublings)), MaxPause);
  ++Failures;
  std::uniform_int_distribution<Duration::rep> jitter(longest.count() / 2,
                                                      longest.count());
  Loop.schedule(Loop.now() + Duration(jitter(Random)), [this, relist] {
    if (relist || !Complete || Next == 0) {
      list("");
    } else {
      poll();
    }
  });
}

void OrderFeed::onPeer(const Address &peer, const GreetingExtras &extras) {
  const bool peerKnowsMore = extras.OperatorEnd > State.end();
  if (!peerKnowsMore || Fetching || storeAge() < StaleAfter) {
    return;
  }
  Fetching = true;
  wire::FetchOrdersT fetch;
  fetch.after = State.end();
  Network.request(peer, frameBody(fetch), Loop.now() + FetchTimeout,
                  [this](PeerOutcome outcome) {
                    Fetching = false;
                    auto *orders =
                        outcome.Answer ? outcome.Answer->AsOrders() : nullptr;
                    if (orders != nullptr) {
                      takeOrders(*orders);
                    }
                  });
}

void OrderFeed::takeOrders(wire::OrdersT &orders) {
  std::vector<KeyedRecord> records;
  for (const auto &it : orders.records) {
    KeyedRecord record;
    record.Key = it->key;
    record.Offset = it->offset;
    if (!it->dropped) {
      record.Value = std::string(it->value.begin(), it->value.end());
    }
    records.push_back(std::move(record));
  }
  State.advance(orders.end);
  Complete = true;
  apply(records);
}

void OrderFeed::onFetch(const PeerResponder &respond) const {
  if (!respond) {
    return;
  }
  wire::OrdersT out;
  out.end = State.end();
  for (const auto &it : State.records()) {
    auto record = std::make_unique<wire::KeyedRecordT>();
    record->key = it.Key;
    record->offset = it.Offset;
    record->dropped = !it.Value;
    if (it.Value) {
      record->value.assign(it.Value->begin(), it.Value->end());
    }
    out.records.push_back(std::move(record));
  }
  respond(frameBody(std::move(out)));
}

} // namespace chivefold
