#include "chivefold/sidecar/order_feed.h"

#include "chivefold/daemon/wire_convert.h"
#include "chivefold/sidecar/packed_text.h"

#include <algorithm>

namespace chivefold {

OrderFeed::OrderFeed(Reactor &reactor, const OrderFeedDependencies &parts,
                     Address own,
                     std::function<void(const OperatorChange &)> changed,
                     std::uint64_t seed)
    : Loop(reactor), Parts(parts), State(parts.State), Own(std::move(own)),
      Changed(std::move(changed)), Random(seed) {}

void OrderFeed::start() {
  Reading = true;
  list("");
  Loop.schedule(Loop.now() + ReaderCheckInterval,
                [this] { checkReaderRole(); });
}

Duration OrderFeed::unconfirmedFor() const {
  constexpr Duration max = std::chrono::hours(1);
  return ConfirmedAt == TimePoint{} ? max
                                    : std::min(max, Loop.now() - ConfirmedAt);
}

void OrderFeed::checkReaderRole() {
  Loop.schedule(Loop.now() + ReaderCheckInterval,
                [this] { checkReaderRole(); });
  if (!Reading && (Parts.Readers.includesSelf() || mayBeStale())) {
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
    return scheduleRetry(batch.reason(), true);
  }
  onStoreAnswered();
  // The pages are not one snapshot: records behind the end offset of the first
  // page are read again.
  ListingEnd = ListingEnd.value_or(batch->End);
  Listing.insert(Listing.end(), batch->Records.begin(), batch->Records.end());
  if (batch->HasMore && !batch->Records.empty()) {
    return list(batch->Records.back().Key);
  }
  const auto change = State.applyListing(Listing, *ListingEnd);
  NextReadOffset = *ListingEnd;
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
  // Skips records that were already fetched from peers.
  NextReadOffset = std::max(NextReadOffset, State.end());
  Parts.Store.read(
      KeyedStream::Orders, NextReadOffset, now + LongPollTime,
      now + LongPollTime + PollAnswerMargin,
      [this](const Result<KeyedBatch> &batch) { onPolled(batch); });
}

void OrderFeed::onPolled(const Result<KeyedBatch> &batch) {
  if (!batch) {
    return scheduleRetry(batch.reason(),
                         batch.reason().Code == ErrorCode::LogTrimmed);
  }
  onStoreAnswered();
  ConfirmedAt = Loop.now();
  if (!batch->Records.empty()) {
    NextReadOffset = batch->Records.back().Offset + 1;
    State.advance(NextReadOffset);
    apply(batch->Records);
    notifyPeers(1);
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
    if (!change.any() && change.Ignored.Code == ErrorCode::Ok) {
      Lines.info("skipped a known record of the operator",
                 {{"key", it.Key}, {"offset", it.Offset}});
    }
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
    Lines.warn("ignored a record of the operator",
               {{"error", errorName(change.Ignored.Code)},
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

void OrderFeed::onStoreAnswered() {
  AnsweredAt = Loop.now();
  if (Failures > 0) {
    Lines.info("the store is available again",
               {{"failures", std::uint64_t{Failures}}});
    Failures = 0;
  }
}

void OrderFeed::scheduleRetry(const Reason &reason, bool relist) {
  if (Failures == 0) {
    Lines.warn("the store is unavailable; retrying",
               {{"error", errorName(reason.Code)}, {"reason", reason.Message}});
  }
  Listing.clear();
  ListingEnd.reset();
  constexpr std::uint32_t maxDoublings = 3;
  const auto longest = std::min(
      MinRetryDelay * (1 << std::min(Failures, maxDoublings)), MaxRetryDelay);
  ++Failures;
  std::uniform_int_distribution<Duration::rep> jitter(longest.count() / 2,
                                                      longest.count());
  Loop.schedule(Loop.now() + Duration(jitter(Random)), [this, relist] {
    if (relist || !Complete || NextReadOffset == 0) {
      list("");
    } else {
      poll();
    }
  });
}

void OrderFeed::onPeer(const Address &peer,
                       const PiggybackedState &piggybacked) {
  if (piggybacked.OperatorEnd <= State.end()) {
    ConfirmedAt = std::max(ConfirmedAt, Loop.now() - piggybacked.Unconfirmed);
    return;
  }
  const bool storeTells =
      Reading && Loop.now() < AnsweredAt + StoreSilenceLimit;
  if (!storeTells) {
    onNewerEndOffset(peer, piggybacked.OperatorEnd);
  }
}

void OrderFeed::onNotice(const wire::OrdersNoticeT &notice) {
  const auto peer = fromWire(notice.from.get());
  if (peer && notice.end > State.end()) {
    onNewerEndOffset(*peer, notice.end);
  }
}

void OrderFeed::onNewerEndOffset(const Address &peer, std::uint64_t end) {
  if (!Fetching && Parts.Plan.isPreferredSource(peer)) {
    return fetch(peer);
  }
  Sources.push_back({peer, end});
  if (Sources.size() > MaxSources) {
    Sources.pop_front();
  }
  if (SourceTimer == TimerId::None) {
    SourceTimer = Loop.schedule(Loop.now() + RemoteFetchDelay, [this] {
      SourceTimer = TimerId::None;
      fetchFromSource();
    });
  }
}

// Fetches from the host with the latest notice that still has unknown records.
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
                            return applyOrders(*orders);
                          }
                          Lines.info("fetching orders from a host failed",
                                     {{"host", toString(peer)},
                                      {"reason", outcome.Failure.Message}});
                          fetchFromSource();
                        });
}

// Sends the end offset of this host to randomly chosen hosts.
void OrderFeed::notifyPeers(std::size_t perOtherDataCentre) {
  wire::OrdersNoticeT notice;
  notice.from = addressToWire(Own);
  notice.end = State.end();
  for (const auto &it :
       Parts.Plan.sampleHosts(NoticeFanout, perOtherDataCentre)) {
    Parts.Network.send(it, frameBody(notice));
  }
}

Result<KeyedRecord> OrderFeed::decodeRecord(wire::KeyedRecordT &from) {
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
  auto text = decompressText(from.value, from.plain_size);
  if (!text) {
    return text.reason();
  }
  record.Value = std::move(*text);
  CompressedValues[record.Key] = {record.Offset, std::move(from.value)};
  return record;
}

void OrderFeed::applyOrders(wire::OrdersT &orders) {
  std::vector<KeyedRecord> records;
  for (const auto &it : orders.records) {
    auto record = decodeRecord(*it);
    if (!record) {
      // The end offset is not advanced, so the records are fetched again from
      // another host.
      Lines.warn("ignored invalid orders from a host",
                 {{"reason", record.reason().Message}});
      return;
    }
    records.push_back(std::move(*record));
  }
  const bool isUpdate = orders.end > State.end();
  State.advance(orders.end);
  Complete = true;
  apply(records);
  if (isUpdate) {
    notifyPeers(0);
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
  if (record.Value->size() <= MaxUncompressedBytes ||
      record.Value->size() > MaxDecompressedBytes) {
    to->value.assign(record.Value->begin(), record.Value->end());
    return to;
  }
  auto &packed = CompressedValues[record.Key];
  if (packed.Bytes.empty() || packed.Offset != record.Offset) {
    packed = {record.Offset, compressText(*record.Value)};
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
