#include "chivefold/core/poison_table.h"

#include <catch2/catch.hpp>

using namespace chivefold;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint T0{};
constexpr auto Crashing = static_cast<RequestDigest>(1);
constexpr auto Harmless = static_cast<RequestDigest>(2);
constexpr auto Other = static_cast<CrashId>(101);
constexpr auto Third = static_cast<CrashId>(102);
const Address First{"127.0.0.1", 1};
const Address Second{"127.0.0.1", 2};

} // namespace

// Guards against a request that crashes one server after another, and against
// quarantine of requests that merely ran at the same time.
TEST_CASE("two crashes quarantine a request, an answer clears one",
          "[poison]") {
  PoisonTable table{1};
  CHECK(table.serverCrashed(First, {Crashing, Harmless}, T0).size() == 2);
  CHECK_FALSE(table.quarantined(Crashing, T0));
  table.requestAnswered(Harmless, T0);
  CHECK(table.serverCrashed(Second, {Crashing, Harmless}, T0 + 1s).size() == 2);
  CHECK(table.quarantined(Crashing, T0 + 1s) == 10min);
  CHECK_FALSE(table.quarantined(Harmless, T0 + 1s));
  table.requestAnswered(Crashing, T0 + 2s);
  CHECK(table.quarantined(Crashing, T0 + 10min));
  CHECK_FALSE(table.quarantined(Crashing, T0 + 10min + 1s));
}

// Guards against quarantine caused by two crashes of one server or by crashes
// that are more than QuarantineTime apart.
TEST_CASE("only recent crashes of different servers quarantine", "[poison]") {
  PoisonTable table{1};
  table.serverCrashed(First, {Crashing}, T0);
  table.serverCrashed(First, {Crashing}, T0 + 1s);
  CHECK_FALSE(table.quarantined(Crashing, T0 + 1s));
  table.serverCrashed(Second, {Crashing}, T0 + 11min);
  CHECK_FALSE(table.quarantined(Crashing, T0 + 11min));
}

// Guards against a request that crashes the only server of its service whenever
// that is back: no second server can crash.
TEST_CASE("three crashes of one server quarantine, too", "[poison]") {
  PoisonTable table{1};
  PoisonTable other{2};
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(table.quarantined(Crashing, T0 + i * 4s));
    const auto updates = table.serverCrashed(First, {Crashing}, T0 + i * 4s);
    REQUIRE(updates.size() == 1);
    other.merge(updates.front(), T0 + i * 4s);
    // A copy of a crash is no further crash.
    other.merge(updates.front(), T0 + i * 4s);
  }
  CHECK(table.quarantined(Crashing, T0 + 8s) == 10min);
  CHECK(table.crashedServers(Crashing) == std::vector<Address>{First});
  CHECK(other.quarantined(Crashing, T0 + 8s) == 10min);
  // An answer in between counts for all crashes before it.
  table.serverCrashed(First, {Harmless}, T0);
  table.serverCrashed(First, {Harmless}, T0 + 1s);
  CHECK(table.requestAnswered(Harmless, T0 + 2s).size() == 2);
  table.serverCrashed(First, {Harmless}, T0 + 3s);
  CHECK_FALSE(table.quarantined(Harmless, T0 + 3s));
}

// Guards against crashes seen by different daemons that are not counted
// together, and against updates that circulate endlessly.
TEST_CASE("updates from other daemons are merged once", "[poison]") {
  PoisonTable table{1};
  table.serverCrashed(First, {Crashing}, T0);
  const PoisonUpdate update{Crashing, Second, 4min, false, Other, 1};
  CHECK(table.merge(update, T0 + 5min));
  CHECK_FALSE(table.merge(update, T0 + 5min));
  CHECK(table.quarantined(Crashing, T0 + 5min) == 6min);
  CHECK_FALSE(table.merge({Harmless, Second, 10min, false, Third, 1}, T0));
  // An update without an id cannot be distinguished from its copies.
  CHECK_FALSE(
      table.merge({Harmless, Second, 4min, false, CrashId::None, 1}, T0));
  CHECK(table.size() == 1);
}

