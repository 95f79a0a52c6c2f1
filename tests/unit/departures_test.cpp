#include "chivefold/mesh/departures.h"
#include "chivefold/sidecar/host_memory.h"

#include "backend_fixture.h"
#include "sidecar_lab.h"

#include <catch2/catch.hpp>

using namespace chivefold;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t NowMs = 1'000'000;

/** A HostMemory and what it depends on, as in one daemon. */
struct Remembering {
  Remembering(Reactor &reactor, const StoreAccess &store)
      : Network(reactor, {"127.0.0.1", 0}, [](auto &&...) {}),
        Poison(
            reactor, Network,
            [](std::size_t) { return std::vector<Address>(); }, 1),
        Memory(
            reactor, store, {Departed, Poison, Hosts}, {"10.0.0.1", 1},
            [this](const auto &kept) { ToPeers = kept; },
            [this] { ++Changes; }) {}

  PeerNetwork Network;
  PoisonService Poison;
  Departures Departed;
  FleetTable Hosts{1};
  /** Ends the last message to peers. */
  std::function<void()> ToPeers;
  int Changes = 0;
  HostMemory Memory;
};

struct MemoryFixture {
  Reactor Loop;
  MemoryStore Store{Loop};
  StoreEra Era;
  const StoreAccess Access{Store, Era};

  MemoryFixture() { Era.observe(MemoryStore::Era); }

  void pass(Duration time) { runFor(Loop, time); }
  std::vector<KeyedRecord> written() const {
    auto all = Store.copy();
    return all[KeyedStream::Hosts];
  }
  /** @return how the wait for the memory ended, if it has. */
  std::shared_ptr<std::optional<bool>> awaitKept(Remembering &host) {
    auto out = std::make_shared<std::optional<bool>>();
    host.Memory.whenKept([out](bool isKept) { *out = isKept; });
    return out;
  }
};

} // namespace

