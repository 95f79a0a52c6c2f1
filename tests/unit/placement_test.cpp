#include "chivefold/mesh/placement.h"

#include "record_codec.h"

#include <catch2/catch.hpp>
#include <set>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

/** Two servers in this data centre and two in another one. This daemon has no
 * server. */
struct PlacementFixture {
  platform::OperatorRecords Codec;
  OperatorState Orders{Codec};
  VersionPolicy Versions{Orders};
  FleetTable Fleet{1};
  Placement Servers{Fleet, Orders, Versions, {"10.0.0.9", 1}, "local", 1};
  std::vector<Address> Tried;

  PlacementFixture() {
    for (const auto *ip : {"10.0.0.1", "10.0.0.2", "10.1.0.1", "10.1.0.2"}) {
      addServer(ip, "v1");
    }
  }

  void addServer(const std::string &ip, const std::string &version) {
    HostState host;
    host.Peer = {ip, 1};
    host.DataCentre = ip[3] == '0' ? "local" : "remote";
    host.BootId = 1;
    host.Server = {"i-" + ip, "s", version, 4, ServerPhase::Ready};
    Fleet.update(host, at(0));
    Servers.refresh();
  }

  /** Starts a rollout of v2, with a share in basis points. */
  void startRollout(std::uint32_t share, std::uint64_t offset = 10) {
    Orders.apply({"rollout/s", R"({"targetVersion":"v2","durationS":9})", 3});
    RolloutProgress progress;
    progress.Service = "s";
    progress.TargetVersion = "v2";
    progress.OrderOffset = 3;
    progress.ShareBasisPoints = share;
    progress.Offset = offset;
    REQUIRE(Versions.apply(progress));
  }

  PlacementChoice choose(std::int64_t ms, std::uint32_t priority = 2) {
    PlacementRequest request;
    request.Service = "s";
    request.Route = "r";
    request.Priority = priority;
    request.TargetLatency = milliseconds(200);
    request.Tried = &Tried;
    return Servers.choose(request, at(ms));
  }

  /** Records an answer of a server with the reported load of its gate. */
  void recordAnswer(const std::string &ip, std::uint32_t inFlight,
                    std::uint32_t queued, std::int64_t ms) {
    const Address peer{ip, 1};
    Servers.started(peer);
    GateState gate;
    gate.Limit = 4;
    gate.InFlight = inFlight;
    gate.Queued = queued;
    Servers.answered(peer, "r", milliseconds(100), 5000, false, gate, at(ms));
  }
};

bool isLocal(const PlacementChoice &choice) {
  return choice.Peer && choice.Peer->Ip.rfind("10.0", 0) == 0;
}

} // namespace

// Guards against requests that cross data centres although a local server would
// answer in time, and against requests that are late locally although a remote
// server is free and their worth exceeds the cost of the transfer.
TEST_CASE("requests stay in their data centre until they would be late",
          "[placement]") {
  PlacementFixture f;
  for (const auto *ip : {"10.0.0.1", "10.0.0.2"}) {
    f.recordAnswer(ip, 3, 0, 0);
  }
  for (const auto *ip : {"10.1.0.1", "10.1.0.2"}) {
    f.recordAnswer(ip, 0, 0, 0);
  }
  for (int i = 0; i < 50; ++i) {
    CHECK(isLocal(f.choose(1)));
  }
  for (const auto *ip : {"10.0.0.1", "10.0.0.2"}) {
    f.recordAnswer(ip, 4, 16, 2);
  }
  CHECK_FALSE(isLocal(f.choose(3, 0)));
}

// Guards against requests that cross data centres only to wait in the queue of
// a full server, as they would locally.
TEST_CASE("a full server of another data centre is not used", "[placement]") {
  PlacementFixture f;
  for (const auto *ip : {"10.0.0.1", "10.0.0.2", "10.1.0.1", "10.1.0.2"}) {
    f.recordAnswer(ip, 4, 16, 0);
  }
  CHECK(isLocal(f.choose(1, 0)));
  f.Tried = {{"10.0.0.1", 1}, {"10.0.0.2", 1}};
  CHECK_FALSE(f.choose(1, 0).Peer);
}

