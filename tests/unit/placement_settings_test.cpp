#include "chivefold/daemon/call_message.h"
#include "chivefold/sidecar/sidecar_settings.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace chivefold;

namespace {

ParsedSidecarSettings parsePlacement(const char *name) {
  std::vector<const char *> argv{"chivefold-sidecar", "--placement", name};
  for (const auto *flag :
       {"--caller-listen", "--readiness-listen", "--admin-listen",
        "--peer-listen", "--backend-server", "--store"}) {
    argv.insert(argv.end(), {flag, "127.0.0.1:1"});
  }
  argv.insert(argv.end(), {"--data-centre", "dc", "--service", "s"});
  return parseSidecarSettings(static_cast<int>(argv.size()), argv.data());
}

} // namespace

TEST_CASE("the choice of servers is a checked setting", "[settings]") {
  for (const auto it :
       {PlacementStrategy::Latency, PlacementStrategy::ExpectedWork,
        PlacementStrategy::Learned}) {
    const std::string name(placementStrategyName(it));
    const auto parsed = parsePlacement(name.c_str());
    REQUIRE(parsed.Value.has_value());
    CHECK(parsed.Value->Strategy == it);
  }
  CHECK_FALSE(parsePlacement("fastest").Value.has_value());
}

TEST_CASE("a gate state keeps its work between daemons", "[expected-work]") {
  GateState state;
  state.Limit = 9;
  state.Backlog = std::chrono::milliseconds(40);
  state.ServiceTime = Duration(140'250);
  state.TypicalServiceTime = Duration(120'125);
  const auto read = gateFromWire(gateToWire(state, {}).get(), {});
  CHECK(read.Backlog == state.Backlog);
  CHECK(read.ServiceTime == state.ServiceTime);
  CHECK(read.TypicalServiceTime == state.TypicalServiceTime);
  // A daemon of an earlier version states none of them.
  wire::GateStateT earlier;
  CHECK(gateFromWire(&earlier, {}).Backlog == Duration::zero());
  CHECK(gateFromWire(&earlier, {}).TypicalServiceTime == Duration::zero());
}
