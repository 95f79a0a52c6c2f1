#include "chivefold/core/claim_coordinator.h"
#include "log_builder.h"

#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

constexpr KeyHash Key{1, 1};
constexpr std::uint64_t Body = 7;
constexpr WaiterId First{1};

/** @return the state replayed from a log that contains a claim of @p holder. */
ControlState claimedBy(const DaemonId &holder) {
  LogBuilder log;
  ControlState state;
  REQUIRE(state.apply(log.append(ClaimRecord{holder, {Key}})).hasValue());
  return state;
}

} // namespace

// Guards against a restarted daemon that treats the claim of its earlier run as
// its own, or forwards the request to itself in an endless loop.
TEST_CASE("a claim of an earlier run reads outcome unknown", "[claim]") {
  const auto state = claimedBy(daemonId(9000, 1));
  ClaimCoordinator claims(state, daemonId(9000, 2));
  CHECK(claims.request(Key, Body, true, First).Action == ClaimAction::Unknown);
  CHECK(claims.request(Key, Body, false, First).Action == ClaimAction::Forward);
  CHECK_FALSE(claims.forwardTo(Key).has_value());
  ClaimCoordinator other(state, daemonId(9001));
  CHECK(other.forwardTo(Key) == daemonId(9000).Peer);
}

// Guards against running a request before its claim is in the replayed log, and
// against callers that get no answer when the response to the append is lost.
TEST_CASE("a claim counts when the replay shows it", "[claim]") {
  LogBuilder log;
  ControlState state;
  const auto self = daemonId(9000);
  ClaimCoordinator claims(state, self);
  CHECK(claims.request(Key, Body, false, First).Action == ClaimAction::Wait);
  const auto keys = claims.nextAppend();
  REQUIRE(keys.size() == 1);
  CHECK(claims.recordsApplied().empty());
  const auto failed = claims.appendFailed(keys, true);
  REQUIRE(failed.size() == 1);
  CHECK(failed.front().Action == ClaimAction::Unknown);
  REQUIRE(state.apply(log.append(ClaimRecord{self, keys})).hasValue());
  CHECK(claims.recordsApplied().empty());
  CHECK(claims.request(Key, Body, false, WaiterId{2}).Action ==
        ClaimAction::Run);
}
