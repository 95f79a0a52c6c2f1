#include "chivefold/sidecar/order_feed.h"

#include "chivefold/daemon/wire_convert.h"
#include "chivefold/sidecar/packed_text.h"
#include "history_wire.h"

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
  if (!Reading && (Parts.Readers.includesSelf() || mayFallBack())) {
    readStore();
  }
}

// Draws whether this host reads the store in place of the readers.
bool OrderFeed::mayFallBack() {
  if (!mayBeStale()) {
    return false;
  }
  std::uniform_int_distribution<std::size_t> draw(
      0, std::max(Parts.Readers.reachableHosts(), std::size_t{1}) - 1);
  return draw(Random) < FallbackReadersPerCheck;
}

void OrderFeed::readStore() {
  Reading = true;
  if (MustList || !Complete) {
    list("");
  } else {
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
  ListingEnd = ListingEnd.value_or(StorePosition{batch->Era, batch->End});
  if (ListingEnd->Era != batch->Era || batch->Era < State.end().Era) {
    return scheduleRetry(
        {ErrorCode::Conflict, "the store's history changed during the listing"},
        true);
  }
  Listing.insert(Listing.end(), batch->Records.begin(), batch->Records.end());
  if (batch->HasMore && !batch->Records.empty()) {
    return list(batch->Records.back().Key);
  }
  const auto before = State.end();
  const auto end = *ListingEnd;
  const bool isFirst = !Complete;
  const auto change = State.applyListing(std::move(Listing), end);
  Listing.clear();
  ListingEnd.reset();
  NextRead = end;
  Rereading = !isFirst && before.Era < end.Era;
  if (Rereading) {
    NextRead.Offset =
        std::min(end.Offset, State.history().start(end.Era).offset());
  }
  Complete = true;
  MustList = false;
  Reading = false;
  ConfirmedAt = Loop.now();
  report(change);
  if (before < end) {
    reportEra(before);
    if (!isFirst) {
      notifyPeers(1);
    }
  }
}

void OrderFeed::poll() {
  const auto now = Loop.now();
  Reading = true;
  if (!Rereading || NextRead.Era < State.end().Era) {
    // Skips records that were already fetched from peers.
    NextRead = std::max(NextRead, State.end());
    Rereading = false;
  }
  Parts.Store.read(
      KeyedStream::Orders, NextRead.Offset, now + LongPollTime,
      now + LongPollTime + PollAnswerMargin,
      [this](const Result<KeyedBatch> &batch) { onPolled(batch); });
}

void OrderFeed::onPolled(const Result<KeyedBatch> &batch) {
  if (!batch) {
    return scheduleRetry(batch.reason(),
                         batch.reason().Code == ErrorCode::LogTrimmed);
  }
  onStoreAnswered();
  if (batch->Era != NextRead.Era) {
    return onHistoryReplaced(batch->Era);
  }
  ConfirmedAt = Loop.now();
  if (!batch->Records.empty()) {
    NextRead.Offset = batch->Records.back().Offset + 1;
    State.advance(NextRead);
    auto records = batch->Records;
    for (auto &it : records) {
      it.Era = batch->Era;
    }
    apply(records);
    notifyPeers(1);
  }
  Rereading = Rereading && NextRead < State.end();
  Reading = false;
  if (Parts.Readers.includesSelf()) {
    poll();
  }
}

// Drops the answer to a read whose offset belongs to another history than the
// answer.
void OrderFeed::onHistoryReplaced(std::uint64_t era) {
  Reading = false;
  // A peer may have passed on the new history already.
  MustList = MustList || State.end().Era < era;
  if (era > NextRead.Era && Parts.Readers.includesSelf()) {
    readStore();
  }
}

// Reports a new era of the store.
void OrderFeed::reportEra(const StorePosition &before) {
  const auto &end = State.end();
  if (before.Era == end.Era || before == StorePosition{}) {
    return;
  }
  const auto lost = State.lostKeys();
  std::string keys;
  for (const auto &it : lost) {
    keys.append(keys.empty() ? "" : ",").append(it);
  }
  Lines.warn("the store came back from an older copy; lost records stay in "
             "force until they are written again",
             {{"era", end.Era},
              {"era_before", before.Era},
              {"end", end.Offset},
              {"end_before", before.Offset},
              {"common_up_to", State.history().start(end.Era).offset()},
              {"lost", lost.size()},
              {"keys", keys},
              {"written_again", State.rewritten()}});
}

void OrderFeed::apply(const std::vector<KeyedRecord> &records) {
  OperatorChange all;
  for (const auto &it : records) {
    const auto change = State.apply(it);
    if (!change.any() && change.Ignored.Code == ErrorCode::Ok) {
      Lines.info("skipped a known record of the operator",
                 {{"key", it.Key}, {"era", it.Era}, {"offset", it.Offset}});
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
    ++IgnoredRecords;
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
              {"end", toString(State.end())},
              {"lost", State.lostKeys().size()},
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
  MustList = MustList || relist;
  Rereading = false;
  constexpr std::uint32_t maxDoublings = 3;
  const auto longest = std::min(
      MinRetryDelay * (1 << std::min(Failures, maxDoublings)), MaxRetryDelay);
  ++Failures;
  std::uniform_int_distribution<Duration::rep> jitter(longest.count() / 2,
                                                      longest.count());
  Loop.schedule(Loop.now() + Duration(jitter(Random)), [this] {
    Reading = false;
    if (!Complete || Parts.Readers.includesSelf()) {
      readStore();
    }
  });
}

void OrderFeed::onPeer(const Address &peer,
                       const PiggybackedState &piggybacked) {
  const auto &end = piggybacked.OperatorEnd;
  State.narrowStart(end.Era, piggybacked.OperatorEraStart);
  if (State.end() < end) {
    const bool storeTells = Reading && end.Era == State.end().Era &&
                            Loop.now() < AnsweredAt + StoreSilenceLimit;
    if (!storeTells) {
      onNewerEnd(peer, end);
    }
    return;
  }
  if (end.Era < State.end().Era) {
    return;
  }
  ConfirmedAt = std::max(ConfirmedAt, Loop.now() - piggybacked.Unconfirmed);
  // Of two hosts that have read the same stream, one may know records that the
  // store has lost since.
  const auto digest = piggybacked.OperatorDigest;
  if (end == State.end() && digest != State.digest() &&
      digest != FetchedDigest && !Fetching) {
    FetchedDigest = digest;
    fetch(peer, {});
  }
}

void OrderFeed::onNotice(const wire::OrdersNoticeT &notice) {
  const auto peer = fromWire(notice.from.get());
  const StorePosition end{notice.era, notice.end};
  if (peer && State.end() < end) {
    onNewerEnd(*peer, end);
  }
}

void OrderFeed::onNewerEnd(const Address &peer, const StorePosition &end) {
  if (!Fetching && Parts.Plan.isPreferredSource(peer)) {
    return fetch(peer, State.end());
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
    if (State.end() < source.End) {
      return fetch(source.Peer, State.end());
    }
  }
}

void OrderFeed::fetch(const Address &peer, const StorePosition &after) {
  Fetching = true;
  wire::FetchOrdersT fetch;
  fetch.after = after.Offset;
  fetch.era = after.Era;
  Parts.Network.request(peer, frameBody(fetch), Loop.now() + FetchTimeout,
                        [this, peer](PeerOutcome outcome) {
                          Fetching = false;
                          auto *orders = outcome.Answer
                                             ? outcome.Answer->AsOrders()
                                             : nullptr;
                          if (orders != nullptr) {
                            return applyOrders(*orders);
                          }
                          FetchedDigest = 0;
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
  notice.end = State.end().Offset;
  notice.era = State.end().Era;
  for (const auto &it :
       Parts.Plan.sampleHosts(NoticeFanout, perOtherDataCentre)) {
    Parts.Network.send(it, frameBody(notice));
  }
}

Result<KeyedRecord> OrderFeed::decodeRecord(wire::KeyedRecordT &from) {
  KeyedRecord record;
  record.Key = from.key;
  record.Offset = from.offset;
  record.Era = from.era;
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
  CompressedValues[record.Key] = {{record.Era, record.Offset},
                                  std::move(from.value)};
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
  const auto before = State.end();
  const StorePosition end{orders.era, orders.end};
  const bool isUpdate = before < end;
  State.advance(end);
  State.narrowStart(orders.era, fromWire(orders.era_start.get()));
  Complete = true;
  MustList = MustList && State.end().Era == before.Era;
  apply(records);
  reportEra(before);
  if (isUpdate) {
    notifyPeers(0);
  }
}

std::unique_ptr<wire::KeyedRecordT>
OrderFeed::toWire(const KeyedRecord &record) {
  auto to = std::make_unique<wire::KeyedRecordT>();
  to->key = record.Key;
  to->offset = record.Offset;
  to->era = record.Era;
  to->dropped = !record.Value;
  if (!record.Value) {
    return to;
  }
  if (record.Value->size() <= MaxUncompressedBytes ||
      record.Value->size() > MaxDecompressedBytes) {
    to->value.assign(record.Value->begin(), record.Value->end());
    return to;
  }
  const StorePosition place{record.Era, record.Offset};
  auto &packed = CompressedValues[record.Key];
  if (packed.Bytes.empty() || packed.Place != place) {
    packed = {place, compressText(*record.Value)};
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
  out.end = State.end().Offset;
  out.era = State.end().Era;
  out.era_start = chivefold::toWire(State.history().start(out.era));
  for (const auto &it : State.recordsAfter({fetch.era, fetch.after})) {
    out.records.push_back(toWire(it));
  }
  respond(frameBody(std::move(out)));
}

} // namespace chivefold
