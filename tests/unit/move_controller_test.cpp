#include "../../benchmark/move_simulation.h"

#include <catch2/catch.hpp>

using namespace simulation;

namespace {

constexpr std::uint64_t FixedSeed = 20261204;
constexpr UtcTime Utc{std::chrono::hours(24)};

TimePoint at(double second) { return MoveSimulation::at(second); }

/** @return a view in which nothing prevents the next step but time and
 * evidence. */
MoveView freshView(double second, std::uint32_t share) {
  MoveView view;
  view.Move = LogOffset(7);
  view.Deadline = Utc + std::chrono::seconds(600);
  view.ShareBasisPoints = share;
  view.CurrentEpoch = LogOffset(9);
  view.HeldByThisDaemon = true;
  view.HolderSeen = view.CountsRead = view.LogRead = at(second);
  view.AbleServers = 3;
  view.LogAvailable = true;
  return view;
}

std::vector<MoveAction> tick(MoveController &controller, double second,
                             const MoveView &view) {
  return controller.tick(
      at(second), Utc + std::chrono::seconds(static_cast<int>(second)), view);
}

template <class T>
std::optional<T> find(const std::vector<MoveAction> &actions) {
  for (const auto &it : actions) {
    if (const auto *found = std::get_if<T>(&it)) {
      return *found;
    }
  }
  return std::nullopt;
}

Ending simulate(const Setup &setup,
                std::function<void(double, MoveView &)> disturb = nullptr) {
  MoveSimulation sim(setup);
  sim.Disturb = std::move(disturb);
  MoveController controller{MoveSettings()};
  return sim.run([&](TimePoint now, UtcTime utc, const MoveView &view) {
    return controller.tick(now, utc, view);
  });
}

/** Simulates a behaviour with several seeds. @return how many of the moves
 * completed. */
unsigned countDone(const Behaviour &behaviour, double callsPerSecond,
                   unsigned runs) {
  unsigned done = 0;
  for (unsigned n = 0; n < runs; ++n) {
    const auto end =
        simulate({3, 10, callsPerSecond, 600, behaviour, FixedSeed + n});
    INFO("seed " << FixedSeed + n << ": " << end.Reason << " " << end.Evidence);
    CHECK(end.Done != end.TakenBack);
    done += end.Done ? 1 : 0;
  }
  return done;
}

} // namespace

// Guards against a share that is raised on outdated statistics or an outdated
// log position, since the version may have failed in the meantime.
TEST_CASE("a stale view raises no share", "[move]") {
  for (const bool staleLog : {true, false}) {
    MoveController controller{MoveSettings()};
    REQUIRE(tick(controller, 0, freshView(0, 500)).empty());
    auto view = freshView(590, 500);
    (staleLog ? view.LogRead : view.CountsRead) = at(580);
    CHECK(tick(controller, 590, view).empty());
    CHECK_FALSE(controller.holdReason().empty());
    const auto step =
        find<AppendStep>(tick(controller, 591, freshView(591, 500)));
    REQUIRE(step.has_value());
    CHECK(step->ShareBasisPoints == 1000);
    CHECK(step->LeaseEpoch == LogOffset(9));
  }
}

// Guards against a holder that resumes after its lease timed out and raises the
// share before it has confirmed that it still holds the lease.
TEST_CASE("a paused holder renews before it raises", "[move]") {
  MoveController controller{MoveSettings()};
  tick(controller, 0, freshView(0, 500));
  auto view = freshView(300, 500);
  view.HolderSeen = at(250);
  const auto actions = tick(controller, 300, view);
  CHECK_FALSE(find<AppendStep>(actions).has_value());
  const auto renewal = find<RenewLease>(actions);
  REQUIRE(renewal.has_value());
  CHECK(renewal->ExpectedEpoch == LogOffset(9));
  view = freshView(301, 500);
  view.HeldByThisDaemon = false;
  view.CurrentEpoch = LogOffset(20);
  CHECK(tick(controller, 301, view).empty());
}

// Guards against several candidates taking the lease at the same time, and
// against taking it from a holder that could not renew it in a log outage.
TEST_CASE("candidates wait for silence and for their rank", "[move]") {
  const auto takenAt = [](unsigned rank, bool outage) {
    MoveController controller{MoveSettings()};
    for (int second = 0; second < 200; ++second) {
      auto view = freshView(second, 500);
      view.HeldByThisDaemon = false;
      view.HolderSeen = at(0);
      view.Rank = rank;
      view.LogAvailable = !outage || second >= 60;
      if (const auto lease = find<TakeLease>(tick(controller, second, view))) {
        CHECK(lease->ExpectedEpoch == LogOffset(9));
        return second;
      }
    }
    return -1;
  };
  CHECK(takenAt(0, false) == 30);
  CHECK(takenAt(2, false) == 36);
  CHECK(takenAt(0, true) == 90);
}

