#include "chivefold/mesh/attempt_policy.h"
#include "chivefold/mesh/fleet_table.h"
#include "chivefold/mesh/rollout_driver.h"
#include "chivefold/mesh/service_split.h"
#include "chivefold/mesh/version_policy.h"
#include "record_codec.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

std::string configuration(int version, const std::string &routes) {
  return R"({"version":"r)" + std::to_string(version) + R"(","routes":[)" +
         routes +
         R"(],"services":[{"name":"s","maxConnections":120,"warmupRpsS":19.0}],
         "limits":{"maxBodyBytes":1000}})";
}

std::string route(const std::string &prefix) {
  return R"({"name":"n)" + prefix +
         R"(","hostname":"h.example","pathPrefix":")" + prefix +
         R"(","routeType":"safe","timeoutMs":500,"service":"s","maxAttempts":2})";
}

const platform::OperatorRecords Codec;

RolloutProgress progress(RolloutPhase phase, std::uint32_t share,
                         std::uint64_t offset) {
  RolloutProgress out;
  out.Service = "s";
  out.TargetVersion = "v2";
  out.OrderOffset = 3;
  out.Phase = phase;
  out.ShareBasisPoints = share;
  out.Offset = offset;
  return out;
}

} // namespace

// Guards against routing a request to a shorter prefix, to another host name or
// to a route whose prefix only resembles the path.
TEST_CASE("the longest prefix of the host wins", "[mesh]") {
  OperatorState state(Codec);
  const auto change = state.apply(
      {"config", configuration(7, route("/a/") + "," + route("/a/b/")), 0});
  CHECK(change.Configuration);
  const auto &routes = *state.routes();
  CHECK(routes.find("H.example:80", "/a/b/c")->PathPrefix == "/a/b/");
  CHECK(routes.find("h.example", "/a/bc")->PathPrefix == "/a/");
  CHECK(routes.find("h.example", "/ab") == nullptr);
  CHECK(routes.find("other", "/a/") == nullptr);
  CHECK(routes.configuration().Limits.MaxBodyBytes == 1000);
}

// Guards against an older configuration that is restored by a stale or repeated
// read, and against a configuration that is applied only in part.
TEST_CASE("orders never go back", "[mesh]") {
  OperatorState state(Codec);
  state.apply({"config", configuration(9, route("/new/")), 4});
  CHECK_FALSE(state.apply({"config", configuration(8, route("/old/")), 5})
                  .Configuration);
  CHECK_FALSE(
      state.apply({"config", configuration(11, "{}"), 6}).Configuration);
  CHECK(state.routes()->configuration().Version == 9);
  CHECK(state.apply({"evacuate/z", "{}", 7}).Evacuations);
  CHECK(state.isEvacuated("z"));
  CHECK_FALSE(state.apply({"evacuate/z", std::nullopt, 2}).any());
  // A listing that was read after the record and lacks its key ends the order.
  CHECK(state.applyListing({}, 8).Evacuations);
  CHECK_FALSE(state.isEvacuated("z"));
  CHECK(state.routes()->configuration().Version == 9);
}

// Guards against requests to a version before its share is agreed or after it
// was rolled back, and against requests to the old version after completion.
TEST_CASE("versions get their agreed shares", "[mesh]") {
  OperatorState state(Codec);
  VersionPolicy versions(state);
  versions.addReadyVersion("s", "v1");
  CHECK(versions.share("s", "v1") == FullShare);
  CHECK(versions.share("s", "v2") == 0);
  state.apply({"rollout/s", R"({"targetVersion":"v2","durationS":12})", 3});
  CHECK(versions.share("s", "v2") == 0);
  CHECK(versions.apply(progress(RolloutPhase::Running, 500, 1)));
  CHECK(versions.share("s", "v2") == 500);
  CHECK(versions.share("s", "v1") == 9500);
  CHECK(versions.split("s")->Target == "v2");
  CHECK(versions.apply(progress(RolloutPhase::RolledBack, 0, 2)));
  CHECK_FALSE(versions.apply(progress(RolloutPhase::Running, 1000, 1)));
  CHECK(versions.share("s", "v2") == 0);
  CHECK(versions.share("s", "v1") == FullShare);
  // A rollout that has ended stays so; only a later order moves the traffic.
  auto completed = progress(RolloutPhase::Completed, FullShare, 3);
  CHECK_FALSE(versions.apply(completed));
  CHECK(versions.share("s", "v1") == FullShare);
  completed.OrderOffset = 5;
  CHECK(versions.apply(completed));
  CHECK(versions.share("s", "v1") == 0);
}