// Guards against an announcement that covers a later start of the server, or
// does not cover reports without a start.
TEST_CASE("an announcement covers its start alone", "[departures]") {
  Departures departed;
  departed.announce({"i", 500, NowMs});
  CHECK(departed.covers("i", 500, NowMs + 3'600'000));
  CHECK(departed.covers("i", std::nullopt, NowMs));
  CHECK_FALSE(departed.covers("i", 501, NowMs));
  CHECK_FALSE(departed.covers("k", 500, NowMs));
  // A server that the daemon did not know: all its starts so far.
  departed.announce({"k", std::nullopt, NowMs});
  CHECK(departed.covers("k", NowMs, NowMs + 1));
  CHECK(departed.covers("k", std::nullopt, NowMs + 1));
  CHECK_FALSE(departed.covers("k", NowMs + 1, NowMs + 1));
  CHECK_FALSE(departed.covers("k", NowMs, NowMs + 60'000));
}

// Guards against a list that grows, and against a write for each repetition.
TEST_CASE("announcements are kept once and bounded", "[departures]") {
  Departures departed;
  int announced = 0;
  departed.onAnnounced([&] { ++announced; });
  departed.announce({"i", 500, NowMs});
  departed.announce({"i", 500, NowMs + 1});
  CHECK(announced == 1);
  CHECK_FALSE(departed.add({"i", 500, NowMs + 2}));
  for (std::int64_t n = 0; n < 100; ++n) {
    departed.announce({"k", n, NowMs});
  }
  CHECK(departed.newest(1000).size() == Departures::MaxCount);
  CHECK(departed.newest(2).back().StartedAtMs == 99);
  CHECK_FALSE(departed.covers("i", 500, NowMs));
}

// Guards against a draining server that a later report brings back, whatever
// its sequence number, and against one report that takes another start out.
TEST_CASE("a server that drains is not used again", "[departures]") {
  BackendFixture f;
  f.configure();
  REQUIRE(f.Backend.report(f.report("i", 10, 3)));
  // Late, from an earlier start and from another instance.
  CHECK_FALSE(f.Backend.report(f.report("i", 9, 9, ServerPhase::Draining)));
  CHECK_FALSE(f.Backend.report(f.report("h", 8, 9, ServerPhase::Draining)));
  CHECK(f.Backend.server().Phase == ServerPhase::Ready);
  // Of another writer, for good only until the server's next report.
  auto foreign = f.report("i", 10, 4, ServerPhase::Draining);
  foreign.State.Service = "unknown";
  CHECK(f.Backend.report(foreign));
  foreign = f.report("i", 10, 5, ServerPhase::Draining);
  foreign.StartedAtMs.reset();
  CHECK_FALSE(f.Backend.report(foreign));
  REQUIRE(f.Backend.report(f.report("i", 10, 5)));
  CHECK(f.Backend.server().Phase == ServerPhase::Ready);
  CHECK(f.Backend.gate().Limit > 0);
  REQUIRE(f.Backend.report(f.report("i", 10, 6, ServerPhase::Draining)));
  REQUIRE(f.Backend.report(f.report("i", 10, 7)));
  CHECK(f.Backend.server().Phase == ServerPhase::Draining);
  CHECK(f.Backend.gate().Limit == 0);
  REQUIRE(f.Backend.report(f.report("i", 11, 1)));
  CHECK(f.Backend.server().Phase == ServerPhase::Ready);
}

// Guards against a report of a draining server that a later one has overtaken:
// it is acknowledged and binds.
TEST_CASE("an overtaken report of a draining server binds", "[departures]") {
  BackendFixture f;
  f.configure();
  REQUIRE(f.Backend.report(f.report("i", 10, 5)));
  CHECK_FALSE(f.Backend.report(f.report("i", 10, 4, ServerPhase::Draining)));
  CHECK(f.Backend.server().Phase == ServerPhase::Draining);
  CHECK(f.Backend.gate().Limit == 0);
}

// Guards against a daemon that believes a late report before it knows what its
// predecessor was told.
TEST_CASE("reports wait until the departures are known", "[departures]") {
  BackendFixture f{false};
  f.configure();
  CHECK_FALSE(f.Backend.report(f.report("i", 10, 5)));
  CHECK_FALSE(f.Backend.report(f.report("k", 20, 1)));
  CHECK(f.Backend.server().Instance.empty());
  f.Departed.add({"i", 10, NowMs});
  f.Backend.departuresChanged();
  CHECK(f.Backend.server().Instance.empty());
  f.Departed.setComplete();
  f.Backend.departuresChanged();
  CHECK(f.Backend.server().Instance == "k");
  // A peer knows later that this one has left, too.
  f.Departed.add({"k", 20, NowMs});
  f.Backend.departuresChanged();
  CHECK(f.Backend.server().Phase == ServerPhase::Draining);
  CHECK(f.Backend.gate().Limit == 0);
}

// Guards against an acknowledgement of what this process alone knows, and
// against one that waits for the store while a peer knows it.
TEST_CASE("a departure is kept by the store or by a peer", "[departures]") {
  MemoryFixture f;
  Remembering host(f.Loop, f.Access);
  host.Memory.onListed(MemoryStore::Era);
  CHECK(host.Departed.isComplete());
  CHECK(*f.awaitKept(host) == true);
  host.Departed.announce({"i", 10, NowMs});
  const auto byStore = f.awaitKept(host);
  CHECK_FALSE(*byStore);
  f.pass(20ms);
  CHECK(*byStore == true);
  CHECK(f.written().size() == 1);
  f.Store.IsAway = true;
  host.Departed.announce({"k", 20, NowMs});
  const auto byPeer = f.awaitKept(host);
  f.pass(20ms);
  CHECK_FALSE(*byPeer);
  host.ToPeers();
  CHECK(*byPeer == true);
  host.Departed.announce({"l", 30, NowMs});
  const auto byNone = f.awaitKept(host);
  f.pass(HostMemory::KeepTimeout + 100ms);
  CHECK(*byNone == false);
  // The record is written when the store is back.
  f.Store.IsAway = false;
  f.pass(HostMemory::MaxRetryDelay + 100ms);
  CHECK(f.written().size() == 2);
  CHECK(*f.awaitKept(host) == true);
}

// Guards against a record that the store has lost, and against one that is
// written over and over.
TEST_CASE("a lost record of a host is written again", "[departures]") {
  MemoryFixture f;
  Remembering host(f.Loop, f.Access);
  host.Memory.start();
  host.Memory.onListed(MemoryStore::Era);
  const auto copy = f.Store.copy();
  host.Departed.announce({"i", 10, NowMs});
  f.pass(20ms);
  REQUIRE(f.written().size() == 1);
  f.Store.restore(copy);
  CHECK(f.written().empty());
  f.Era.observe(f.Store.currentEra());
  f.pass(2 * HostMemory::EraCheckInterval + 200ms);
  CHECK(f.written().size() == 1);
}

// Guards against a write that replaces announcements which the daemon has not
// read yet.
TEST_CASE("the record is read before it is written", "[departures]") {
  MemoryFixture f;
  Remembering before(f.Loop, f.Access);
  before.Memory.onListed(MemoryStore::Era);
  before.Departed.announce({"i", 10, NowMs});
  f.pass(20ms);
  REQUIRE(f.written().size() == 1);
  Remembering after(f.Loop, f.Access);
  after.Departed.announce({"k", 20, NowMs});
  f.pass(20ms);
  CHECK(f.written().size() == 1);
  CHECK(after.Memory.restore(f.written().back()));
  after.Memory.onListed(MemoryStore::Era);
  f.pass(20ms);
  Remembering last(f.Loop, f.Access);
  CHECK(last.Memory.restore(f.written().back()));
  CHECK(last.Departed.covers("i", 10, NowMs));
  CHECK(last.Departed.covers("k", 20, NowMs));
  CHECK_FALSE(last.Departed.covers("k", 21, NowMs));
}

// Guards against entries that are no record of a host, and against records of
// other hosts that count for this one.
TEST_CASE("only the record of the own host counts", "[departures]") {
  MemoryFixture f;
  Remembering host(f.Loop, f.Access);
  CHECK(host.Memory.restore({"memory/10.0.0.1:1", "odd"}));
  CHECK(host.Memory.restore({"memory/x", std::nullopt}));
  CHECK_FALSE(host.Memory.restore({"10.0.0.1:1", "east"}));
  host.Memory.onListed(MemoryStore::Era);
  host.Departed.announce({"i", 10, NowMs});
  f.pass(20ms);
  auto other = f.written().back();
  other.Key = "memory/10.0.0.2:1";
  Remembering next(f.Loop, f.Access);
  const Address second{"10.0.0.2", 1};
  next.Hosts.addAddress(second, f.Loop.now());
  CHECK(next.Memory.restore(other));
  CHECK_FALSE(next.Departed.covers("i", 10, NowMs));
  // The other host is told what it has left behind.
  const auto told = next.Hosts.departuresOf(second, f.Loop.now());
  REQUIRE(told.size() == 1);
  CHECK(told.front().Instance == "i");
  CHECK(
      next.Hosts.departuresOf(second, f.Loop.now() + FleetTable::DepartureTime)
          .empty());
}

// Guards against a daemon that believes a late report since its peers told it
// nothing, and against one that waits for the store although a peer knows all.
TEST_CASE("a peer's knowledge ends the wait", "[departures]") {
  MemoryFixture f;
  f.Store.IsAway = true;
  Remembering host(f.Loop, f.Access);
  host.Memory.start();
  host.Memory.merge({}, false);
  CHECK_FALSE(host.Departed.isComplete());
  host.Memory.merge({{"i", 10, NowMs}}, true);
  CHECK(host.Departed.isComplete());
  CHECK(host.Departed.covers("i", 10, NowMs));
  Remembering alone(f.Loop, f.Access);
  alone.Memory.start();
  f.pass(HostMemory::MaxWait / 2);
  CHECK_FALSE(alone.Departed.isComplete());
  f.pass(HostMemory::MaxWait / 2 + 100ms);
  CHECK(alone.Departed.isComplete());
  CHECK(alone.Changes > 0);
}
