#include "chivefold/daemon/snapshot_service.h"

#include <utility>

namespace chivefold {

SnapshotService::SnapshotService(Reactor &reactor, LogClient &log,
                                 SnapshotParts parts,
                                 std::function<RecordId()> newId,
                                 std::function<void()> onInstalled)
    : Loop(reactor), Client(log), Parts(parts), NewId(std::move(newId)),
      OnInstalled(std::move(onInstalled)) {
  Parts.Records.onApplied(
      [this](const LogEntry &it) { Schedule.applied(it, Loop.now()); });
}

SnapshotService::~SnapshotService() { Loop.cancel(Timer); }

void SnapshotService::logRead(LogOffset first, LogOffset next) {
  Schedule.logRead(first, next, Loop.now());
}

void SnapshotService::tick() {
  if (!Writing.empty() || !Parts.Members.isReader()) {
    return;
  }
  if (Schedule.scanNeeded(Parts.State.applied(), Loop.now())) {
    recover();
    return;
  }
  const auto cause = Schedule.due(
      Parts.State.applied(), [this] { return snapshotRank(Parts.Members); },
      Loop.now());
  if (cause) {
    write(*cause);
  }
}

void SnapshotService::write(SnapshotCause cause) {
  auto parts = splitSnapshot(Parts.State, NewId());
  if (!parts) {
    Lines.error("snapshot not appended",
                {{"reason", toString(parts.reason())}});
    Schedule.attemptEnded(Loop.now());
    return;
  }
  Writing = std::move(*parts);
  Written = 0;
  Lines.info("snapshot begins", {{"cause", snapshotCauseName(cause)},
                                 {"as_of", raw(Parts.State.applied())},
                                 {"parts", Writing.size()}});
  writeNext();
}

void SnapshotService::writeNext() {
  const auto asOf = Writing.front().AsOf;
  if (Schedule.newest().AsOf >= asOf) {
    endWrite("another daemon completed one");
    return;
  }
  if (raw(asOf) + 1 < raw(Client.firstRetained())) {
    endWrite("records after it are trimmed already");
    return;
  }
  const Record record{NewId(), toString(Parts.Members.self().Peer),
                      Writing[Written]};
  Client.appendConfirmed(
      record, LogOffset{raw(Parts.State.applied()) + 1},
      Loop.now() + PartTimeout,
      [this](const Result<LogOffset> &offset, bool /*mayHaveTakenEffect*/) {
        if (!offset) {
          endWrite("an append failed");
          return;
        }
        ++Written;
        if (Written == Writing.size()) {
          endWrite("complete");
          return;
        }
        Timer =
            Loop.schedule(Loop.now() + PartInterval, [this] { writeNext(); });
      });
}

void SnapshotService::endWrite(const char *why) {
  Lines.info("snapshot ends", {{"result", why},
                               {"as_of", raw(Writing.front().AsOf)},
                               {"parts_appended", Written}});
  // If it was read back already, the next one may be due at once.
  if (Schedule.newest().AsOf < Writing.front().AsOf) {
    Schedule.attemptEnded(Loop.now());
  }
  Writing.clear();
}

void SnapshotService::recover() {
  const auto first = Client.firstRetained();
  if (Scan || Loop.now() < ScanAfter || first == LogOffset::None) {
    return;
  }
  Scan.emplace(first);
  scanOn();
}

void SnapshotService::scanOn() {
  Client.read(Scan->next(), LogLimits::MaxReadRecords, Duration::zero(),
              Loop.now() + ReadTimeout,
              [this](const Result<LogBatch> &batch) { onScanned(batch); });
}

void SnapshotService::onScanned(const Result<LogBatch> &batch) {
  if (!batch) {
    // After records were trimmed during the scan the next one starts later in
    // the log.
    Scan.reset();
    if (batch.reason().Code != ErrorCode::LogTrimmed) {
      ScanAfter = Loop.now() + ScanPause;
    }
    return;
  }
  Parts.Records.recovery().logReached(batch->Next);
  Schedule.logRead(batch->First, batch->Next, Loop.now());
  if (Scan->add(batch->Entries, batch->Next)) {
    scanOn();
    return;
  }
  endScan();
}

void SnapshotService::endScan() {
  const auto location = Scan->location();
  auto state = Scan->take();
  Scan.reset();
  Schedule.scanned(location, Loop.now());
  if (state && state->applied() <= Parts.State.applied()) {
    return;
  }
  const auto done =
      state ? Parts.Records.installState(std::move(*state)) : state.reason();
  if (!done) {
    Parts.Records.recovery().snapshotMissing(Client.firstRetained());
    ScanAfter = Loop.now() + ScanPause;
    Lines.warn("no snapshot from the log",
               {{"reason", toString(done.reason())}});
    return;
  }
  Lines.info("state installed from the log",
             {{"as_of", raw(location.AsOf)}, {"parts", location.Parts}});
  OnInstalled();
}

} // namespace chivefold
