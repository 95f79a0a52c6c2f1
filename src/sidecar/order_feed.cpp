#include "chivefold/sidecar/order_feed.h"

#include "chivefold/daemon/wire_convert.h"
#include "chivefold/sidecar/packed_text.h"

#include <algorithm>

namespace chivefold {

OrderFeed::OrderFeed(Reactor &reactor, const OrderFeedParts &parts, Address own,
                     std::function<void(const OperatorChange &)> changed,
                     std::uint64_t seed)
    : Loop(reactor), Parts(parts), State(parts.State), Own(std::move(own)),
      Changed(std::move(changed)), Random(seed) {}

void OrderFeed::start() {
  Reading = true;
  list("");
  Loop.schedule(Loop.now() + DutyInterval, [this] { checkDuty(); });
}

Duration OrderFeed::unconfirmedFor() const {
  constexpr Duration max = std::chrono::hours(1);
  return ConfirmedAt == TimePoint{} ? max
                                    : std::min(max, Loop.now() - ConfirmedAt);
}

void OrderFeed::checkDuty() {
  Loop.schedule(Loop.now() + DutyInterval, [this] { checkDuty(); });
  if (!Reading && (Parts.Readers.includesSelf() || mayBeBehind())) {
    poll();
  }
}

void OrderFeed::list(const std::string &afterKey) {
  Parts.Store.list(
      KeyedStream::Orders, afterKey, Loop.now() + ListTimeout,
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
  Reading = false;
  ConfirmedAt = Loop.now();
  report(change);
}

void OrderFeed::poll() {
  const auto now = Loop.now();
  Reading = true;
  // What peers told need not be read again.
  Next = std::max(Next, State.end());
  Parts.Store.read(
      KeyedStream::Orders, Next, now + PollTime, now + PollTime + AnswerSlack,
      [this](const Result<KeyedBatch> &batch) { onPolled(batch); });
}

void OrderFeed::onPolled(const Result<KeyedBatch> &batch) {
  if (!batch) {
    return pause(batch.reason(), batch.reason().Code == ErrorCode::LogTrimmed);
  }
  storeAnswered();
  ConfirmedAt = Loop.now();
  if (!batch->Records.empty()) {
    Next = batch->Records.back().Offset + 1;
    State.advance(Next);
    apply(batch->Records);
    tellOthers(1);
  }
  Reading = false;
  if (Parts.Readers.includesSelf()) {
    poll();
  }
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
              {"unconfirmed_ms",
               static_cast<std::uint64_t>(unconfirmedFor().count() / 1000)}});
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
  if (extras.OperatorEnd <= State.end()) {
    ConfirmedAt = std::max(ConfirmedAt, Loop.now() - extras.Unconfirmed);
    return;
  }
  const bool storeTells = Reading && Loop.now() < AnsweredAt + StaleAfter;
  if (!storeTells) {
    learnOfMore(peer, extras.OperatorEnd);
  }
}

void OrderFeed::onNotice(const wire::OrdersNoticeT &notice) {
  const auto peer = fromWire(notice.from.get());
  if (peer && notice.end > State.end()) {
    learnOfMore(*peer, notice.end);
  }
}

void OrderFeed::learnOfMore(const Address &peer, std::uint64_t end) {
  if (!Fetching && Parts.Plan.isPreferredSource(peer)) {
    return fetch(peer);
  }
  Sources.push_back({peer, end});
  if (Sources.size() > MaxSources) {
    Sources.pop_front();
  }
  if (SourceTimer == TimerId::None) {
    SourceTimer = Loop.schedule(Loop.now() + PreferNear, [this] {
      SourceTimer = TimerId::None;
      fetchFromSource();
    });
  }
}

// Asks the host that told last of what is still not known here.
void OrderFeed::fetchFromSource() {
  while (!Fetching && !Sources.empty()) {
    const auto source = Sources.back();
    Sources.pop_back();
    if (source.End > State.end()) {
      return fetch(source.Peer);
    }
  }
}

void OrderFeed::fetch(const Address &peer) {
  Fetching = true;
  wire::FetchOrdersT fetch;
  fetch.after = State.end();
  Parts.Network.request(peer, frameBody(fetch), Loop.now() + FetchTimeout,
                        [this, peer](PeerOutcome outcome) {
                          Fetching = false;
                          auto *orders = outcome.Answer
                                             ? outcome.Answer->AsOrders()
                                             : nullptr;
                          if (orders != nullptr) {
                            return takeOrders(*orders);
                          }
                          Lines.info("a host did not send its orders",
                                     {{"host", toString(peer)},
                                      {"reason", outcome.Failure.Message}});
                          fetchFromSource();
                        });
}

// Tells some random hosts that there is more here than they may know.
void OrderFeed::tellOthers(std::size_t perOtherDataCentre) {
  wire::OrdersNoticeT notice;
  notice.from = addressToWire(Own);
  notice.end = State.end();
  for (const auto &it :
       Parts.Plan.sampleHosts(NoticeFanout, perOtherDataCentre)) {
    Parts.Network.send(it, frameBody(notice));
  }
}

Result<KeyedRecord> OrderFeed::recordOf(wire::KeyedRecordT &from) {
  KeyedRecord record;
  record.Key = from.key;
  record.Offset = from.offset;
  if (from.dropped) {
    return record;
  }
  if (from.plain_size == 0) {
    record.Value = std::string(from.value.begin(), from.value.end());
    return record;
  }
  auto text = unpackText(from.value, from.plain_size);
  if (!text) {
    return text.reason();
  }
  record.Value = std::move(*text);
  PackedValues[record.Key] = {record.Offset, std::move(from.value)};
  return record;
}

void OrderFeed::takeOrders(wire::OrdersT &orders) {
  std::vector<KeyedRecord> records;
  for (const auto &it : orders.records) {
    auto record = recordOf(*it);
    if (!record) {
      // The place is not advanced, so that another host is asked.
      Lines.warn("ignored the orders of a host",
                 {{"reason", record.reason().Message}});
      return;
    }
    records.push_back(std::move(*record));
  }
  const bool isNews = orders.end > State.end();
  State.advance(orders.end);
  Complete = true;
  apply(records);
  if (isNews) {
    tellOthers(0);
  }
}

std::unique_ptr<wire::KeyedRecordT>
OrderFeed::toWire(const KeyedRecord &record) {
  auto to = std::make_unique<wire::KeyedRecordT>();
  to->key = record.Key;
  to->offset = record.Offset;
  to->dropped = !record.Value;
  if (!record.Value) {
    return to;
  }
  if (record.Value->size() <= MaxPlainBytes ||
      record.Value->size() > MaxPackedTextBytes) {
    to->value.assign(record.Value->begin(), record.Value->end());
    return to;
  }
  auto &packed = PackedValues[record.Key];
  if (packed.Bytes.empty() || packed.Offset != record.Offset) {
    packed = {record.Offset, packText(*record.Value)};
  }
  to->value = packed.Bytes;
  to->plain_size = static_cast<std::uint32_t>(record.Value->size());
  return to;
}

void OrderFeed::onFetch(const wire::FetchOrdersT &fetch,
                        const PeerResponder &respond) {
  if (!respond) {
    return;
  }
  wire::OrdersT out;
  out.end = State.end();
  for (const auto &it : State.records()) {
    if (it.Offset >= fetch.after) {
      out.records.push_back(toWire(it));
    }
  }
  respond(frameBody(std::move(out)));
}

} // namespace chivefold