// Guards against high-priority requests that find no server because servers
// refused lower priorities, and against an immediate retry at a closed gate.
TEST_CASE("a refusal does not affect higher priorities", "[placement]") {
  PlacementFixture f;
  GateState full;
  full.Limit = 4;
  full.InFlight = 4;
  for (const auto *ip : {"10.0.0.1", "10.0.0.2", "10.1.0.1", "10.1.0.2"}) {
    f.Servers.started({ip, 1});
    f.Servers.refused({ip, 1}, full, 1, std::chrono::seconds(1), at(0));
  }
  CHECK_FALSE(f.choose(1, 1).Peer);
  CHECK_FALSE(f.choose(1, 2).Peer);
  CHECK(f.choose(1, 0).Peer);
  CHECK(f.choose(200, 1).Peer);
  GateState closed;
  f.Servers.started({"10.0.0.1", 1});
  f.Servers.refused({"10.0.0.1", 1}, closed, 2, std::chrono::seconds(1),
                    at(300));
  for (int i = 0; i < 20; ++i) {
    CHECK(f.choose(301, 0).Peer->Ip != "10.0.0.1");
  }
}

// Guards against requests to an evacuated data centre, and to a version that
// has no share.
TEST_CASE("servers that must get nothing get nothing", "[placement]") {
  PlacementFixture f;
  f.Orders.apply({"evacuate/local", "{}", 1});
  CHECK_FALSE(isLocal(f.choose(1)));
  f.Orders.apply({"evacuate/local", std::nullopt, 2});
  f.Orders.apply({"rollout/s", R"({"targetVersion":"v1","durationS":9})", 3});
  CHECK_FALSE(f.choose(1).Peer);
}

// Guards against a new version that gets more than its share of the requests
// that servers receive, while the gates of the old version refuse many.
TEST_CASE("refused requests do not count for a rollout's share",
          "[placement]") {
  PlacementFixture f;
  f.addServer("10.0.0.3", "v2");
  f.startRollout(1000);
  int atTarget = 0;
  int reached = 0;
  for (int i = 0; i < 3000; ++i) {
    const auto choice = f.choose(i);
    REQUIRE(choice.Peer);
    const bool isTarget = choice.Version == "v2";
    f.Servers.started(*choice.Peer);
    if (!isTarget && i % 3 != 0) {
      f.Servers.notDelivered(*choice.Peer);
    } else {
      ++reached;
      atTarget += isTarget ? 1 : 0;
    }
    f.Servers.cancelled(*choice.Peer);
  }
  CHECK(atTarget <= reached / 10 + 2);
  CHECK(atTarget >= reached / 10 - 2);
}

// Guards against a version that fails only under load and is detected only when
// half of all requests go there, because a small share spread over all of its
// servers puts no real load on any of them.
TEST_CASE("a small share loads few servers of the target", "[placement]") {
  PlacementFixture f;
  for (const auto *ip : {"10.0.0.3", "10.0.0.4", "10.1.0.3", "10.1.0.4"}) {
    f.addServer(ip, "v2");
  }
  const std::vector<std::pair<std::uint32_t, std::size_t>> serversByShare{
      {1000, 2}, {2500, 2}, {7500, 3}, {FullShare, 4}};
  std::uint64_t offset = 10;
  for (const auto &it : serversByShare) {
    f.startRollout(it.first, ++offset);
    std::set<Address> used;
    for (int i = 0; i < 400; ++i) {
      const auto choice = f.choose(i);
      REQUIRE(choice.Peer);
      f.Servers.started(*choice.Peer);
      if (choice.Version == "v2") {
        used.insert(*choice.Peer);
      }
    }
    CHECK(used.size() == it.second);
  }
}