// Guards against counting a crash again after the request was answered, because
// of a delayed copy or on a daemon that did not see the answer.
TEST_CASE("an answer clears a crash on every daemon", "[poison]") {
  PoisonTable first{1};
  PoisonTable second{2};
  const auto crash = first.serverCrashed(First, {Harmless}, T0 + 1s);
  REQUIRE(second.merge(crash.front(), T0 + 1s));
  const auto removeCrash = first.requestAnswered(Harmless, T0 + 2s);
  REQUIRE(removeCrash.size() == 1);
  CHECK(first.requestAnswered(Harmless, T0 + 2s).empty());
  CHECK(second.merge(removeCrash.front(), T0 + 2s));
  CHECK_FALSE(second.merge(removeCrash.front(), T0 + 2s));
  CHECK(second.size() == 0);
  // A delayed copy appears to report a later crash.
  auto copy = crash.front();
  copy.Age = Duration::zero();
  CHECK_FALSE(second.merge(copy, T0 + 3s));
  CHECK(second.size() == 0);
  second.serverCrashed(Second, {Harmless}, T0 + 4s);
  CHECK_FALSE(second.quarantined(Harmless, T0 + 4s));
  // An answer does not clear a crash that it does not name.
  CHECK_FALSE(second.merge(removeCrash.front(), T0 + 5s));
  CHECK(second.size() == 1);
}

// Guards against daemons that disagree on a request because the answer arrived
// before the crash that it clears.
TEST_CASE("an answer that arrives before its crash clears it", "[poison]") {
  PoisonTable first{1};
  PoisonTable second{2};
  const auto crash = first.serverCrashed(First, {Harmless}, T0 + 1s);
  const auto removeCrash = first.requestAnswered(Harmless, T0 + 2s);
  REQUIRE(removeCrash.size() == 1);
  CHECK(second.merge(removeCrash.front(), T0 + 2s));
  CHECK_FALSE(second.merge(crash.front(), T0 + 2s));
  CHECK(second.size() == 0);
}

// Guards against endless forwarding of an update by daemons that have evicted
// its id.
TEST_CASE("an update is forwarded a bounded number of times", "[poison]") {
  PoisonTable first{1};
  auto update = first.serverCrashed(First, {Crashing}, T0).front();
  std::size_t passed = 0;
  for (std::uint64_t seed = 2; seed < 100; ++seed) {
    PoisonTable next{seed};
    const auto forwarded = next.merge(update, T0);
    CHECK(next.size() == 1);
    if (!forwarded) {
      break;
    }
    update = *forwarded;
    ++passed;
  }
  CHECK(passed == PoisonTable::MaxHops);
  // Updates from activeCrashes(), which probes carry, are not forwarded.
  PoisonTable probed{100};
  CHECK_FALSE(probed.merge(first.activeCrashes(1, T0).front(), T0));
  CHECK(probed.size() == 1);
}

// Guards against quarantine of a frequent request, which is in flight at most
// crashes, and against a request that is exempt forever after one answer.
TEST_CASE("a recently answered request is exempt", "[poison]") {
  PoisonTable table{1};
  CHECK_FALSE(table.wasRecentlyAnswered(Harmless, T0 + 1s));
  table.requestAnswered(Harmless, T0 + 1s);
  CHECK(table.wasRecentlyAnswered(Harmless, T0 + 2s));
  CHECK_FALSE(table.wasRecentlyAnswered(Crashing, T0 + 2s));
  CHECK_FALSE(table.wasRecentlyAnswered(
      Harmless, T0 + 1s + PoisonTable::RecentAnswerWindow));
}

// Guards against crashes that a joining daemon does not learn of, against an
// unbounded answer to it, and against ages that are reset in transfer.
TEST_CASE("active crashes keep their age", "[poison]") {
  PoisonTable first{1};
  first.serverCrashed(First, {Harmless, Crashing}, T0);
  first.serverCrashed(Second, {Crashing}, T0 + 1min);
  CHECK(first.activeCrashes(2, T0 + 2min).size() == 2);
  CHECK(first.activeCrashes(9, T0 + 10min).size() == 1);
  PoisonTable joining{3};
  for (const auto &it : first.activeCrashes(9, T0 + 2min)) {
    CHECK_FALSE(joining.merge(it, T0 + 1h));
  }
  CHECK(joining.size() == 2);
  CHECK(joining.quarantined(Crashing, T0 + 1h) == 9min);
}

// Guards against unbounded memory use when many servers crash.
TEST_CASE("the oldest digest is evicted at the bound", "[poison]") {
  PoisonTable table{1};
  for (std::uint64_t n = 0; n <= PoisonTable::MaxDigests; ++n) {
    table.serverCrashed(First, {static_cast<RequestDigest>(n)}, T0);
  }
  CHECK(table.size() == PoisonTable::MaxDigests);
  table.serverCrashed(Second, {static_cast<RequestDigest>(0)}, T0);
  CHECK_FALSE(table.quarantined(static_cast<RequestDigest>(0), T0));
}

