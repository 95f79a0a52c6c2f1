#include "chivefold/mesh/placement.h"
#include "chivefold/mesh/service_split.h"

#include "record_codec.h"

#include <catch2/catch.hpp>
#include <map>

using namespace chivefold;

namespace {

TimePoint at(std::int64_t ms) {
  return TimePoint(std::chrono::milliseconds(ms));
}

/** A daemon without a server that knows one server of each of two services. */
struct TwoServices {
  platform::OperatorRecords Codec;
  OperatorState Orders{Codec};
  VersionPolicy Versions{Orders};
  FleetTable Fleet{1};
  Placement Servers{Fleet, Orders, Versions, {"10.0.0.9", 1}, "local", 1};

  TwoServices() {
    addServer("10.0.0.1", "narrow");
    addServer("10.0.0.2", "wide");
  }

  void addServer(const std::string &ip, const std::string &service) {
    HostState host;
    host.Peer = {ip, 1};
    host.DataCentre = "local";
    host.BootId = 1;
    host.Server = {"i-" + ip, service, "v1", 4, ServerPhase::Ready};
    Fleet.update(host, at(0));
    Servers.refresh();
  }

  PlacementChoice choose(const std::string &service, std::int64_t ms) {
    PlacementRequest request;
    request.Service = service;
    request.Route = "r";
    request.TargetLatency = std::chrono::milliseconds(200);
    return Servers.choose(request, at(ms));
  }
};

} // namespace

// Guards against requests of a part of a split that move to the other part
// because their own is short of room: the operator's weights would not hold.
TEST_CASE("a part of a split without room refuses", "[placement]") {
  TwoServices f;
  MeshRoute route;
  route.Name = "r";
  route.Services = {{"narrow", 3}, {"wide", 1}};
  ServiceSplit split;
  std::map<std::string, int> chosen;
  for (std::int64_t ms = 0; ms < 400; ++ms) {
    const auto service = split.choose(route);
    ++chosen[service];
    const auto choice = f.choose(service, ms);
    if (service == "wide") {
      REQUIRE(choice.Peer);
      CHECK(choice.Peer->Ip == "10.0.0.2");
      continue;
    }
    if (choice.Peer) {
      CHECK(choice.Peer->Ip == "10.0.0.1");
      f.Servers.started(*choice.Peer);
      GateState full;
      full.Limit = 4;
      full.InFlight = 4;
      full.Queued = 16;
      f.Servers.refused(*choice.Peer, full, 0, std::chrono::seconds(2), at(ms));
    } else {
      CHECK(choice.RetryAfter > Duration::zero());
    }
  }
  CHECK(chosen["narrow"] == 300);
  CHECK(chosen["wide"] == 100);
}
