#include "chivefold/mesh/call_parents.h"

#include "chivefold/daemon/call_message.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

RunningRequest running(const std::string &route, std::uint32_t rank,
                       std::int64_t deadlineMs, std::int64_t targetMs) {
  return {route, rank, at(deadlineMs), at(targetMs), at(0)};
}

void learn(CallParents &parents, const std::string &call,
           const std::string &parent, int errors = 10) {
  for (int i = 0; i < errors; ++i) {
    parents.recordError(call, parent);
  }
}

} // namespace

// Guards against calls that are queued as if they were new work, and against a
// parent whose requests make no such calls.
TEST_CASE("the parent of a call is a running request of a learned route",
          "[call_parents]") {
  CallParents parents;
  parents.started(GateRequestId{1}, running("view", 0, 1500, 500));
  parents.started(GateRequestId{2}, running("other", 2, 1500, 500));
  CHECK_FALSE(parents.parentOf("call", at(800)));
  learn(parents, "call", "view", 3);
  CHECK_FALSE(parents.parentOf("call", at(800)));
  learn(parents, "call", "view");
  const auto parent = parents.parentOf("call", at(800));
  REQUIRE(parent);
  CHECK(parent->Route == "view");
  CHECK_FALSE(parents.parentOf("another call", at(800)));
  parents.ended(GateRequestId{1});
  CHECK_FALSE(parents.parentOf("call", at(800)));
}

// Guards against a request that ends before the call as its parent, and against
// the rank of another parent where the deadline tells them apart.
TEST_CASE("the deadline of a call tells its parent as far as it can",
          "[call_parents]") {
  CallParents parents;
  learn(parents, "call", "view");
  learn(parents, "call", "payout");
  parents.started(GateRequestId{1}, running("payout", 2, 600, 900));
  CHECK_FALSE(parents.parentOf("call", at(800)));
  parents.started(GateRequestId{2}, running("view", 0, 802, 300));
  parents.started(GateRequestId{3}, running("payout", 2, 1200, 1100));
  CHECK(parents.parentOf("call", at(800))->Route == "view");
  CHECK(parents.parentOf("call", at(601))->Route == "payout");
  // Three may be behind this call; the middle target stands for them.
  parents.started(GateRequestId{4}, running("view", 0, 1300, 700));
  CHECK(parents.parentOf("call", at(700))->InTimeUntil == at(700));
}

// Guards against a parent route that is kept for ever, or that a few errors by
// chance make one.
TEST_CASE("parent routes follow the errors", "[call_parents]") {
  CallParents parents;
  learn(parents, "call", "old", 400);
  learn(parents, "call", "chance", 5);
  parents.started(GateRequestId{1}, running("chance", 0, 1500, 500));
  CHECK_FALSE(parents.parentOf("call", at(800)));
  parents.started(GateRequestId{2}, running("old", 0, 1500, 500));
  CHECK(parents.parentOf("call", at(800)));
  parents.ended(GateRequestId{1});
  learn(parents, "call", "new", 1000);
  CHECK_FALSE(parents.parentOf("call", at(800)));
}

// Guards against tables that grow with the configuration.
TEST_CASE("routes beyond the bounds have no known parent", "[call_parents]") {
  CallParents parents;
  for (std::size_t i = 0; i < CallParents::MaxRoutes; ++i) {
    parents.recordError("call " + std::to_string(i), "view");
  }
  learn(parents, "call", "view");
  parents.started(GateRequestId{1}, running("view", 0, 1500, 500));
  CHECK_FALSE(parents.parentOf("call", at(800)));
}

// Guards against a wrong parent that gives a request more than one rank.
TEST_CASE("a call gains at most one rank by its parent", "[call_parents]") {
  CHECK(rankOfCall(2, 0) == 1);
  CHECK(rankOfCall(1, 0) == 0);
  CHECK(rankOfCall(0, 2) == 2);
  CHECK(rc::check([](std::uint32_t own, std::uint32_t parent) {
    const auto rank = rankOfCall(own, parent);
    RC_ASSERT(rank >= parent);
    RC_ASSERT(std::uint64_t{rank} + 1 >= own);
    RC_ASSERT(rank == parent || rank + 1 == own);
  }));
}

// Guards against a rank that is lost on the way to the called server, and
// against a request of a daemon that does not know of ranks.
TEST_CASE("a call carries its rank to the called server", "[call_parents]") {
  CallMessage call;
  call.Worth = 2;
  call.Deadline = at(1000);
  auto plain = toWire(call, at(0));
  CHECK(fromWire(plain, at(0)).rank() == 2);
  call.ForRunning = true;
  call.RunningRank = 1;
  auto ranked = toWire(call, at(0));
  const auto received = fromWire(ranked, at(0));
  CHECK(received.ForRunning);
  CHECK(received.rank() == 1);
}
