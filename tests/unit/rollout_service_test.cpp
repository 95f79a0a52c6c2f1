#include "rollout_fixture.h"

using namespace chivefold;

namespace {

bool isCompletion(KeyedStream stream, const std::string &record) {
  return stream == KeyedStream::Rollouts &&
         phaseOf(record) == RolloutPhase::Completed;
}

} // namespace

// Guards against a service without servers: the operator was told of a rollback
// that was decided while the completion was being written, and stopped the
// servers of the version that every host used from then on.
TEST_CASE("no rollback is decided while a completion is written",
          "[rollout_service]") {
  RolloutFixture f;
  bool held = false;
  f.Store.Hold = [&](KeyedStream stream, const std::string &record) {
    const bool holds = !held && isCompletion(stream, record);
    if (holds) {
      held = true;
      f.New.Failing = true;
    }
    return holds;
  };
  f.startService();
  REQUIRE(f.reached([&] { return held; }));
  REQUIRE(f.reached(
      [&] { return f.hasTold("completed") || f.hasTold("rolled_back"); }));
  f.reached([] { return false; }, std::chrono::milliseconds(1500));
  CHECK(f.hasTold("completed"));
  CHECK_FALSE(f.hasTold("rolled_back"));
  CHECK(f.agreedPhase() == RolloutPhase::Completed);
  CHECK(f.Versions.share("s", "v2") == FullShare);
}

// Guards against telling the operator of a rollback that the store does not
// have, and against traffic to a bad version until it has it.
TEST_CASE("a rollback counts before it is written and is told after",
          "[rollout_service]") {
  RolloutFixture f;
  bool held = false;
  f.Store.Hold = [&](KeyedStream stream, const std::string &record) {
    const bool holds = !held && stream == KeyedStream::Rollouts &&
                       phaseOf(record) == RolloutPhase::RolledBack;
    held = held || holds;
    return holds;
  };
  f.New.Failing = true;
  f.startService();
  REQUIRE(f.reached([&] { return held; }));
  CHECK(f.Versions.share("s", "v2") == 0);
  CHECK(f.Versions.share("s", "v1") == FullShare);
  CHECK(f.agreedPhase() == RolloutPhase::Running);
  CHECK_FALSE(f.hasTold("rolled_back"));
  CHECK(f.reached([&] { return f.hasTold("rolled_back"); }));
  CHECK(f.agreedPhase() == RolloutPhase::RolledBack);
  CHECK_FALSE(f.hasTold("completed"));
}
