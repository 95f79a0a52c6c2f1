#include "fleet_simulation.h"

#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

FleetOutcome play(const FleetLoad &load, PlacementStrategy strategy) {
  return FleetSimulation(load, strategy).run();
}

std::string describe(const FleetOutcome &it) {
  return "in time " + std::to_string(it.inTime()) + ", refused " +
         std::to_string(it.refused()) + ", avoidable waits " +
         std::to_string(it.avoidableWaits()) + ", crossed " +
         std::to_string(it.CrossedCentres);
}

struct Comparison {
  FleetOutcome Latency;
  FleetOutcome Work;
  FleetOutcome Learned;
};

Comparison compare(const FleetLoad &load) {
  return {play(load, PlacementStrategy::Latency),
          play(load, PlacementStrategy::ExpectedWork),
          play(load, PlacementStrategy::Learned)};
}

#define INFO_COMPARISON(it)                                                    \
  INFO("latency: " << describe((it).Latency)                                   \
                   << "; expected work: " << describe((it).Work)               \
                   << "; learned: " << describe((it).Learned))

FleetLoad unevenLoad() {
  FleetLoad out;
  out.Slowness = {0.7, 0.7, 1.7};
  // All slots together bear 880 a second.
  out.PerSecond = 800;
  return out;
}

} // namespace

// Guards against slow servers that get as many requests as fast ones.
TEST_CASE("requests are in time at servers of unlike speeds",
          "[expected-work]") {
  const auto it = compare(unevenLoad());
  INFO_COMPARISON(it);
  CHECK(it.Work.inTime() > 0.95);
  CHECK(it.Learned.inTime() > 0.95);
  CHECK(it.Work.inTime() >= it.Latency.inTime());
  CHECK(it.Work.MostRunning <= 9);
}

// Guards against short requests that wait behind long ones while other servers
// have room.
TEST_CASE("few requests wait behind long ones", "[expected-work]") {
  auto load = unevenLoad();
  load.LongShare = 0.03;
  load.PerSecond = 680;
  const auto it = compare(load);
  INFO_COMPARISON(it);
  // The long requests themselves cannot be in time.
  CHECK(it.Work.inTime() > 0.92);
  CHECK(it.Learned.inTime() > 0.92);
  CHECK(it.Work.avoidableWaits() <= it.Latency.avoidableWaits());
}

// Guards against requests that wait at servers which are disturbed for moments.
TEST_CASE("disturbed servers delay few requests", "[expected-work]") {
  auto load = unevenLoad();
  load.LongShare = 0.03;
  load.DisturbedShare = 0.15;
  load.PerSecond = 560;
  const auto it = compare(load);
  INFO_COMPARISON(it);
  CHECK(it.Work.inTime() > 0.9);
  CHECK(it.Work.inTime() >= it.Latency.inTime());
}

// Guards against a data centre that refuses requests at the peak of its demand
// while others have room, and against requests that cross for nothing.
TEST_CASE("demand out of phase is served", "[expected-work]") {
  auto load = unevenLoad();
  load.DataCentres = 3;
  load.Swing = 0.55;
  load.LongShare = 0.03;
  load.PerSecond = 520;
  const auto it = compare(load);
  INFO_COMPARISON(it);
  CHECK(it.Work.inTime() > 0.9);
  CHECK(it.Work.refused() < 0.01);
  CHECK(it.Work.CrossedCentres < it.Work.Arrived / 4);
}

// Guards against many daemons with old reports that all choose the server that
// was idle.
TEST_CASE("old reports do not send all daemons to one server",
          "[expected-work]") {
  FleetLoad load;
  load.DaemonsPerCentre = 200;
  load.PerSecond = 700;
  const auto it = compare(load);
  INFO_COMPARISON(it);
  CHECK(it.Work.inTime() > 0.95);
  CHECK(it.Work.inTime() >= it.Latency.inTime());
  CHECK(it.Work.refused() <= it.Latency.refused());
  const auto starts = it.Work.StartsByServer;
  const auto [least, most] = std::minmax_element(starts.begin(), starts.end());
  CHECK(*most < 2 * *least);
}

// Guards against a server that is never tried again, because its last report
// stated much work and its host died, was frozen or has restarted since.
TEST_CASE("a server is tried again after its report has become old",
          "[expected-work]") {
  platform::OperatorRecords codec;
  OperatorState orders{codec};
  VersionPolicy versions{orders};
  FleetTable fleet{1};
  PlacementSettings settings;
  settings.Strategy = PlacementStrategy::ExpectedWork;
  Placement servers(fleet, orders, versions, {"10.9.0.1", 1}, "dc", 1,
                    settings);
  const auto at = [](std::int64_t ms) {
    return TimePoint(std::chrono::milliseconds(ms));
  };
  for (const auto *ip : {"10.0.0.1", "10.0.0.2"}) {
    HostState host;
    host.Peer = {ip, 1};
    host.DataCentre = "dc";
    host.BootId = 1;
    host.Server = {"i", "s", "v1", 4, ServerPhase::Ready};
    fleet.update(host, at(0));
  }
  servers.refresh();
  const Address busy{"10.0.0.1", 1};
  const auto answer = [&](const Address &peer, std::uint32_t inFlight,
                          std::int64_t backlogMs, std::int64_t ms) {
    servers.started(peer);
    GateState gate;
    gate.Limit = 4;
    gate.InFlight = inFlight;
    gate.Backlog = std::chrono::milliseconds(backlogMs);
    gate.ServiceTime = std::chrono::milliseconds(100);
    servers.answered(peer, "r", std::chrono::milliseconds(100), 500, false,
                     gate, at(ms));
  };
  const auto chosenOf100 = [&](std::int64_t ms) {
    int out = 0;
    for (int i = 0; i < 100; ++i) {
      PlacementRequest request;
      request.Service = "s";
      request.Route = "r";
      request.TargetLatency = std::chrono::milliseconds(500);
      out += servers.choose(request, at(ms)).Peer == busy ? 1 : 0;
    }
    return out;
  };
  answer(busy, 4, 400, 0);
  answer({"10.0.0.2", 1}, 2, 0, 0);
  CHECK(chosenOf100(1) == 0);
  // The other server stays half full.
  answer({"10.0.0.2", 1}, 2, 0, 60'000);
  CHECK(chosenOf100(60'001) > 0);
  // A report that comes twice counts once.
  answer(busy, 0, 0, 60'002);
  answer(busy, 0, 0, 60'002);
  CHECK(chosenOf100(60'003) > 50);
}

// Guards against a change for services whose servers are alike.
TEST_CASE("alike servers are chosen by latency unless settings say otherwise",
          "[expected-work]") {
  FleetLoad load;
  load.LongShare = 0.03;
  load.DisturbedShare = 0.15;
  load.PerSecond = 400;
  const auto it = compare(load);
  CHECK(it.Learned.StartsByServer == it.Latency.StartsByServer);
  CHECK(it.Learned.InTime == it.Latency.InTime);
}
