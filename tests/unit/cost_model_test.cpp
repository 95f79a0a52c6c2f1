#include "chivefold/mesh/fleet_pace.h"
#include "chivefold/mesh/outstanding_work.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

/** Service time of the n-th request: 3 in 100 are seven times as long. */
Duration tailedServiceTime(int n) {
  const auto us = 100'000 + n * 7919 % 80'000;
  return Duration(n % 33 == 0 ? us * 7 : us);
}

double ratio(Duration a, Duration b) {
  return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

} // namespace

TEST_CASE("a distribution states mean, quantiles and probabilities",
          "[cost-model]") {
  DurationDistribution times;
  CHECK(times.mean() == Duration::zero());
  CHECK(times.quantile(0.5) == Duration::zero());
  CHECK(times.probabilityWithin(milliseconds(100)) == 0);
  for (int i = 0; i < 400; ++i) {
    times.record(tailedServiceTime(i));
  }
  CHECK(ratio(times.mean(), milliseconds(165)) == Approx(1).margin(0.15));
  CHECK(ratio(times.quantile(0.5), milliseconds(140)) ==
        Approx(1).margin(0.15));
  CHECK(times.quantile(0.99) > milliseconds(600));
  CHECK(times.probabilityWithin(milliseconds(300)) == Approx(0.97).margin(.01));
  CHECK(times.probabilityWithin(std::chrono::hours(1)) == 1);
}

// Guards against a request that has run for long and is expected to end soon,
// since a mean service time has passed.
TEST_CASE("an old request is probably one of the long ones", "[cost-model]") {
  CostModel costs(milliseconds(50));
  for (int i = 0; i < 400; ++i) {
    costs.record("r", tailedServiceTime(i));
  }
  const auto fresh = costs.remaining("r", Duration::zero());
  CHECK(costs.remaining("r", milliseconds(100)) < fresh);
  CHECK(costs.remaining("r", milliseconds(300)) > 3 * fresh);
  // Older than all that was seen.
  CHECK(costs.remaining("r", milliseconds(5000)) > milliseconds(1000));
}

TEST_CASE("a model without samples uses what it has", "[cost-model]") {
  CostModel costs(milliseconds(50));
  CHECK(costs.expected("r") == milliseconds(50));
  CHECK(costs.find("r") == nullptr);
  for (int i = 0; i < 20; ++i) {
    costs.record("other", milliseconds(200));
  }
  CHECK(costs.expected("r") > milliseconds(150));
  costs.record("r", milliseconds(10));
  CHECK(costs.expected("r") > milliseconds(150));
}

// Guards against the costs of an old version that outlive it.
TEST_CASE("a change of a route's cost is learned", "[cost-model]") {
  CostModel costs(milliseconds(50));
  for (int i = 0; i < 2000; ++i) {
    costs.record("r", milliseconds(50));
  }
  for (int i = 0; i < 1200; ++i) {
    costs.record("r", milliseconds(200));
  }
  CHECK(costs.expected("r") > milliseconds(150));
}

TEST_CASE("the cost model is bounded and its answers are in range",
          "[cost-model]") {
  CostModel costs(milliseconds(50));
  for (std::size_t i = 0; i < 2 * CostModel::MaxRoutes; ++i) {
    costs.record("r" + std::to_string(i), milliseconds(10));
  }
  CHECK(costs.routes() == CostModel::MaxRoutes);
  CHECK(rc::check("distribution", [](const std::vector<std::int64_t> &values) {
    DurationDistribution times;
    for (const auto it : values) {
      times.record(Duration(it));
    }
    RC_ASSERT(times.samples() <= DurationDistribution::MaxSamples);
    double before = 0;
    for (std::int64_t us = 1; us < 100'000'000; us *= 3) {
      const auto p = times.probabilityWithin(Duration(us));
      RC_ASSERT(p >= before);
      RC_ASSERT(p <= 1.0);
      RC_ASSERT(times.expectedExcess(Duration(us)) >= Duration::zero());
      before = p;
    }
  }));
}

// Guards against a disturbance that passes and is taken for the speed of a
// server, and against one that is not noticed.
TEST_CASE("a disturbance is told from the speed of a server", "[cost-model]") {
  ServicePace pace;
  std::int64_t ms = 0;
  for (int i = 0; i < 600; ++i) {
    pace.record("r", milliseconds(140), at(ms += 20));
  }
  for (int i = 0; i < 30; ++i) {
    pace.record("r", milliseconds(350), at(ms += 20));
  }
  CHECK(pace.disturbance(at(ms)) > 1.8);
  CHECK(ratio(pace.typical("r"), milliseconds(140)) < 1.25);
  CHECK(pace.disturbance(at(ms + 1500)) < 1.1);
  // A server that stays slow.
  for (int i = 0; i < 1500; ++i) {
    pace.record("r", milliseconds(350), at(ms += 20));
  }
  CHECK(ratio(pace.typical("r"), milliseconds(350)) > 0.95);
  CHECK(pace.disturbance(at(ms)) < 1.1);
}

