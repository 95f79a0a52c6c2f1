#include "chivefold/sidecar/host_memory.h"

#include "../../src/sidecar/host_memory_wire.h"
#include "sidecar_lab.h"

#include <catch2/catch.hpp>

using namespace chivefold;
using namespace std::chrono_literals;

namespace {

constexpr auto Crashing = static_cast<RequestDigest>(70);

/** What of a daemon decides about quarantines. */
struct Quarantiner {
  Quarantiner(Reactor &reactor, const StoreAccess &store, Address own,
              std::uint64_t seed)
      : Own(std::move(own)),
        Network(reactor, {"127.0.0.1", 0}, [](auto &&...) {}),
        Poison(
            reactor, Network,
            [](std::size_t) { return std::vector<Address>(); }, seed),
        Memory(
            reactor, store, {Departed, Poison, Hosts}, Own, [](const auto &) {},
            [] {}) {}

  Address Own;
  PeerNetwork Network;
  PoisonService Poison;
  Departures Departed;
  FleetTable Hosts{1};
  HostMemory Memory;
};

struct QuarantineFixture {
  Reactor Loop;
  MemoryStore Store{Loop};
  StoreEra Era;
  const StoreAccess Access{Store, Era};
  const Address First{"10.0.0.1", 1};
  const Address Second{"10.0.0.2", 1};

  std::unique_ptr<Quarantiner> daemon(const Address &own, std::uint64_t seed) {
    auto out = std::make_unique<Quarantiner>(Loop, Access, own, seed);
    for (const auto &it : listed()) {
      CHECK(out->Memory.restore(it));
    }
    out->Memory.onListed(MemoryStore::Era);
    return out;
  }
  void pass(Duration time) { runFor(Loop, time); }
  std::vector<KeyedRecord> listed() {
    std::optional<std::vector<KeyedRecord>> out;
    Store.list(KeyedStream::Hosts, "", Loop.now() + 1s,
               [&](const Result<KeyedBatch> &batch) {
                 out = batch ? batch->Records : std::vector<KeyedRecord>();
               });
    runUntil(Loop, [&] { return out.has_value(); });
    return out.value_or(std::vector<KeyedRecord>());
  }
  std::size_t records() { return listed().size(); }
  /** @return the bytes of a record with the crashes in Kept. */
  std::string kept() const { return encodeHostMemory(Kept); }
  wire::HostMemoryT Kept;
  std::int64_t utcMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               Loop.utcNow().time_since_epoch())
        .count();
  }
};

} // namespace

// Guards against a request that crashes servers again after all daemons were
// killed at the same moment.
TEST_CASE("a quarantine outlasts all daemons", "[quarantine]") {
  QuarantineFixture f;
  auto before = f.daemon(f.First, 1);
  before->Poison.serverDied(f.First, Crashing);
  f.pass(20ms);
  CHECK(f.records() == 1);
  before->Poison.serverDied(f.Second, Crashing);
  f.pass(20ms);
  CHECK(f.records() == 1);
  const auto after = f.daemon(f.Second, 2);
  const auto left = after->Poison.quarantined(Crashing);
  REQUIRE(left);
  CHECK(*left <= PoisonTable::QuarantineTime);
  CHECK(*left > PoisonTable::QuarantineTime - 20s);
  // An answer does not end it, as with a quarantine that was seen.
  after->Poison.succeeded(Crashing);
  CHECK(after->Poison.quarantined(Crashing));
}

// Guards against a request that is never refused, since all daemons are killed
// after each crash and each crash is the first that they know.
TEST_CASE("crashes below a quarantine outlast all daemons", "[quarantine]") {
  QuarantineFixture f;
  std::vector<std::unique_ptr<Quarantiner>> daemons;
  for (std::uint64_t i = 0; i < 3; ++i) {
    daemons.push_back(f.daemon(f.First, i));
    CHECK_FALSE(daemons.back()->Poison.quarantined(Crashing));
    daemons.back()->Poison.serverDied(f.First, Crashing);
    // Further apart than crashes that count as one.
    f.pass(PoisonTable::SameCrashWindow + 100ms);
  }
  CHECK(f.records() == 1);
  CHECK(f.daemon(f.Second, 9)->Poison.quarantined(Crashing));
  // A daemon that knows it from another one keeps it if its server crashed.
  auto second = f.daemon(f.Second, 10);
  second->Poison.serverDied(f.Second, Crashing);
  f.pass(20ms);
  CHECK(f.records() == 2);
}

// Guards against a crash that was cleared and counts again after a restart.
TEST_CASE("an answer clears a crash that is kept", "[quarantine]") {
  QuarantineFixture f;
  auto before = f.daemon(f.First, 1);
  before->Poison.serverDied(f.First, Crashing);
  f.pass(20ms);
  before->Poison.succeeded(Crashing);
  f.pass(HostMemory::ClearDelay + 100ms);
  auto after = f.daemon(f.First, 2);
  CHECK(after->Poison.isEmpty());
}

// Guards against a write that is given up while the store is away, and against
// one that the store has lost.
TEST_CASE("a crash is written when the store is back", "[quarantine]") {
  QuarantineFixture f;
  auto before = f.daemon(f.First, 1);
  before->Memory.start();
  const auto copy = f.Store.copy();
  f.Store.IsAway = true;
  before->Poison.serverDied(f.First, Crashing);
  f.pass(4s);
  f.Store.IsAway = false;
  CHECK(f.records() == 0);
  f.pass(HostMemory::MaxRetryDelay + 200ms);
  CHECK(f.records() == 1);
  f.Store.restore(copy);
  f.Era.observe(f.Store.currentEra());
  f.pass(HostMemory::EraCheckInterval + 200ms);
  CHECK(f.records() == 1);
}

