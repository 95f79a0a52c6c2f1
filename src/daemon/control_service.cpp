#include "chivefold/daemon/control_service.h"

#include "chivefold/daemon/wire_convert.h"

#include <algorithm>
#include <cstring>

namespace chivefold {
namespace {

constexpr std::uint32_t ReadBatch = 256;

LogEntry fromWire(const wire::LogRecordT &record) {
  return {LogOffset{record.offset},
          std::string(record.bytes.begin(), record.bytes.end())};
}

std::vector<LogEntry>
fromWire(const std::vector<std::unique_ptr<wire::LogRecordT>> &records) {
  std::vector<LogEntry> entries;
  entries.reserve(records.size());
  for (const auto &it : records) {
    entries.push_back(fromWire(*it));
  }
  return entries;
}

wire::RecordsT toWire(const std::vector<LogEntry> &entries,
                      const Address &from) {
  wire::RecordsT records;
  records.from = addressToWire(from);
  for (const auto &it : entries) {
    auto record = std::make_unique<wire::LogRecordT>();
    record->offset = raw(it.Offset);
    record->bytes.assign(it.Bytes.begin(), it.Bytes.end());
    records.records.push_back(std::move(record));
  }
  return records;
}

} // namespace

ControlService::ControlService(Reactor &reactor, PeerNetwork &network,
                               LogClient &log, ControlParts parts,
                               std::uint64_t seed,
                               std::function<void()> onApplied)
    : Loop(reactor), Network(network), Client(log), Parts(parts), Random(seed),
      OnApplied(std::move(onApplied)),
      Snapshots(
          reactor, log, {parts.State, parts.Members, parts.Records},
          [this] { return newRecordId(); }, [this] { applied(1); }) {}

ControlService::~ControlService() { Loop.cancel(Timer); }

void ControlService::start() { tick(); }

void ControlService::tick() {
  const auto now = Loop.now();
  if (const auto due = Parts.Records.tick(now)) {
    fetch(*due);
  }
  Parts.Steps.prune();
  readLog();
  if (!WasReady) {
    const auto better =
        Parts.Records.recovery().mostAdvancedPeer(Parts.State.applied());
    if (better && !SnapshotPending) {
      requestSnapshot(*better);
    }
  }
  if (readiness().Ready && !WasReady) {
    WasReady = true;
    Lines.info("daemon is ready", {{"applied", raw(Parts.State.applied())},
                                   {"version", raw(Parts.State.version())}});
    OnApplied();
  }
  if (WasReady) {
    Snapshots.tick();
  }
  Timer = Loop.schedule(now + TickInterval, [this] { tick(); });
}

Readiness ControlService::readiness() { return Parts.Records.readiness(); }

bool ControlService::wantsLog() {
  return Parts.Members.isReader() || Following || !WasReady ||
         Wanted > Parts.State.applied();
}

void ControlService::readLog() {
  const auto now = Loop.now();
  if (Reading || now < ReadAfter || !wantsLog()) {
    return;
  }
  Reading = true;
  const auto from = LogOffset{raw(Parts.State.applied()) + 1};
  const bool urgent = !WasReady || Wanted > Parts.State.applied();
  Client.read(
      from, ReadBatch, urgent ? Duration{} : LongPoll, now + ReadTimeout,
      [this, now](const Result<LogBatch> &batch) { onRead(batch, now); });
}

void ControlService::onRead(const Result<LogBatch> &batch, TimePoint sentAt) {
  Reading = false;
  if (!batch) {
    onReadFailed(batch.reason());
    return;
  }
  if (!Log.Available) {
    Lines.info("log is reachable", {{"next", raw(batch->Next)}});
  }
  Log.Available = true;
  Backoff = MinBackoff;
  Parts.Records.recovery().logReached(batch->Next);
  accept(batch->Entries, std::nullopt);
  Snapshots.logRead(batch->First, batch->Next);
  if (raw(Parts.State.applied()) + 1 >= raw(batch->Next)) {
    Log.ReadAt = sentAt;
    Wanted = std::min(Wanted, Parts.State.applied());
  }
  readLog();
}

void ControlService::onReadFailed(const Reason &reason) {
  const auto now = Loop.now();
  if (reason.Code == ErrorCode::LogTrimmed) {
    // The log no longer has the next record, so a snapshot is needed, from a
    // peer or from the log.
    Snapshots.recover();
    const auto peers = Parts.Members.randomPeers(1, false);
    if (!peers.empty() && !SnapshotPending) {
      requestSnapshot(peers.front());
    }
    ReadAfter = now + MinBackoff;
    return;
  }
  if (Log.Available) {
    Lines.warn("log is not reachable", {{"reason", toString(reason)}});
  }
  Log.Available = false;
  Parts.Records.recovery().logUnavailable();
  // Full jitter spreads the readers of the fleet after an outage.
  std::uniform_int_distribution<Duration::rep> pause(1, Backoff.count());
  ReadAfter = now + Duration(pause(Random));
  Backoff = std::min(2 * Backoff, MaxBackoff);
}

void ControlService::accept(const std::vector<LogEntry> &entries,
                            const std::optional<Address> &from) {
  const auto result = Parts.Records.accept(entries, from, Loop.now());
  const auto &self = Parts.Members.self().Peer;
  for (const auto &it : result.Pushes) {
    Network.send(it.Peer, frameBody(toWire(it.Records, self)));
  }
  if (result.Next) {
    fetch(*result.Next);
  }
  applied(result.Applied);
}

void ControlService::applied(std::size_t count) {
  if (count == 0) {
    return;
  }
  Parts.Steps.prune();
  Lines.debug("records applied", {{"count", count},
                                  {"applied", raw(Parts.State.applied())},
                                  {"version", raw(Parts.State.version())}});
  OnApplied();
}

RecordId ControlService::newRecordId() {
  RecordId id;
  for (std::size_t n = 0; n < id.Bytes.size(); n += sizeof(std::uint64_t)) {
    const auto part = Random();
    std::memcpy(id.Bytes.data() + n, &part, sizeof(part));
  }
  return id;
}

void ControlService::append(RecordBody body, Duration timeLimit,
                            LogClient::AppendCallback done) {
  const Record record{newRecordId(), toString(Parts.Members.self().Peer),
                      std::move(body)};
  Client.appendConfirmed(record, LogOffset{raw(Parts.State.applied()) + 1},
                         Loop.now() + timeLimit, std::move(done));
}

void ControlService::catchUp(LogOffset offset) {
  Wanted = std::max(Wanted, offset);
  readLog();
}

void ControlService::fetch(const Fetch &fetch) {
  wire::FetchRecordsT request;
  request.after = raw(fetch.After);
  Network.request(fetch.Peer, frameBody(request), Loop.now() + PeerTimeout,
                  [this, from = fetch.Peer](const PeerOutcome &outcome) {
                    onFetched(from, outcome);
                  });
}

void ControlService::onFetched(const Address &from,
                               const PeerOutcome &outcome) {
  if (!outcome.Answer) {
    return;
  }
  if (const auto *records = outcome.Answer->AsRecords()) {
    accept(fromWire(records->records), from);
  } else if (outcome.Answer->AsSnapshotAnswer() != nullptr) {
    requestSnapshot(from);
  }
}

void ControlService::requestSnapshot(const Address &from) {
  SnapshotPending = true;
  wire::SnapshotRequestT request;
  request.at_least = raw(Parts.State.applied());
  Network.request(
      from, frameBody(request), Loop.now() + PeerTimeout,
      [this](const PeerOutcome &outcome) {
        SnapshotPending = false;
        const auto *answer =
            outcome.Answer ? outcome.Answer->AsSnapshotAnswer() : nullptr;
        if (answer == nullptr || !answer->ready) {
          return;
        }
        const std::string bytes(answer->bytes.begin(), answer->bytes.end());
        const auto done = Parts.Records.installSnapshot(bytes);
        if (done) {
          Snapshots.recordsSkipped();
          applied(1);
        } else {
          Lines.debug("snapshot not used",
                      {{"reason", toString(done.reason())}});
        }
      });
}

void ControlService::joinAnswered(const PeerAnswer &answer) {
  Parts.Records.recovery().peerAnswered(answer);
}

void ControlService::onRecords(const wire::RecordsT &records) {
  if (const auto from = chivefold::fromWire(records.from.get())) {
    accept(fromWire(records.records), *from);
  }
}

void ControlService::onFetch(const wire::FetchRecordsT &fetch,
                             const PeerResponder &respond) {
  if (!respond) {
    return;
  }
  const auto served = Parts.Records.recordsAfter(LogOffset{fetch.after});
  if (served.SnapshotNeeded) {
    respond(frameBody(wire::SnapshotAnswerT()));
    return;
  }
  respond(frameBody(toWire(served.Records, Parts.Members.self().Peer)));
}

void ControlService::onSnapshotRequest(const PeerResponder &respond) {
  if (!respond) {
    return;
  }
  const auto now = Loop.now();
  if (now >= SnapshotWindowEnd) {
    SnapshotWindowEnd = now + std::chrono::seconds(1);
    SnapshotsServed = 0;
  }
  wire::SnapshotAnswerT answer;
  if (!WasReady || SnapshotsServed >= SnapshotsPerSecond) {
    answer.retry_after_ms = 1000;
    respond(frameBody(std::move(answer)));
    return;
  }
  ++SnapshotsServed;
  const auto bytes = Parts.State.encodeSnapshot();
  answer.ready = true;
  answer.bytes.assign(bytes.begin(), bytes.end());
  respond(frameBody(std::move(answer)));
}

void ControlService::startStep(const SafeStep &step) { mergeStep(step); }

void ControlService::onStep(const wire::SafeStepT &step) {
  if (const auto s = stepFromWire(step)) {
    mergeStep(*s);
  }
}

void ControlService::mergeStep(const SafeStep &step) {
  if (!Parts.Steps.merge(step)) {
    return;
  }
  Lines.info("safe step in force", {{"kind", safeStepName(step.Kind)},
                                    {"subject", step.Subject},
                                    {"reason", step.Reason}});
  for (const auto &it : Parts.Members.randomPeers(StepFanout, true)) {
    Network.send(it, frameBody(std::move(*stepToWire(step))));
  }
  OnApplied();
}

LogOffset ControlService::appliedOffset() const {
  return Parts.State.applied();
}

std::uint64_t ControlService::stateDigest() const {
  return Parts.State.digest();
}

std::vector<std::unique_ptr<wire::SafeStepT>> ControlService::stepsToSend() {
  std::vector<std::unique_ptr<wire::SafeStepT>> steps;
  for (const auto &it : Parts.Steps.steps()) {
    steps.push_back(stepToWire(it));
  }
  return steps;
}

std::vector<std::unique_ptr<wire::PoisonDeathT>>
ControlService::deathsToSend() {
  return Parts.Poison.deathsToSend(PoisonService::DeathsPerProbe);
}

std::vector<std::unique_ptr<wire::PoisonDeathT>>
ControlService::deathsForJoin() {
  return Parts.Poison.deathsToSend(PoisonService::DeathsPerJoin);
}

void ControlService::heardDeaths(
    const std::vector<std::unique_ptr<wire::PoisonDeathT>> &deaths) {
  Parts.Poison.onDeaths(deaths);
}

void ControlService::heardProgress(
    const Address &peer, LogOffset applied, std::uint64_t digest,
    const std::vector<std::unique_ptr<wire::SafeStepT>> &steps) {
  for (const auto &it : steps) {
    onStep(*it);
  }
  if (applied == Parts.State.applied() && digest != Parts.State.digest()) {
    // Replay is deterministic, so this is a fault of one of the two.
    Lines.error("state differs at the same offset",
                {{"peer", toString(peer)}, {"applied", raw(applied)}});
  }
  if (const auto due = Parts.Records.peerApplied(peer, applied, Loop.now())) {
    fetch(*due);
  }
}

} // namespace chivefold
