#include "chivefold/sidecar/rollout_service.h"

#include "chivefold/daemon/wire_convert.h"
#include "rollout_wire.h"

#include <algorithm>

namespace chivefold {

namespace {

std::string encode(const RolloutProgress &progress) {
  flatbuffers::FlatBufferBuilder builder;
  const auto content = toWire(progress);
  builder.Finish(wire::RolloutProgress::Pack(builder, content.get()));
  return {reinterpret_cast<const char *>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::optional<RolloutProgress> decode(const KeyedRecord &record) {
  if (!record.Value) {
    return std::nullopt;
  }
  // FlatBuffers are read in place, so the bytes are copied to aligned memory.
  const std::vector<std::uint8_t> bytes(record.Value->begin(),
                                        record.Value->end());
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!verifier.VerifyBuffer<wire::RolloutProgress>(nullptr)) {
    return std::nullopt;
  }
  wire::RolloutProgressT content;
  flatbuffers::GetRoot<wire::RolloutProgress>(bytes.data())->UnPackTo(&content);
  auto progress = fromWire(content);
  if (progress) {
    progress->Offset = record.Offset;
  }
  return progress;
}

} // namespace

RolloutService::RolloutService(Reactor &reactor, PeerNetwork &network,
                               const RolloutDependencies &parts,
                               const RolloutSettings &settings, Address self,
                               std::function<void()> changed)
    : Loop(reactor), Network(network), Parts(parts), Settings(settings),
      Self(std::move(self)), Changed(std::move(changed)) {}

void RolloutService::start() {
  StartedAt = Loop.now();
  list();
  Loop.schedule(Loop.now() + TickInterval, [this] { tick(); });
}

std::uint64_t RolloutService::era() const {
  return std::max(Parts.Access.Era.current(), Parts.Orders.end().Era);
}

bool RolloutService::isConfirmed(const RolloutProgress &progress) const {
  const auto it = Confirmed.find(progress.Service);
  return it != Confirmed.end() && it->second.Record == progress.position() &&
         it->second.Era >= era();
}

void RolloutService::list() {
  if (Listing) {
    return;
  }
  Listing = true;
  Parts.Access.Store.list(
      KeyedStream::Rollouts, "", Loop.now() + StoreTimeout,
      [this](const Result<KeyedBatch> &batch) { onListed(batch); });
}

void RolloutService::onListed(const Result<KeyedBatch> &batch) {
  Listing = false;
  if (!batch) {
    ++StoreFailures;
    Lines.warn("reading rollout progress from the store failed",
               {{"reason", batch.reason().Message}});
    scheduleNextWrite();
    if (!StreamEnd || !PendingCompletions.empty()) {
      Loop.schedule(NextWrite, [this] { list(); });
    }
    return;
  }
  StoreFailures = 0;
  PendingCompletions.clear();
  StreamEnd = std::max(StreamEnd.value_or(StorePosition()),
                       StorePosition{batch->Era, batch->End});
  for (const auto &it : batch->Records) {
    if (const auto progress = decode(it)) {
      Confirmed[progress->Service] = {progress->position(), batch->Era};
      applyProgress(*progress);
    }
  }
}

// Delays the next call to the store after a failure.
void RolloutService::scheduleNextWrite() {
  NextWrite = Loop.now() +
              std::min<Duration>(TickInterval * std::min(StoreFailures, 4U),
                                 MaxStoreRetryDelay);
}

bool RolloutService::applyProgress(const RolloutProgress &progress) {
  if (!Parts.Versions.apply(progress)) {
    return false;
  }
  recordElapsed(progress);
  Lines.info("rollout progress",
             {{"service", progress.Service},
              {"target", progress.TargetVersion},
              {"phase", rolloutPhaseName(progress.Phase)},
              {"share", std::uint64_t{progress.ShareBasisPoints}},
              {"place", toString(progress.position())},
              {"provisional", progress.Provisional ? "yes" : "no"}});
  Changed();
  return true;
}

// The order may have another place here than where the progress was written.
void RolloutService::recordElapsed(const RolloutProgress &progress) {
  auto step = progress;
  const auto order = Parts.Orders.rollouts().find(progress.Service);
  if (order != Parts.Orders.rollouts().end() &&
      progress.OrderDigest == order->second.Digest &&
      Parts.Versions.covers(progress, order->second)) {
    step.OrderEra = order->second.Era;
    step.OrderOffset = order->second.Offset;
  }
  Clock.recordProgress(step, Loop.now());
}

void RolloutService::ordersChanged() {
  for (const auto &it : Parts.Orders.rollouts()) {
    Clock.recordOrder(it.second, Loop.now());
    const auto *known = Parts.Versions.progress(it.first);
    if (known != nullptr && known->orderPosition() != it.second.position()) {
      recordElapsed(*known);
    }
  }
}

bool RolloutService::isDriver(const std::string &service) const {
  const auto rank = [&](const Address &peer) {
    return hash64(toString(peer) + "/" + service);
  };
  const auto own = rank(Self);
  return std::none_of(Parts.Fleet.hosts().begin(), Parts.Fleet.hosts().end(),
                      [&](const auto &it) {
                        return it.first != Self && it.second.reachable() &&
                               !it.second.State.Leaving && rank(it.first) < own;
                      });
}

void RolloutService::tick() {
  if (Stopped) {
    return;
  }
  Loop.schedule(Loop.now() + TickInterval, [this] { tick(); });
  for (const auto &it : Parts.Orders.rollouts()) {
    if (isDriver(it.first)) {
      driveOrder(it.second);
    } else {
      Drives.erase(it.first);
    }
  }
}

void RolloutService::driveOrder(const RolloutOrder &order) {
  if (!StreamEnd || Loop.now() < StartedAt + PeerExchangeTime) {
    return;
  }
  auto &drive = Drives.try_emplace(order.Service, Settings).first->second;
  if (drive.Order != order.position()) {
    drive = Drive(Settings);
    drive.Order = order.position();
    Lines.info("controlling a rollout", {{"service", order.Service},
                                         {"target", order.TargetVersion},
                                         {"order", toString(drive.Order)}});
  }
  const auto *known = Parts.Versions.progress(order.Service);
  if (known == nullptr || !Parts.Versions.covers(*known, order)) {
    return write(firstProgress(order));
  }
  if (!isConfirmed(*known) && !verify(*known, drive)) {
    return;
  }
  reportStatus(*known, drive);
  if (isFinal(known->Phase) || PendingCompletions.count(order.Service) > 0) {
    return;
  }
  if (const auto *rollback =
          Parts.Versions.provisionalRollback(order.Service)) {
    return write(*rollback);
  }
  collectCounts(order, drive);
  decide(order, drive);
}

// Reads whether the store has the known progress, and writes an end again that
// it has lost. @return whether the rollout may go on meanwhile.
bool RolloutService::verify(const RolloutProgress &known, Drive &drive) {
  const std::pair<StorePosition, std::uint64_t> state{known.position(), era()};
  if (drive.Verified != state) {
    if (!Listing && !Writing && Loop.now() >= NextWrite) {
      drive.Verified = state;
      list();
    }
    return !isFinal(known.Phase);
  }
  if (Listing || !isFinal(known.Phase)) {
    return !isFinal(known.Phase);
  }
  auto again = known;
  again.FirstEnd = known.firstEnd();
  write(std::move(again));
  return false;
}

RolloutProgress RolloutService::firstProgress(const RolloutOrder &order) const {
  RolloutProgress out;
  out.Service = order.Service;
  out.TargetVersion = order.TargetVersion;
  out.OrderOffset = order.Offset;
  out.OrderEra = order.Era;
  out.OrderDigest = order.Digest;
  out.Elapsed = Clock.elapsed(order, Loop.now());
  const auto *before = Parts.Versions.provisionalRollback(order.Service);
  if (before == nullptr) {
    before = Parts.Versions.progress(order.Service);
  }
  if (before != nullptr) {
    out.Rejected = before->Rejected;
    out.BaseVersion = before->BaseVersion;
    if (before->Phase == RolloutPhase::RolledBack) {
      out.Rejected.push_back(before->TargetVersion);
    } else if (before->Phase == RolloutPhase::Completed) {
      out.BaseVersion = before->TargetVersion;
    }
    // A new order may target a version that was rolled back before.
    out.Rejected.erase(std::remove(out.Rejected.begin(), out.Rejected.end(),
                                   order.TargetVersion),
                       out.Rejected.end());
  }
  return out;
}

void RolloutService::collectCounts(const RolloutOrder &order, Drive &drive) {
  drive.Hosts[Self] = {Parts.Backend.countedVersion(),
                       Parts.Backend.server().Service == order.Service
                           ? Parts.Backend.counts()
                           : std::vector<KindCounts>()};
  wire::StatsRequestT request;
  request.service = order.Service;
  for (const auto &it : Parts.Fleet.hosts()) {
    if (it.first == Self || !it.second.reachable() ||
        it.second.State.Server.Service != order.Service) {
      continue;
    }
    Network.request(
        it.first, frameBody(request), Loop.now() + StatsTimeout,
        [this, service = order.Service, peer = it.first](PeerOutcome outcome) {
          const auto *answer =
              outcome.Answer ? outcome.Answer->AsStatsAnswer() : nullptr;
          const auto found = Drives.find(service);
          if (answer == nullptr || found == Drives.end()) {
            return;
          }
          HostCounts counts;
          if (!answer->stats.empty()) {
            counts.Version = answer->stats.back()->version;
          }
          counts.Counts = statsFromWire(answer->stats);
          found->second.Hosts[peer] = std::move(counts);
        });
  }
}

void RolloutService::onStatsRequest(const wire::StatsRequestT &request,
                                    const PeerResponder &respond) const {
  if (!respond) {
    return;
  }
  wire::StatsAnswerT out;
  if (Parts.Backend.server().Service == request.service) {
    out.stats =
        statsToWire(Parts.Backend.counts(), Parts.Backend.countedVersion());
  }
  respond(frameBody(std::move(out)));
}

RolloutView RolloutService::viewOf(const RolloutOrder &order,
                                   const Drive &drive,
                                   const RolloutProgress &progress) const {
  RolloutView view;
  view.OrderedAt = Loop.now() - Clock.elapsed(order, Loop.now());
  view.TimeAllowed = order.TimeAllowed;
  view.ShareBasisPoints = progress.ShareBasisPoints;
  view.ReadyServers =
      Parts.Servers.countReadyServers(order.Service, order.TargetVersion);
  KindSums oldSums;
  KindSums newSums;
  for (const auto &it : drive.Hosts) {
    const bool isNew = it.second.Version == order.TargetVersion;
    (isNew ? newSums : oldSums).add(it.second.Counts);
    if (isNew) {
      view.NewByHost.emplace(it.first, it.second.Counts);
    }
  }
  view.OldCounts = oldSums.all();
  view.NewCounts = newSums.all();
  return view;
}

void RolloutService::decide(const RolloutOrder &order, Drive &drive) {
  const auto known = *Parts.Versions.progress(order.Service);
  const auto decision =
      drive.Driver.tick(Loop.now(), viewOf(order, drive, known));
  if (decision.Action == RolloutAction::None) {
    return;
  }
  auto next = known;
  next.Elapsed = Clock.elapsed(order, Loop.now());
  next.ShareBasisPoints = decision.ShareBasisPoints;
  if (decision.Action == RolloutAction::Complete) {
    next.Phase = RolloutPhase::Completed;
  } else if (decision.Action == RolloutAction::RollBack) {
    next.Phase = RolloutPhase::RolledBack;
  }
  Lines.info(
      "rollout decision",
      {{"service", order.Service},
       {"target", order.TargetVersion},
       {"action", rolloutActionName(decision.Action)},
       {"share", std::uint64_t{next.ShareBasisPoints}},
       {"elapsed_ms", static_cast<std::uint64_t>(next.Elapsed.count() / 1000)},
       {"evidence", decision.Evidence}});
  if (decision.Action == RolloutAction::RollBack) {
    return rollBack(std::move(next));
  }
  write(std::move(next));
}

// Removing traffic is always safe, so it takes effect before it is written.
void RolloutService::rollBack(RolloutProgress progress) {
  progress.Provisional = true;
  applyProgress(progress);
  broadcastProgress();
  write(std::move(progress));
}

void RolloutService::write(RolloutProgress progress) {
  if (Writing || Listing || !StreamEnd || Loop.now() < NextWrite) {
    return;
  }
  Writing = true;
  progress.Provisional = false;
  if (progress.Phase == RolloutPhase::Completed) {
    PendingCompletions.insert(progress.Service);
  }
  progress.Era = StreamEnd->Era;
  progress.Offset = StreamEnd->Offset;
  const auto bytes = encode(progress);
  Parts.Access.Store.append(KeyedStream::Rollouts, progress.Service, bytes,
                            progress.Offset, Loop.now() + StoreTimeout,
                            [this, progress](const AppendResult &result) {
                              Writing = false;
                              onWritten(progress, result);
                            });
}

void RolloutService::onWritten(RolloutProgress progress,
                               const AppendResult &result) {
  // A record that was written in a later era than its content states is read
  // again like one whose answer is lost.
  if (result.Outcome == AppendOutcome::Written && result.Era == progress.Era) {
    StoreFailures = 0;
    PendingCompletions.erase(progress.Service);
    StreamEnd = StorePosition{progress.Era, progress.Offset + 1};
    Confirmed[progress.Service] = {progress.position(), progress.Era};
    applyProgress(progress);
    broadcastProgress();
    const auto drive = Drives.find(progress.Service);
    // The order may have been replaced while the record was written.
    if (drive != Drives.end() &&
        drive->second.Order == progress.orderPosition()) {
      reportStatus(progress, drive->second);
    }
    return;
  }
  // The drivers of other services append to the same stream.
  const bool conflict = result.Outcome == AppendOutcome::Conflict;
  StoreFailures += conflict ? 0 : 1;
  Lines.warn("writing rollout progress to the store failed",
             {{"service", progress.Service},
              {"place", toString(progress.position())},
              {"era", result.Era},
              {"error", errorName(result.Failure.Code)},
              {"reason", result.Failure.Message}});
  if (!conflict) {
    scheduleNextWrite();
  }
  // Another driver may have written, or this append may have succeeded.
  list();
}

void RolloutService::reportStatus(const RolloutProgress &progress,
                                  Drive &drive) {
  const bool reported =
      drive.ReportedPhase == progress.Phase && drive.ReportedEra >= era();
  if (drive.Reporting || reported || Loop.now() < NextWrite) {
    return;
  }
  drive.Reporting = true;
  Parts.Access.Store.append(
      KeyedStream::RolloutStatus, Parts.Ports.Statuses.key(progress),
      Parts.Ports.Statuses.encode(progress), std::nullopt,
      Loop.now() + StoreTimeout,
      [this, progress, order = drive.Order](const AppendResult &result) {
        const auto it = Drives.find(progress.Service);
        if (it == Drives.end() || it->second.Order != order) {
          return;
        }
        it->second.Reporting = false;
        if (result.Outcome == AppendOutcome::Written) {
          it->second.ReportedPhase = progress.Phase;
          it->second.ReportedEra = result.Era;
          Lines.info("rollout status written",
                     {{"service", progress.Service},
                      {"phase", rolloutPhaseName(progress.Phase)}});
          return;
        }
        ++StoreFailures;
        NextWrite = Loop.now() + TickInterval;
        Lines.warn("writing rollout status to the store failed",
                   {{"service", progress.Service},
                    {"reason", result.Failure.Message}});
      });
}

wire::RolloutsT RolloutService::progressFrame() const {
  wire::RolloutsT out;
  for (const auto &it : Parts.Versions.allProgress()) {
    out.entries.push_back(toWire(it));
  }
  return out;
}

void RolloutService::broadcastProgress() const {
  for (const auto &it : Parts.Fleet.hosts()) {
    if (it.first != Self && it.second.reachable()) {
      Network.send(it.first, frameBody(progressFrame()));
    }
  }
}

void RolloutService::onRollouts(const wire::RolloutsT &rollouts) {
  for (const auto &it : rollouts.entries) {
    const auto progress = fromWire(*it);
    if (progress) {
      applyProgress(*progress);
    }
  }
}

void RolloutService::onPeer(const Address &peer, std::uint64_t digest) {
  if (digest != this->digest() && !Parts.Versions.allProgress().empty()) {
    Network.send(peer, frameBody(progressFrame()));
  }
}

std::uint64_t RolloutService::digest() const {
  std::uint64_t out = 0;
  for (const auto &it : Parts.Versions.allProgress()) {
    out ^= hash64(it.Service + toString(it.position()), it.Provisional ? 1 : 0);
  }
  return out;
}

} // namespace chivefold