// Guards against an end that is replaced by another one after the store has
// lost it, in any order in which a host hears of the two.
TEST_CASE("the first end of a rollout holds across eras", "[mesh]") {
  OperatorState state(Codec);
  state.apply({"rollout/s", R"({"targetVersion":"v2","durationS":12})", 3, 1});
  auto first = progress(RolloutPhase::Completed, FullShare, 8);
  first.Era = first.OrderEra = 1;
  auto second = progress(RolloutPhase::RolledBack, 0, 6);
  second.Era = 2;
  second.OrderEra = 1;
  auto again = first;
  again.Era = 2;
  again.Offset = 7;
  again.FirstEnd = first.position();
  auto running = progress(RolloutPhase::Running, 500, 9);
  running.Era = 2;
  running.OrderEra = 1;
  std::vector<RolloutProgress> heard{first, second, again, running};
  std::vector<std::size_t> order{0, 1, 2, 3};
  do {
    VersionPolicy versions(state);
    for (const auto it : order) {
      versions.apply(heard[it]);
    }
    CHECK(versions.share("s", "v2") == FullShare);
    CHECK(versions.share("s", "v1") == 0);
  } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against a second execution of an at-most-once request, and against a
// "not run" response to a request that may have executed.
TEST_CASE("work that may have run is not repeated", "[mesh]") {
  RetryBudget budget(std::nullopt, at(0));
  AttemptFacts facts;
  facts.Kind = RequestKind::AtMostOnce;
  facts.MaxPossibleRuns = 2;
  facts.Attempts = 1;
  facts.TimeLeft = milliseconds(500);
  facts.ExpectedLatency = milliseconds(50);
  facts.PossibleRuns = 1;
  facts.End = AttemptEnd::Lost;
  CHECK(AttemptPolicy::next(facts, budget, at(0)) == NextStep::ReportUnknown);
  facts.End = AttemptEnd::Answered;
  facts.Status = 500;
  CHECK(AttemptPolicy::next(facts, budget, at(0)) == NextStep::Deliver);
  facts.PossibleRuns = 0;
  facts.End = AttemptEnd::DeclinedByServer;
  CHECK(AttemptPolicy::next(facts, budget, at(0)) == NextStep::Retry);
  facts.TimeLeft = milliseconds(10);
  CHECK(AttemptPolicy::next(facts, budget, at(0)) == NextStep::RefuseNotRun);
  facts.Kind = RequestKind::Idempotent;
  facts.PossibleRuns = 1;
  CHECK(AttemptPolicy::next(facts, budget, at(0)) == NextStep::ReportUnknown);
}

// Guards against an old state of a host that replaces a newer one, and against
// ignoring the state of a restarted host because its sequence number is lower.
TEST_CASE("the newest state that a host published counts", "[mesh]") {
  FleetTable fleet(1);
  HostState host;
  host.Peer = {"10.0.0.1", 7000};
  host.BootId = 5;
  host.Sequence = 2;
  host.Server.Phase = ServerPhase::Draining;
  CHECK(fleet.update(host, at(0)));
  host.Sequence = 1;
  host.Server.Phase = ServerPhase::Ready;
  CHECK_FALSE(fleet.update(host, at(1)));
  CHECK(fleet.find(host.Peer)->State.Server.Phase == ServerPhase::Draining);
  host.BootId = 6;
  host.Sequence = 0;
  CHECK(fleet.update(host, at(2)));
  CHECK(fleet.find(host.Peer)->State.Server.Phase == ServerPhase::Ready);
}

// Guards against a failed host that is no longer contacted: it must be retried
// at least every two seconds, so that its return is noticed.
TEST_CASE("lost hosts are tried again", "[mesh]") {
  FleetTable fleet(1);
  const Address peer{"10.0.0.1", 7000};
  REQUIRE(fleet.addAddress(peer, at(0)));
  TimePoint last = at(0);
  for (std::int64_t ms = 0; ms < 20'000; ms += 100) {
    if (!fleet.selectProbeTargets(at(ms)).empty()) {
      fleet.recordFailure(peer, at(ms));
      CHECK(at(ms) - last <= milliseconds(2100));
      last = at(ms);
    }
  }
  CHECK(at(20'000) - last <= milliseconds(2100));
}

// Guards against a rollout that misses its deadline because a driver that
// started later uses the elapsed time of the last agreed step without advancing
// it.
TEST_CASE("a later driver continues the elapsed time of the order", "[mesh]") {
  OrderClock clock;
  RolloutOrder order;
  order.Service = "s";
  order.Offset = 3;
  clock.recordOrder(order, at(100'000));
  auto step = progress(RolloutPhase::Running, 2500, 5);
  step.Elapsed = milliseconds(5000);
  clock.recordProgress(step, at(100'000));
  CHECK(clock.elapsed(order, at(100'000)) == milliseconds(5000));
  CHECK(clock.elapsed(order, at(104'000)) == milliseconds(9000));
  // A later progress record with a shorter time does not reduce the elapsed
  // time.
  step.Elapsed = milliseconds(6000);
  clock.recordProgress(step, at(104'000));
  CHECK(clock.elapsed(order, at(104'000)) == milliseconds(9000));
  order.Offset = 9;
  clock.recordOrder(order, at(105'000));
  CHECK(clock.elapsed(order, at(106'000)) == milliseconds(1000));
}

// Guards against a bad version that keeps its share, and against a good version
// that is not completed by the deadline.
TEST_CASE("a rollout ends by its evidence", "[mesh]") {
  for (const bool bad : {false, true}) {
    RolloutDriver driver(shortRolloutSettings());
    RolloutView view;
    view.OrderedAt = at(0);
    view.TimeAllowed = std::chrono::seconds(16);
    view.ReadyServers = 4;
    KindCounts oldCounts;
    KindCounts newCounts;
    RolloutAction end = RolloutAction::None;
    std::int64_t ms = 0;
    double exposed = 0;
    for (; ms < 16'000 && end == RolloutAction::None; ms += 300) {
      const double share = view.ShareBasisPoints / 1e4;
      const auto calls = static_cast<std::uint64_t>(80 * share);
      newCounts.Calls += calls;
      exposed += static_cast<double>(calls);
      newCounts.Errors += bad ? calls / 2 : 0;
      newCounts.LatencySumUs += calls * 200'000;
      newCounts.LatencySquareSumMs2 += static_cast<double>(calls) * 50'000;
      oldCounts.Calls += 80 - calls;
      oldCounts.LatencySumUs += (80 - calls) * 200'000;
      oldCounts.LatencySquareSumMs2 += static_cast<double>(80 - calls) * 50'000;
      view.OldCounts = {oldCounts};
      view.NewCounts = {newCounts};
      const auto decision = driver.tick(at(ms), view);
      if (decision.Action == RolloutAction::SetShare) {
        view.ShareBasisPoints = decision.ShareBasisPoints;
      } else {
        end = decision.Action;
      }
    }
    INFO("bad: " << bad << ", exposed: " << exposed << ", ended at " << ms);
    CHECK(end == (bad ? RolloutAction::RollBack : RolloutAction::Complete));
    CHECK((!bad || exposed < 50));
  }
}

// Guards against a good version that is rolled back because one of its servers
// fails, and against a bad version that is kept because each server is assessed
// only separately.
TEST_CASE("one failing server is not a bad version", "[mesh]") {
  for (const bool bad : {false, true}) {
    RolloutDriver driver(shortRolloutSettings());
    RolloutView view;
    view.OrderedAt = at(0);
    view.TimeAllowed = std::chrono::seconds(16);
    view.ReadyServers = 2;
    KindCounts oldCounts;
    std::array<KindCounts, 2> newCounts;
    double arrived = 0;
    RolloutAction end = RolloutAction::None;
    for (std::int64_t ms = 0; ms < 16'000 && end == RolloutAction::None;
         ms += 300) {
      KindCounts sum;
      arrived += 40.0 * view.ShareBasisPoints / FullShare;
      for (std::size_t i = 0; i < newCounts.size(); ++i) {
        newCounts[i].Calls = static_cast<std::uint64_t>(arrived);
        newCounts[i].Errors = i == 0 || bad ? newCounts[i].Calls / 2 : 0;
        sum.Calls += newCounts[i].Calls;
        sum.Errors += newCounts[i].Errors;
        view.NewByHost[{"10.0.0.1", static_cast<std::uint16_t>(i + 1)}] = {
            newCounts[i]};
      }
      oldCounts.Calls += 80;
      view.OldCounts = {oldCounts};
      view.NewCounts = {sum};
      const auto decision = driver.tick(at(ms), view);
      if (decision.Action == RolloutAction::SetShare) {
        view.ShareBasisPoints = decision.ShareBasisPoints;
      } else {
        end = decision.Action;
      }
    }
    CHECK(end == (bad ? RolloutAction::RollBack : RolloutAction::Complete));
  }
}

// Guards against a bad version that is completed because its few requests were
// spread over many servers, none of which had enough evidence on its own.
TEST_CASE("failures on many servers count together", "[mesh]") {
  constexpr std::size_t servers = 24;
  RolloutDriver driver(shortRolloutSettings());
  RolloutView view;
  view.OrderedAt = at(0);
  view.TimeAllowed = std::chrono::seconds(14);
  view.ReadyServers = servers;
  KindCounts oldCounts;
  std::array<KindCounts, servers> newCounts;
  double arrived = 0;
  std::uint64_t sent = 0;
  // A share takes effect in the counts three ticks after its decision.
  std::deque<std::uint32_t> shares(3, 0);
  RolloutAction end = RolloutAction::None;
  for (std::int64_t ms = 0; ms < 16'000 && end == RolloutAction::None;
       ms += 200) {
    shares.push_back(view.ShareBasisPoints);
    arrived += 100.0 * shares.front() / FullShare;
    shares.pop_front();
    for (; sent < static_cast<std::uint64_t>(arrived); ++sent) {
      // Four servers receive half of the requests, and none of the failures.
      auto &counts = newCounts[sent % 2 == 0 ? sent / 2 % 4
                                             : 4 + sent / 2 % (servers - 4)];
      ++counts.Calls;
      // One in twelve fails.
      counts.Errors += sent % 12 == 11 ? 1 : 0;
    }
    oldCounts.Calls += 100;
    oldCounts.Errors += 1;
    KindCounts sum;
    for (std::size_t i = 0; i < servers; ++i) {
      sum.Calls += newCounts[i].Calls;
      sum.Errors += newCounts[i].Errors;
      view.NewByHost[{"10.0.0.1", static_cast<std::uint16_t>(i + 1)}] = {
          newCounts[i]};
    }
    view.OldCounts = {oldCounts};
    view.NewCounts = {sum};
    const auto decision = driver.tick(at(ms), view);
    if (decision.Action == RolloutAction::SetShare) {
      view.ShareBasisPoints = decision.ShareBasisPoints;
    } else {
      end = decision.Action;
    }
  }
  CHECK(end == RolloutAction::RollBack);
}

// Guards against a service of a split route whose share of the requests differs
// from its weight, both in each run of ten requests and over many.
TEST_CASE("a split follows its weights", "[mesh]") {
  ServiceSplit split;
  MeshRoute route;
  route.Name = "r";
  route.Services = {{"a", 70}, {"b", 20}, {"c", 10}, {"none", 0}};
  for (int n = 0; n < 20; ++n) {
    std::map<std::string, int> got;
    for (int i = 0; i < 10; ++i) {
      ++got[split.choose(route)];
    }
    CHECK(got == std::map<std::string, int>{{"a", 7}, {"b", 2}, {"c", 1}});
  }
}
