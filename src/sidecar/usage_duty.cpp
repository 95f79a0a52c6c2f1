// The duty of the root: to fix the counts of each window and report them.
#include "chivefold/sidecar/usage_service.h"

#include "usage_wire.h"

#include <algorithm>
#include <utility>

namespace chivefold {

namespace {

constexpr const char *LeaseKey = "lease";
constexpr int TooManyRequests = 429;

std::string windowKey(WindowNumber window) {
  return "window/" + std::to_string(window % UsageService::StoredWindows);
}

} // namespace

void UsageService::performDuty(bool isRoot) {
  const auto now = Loop.now();
  Lease.recordEra(Parts.Access.Era.current(), now);
  report();
  if (Storing || now < NextStoreCall || now < StartedAt + PeerExchangeTime) {
    return;
  }
  const bool held = Lease.isHeld(now) && Lease.end();
  if (!held) {
    returnUnwritten();
  }
  if (!isRoot) {
    // The lease lapses, so that the root can take it.
    return;
  }
  if (!Lease.end()) {
    return list();
  }
  if (held) {
    return renewOrClose();
  }
  if (Lease.mayTake(now)) {
    take();
  }
}

void UsageService::list() {
  Storing = true;
  Parts.Access.Store.list(KeyedStream::Usage, "", Loop.now() + StoreTimeout,
                          [this](const Result<KeyedBatch> &batch) {
                            Storing = false;
                            onListed(batch);
                          });
}

void UsageService::onListed(const Result<KeyedBatch> &batch) {
  if (!batch || batch->HasMore) {
    return storeFailed(batch ? Reason{ErrorCode::InvalidRecord,
                                      "the usage stream has too many keys"}
                             : batch.reason());
  }
  StoreFailures = 0;
  Listing listing;
  std::map<std::uint64_t, UsageRecord> records;
  for (const auto &it : batch->Records) {
    if (auto record = decodeUsageRecord(it)) {
      records.emplace(it.Offset, std::move(*record));
    }
  }
  std::optional<UsageRecord> newest;
  for (auto &it : records) {
    auto &record = it.second;
    // A holder of an earlier era wrote at an offset that was given out again.
    listing.IsBroken |= newest && record.Term.Fence < newest->Term.Fence;
    listing.Reported = std::max(listing.Reported, record.Reported);
    if (record.Closed) {
      listing.Closed.push_back(*record.Closed);
    }
    newest = std::move(record);
  }
  const auto now = Loop.now();
  const StorePosition end{batch->Era, batch->End};
  Lease.recordRead(
      newest ? std::optional<DutyTerm>(newest->Term) : std::nullopt, end, now);
  listing.IsBroken |= !Lease.isOfEra(end.Era);
  listing.End = end;
  Listed = std::move(listing);
  if (Lease.isHeld(now)) {
    // A record of unknown fate is settled by what the store has.
    Ledger.load(Listed->Closed, Listed->Reported);
    if (Closing && Closing->Number <= Ledger.lastClosed()) {
      Closing.reset();
    }
  }
}

// The counts of a window that was not closed go to the next holder.
void UsageService::returnUnwritten() {
  if (Closing) {
    Collected.add(Closing->Number, {std::move(Closing->Counts), 0});
    Closing.reset();
  }
}

void UsageService::take() {
  // This host itself may have written since it last read the stream.
  if (!Listed || Listed->End != *Lease.end()) {
    return list();
  }
  const auto current = windowAt(utcAt(Loop.now()), Settings.WindowLength);
  if (Listed->IsBroken) {
    // What was closed up to now may have been reported with other counts.
    Listed->Closed.clear();
    Listed->Reported = std::max(Listed->Reported, current - 1);
  }
  const auto term = Lease.nextTerm();
  write(LeaseKey, {term, Listed->Reported, std::nullopt}, [this, term] {
    const auto listing = *std::exchange(Listed, std::nullopt);
    Ledger = UsageLedger();
    Ledger.load(listing.Closed, listing.Reported);
    if (Ledger.lastClosed() == 0) {
      const auto &known = Collected.windows();
      const auto now = windowAt(utcAt(Loop.now()), Settings.WindowLength);
      Ledger.skipThrough(
          (known.empty() ? now : std::min(known.begin()->first, now)) - 1);
    }
    Lines.info("took the duty of usage reports",
               {{"fence", term.Fence},
                {"last_closed", Ledger.lastClosed()},
                {"pending", std::uint64_t{Ledger.pending()}}});
  });
}

bool UsageService::mayClose() const {
  const auto end = windowStart(Ledger.lastClosed() + 2, Settings.WindowLength);
  return utcAt(Loop.now()) >= end + CloseDelay;
}

void UsageService::renewOrClose() {
  if (Closing || mayClose()) {
    return close();
  }
  // Half of the lease may pass until a write is tried again.
  if (Loop.now() >= Lease.actUntil() - Settings.LeaseTime / 2) {
    write(LeaseKey, {Lease.term(), Ledger.lastReported(), std::nullopt}, [] {});
  }
}

void UsageService::close() {
  if (!Closing) {
    const auto next = Ledger.lastClosed() + 1;
    auto ended = Collected.takeThrough(next);
    UsageShare share;
    for (auto &it : ended) {
      if (it.first == next) {
        share = std::move(it.second);
        continue;
      }
      for (const auto &count : it.second.Counts) {
        Figures.Late += count.second;
      }
    }
    const auto hosts = usageTreePlace(Parts.Fleet, Self, false).Hosts;
    if (share.Hosts < hosts) {
      Figures.MissingHosts += hosts - share.Hosts;
      Lines.warn("counts of hosts are missing in a window",
                 {{"window", next},
                  {"hosts", std::uint64_t{hosts}},
                  {"missing", std::uint64_t{hosts - share.Hosts}}});
    }
    Closing = ClosedWindow{next, std::move(share.Counts)};
  }
  write(windowKey(Closing->Number),
        {Lease.term(), Ledger.lastReported(), Closing}, [this] {
          Ledger.closed(*std::exchange(Closing, std::nullopt));
          report();
        });
}

void UsageService::write(const std::string &key, const UsageRecord &record,
                         std::function<void()> written) {
  Storing = true;
  const auto begun = Loop.now();
  const auto end = *Lease.end();
  Parts.Access.Store.append(
      KeyedStream::Usage, key, encodeUsageRecord(record), end.Offset,
      begun + StoreTimeout,
      [this, term = record.Term, begun, end,
       written = std::move(written)](const AppendResult &r) {
        Storing = false;
        if (r.Outcome == AppendOutcome::Written && r.Era == end.Era) {
          StoreFailures = 0;
          Lease.recordWritten(term, {end.Era, end.Offset + 1}, begun);
          return written();
        }
        if (r.Outcome != AppendOutcome::Refused) {
          // What the store has now decides.
          Listed.reset();
          list();
        }
        storeFailed(r.Failure);
      });
}

void UsageService::storeFailed(const Reason &reason) {
  ++StoreFailures;
  NextStoreCall = Loop.now() +
                  std::min<Duration>(TickInterval * std::min(StoreFailures, 4U),
                                     MaxRetryDelay);
  Lines.warn("a call to the store about usage failed",
             {{"error", errorName(reason.Code)}, {"reason", reason.Message}});
}

void UsageService::report() {
  const auto now = Loop.now();
  const auto *window = Ledger.next();
  if (window == nullptr || Reporting || now < NextReport ||
      !Lease.mayAct(now)) {
    return;
  }
  Reporting = true;
  auto request = Parts.Reports->encode(
      {Settings.Host, Lease.term().Fence, window->Number, window->Counts});
  HttpCall call;
  call.Method = std::move(request.Method);
  call.Url = "http://" + toString(Settings.Reports) + request.Path;
  call.Headers = std::move(request.Headers);
  call.Body = std::move(request.Body);
  call.Deadline = std::min(now + ReportTimeout, Lease.actUntil());
  call.FreshConnection = true;
  Client.start(std::move(call),
               [this, number = window->Number](const HttpOutcome &outcome) {
                 Reporting = false;
                 onReported(number, outcome);
               });
}

void UsageService::onReported(WindowNumber window, const HttpOutcome &outcome) {
  const int status = outcome.Response ? outcome.Response->Status : 0;
  if (isSuccess(status)) {
    ReportFailures = 0;
    ++Figures.Reported;
    Ledger.reported(window);
    return report();
  }
  ++Figures.Failures;
  ++ReportFailures;
  NextReport = Loop.now() +
               std::min<Duration>(TickInterval * std::min(ReportFailures, 4U),
                                  MaxRetryDelay);
  Lines.warn("a usage report failed; it will be repeated as it was",
             {{"window", window},
              {"status", static_cast<std::uint64_t>(status)},
              {"busy", status == TooManyRequests ? "yes" : "no"}});
}

} // namespace chivefold
