#include "chivefold/sidecar/host_memory.h"

#include "host_memory_wire.h"

#include <algorithm>
#include <utility>

namespace chivefold {

namespace {

/** Before the host's address; no host's address begins so. */
constexpr std::string_view KeyPrefix = "memory/";

/** @return a number that is equal for the same content, whenever it is encoded,
 * and not 0. */
std::uint64_t digestOf(const std::vector<Departure> &departures,
                       const std::vector<PoisonUpdate> &crashes) {
  auto out = hash64("record");
  for (const auto &it : departures) {
    out =
        hash64(it.Instance + "/" + std::to_string(it.StartedAtMs.value_or(0)) +
                   "/" + std::to_string(it.AnnouncedAtMs),
               out);
  }
  for (const auto &it : crashes) {
    out = hash64(std::to_string(static_cast<std::uint64_t>(it.Id)), out);
  }
  return out;
}

} // namespace

HostMemory::HostMemory(Reactor &reactor, const StoreAccess &store,
                       const HostMemoryDependencies &parts, Address own,
                       PeerNotifier notifyPeers, std::function<void()> changed)
    : Loop(reactor), Store(store), Departed(parts.Departed),
      Poison(parts.Poison), Hosts(parts.Hosts), Own(std::move(own)),
      NotifyPeers(std::move(notifyPeers)), Changed(std::move(changed)) {
  Departed.onAnnounced([this] { onAnnounced(); });
  Poison.onChange([this](bool isUrgent) { onCrashesChanged(isUrgent); });
}

void HostMemory::start() {
  Loop.schedule(Loop.now() + MaxWait, [this] {
    if (!Departed.isComplete()) {
      Lines.warn("neither the store nor a peer tells which servers have left");
      complete();
    }
  });
  checkEra();
}

bool HostMemory::restore(const KeyedRecord &record) {
  if (record.Key.compare(0, KeyPrefix.size(), KeyPrefix) != 0) {
    return false;
  }
  const auto host = parseAddress(record.Key.substr(KeyPrefix.size()));
  const auto memory =
      record.Value ? decodeHostMemory(*record.Value) : std::nullopt;
  if (!host || !memory) {
    Lines.warn("ignored an entry that is no host's memory",
               {{"key", record.Key}});
    return true;
  }
  const auto crashes = crashesFromWire(memory->crashes, *host, utcMs());
  restoreCrashes(*host, crashes);
  const auto departures = fromWire(memory->departures);
  if (*host != Own) {
    Hosts.recordDepartures(*host, departures, Loop.now());
    return true;
  }
  for (const auto &it : departures) {
    Departed.add(it);
    Lines.info("a server has left before this start of the daemon",
               {{"instance", it.Instance}});
  }
  WrittenDigest = digestOf(departures, crashes);
  return true;
}

void HostMemory::restoreCrashes(const Address &host,
                                const std::vector<PoisonUpdate> &crashes) {
  if (crashes.empty()) {
    return;
  }
  Poison.restore(crashes, host == Own);
  Lines.info("requests are suspected by an earlier process",
             {{"host", toString(host)}, {"crashes", crashes.size()}});
}

std::int64_t HostMemory::utcMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Loop.utcNow().time_since_epoch())
      .count();
}

void HostMemory::onListed(std::uint64_t era) {
  Listed = true;
  WrittenEra = std::max(WrittenEra, era);
  complete();
  save();
}

void HostMemory::merge(const std::vector<Departure> &departures,
                       bool isComplete) {
  bool isNew = false;
  for (const auto &it : departures) {
    isNew = Departed.add(it) || isNew;
  }
  if (isNew) {
    const bool wasKept = KeptRevision == Revision;
    ++Revision;
    KeptRevision = wasKept ? Revision : KeptRevision;
    save();
  }
  if (isComplete && !Departed.isComplete()) {
    complete();
  } else if (isNew) {
    Changed();
  }
}

void HostMemory::complete() {
  Departed.setComplete();
  Changed();
}

void HostMemory::onAnnounced() {
  ++Revision;
  save();
  NotifyPeers([this, revision = Revision] { markKept(revision); });
}

void HostMemory::onCrashesChanged(bool isUrgent) {
  if (isUrgent) {
    return save();
  }
  if (!std::exchange(IsClearing, true)) {
    Loop.schedule(Loop.now() + ClearDelay, [this] {
      IsClearing = false;
      save();
    });
  }
}

HostMemory::Content HostMemory::content() const {
  const auto departures = Departed.newest(MaxKept);
  const auto crashes = Poison.crashesToKeep(Own, MaxCrashes);
  if (departures.empty() && crashes.empty() && WrittenDigest == 0) {
    return {};
  }
  wire::HostMemoryT memory;
  memory.departures = toWire(departures);
  memory.crashes = crashesToWire(crashes, Own, utcMs());
  Content out;
  out.Bytes = encodeHostMemory(memory);
  out.Digest = digestOf(departures, crashes);
  return out;
}

void HostMemory::save() {
  if (Saving || !Listed) {
    return;
  }
  const auto record = content();
  const bool isLost = Store.Era.current() > WrittenEra;
  if (record.Bytes.empty() || (record.Digest == WrittenDigest && !isLost)) {
    return;
  }
  Saving = true;
  Store.Store.append(KeyedStream::Hosts, std::string(KeyPrefix) + toString(Own),
                     record.Bytes, std::nullopt, Loop.now() + StoreTimeout,
                     [this, revision = Revision,
                      digest = record.Digest](const AppendResult &result) {
                       onSaved(revision, digest, result);
                     });
}

void HostMemory::onSaved(std::uint64_t revision, std::uint64_t digest,
                         const AppendResult &result) {
  if (result.Outcome == AppendOutcome::Written) {
    Saving = false;
    RetryDelay = MinRetryDelay;
    WrittenDigest = digest;
    WrittenEra = result.Era;
    markKept(revision);
    return save();
  }
  Lines.warn("the memory of this host was not written to the store",
             {{"reason", result.Failure.Message}});
  Saving = false;
  Loop.cancel(Retry);
  Retry = Loop.schedule(Loop.now() + RetryDelay, [this] { save(); });
  RetryDelay = std::min<Duration>(2 * RetryDelay, MaxRetryDelay);
}

// The store may have come back from a copy without the record.
void HostMemory::checkEra() {
  if (Listed && Store.Era.current() > WrittenEra) {
    save();
  }
  Loop.schedule(Loop.now() + EraCheckInterval, [this] { checkEra(); });
}

void HostMemory::markKept(std::uint64_t revision) {
  KeptRevision = std::max(KeptRevision, revision);
  // In the order of their revisions.
  while (!Waiting.empty() && Waiting.begin()->second.Revision <= KeptRevision) {
    const auto waiter = std::move(Waiting.begin()->second);
    Waiting.erase(Waiting.begin());
    Loop.cancel(waiter.Timer);
    waiter.Done(true);
  }
}

void HostMemory::whenKept(std::function<void(bool)> done) {
  if (KeptRevision >= Revision) {
    return done(true);
  }
  const auto id = ++LastWaiter;
  const auto timer = Loop.schedule(Loop.now() + KeepTimeout, [this, id] {
    const auto late = std::move(Waiting.at(id).Done);
    Waiting.erase(id);
    late(false);
  });
  Waiting.emplace(id, Waiter{Revision, timer, std::move(done)});
}

} // namespace chivefold
