#include "chivefold/core/safe_steps.h"
#include "log_builder.h"

#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

SafeStep takeOut(const std::string &dc, LogOffset after) {
  SafeStep s;
  s.Kind = SafeStepKind::TakeOut;
  s.Subject = dc;
  s.AfterOffset = after;
  return s;
}

SafeStep takeBack(const std::string &service, Version move) {
  SafeStep s;
  s.Subject = service;
  s.Move = move;
  return s;
}

} // namespace

// Guards against a take-out that has no effect before its log record is
// applied, that a put-back does not undo, or that a late copy restores.
TEST_CASE("a later put-back supersedes a take-out", "[safe-steps]") {
  LogBuilder log;
  ControlState state;
  REQUIRE(state.apply(log.append(ChangeRecord{{}, {fleetSection()}})));
  REQUIRE(state.apply(log.append(DataCentreRecord{"east", false})));
  SafeSteps steps(state);
  const auto step = takeOut("east", state.applied());
  CHECK(steps.merge(step));
  CHECK_FALSE(steps.merge(step));
  steps.prune();
  CHECK(steps.isTakenOut("east"));
  CHECK_FALSE(steps.isTakenOut("west"));
  REQUIRE(state.apply(log.append(DataCentreRecord{"east", false})));
  CHECK_FALSE(steps.isTakenOut("east"));
  steps.prune();
  CHECK(steps.size() == 0);
  CHECK_FALSE(steps.merge(step));
  CHECK(steps.merge(takeOut("east", state.applied())));
}

// Guards against a bad version that keeps its traffic share until the log is
// available, and against a take-back that also applies to a later move.
TEST_CASE("a take-back applies to its move only", "[safe-steps]") {
  LogBuilder log;
  ControlState state;
  const auto apply = [&](const RecordBody &body) {
    REQUIRE(*state.apply(log.append(body)) == VerdictKind::Counted);
    return state.applied();
  };
  const auto move =
      apply(ChangeRecord{{}, {serviceSection(movingService("s"))}});
  const auto epoch =
      apply(LeaseTakeRecord{"s", move, daemonId(1), Epoch::None});
  apply(MoveStepRecord{"s", move, epoch, 500});
  SafeSteps steps(state);
  CHECK(steps.shareOf("s") == 500);
  CHECK(steps.merge(takeBack("s", move)));
  CHECK(steps.shareOf("s") == 0);
  apply(MoveStepRecord{"s", move, epoch, 1000});
  CHECK(steps.shareOf("s") == 0);

  const auto next =
      apply(ChangeRecord{move, {serviceSection(movingService("s", 2000))}});
  const auto nextEpoch =
      apply(LeaseTakeRecord{"s", next, daemonId(1), Epoch::None});
  apply(MoveStepRecord{"s", next, nextEpoch, 700});
  CHECK(steps.shareOf("s") == 700);
  steps.prune();
  CHECK(steps.size() == 0);
  CHECK_FALSE(steps.merge(takeBack("s", move)));
}

// Guards against memory usage that grows with the number of received steps.
TEST_CASE("safe steps are bounded", "[safe-steps]") {
  ControlState state;
  SafeSteps steps(state);
  for (std::uint64_t n = 0; n < SafeSteps::MaxSteps; ++n) {
    REQUIRE(steps.merge(takeOut("dc" + std::to_string(n), LogOffset::None)));
  }
  CHECK_FALSE(steps.merge(takeOut("east", LogOffset::None)));
  CHECK(steps.size() == SafeSteps::MaxSteps);
  CHECK_FALSE(steps.isTakenOut("east"));
  CHECK(steps.isTakenOut("dc0"));
}