// Guards against a quarantine of ordinary requests: a host that loses power
// takes them along, and their clients send them again to the next such host.
TEST_CASE("inferred crashes count only three times", "[poison]") {
  PoisonTable table{1};
  const Address third{"127.0.0.1", 3};
  table.serverCrashed(First, {Crashing}, T0, CrashEvidence::Inferred);
  table.serverCrashed(Second, {Crashing}, T0 + 5s, CrashEvidence::Inferred);
  CHECK_FALSE(table.quarantined(Crashing, T0 + 5s));
  table.serverCrashed(third, {Crashing}, T0 + 10s, CrashEvidence::Inferred);
  CHECK(table.quarantined(Crashing, T0 + 10s));
  // Probes carry a digest with one such crash only when there is another.
  table.serverCrashed(First, {static_cast<RequestDigest>(9)}, T0 + 10s,
                      CrashEvidence::Inferred);
  CHECK(table.activeCrashes(9, T0 + 10s).size() == 3);
  table.serverCrashed(Second, {static_cast<RequestDigest>(9)}, T0 + 11s,
                      CrashEvidence::Inferred);
  CHECK(table.activeCrashes(9, T0 + 11s).size() == 5);
  // The daemon beside the server saw the same crash.
  table.serverCrashed(First, {Harmless}, T0, CrashEvidence::Inferred);
  table.serverCrashed(Second, {Harmless}, T0 + 5s);
  CHECK_FALSE(table.quarantined(Harmless, T0 + 5s));
  CHECK(table.serverCrashed(First, {Harmless}, T0 + 100ms).empty());
  CHECK(table.quarantined(Harmless, T0 + 5s));
}

// Guards against a storm of crashes, with ordinary requests in flight at each,
// that displaces what is known of a request that crashes servers.
TEST_CASE("digests with one crash are evicted first", "[poison]") {
  PoisonTable table{1};
  table.serverCrashed(First, {Crashing}, T0);
  table.serverCrashed(Second, {Crashing}, T0 + 1s);
  for (std::uint64_t n = 100; n < 100 + 2 * PoisonTable::MaxDigests; ++n) {
    table.serverCrashed(First, {static_cast<RequestDigest>(n)}, T0 + 2s);
  }
  CHECK(table.size() == PoisonTable::MaxDigests);
  CHECK(table.quarantined(Crashing, T0 + 2s));
  // Probes carry it before the newer ones.
  CHECK(table.activeCrashes(2, T0 + 2s).front().Digest == Crashing);
}

// Guards against a daemon that does not keep a crash that only it has seen, and
// against one that keeps those of the whole fleet.
TEST_CASE("a daemon keeps what it saw and what crashed its server",
          "[poison]") {
  PoisonTable own{1};
  PoisonTable other{2};
  const auto merge = [](PoisonTable &to,
                        const std::vector<PoisonUpdate> &updates) {
    for (const auto &it : updates) {
      to.merge(it, T0);
    }
  };
  merge(own, other.serverCrashed(Second, {Crashing, Harmless}, T0));
  CHECK(own.crashesToKeep(First, 9, T0).empty());
  own.serverCrashed(First, {Crashing}, T0 + 1s);
  const auto kept = own.crashesToKeep(First, 9, T0 + 1s);
  REQUIRE(kept.size() == 2);
  CHECK(kept.front().Digest == Crashing);
  CHECK(own.crashesToKeep(First, 1, T0 + 1s).size() == 1);
  // Of another server, seen by this daemon alone.
  const Address third{"127.0.0.1", 3};
  own.serverCrashed(third, {Harmless}, T0 + 2s);
  // An inferred one is kept by the daemon beside the server.
  own.serverCrashed(third, {static_cast<RequestDigest>(9)}, T0 + 2s,
                    CrashEvidence::Inferred);
  CHECK(own.crashesToKeep(First, 9, T0 + 2s).size() == 3);
  CHECK(own.crashesToKeep(third, 9, T0 + 2s).size() == 4);
  // Its successor goes on keeping them, others do not.
  PoisonTable next{3};
  PoisonTable remote{4};
  for (const auto &it : own.crashesToKeep(First, 9, T0 + 2s)) {
    next.restore(it, true, T0 + 2s);
    remote.restore(it, false, T0 + 2s);
  }
  CHECK(next.crashesToKeep(First, 9, T0 + 2s).size() == 3);
  CHECK(remote.crashesToKeep({"127.0.0.1", 4}, 9, T0 + 2s).empty());
  CHECK(remote.quarantined(Crashing, T0 + 2s));
}