// Guards against a log outage during which the share rises, the move stays open
// past its deadline, or the take-back is prevented.
TEST_CASE("an outage past the deadline takes the move back", "[move]") {
  const auto end = simulate(
      {3, 10, 5, 600, {}, FixedSeed},
      [](double second, MoveView &view) { view.LogAvailable = second < 150; });
  CHECK(end.TakenBack);
  CHECK(end.Seconds == Approx(600));
  CHECK(end.MaxShare < 5000);

  MoveController controller{MoveSettings()};
  auto view = freshView(601, 1000);
  view.LogAvailable = false;
  auto actions = tick(controller, 601, view);
  CHECK(find<TakeBackNow>(actions).has_value());
  CHECK_FALSE(find<AppendEnd>(actions).has_value());
  view = freshView(700, 1000);
  view.TakenBack = true;
  actions = tick(controller, 700, view);
  CHECK_FALSE(find<TakeBackNow>(actions).has_value());
  const auto record = find<AppendEnd>(actions);
  REQUIRE(record.has_value());
  CHECK(record->Result == MoveResult::TakenBack);
  CHECK(tick(controller, 701, view).empty());
}

// A log outage ends shortly before the deadline. Guards against raising the
// share to 100% without observing the version at each step.
TEST_CASE("little time left does not skip the observation", "[move]") {
  const auto end = simulate({3, 10, 20, 600, {}, FixedSeed},
                            [](double second, MoveView &view) {
                              view.LogAvailable = second < 30 || second > 570;
                            });
  CHECK(end.TakenBack);
  CHECK(end.MaxShare < 10000);
}

// Guards against good versions that miss the deadline: because few calls give
// little evidence, because of noise, or because a dependency of both versions
// fails temporarily.
TEST_CASE("good versions finish by the deadline", "[move]") {
  CHECK(countDone({}, 2, 40) >= 39);
  CHECK(countDone({}, 20, 10) == 10);
  Behaviour outage;
  outage.OutageErrorRate = 0.3;
  CHECK(countDone(outage, 5, 20) >= 18);
}

// Guards against bad versions that are not taken back: with errors from the
// start, with errors only after the 50% step, with errors on one route, or
// with higher latency alone.
TEST_CASE("bad versions are taken back", "[move]") {
  CHECK(countDone({"errors", 0.2, 1, 0, -1}, 2, 10) == 0);
  CHECK(countDone({"late", 0.2, 1, 20, -1}, 5, 10) == 0);
  CHECK(countDone({"route", 0.2, 1, 0, 2}, 5, 10) == 0);
  CHECK(countDone({"latency", 0.005, 2, 0, -1}, 5, 10) == 0);
}

// Guards against detection of a late fault taking as many calls as the version
// had served without errors.
TEST_CASE("a good past does not hide a late fault", "[move]") {
  SequentialTest test{SequentialTestSettings()};
  KindCounts counts{"/a", "a", 100000, 500, 0, 0, 0};
  test.update({counts}, {counts});
  REQUIRE(test.assess().Result != TestVerdict::Bad);
  counts.Calls += 12;
  counts.Errors += 6;
  test.update({}, {counts});
  CHECK(test.assess().Result == TestVerdict::Bad);
}

// Counts decrease when a gate restarts. Guards against the difference being
// read as a huge number of calls.
TEST_CASE("shrinking counts rebase", "[move]") {
  SequentialTest test{SequentialTestSettings()};
  test.update({}, {{"/a", "a", 1000, 5, 0, 0, 0}});
  test.update({}, {{"/a", "a", 10, 4, 0, 0, 0}});
  CHECK(test.assess().Result != TestVerdict::Bad);
  CHECK(test.callsSinceRestart() == Approx(1000));
}

// Guards against a fault on a route with few calls being masked by the
// successful calls on other routes.
TEST_CASE("one bad route is found among many good calls", "[move]") {
  SequentialTest test{SequentialTestSettings()};
  const KindCounts often{"/often", "a", 10000, 50, 0, 0, 0};
  test.update({often, {"/rare", "b", 100, 0, 0, 0, 0}},
              {often, {"/rare", "b", 40, 8, 0, 0, 0}});
  const auto assessment = test.assess();
  CHECK(assessment.Result == TestVerdict::Bad);
  CHECK(assessment.Evidence.find("/rare") != std::string::npos);
}
