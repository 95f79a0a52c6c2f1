#include "chivefold/mesh/slot_gate.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

SlotWork work(std::uint64_t id, std::uint32_t priority = 1,
              std::int64_t deadlineMs = 100'000) {
  return {GateRequestId{id}, priority, at(deadlineMs), "r"};
}

} // namespace

// Guards against a server that gets more than its slots: some never answer what
// they cannot queue.
TEST_CASE("concurrency stays within the slots", "[slot_gate]") {
  SlotGate gate;
  CHECK(gate.offer(work(1), at(0)).Kind == AdmissionKind::Rejected);
  gate.open(2, 0);
  CHECK(gate.offer(work(1), at(0)).Kind == AdmissionKind::Run);
  CHECK(gate.offer(work(2), at(0)).Kind == AdmissionKind::Run);
  CHECK(gate.offer(work(3), at(0)).Kind == AdmissionKind::Queued);
  CHECK(gate.start(at(1)).empty());
  gate.finished(GateRequestId{1}, milliseconds(10));
  CHECK(gate.start(at(2)) == std::vector<GateRequestId>{GateRequestId{3}});
  CHECK(gate.state(at(2)).InFlight == 2);
}

// Guards against less urgent work that is served before urgent work.
TEST_CASE("urgent work goes first", "[slot_gate]") {
  SlotGate gate;
  gate.open(1, 0);
  gate.offer(work(1), at(0));
  gate.offer(work(2, 2), at(0));
  gate.offer(work(3, 0), at(1));
  gate.offer(work(4, 0), at(2));
  std::vector<std::uint64_t> order;
  for (std::uint64_t running = 1; running != 2;) {
    gate.finished(GateRequestId{running}, milliseconds(10));
    const auto next = gate.start(at(10));
    REQUIRE(next.size() == 1);
    running = static_cast<std::uint64_t>(next.front());
    order.push_back(running);
  }
  CHECK(order == std::vector<std::uint64_t>{3, 4, 2});
}

// Guards against less urgent work that never runs: urgent work arrives as fast
// as the server works, one request in six is less urgent and must get through.
TEST_CASE("less urgent work is not starved", "[slot_gate]") {
  SlotGate gate;
  gate.open(1, 0);
  std::uint64_t id = 0;
  std::uint64_t lessUrgent = 0;
  std::vector<std::uint64_t> lessUrgentIds;
  gate.offer(work(++id, 0), at(0));
  for (std::int64_t ms = 10; ms < 10'000; ms += 10) {
    gate.offer(work(++id, 0, ms + 60), at(ms));
    if (ms % 60 == 0) {
      const auto offer = gate.offer(work(++id, 2, ms + 500), at(ms));
      if (offer.Kind == AdmissionKind::Queued) {
        lessUrgentIds.push_back(id);
      }
    }
    gate.expire(at(ms));
    for (std::uint64_t n = 1; n <= id; ++n) {
      gate.finished(GateRequestId{n}, milliseconds(10));
    }
    for (const auto it : gate.start(at(ms))) {
      const auto raw = static_cast<std::uint64_t>(it);
      lessUrgent += std::count(lessUrgentIds.begin(), lessUrgentIds.end(), raw);
    }
  }
  CHECK(lessUrgent > 100);
}

// Guards against work that waits although it cannot end in time.
TEST_CASE("hopeless work is refused at once", "[slot_gate]") {
  SlotGate gate;
  gate.open(1, 0);
  gate.offer(work(1), at(0));
  gate.finished(GateRequestId{1}, milliseconds(100));
  gate.offer(work(2), at(0));
  const auto offer = gate.offer(work(3, 1, 60), at(0));
  CHECK(offer.Kind == AdmissionKind::Rejected);
  CHECK(offer.Code == ErrorCode::Overloaded);
  CHECK(offer.RetryAfter > Duration::zero());
  CHECK(gate.offer(work(4, 1, 400), at(0)).Kind == AdmissionKind::Queued);
  CHECK(gate.expire(at(100)).empty());
  CHECK(gate.expire(at(350)) == std::vector<GateRequestId>{GateRequestId{4}});
}

// Guards against a request that is neither started nor refused after it has
// turned late: it would be held until its caller gives up.
TEST_CASE("work that turns late is kept", "[slot_gate]") {
  SlotGate gate;
  gate.open(2, 0);
  const auto offer = [&gate](std::uint64_t id, std::uint32_t priority,
                             std::int64_t inTimeUntilMs) {
    return gate.offer(
        {GateRequestId{id}, priority, at(10'000), "r", at(inTimeUntilMs)},
        at(0));
  };
  offer(1, 1, 5000);
  offer(2, 1, 5000);
  for (const auto &it :
       {offer(3, 2, 200), offer(4, 0, 300), offer(5, 1, 400)}) {
    REQUIRE(it.Kind == AdmissionKind::Queued);
  }
  std::vector<GateRequestId> seen;
  for (const auto ms : {150, 250, 350, 450}) {
    for (const auto it : gate.expire(at(ms))) {
      seen.push_back(it);
    }
  }
  gate.finished(GateRequestId{1}, milliseconds(10));
  gate.finished(GateRequestId{2}, milliseconds(10));
  for (std::size_t n = 0; n < 3; ++n) {
    for (const auto it : gate.start(at(500))) {
      seen.push_back(it);
      gate.finished(it, milliseconds(10));
    }
  }
  CHECK(seen.size() == 3);
  CHECK(gate.state(at(500)).Queued == 0);
}

// Guards against a cold server that falls over: in no second may it get more
// than the rate that it states, however fast it answers.
TEST_CASE("a cold server gets its rate", "[slot_gate]") {
  SlotGate gate;
  gate.open(18, 0);
  gate.setCold(19, at(3000));
  std::vector<std::int64_t> starts;
  std::uint64_t id = 0;
  for (std::int64_t ms = 0; ms < 3000; ms += 5) {
    const auto offer = gate.offer(work(++id), at(ms));
    if (offer.Kind == AdmissionKind::Run) {
      starts.push_back(ms);
    }
    for (const auto it : gate.start(at(ms))) {
      starts.push_back(ms);
      gate.finished(it, milliseconds(1));
    }
    gate.finished(GateRequestId{id}, milliseconds(1));
  }
  for (std::size_t i = 0; i < starts.size(); ++i) {
    const auto end =
        std::lower_bound(starts.begin(), starts.end(), starts[i] + 1000);
    CHECK(std::distance(starts.begin() + static_cast<std::ptrdiff_t>(i), end) <=
          19);
  }
  CHECK(starts.size() > 40);
}