// Guards against a write of every daemon of a large fleet for each crash.
TEST_CASE("only daemons that saw a crash or whose server crashed keep it",
          "[quarantine]") {
  QuarantineFixture f;
  const auto first = f.daemon(f.First, 1);
  const auto third = f.daemon({"10.0.0.3", 1}, 3);
  first->Poison.serverDied(f.Second, Crashing);
  first->Poison.serverDied(f.First, Crashing);
  for (const auto &it : first->Poison.deathsToSend(8)) {
    third->Poison.onDeath(*it);
  }
  CHECK(third->Poison.quarantined(Crashing));
  f.pass(20ms);
  CHECK(f.records() == 1);
}

// Guards against odd entries, those that are over, and clocks that are ahead.
TEST_CASE("only valid crashes are read", "[quarantine]") {
  QuarantineFixture f;
  const auto keep = [&](std::uint64_t digest, std::int64_t ageMs) {
    for (std::uint64_t n = 1; n <= 3; ++n) {
      auto crash = std::make_unique<wire::KeptCrashT>();
      crash->digest = digest;
      crash->id = 10 * digest + n;
      crash->at_ms = f.utcMs() - ageMs - 1000 * static_cast<std::int64_t>(n);
      f.Kept.crashes.push_back(std::move(crash));
    }
  };
  keep(71, PoisonTable::QuarantineTime / 1ms);
  keep(72, -3'600'000);
  keep(73, 0);
  f.Kept.crashes.push_back(nullptr);
  f.Kept.crashes.pop_back();
  // Without an identity or a digest.
  keep(0, 0);
  for (const std::int64_t at : {1, 2, 3}) {
    auto crash = std::make_unique<wire::KeptCrashT>();
    crash->digest = 74;
    crash->at_ms = f.utcMs() - 1000 * at;
    f.Kept.crashes.push_back(std::move(crash));
  }
  const auto put = [&](const std::string &key, const std::string &value) {
    f.Store.write(KeyedStream::Hosts, "memory/" + key, value);
  };
  put("10.0.0.7:1", f.kept());
  put("10.0.0.8:1", "");
  put("10.0.0.9:1", f.kept().substr(0, 40));
  put("x", f.kept());
  const auto daemon = f.daemon(f.First, 1);
  const auto left = [&](std::uint64_t digest) {
    return daemon->Poison.quarantined(static_cast<RequestDigest>(digest));
  };
  CHECK_FALSE(left(71));
  REQUIRE(left(73));
  CHECK(*left(73) <= PoisonTable::QuarantineTime);
  CHECK_FALSE(left(74));
  CHECK_FALSE(left(0));
  // A clock that is ahead makes a crash no younger than now; those of one time
  // and server are one crash.
  CHECK_FALSE(left(72));
  CHECK(daemon->Poison.crashedServers(static_cast<RequestDigest>(72)).size() ==
        1);
}

// Guards against hosts that are taken for something else.
TEST_CASE("the address of a host is no memory", "[quarantine]") {
  QuarantineFixture f;
  const auto daemon = f.daemon(f.First, 1);
  CHECK_FALSE(daemon->Memory.restore({"10.0.0.1:7380", "east"}));
  CHECK_FALSE(daemon->Memory.restore({"", "70 1"}));
}

// Guards against a quarantine that a whole daemon does not read at its start,
// and against one that it counts as an odd entry of a host.
TEST_CASE("a sidecar reads quarantines at its start", "[quarantine]") {
  SidecarLab lab;
  lab.configure(1, "s");
  CallMessage call;
  call.Service = "s";
  call.Method = "POST";
  call.Target = "/x/crash";
  call.Body = "work";
  QuarantineFixture f;
  auto crashed = f.daemon(f.First, 1);
  crashed->Poison.serverDied(f.First, digestOf(call));
  crashed->Poison.serverDied(f.Second, digestOf(call));
  f.pass(20ms);
  for (const auto &it : f.listed()) {
    lab.Store.write(KeyedStream::Hosts, it.Key, it.Value);
  }
  auto &host = lab.addHost("s", "east");
  host.report();
  lab.awaitService(host, "/x/1");
  const auto crash = lab.call(host, "/x/crash");
  REQUIRE(lab.reached([&] { return crash->done(); }));
  CHECK(crash->status() == 503);
  CHECK(lab.runsOf(*crash).empty());
}

// Guards against a record that grows with every digest, and against requests
// that crashed servers again and again and make room for ordinary ones.
TEST_CASE("the record of a host is bounded", "[quarantine]") {
  QuarantineFixture f;
  const auto daemon = f.daemon(f.First, 1);
  daemon->Poison.serverDied(f.First, Crashing);
  daemon->Poison.serverDied(f.Second, Crashing);
  for (std::uint64_t n = 100; n < 100 + 3 * HostMemory::MaxCrashes; ++n) {
    daemon->Poison.serverDied(f.First, static_cast<RequestDigest>(n));
  }
  f.pass(50ms);
  CHECK(f.records() == 1);
  CHECK(f.listed().front().Value->size() < (32U << 10U));
  const auto next = f.daemon(f.First, 2);
  CHECK(next->Poison.quarantined(Crashing));
  CHECK(next->Poison.deathsToSend(1000).size() == HostMemory::MaxCrashes);
}
