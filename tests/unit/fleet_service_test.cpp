#include "chivefold/sidecar/fleet_service.h"

#include "raw_socket.h"
#include "rollout_fixture.h"

#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

/** A FleetService with its dependencies, as in one daemon. */
struct Daemon {
  Daemon(Reactor &loop, const StoreAccess &store, std::uint64_t seed)
      : Network(loop, {"127.0.0.1", 0},
                [this](const Address &, wire::FrameBodyUnion &body,
                       const PeerResponder &respond) {
                  if (auto *hello = body.AsHello()) {
                    Service->onHello(*hello, respond);
                  }
                }),
        Table(seed) {
    REQUIRE(Network.start());
    Plan.emplace(Table, Network.bound(), "z", seed);
    Readers.emplace(Table, Network.bound(), "z");
    Service.emplace(
        loop, Network, store, Table, *Plan, *Readers, Network.bound(),
        [this, seed] {
          HostState out;
          out.Peer = Network.bound();
          out.DataCentre = "z";
          out.BootId = seed;
          return out;
        },
        [] { return PiggybackedState(); },
        [](const Address &, const PiggybackedState &) {}, [] {}, seed);
    Service->start();
  }

  std::size_t reachable() const { return Readers->reachableHosts(); }

  PeerNetwork Network;
  FleetTable Table;
  std::optional<AnnouncePlan> Plan;
  std::optional<OrderReaders> Readers;
  std::optional<FleetService> Service;
};

} // namespace

// Guards against hosts that never find each other: one that starts after the
// store's return does not see the addresses that the store has lost.
TEST_CASE("lost addresses of hosts are written again", "[fleet_service]") {
  Reactor loop;
  RolloutStore store(loop);
  StoreEra era;
  const StoreAccess access{store, era};
  era.observe(store.Era);
  Daemon first(loop, access, 1);
  Daemon second(loop, access, 2);
  REQUIRE(runUntil(
      loop, [&] { return first.reachable() == 2 && second.reachable() == 2; }));
  // Each has written its address once.
  CHECK(store.Streams[KeyedStream::Hosts].size() == 2);
  store.restore(0);
  era.observe(store.Era);
  CHECK(runUntil(
      loop, [&] { return store.Streams[KeyedStream::Hosts].size() >= 2; }));
  // Of two daemons that find the same addresses missing, each may write them.
  CHECK(store.Streams[KeyedStream::Hosts].size() <= 4);
  Daemon third(loop, access, 3);
  CHECK(runUntil(loop, [&] { return third.reachable() == 3; }));
}