TEST_CASE("the speed of a server is told from the costs of its routes",
          "[cost-model]") {
  FleetPace pace;
  const Address fast{"10.0.0.1", 1};
  const Address slow{"10.0.0.2", 1};
  for (std::int64_t i = 0; i < 300; ++i) {
    const auto now = at(i * 100);
    pace.record(fast, "short", milliseconds(70), milliseconds(70), now);
    pace.record(slow, "short", milliseconds(170), milliseconds(170), now);
    pace.record(fast, "long", milliseconds(700), milliseconds(700), now);
    pace.record(slow, "long", milliseconds(1700), milliseconds(1700), now);
  }
  const auto now = at(30'000);
  CHECK(pace.slowness(slow, now) / pace.slowness(fast, now) ==
        Approx(17.0 / 7).epsilon(0.1));
  // Costs are those of an average server.
  CHECK(pace.costs().find("short")->quantile(0.9) < milliseconds(150));
  CHECK(pace.slowness({"10.0.0.3", 1}, now) == 1);
  // Without answers a server counts as average after a while.
  CHECK(pace.slowness(slow, at(300'000)) == Approx(1).margin(0.01));
}

// Guards against reports that come twice or late, and against a gate that has
// restarted: it states nothing at first, and then another time.
TEST_CASE("late, repeated and missing reports keep a slowness in range",
          "[cost-model]") {
  FleetPace pace;
  const Address server{"10.0.0.1", 1};
  const Address other{"10.0.0.2", 1};
  for (int i = 0; i < 50; ++i) {
    const auto now = at(1000 + i * 100);
    pace.record(other, "r", milliseconds(100), milliseconds(100), now);
    pace.record(server, "r", milliseconds(200), milliseconds(200), now);
    pace.record(server, "r", milliseconds(200), milliseconds(200), now);
    pace.record(server, "r", milliseconds(200), milliseconds(200), at(i));
  }
  const auto now = at(7000);
  const auto before = pace.slowness(server, now);
  CHECK(before > 1);
  CHECK(before < 2.1);
  pace.record(server, "r", milliseconds(200), Duration::zero(), now);
  CHECK(pace.slowness(server, now) == Approx(before));
  for (int i = 0; i < 100; ++i) {
    pace.record(server, "r", milliseconds(100), milliseconds(100), now);
    pace.record(other, "r", milliseconds(100), milliseconds(100), now);
  }
  CHECK(pace.slowness(server, now) == Approx(1).margin(0.1));
}

// Guards against single servers in trouble that are taken for a fleet whose
// servers differ.
TEST_CASE("servers are unlike if a fifth of them is far from the median",
          "[cost-model]") {
  FleetPace pace;
  std::vector<Address> servers;
  const auto record = [&](int count, int slow, std::int64_t ms) {
    for (int i = 0; i < count; ++i) {
      const milliseconds typical(i < slow ? 240 : 100);
      const Address server{"10.0.0." + std::to_string(i), 1};
      pace.record(server, "r", typical, typical, at(ms));
    }
  };
  servers.reserve(12);
  for (int i = 0; i < 12; ++i) {
    servers.push_back({"10.0.0." + std::to_string(i), 1});
  }
  for (std::int64_t i = 0; i < 200; ++i) {
    record(12, 2, i * 50);
  }
  CHECK_FALSE(pace.isUneven(servers, false, at(10'000)));
  for (std::int64_t i = 200; i < 400; ++i) {
    record(12, 4, i * 50);
  }
  CHECK(pace.isUneven(servers, false, at(20'000)));
  // Too few servers say nothing.
  servers.resize(3);
  CHECK_FALSE(pace.isUneven(servers, false, at(20'000)));
}

TEST_CASE("outstanding work counts in time", "[cost-model]") {
  OutstandingWork work(milliseconds(100));
  const auto id = [](std::uint64_t n) { return GateRequestId{n}; };
  work.started(id(1), "r", at(0));
  CHECK(work.backlog(2, at(0)) == Duration::zero());
  work.started(id(2), "r", at(0));
  const auto full = work.backlog(2, at(0));
  CHECK(full > Duration::zero());
  CHECK(full <= milliseconds(100));
  work.queued(id(3), "r");
  work.queued(id(3), "r");
  const auto added = work.backlog(2, at(0)) - full;
  CHECK(ratio(added, milliseconds(50)) == Approx(1).margin(0.001));
  work.ended(id(3), std::nullopt);
  work.ended(id(3), std::nullopt);
  CHECK(work.backlog(2, at(0)) == full);
  work.ended(id(1), milliseconds(100));
  CHECK(work.backlog(2, at(0)) == Duration::zero());
}

TEST_CASE("outstanding work is never negative and ends at zero",
          "[cost-model]") {
  CHECK(rc::check("outstanding work", [](const std::vector<int> &steps) {
    OutstandingWork work(milliseconds(100));
    std::int64_t ms = 0;
    for (const auto step : steps) {
      const auto id = GateRequestId{static_cast<std::uint64_t>(step & 7) + 1};
      const auto route = step & 64 ? "a" : "b";
      ms += step & 31;
      switch (step >> 3 & 3) {
      case 0:
        work.queued(id, route);
        break;
      case 1:
        work.started(id, route, at(ms));
        break;
      case 2:
        work.ended(id, std::nullopt);
        break;
      default:
        work.ended(id, milliseconds(step & 255));
      }
      RC_ASSERT(work.backlog(4, at(ms)) >= Duration::zero());
    }
    for (std::uint64_t i = 1; i <= 8; ++i) {
      work.ended(GateRequestId{i}, std::nullopt);
    }
    RC_ASSERT(work.backlog(1, at(ms)) == Duration::zero());
  }));
}
