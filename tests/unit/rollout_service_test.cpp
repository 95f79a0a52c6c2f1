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

// Guards against appends that fail for seconds after the store's return, since
// the end of the new history is lower than the one that the driver knows.
TEST_CASE("a driver goes on after the store's return", "[rollout_service]") {
  RolloutFixture f;
  f.startService();
  REQUIRE(f.reached(
      [&] { return f.Store.Streams[KeyedStream::Rollouts].size() >= 2; }));
  f.Store.restore(1);
  const auto written = f.Store.Streams[KeyedStream::Rollouts].size();
  CHECK(f.reached([&] { return f.hasTold("completed"); }));
  CHECK(f.Store.Streams[KeyedStream::Rollouts].size() > written);
  CHECK(f.Store.Conflicts <= 1);
}

// Guards against another outcome than the one that the operator was told, and
// against an outcome that the store never has again.
TEST_CASE("an end that the store has lost is written again",
          "[rollout_service]") {
  RolloutFixture f;
  f.startService();
  REQUIRE(f.reached([&] { return f.hasTold("completed"); }));
  // From now on the evidence is against the version.
  f.New.Failing = true;
  f.Store.restore(1);
  f.noticeEra();
  REQUIRE(f.reached([&] {
    const auto &records = f.Store.Streams[KeyedStream::Rollouts];
    const auto &statuses = f.Store.Streams[KeyedStream::RolloutStatus];
    return phaseOf(*records.back().Value) == RolloutPhase::Completed &&
           statuses.back().Value->find("completed") != std::string::npos;
  }));
  CHECK_FALSE(f.hasTold("rolled_back"));
  CHECK(f.agreedPhase() == RolloutPhase::Completed);
}

// Guards against a rollout that starts anew because its lost order was written
// again at another offset.
TEST_CASE("an order that is written again is not carried out twice",
          "[rollout_service]") {
  RolloutFixture f(3);
  f.startService();
  REQUIRE(f.reached([&] { return f.hasTold("completed"); }));
  f.Store.restore(2);
  f.noticeEra();
  f.order(9);
  f.reached([] { return false; }, std::chrono::milliseconds(1000));
  CHECK(f.agreedPhase() == RolloutPhase::Completed);
  // A host that started since knows the order only where it stands now.
  OperatorState orders(f.Records);
  VersionPolicy versions(orders);
  orders.apply({"rollout/s", R"({"targetVersion":"v2","durationS":3})", 9, 2});
  REQUIRE(versions.apply(*f.Versions.progress("s")));
  CHECK(versions.share("s", "v2") == FullShare);
  CHECK(versions.share("s", "v1") == 0);
}

// Guards against an order whose status the operator never gets, because a late
// answer to a step of the order before it was reported in its place.
TEST_CASE("a late step of an older order is not reported for a newer one",
          "[rollout_service]") {
  RolloutFixture f;
  bool held = false;
  f.Store.Hold = [&](KeyedStream stream, const std::string &) {
    const bool holds = !held && stream == KeyedStream::Rollouts;
    held = held || holds;
    return holds;
  };
  f.startService();
  REQUIRE(f.reached([&] { return held; }));
  f.Orders.apply(
      {"rollout/s", R"({"targetVersion":"v3","durationS":9})", 2, f.Store.Era});
  f.Service.ordersChanged();
  CHECK(f.reached([&] { return f.hasTold("v3"); }));
  CHECK_FALSE(f.hasTold("v2"));
}
