#include "chivefold/mesh/usage_tree.h"
#include "chivefold/mesh/usage_windows.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace chivefold;
using namespace std::chrono_literals;

// Guards against counts that are lost or doubled on their way.
TEST_CASE("shares of a window add up", "[usage]") {
  UsagePool pool;
  pool.add(7, "a", 2);
  pool.add(7, {{{"a", 3}, {"b", 1}}, 2});
  pool.add(8, {{}, 1});
  pool.takeBack(7, "b");
  pool.takeBack(7, "b");
  pool.takeBack(9, "b");
  auto taken = pool.takeThrough(7);
  REQUIRE(taken.size() == 1);
  CHECK(taken.at(7).Counts == UsageCounts{{"a", 5}, {"b", 0}});
  CHECK(taken.at(7).Hosts == 2);
  CHECK(pool.windows().size() == 1);
  CHECK(pool.windows().at(8).Hosts == 1);
}

// Guards against a pool that grows while nobody takes the counts.
TEST_CASE("a pool of usage is bounded", "[usage]") {
  UsagePool pool;
  for (WindowNumber i = 0; i < 2 * UsagePool::MaxWindows; ++i) {
    pool.add(i, "a", 1);
  }
  CHECK(pool.windows().size() == UsagePool::MaxWindows);
  CHECK(pool.windows().begin()->first == UsagePool::MaxWindows);
  CHECK(pool.dropped() == UsagePool::MaxWindows);
  for (std::size_t i = 0; i <= UsagePool::MaxCustomers; ++i) {
    pool.add(2 * UsagePool::MaxWindows, std::to_string(i), 1);
  }
  CHECK(pool.dropped() == UsagePool::MaxWindows + 2);
}

// Guards against a window that is closed twice, or reported out of order.
TEST_CASE("closed windows are reported once and in order", "[usage]") {
  UsageLedger ledger;
  ledger.load({{12, {{"a", 2}}}, {11, {{"a", 1}}}, {10, {}}}, 10);
  REQUIRE(ledger.next() != nullptr);
  CHECK(ledger.next()->Number == 11);
  ledger.closed({12, {{"a", 9}}});
  ledger.closed({13, {{"a", 3}}});
  ledger.reported(11);
  CHECK(ledger.next()->Number == 12);
  CHECK(ledger.next()->Counts.at("a") == 2);
  ledger.reported(12);
  ledger.reported(13);
  CHECK(ledger.next() == nullptr);
  CHECK(ledger.lastReported() == 13);
  ledger.skipThrough(20);
  ledger.closed({20, {}});
  CHECK(ledger.next() == nullptr);
  for (WindowNumber i = 21; i <= 21 + UsageLedger::MaxPending; ++i) {
    ledger.closed({i, {}});
  }
  CHECK(ledger.pending() == UsageLedger::MaxPending);
  CHECK(ledger.givenUp() == 1);
}

// Guards against windows that follow one clock that is wrong.
TEST_CASE("the common clock is that of most hosts", "[usage]") {
  const TimePoint now(1h);
  const UtcTime utc(1'700'000'000'000ms);
  CommonClock clock;
  CHECK(clock.at(now, utc) == utc);
  clock.record("a", utc + 10ms, now);
  clock.record("b", utc + 20ms, now);
  CHECK(clock.at(now, utc + 1h) == utc + 20ms);
  CHECK(clock.at(now, utc - 1h) == utc + 10ms);
  CHECK(clock.at(now + 1s, utc + 1s) == utc + 1s + 10ms);
  // Old samples no longer count.
  const auto later = now + CommonClock::MaxSampleAge + 1s;
  CHECK(clock.at(later, utc + 1h) == utc + 1h);
}

TEST_CASE("windows are numbered from 1970", "[usage]") {
  CHECK(windowAt(UtcTime(0ms), 5s) == 0);
  CHECK(windowAt(UtcTime(4999ms), 5s) == 0);
  CHECK(windowAt(UtcTime(5000ms), 5s) == 1);
  CHECK(windowStart(353445120, 5s) == UtcTime(1767225600000ms));
  CHECK(windowAt(windowStart(353445120, 5s), 5s) == 353445120);
}

// Guards against hosts whose counts reach no root, or a path that grows with
// the number of hosts.
TEST_CASE("all hosts lead to one root in few steps", "[usage]") {
  REQUIRE(rc::check([] {
    const auto n = *rc::gen::inRange(1, 200);
    FleetTable fleet(1);
    std::vector<Address> hosts;
    for (int i = 0; i < n; ++i) {
      HostState state;
      state.Peer = {"10.0.0." + std::to_string(i), 80};
      state.BootId = 1;
      fleet.update(state, TimePoint(1h));
      hosts.push_back(state.Peer);
    }
    std::map<Address, std::size_t> children;
    std::set<Address> roots;
    for (const auto &it : hosts) {
      auto place = usageTreePlace(fleet, it, false);
      RC_ASSERT(place.Hosts == hosts.size());
      if (place.Parent) {
        RC_ASSERT(++children[*place.Parent] <= UsageTreeFanIn);
      }
      auto at = it;
      std::size_t steps = 0;
      for (; place.Parent; place = usageTreePlace(fleet, at, false)) {
        at = *place.Parent;
        RC_ASSERT(++steps <= 4);
      }
      roots.insert(at);
    }
    RC_ASSERT(roots.size() == 1);
    RC_ASSERT(usageTreePlace(fleet, {"10.1.0.1", 80}, true).Parent ==
              *roots.begin());
  }));
}
