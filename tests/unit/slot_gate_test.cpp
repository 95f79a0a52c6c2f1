#include "chivefold/mesh/slot_gate.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

SlotRequest request(std::uint64_t id, std::uint32_t priority = 1,
                    std::int64_t deadlineMs = 100'000) {
  return {GateRequestId{id}, priority, at(deadlineMs), "r"};
}

} // namespace

// Guards against more concurrent requests than a server has slots. Some servers
// never answer requests that they cannot queue.
TEST_CASE("concurrency stays within the slots", "[slot_gate]") {
  SlotGate gate;
  CHECK(gate.admit(request(1), at(0)).Kind == AdmissionKind::Rejected);
  gate.open(2, 0);
  CHECK(gate.admit(request(1), at(0)).Kind == AdmissionKind::Run);
  CHECK(gate.admit(request(2), at(0)).Kind == AdmissionKind::Run);
  CHECK(gate.admit(request(3), at(0)).Kind == AdmissionKind::Queued);
  CHECK(gate.start(at(1)).empty());
  gate.finished(GateRequestId{1}, milliseconds(10));
  CHECK(gate.start(at(2)) == std::vector<GateRequestId>{GateRequestId{3}});
  CHECK(gate.state(at(2)).InFlight == 2);
}

// Guards against low-priority requests that run before those of high priority.
TEST_CASE("requests run in order of priority", "[slot_gate]") {
  SlotGate gate;
  gate.open(1, 0);
  gate.admit(request(1), at(0));
  gate.admit(request(2, 2), at(0));
  gate.admit(request(3, 0), at(1));
  gate.admit(request(4, 0), at(2));
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

// Guards against low-priority requests that never run. High-priority requests
// arrive as fast as the server can run them, with one low-priority request for
// every six, and enough of the latter must still run.
TEST_CASE("low-priority requests are not starved", "[slot_gate]") {
  SlotGate gate;
  gate.open(1, 0);
  std::uint64_t id = 0;
  std::uint64_t lowPriorityStarts = 0;
  std::vector<std::uint64_t> lowPriorityIds;
  gate.admit(request(++id, 0), at(0));
  for (std::int64_t ms = 10; ms < 10'000; ms += 10) {
    gate.admit(request(++id, 0, ms + 60), at(ms));
    if (ms % 60 == 0) {
      const auto admission = gate.admit(request(++id, 2, ms + 500), at(ms));
      if (admission.Kind == AdmissionKind::Queued) {
        lowPriorityIds.push_back(id);
      }
    }
    gate.expire(at(ms));
    for (std::uint64_t n = 1; n <= id; ++n) {
      gate.finished(GateRequestId{n}, milliseconds(10));
    }
    for (const auto it : gate.start(at(ms))) {
      const auto raw = static_cast<std::uint64_t>(it);
      lowPriorityStarts +=
          std::count(lowPriorityIds.begin(), lowPriorityIds.end(), raw);
    }
  }
  CHECK(lowPriorityStarts > 100);
}

// Guards against requests that are queued although they cannot end before their
// deadline.
TEST_CASE("a request that cannot meet its deadline is rejected at once",
          "[slot_gate]") {
  SlotGate gate;
  gate.open(1, 0);
  gate.admit(request(1), at(0));
  gate.finished(GateRequestId{1}, milliseconds(100));
  gate.admit(request(2), at(0));
  const auto admission = gate.admit(request(3, 1, 60), at(0));
  CHECK(admission.Kind == AdmissionKind::Rejected);
  CHECK(admission.Code == ErrorCode::Overloaded);
  CHECK(admission.RetryAfter > Duration::zero());
  CHECK(gate.admit(request(4, 1, 400), at(0)).Kind == AdmissionKind::Queued);
  CHECK(gate.expire(at(100)).empty());
  CHECK(gate.expire(at(350)) == std::vector<GateRequestId>{GateRequestId{4}});
}

// Guards against a queued request that is neither started nor rejected after it
// has turned late. Its caller would wait until its own timeout.
TEST_CASE("a queued request that turns late is still started or rejected",
          "[slot_gate]") {
  SlotGate gate;
  gate.open(2, 0);
  const auto admit = [&gate](std::uint64_t id, std::uint32_t priority,
                             std::int64_t inTimeUntilMs) {
    return gate.admit(
        {GateRequestId{id}, priority, at(10'000), "r", at(inTimeUntilMs)},
        at(0));
  };
  admit(1, 1, 5000);
  admit(2, 1, 5000);
  for (const auto &it :
       {admit(3, 2, 200), admit(4, 0, 300), admit(5, 1, 400)}) {
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

// Guards against overload of a cold server. In no period of one second may it
// get more requests than its stated rate, however fast it answers.
TEST_CASE("a cold server gets its rate", "[slot_gate]") {
  SlotGate gate;
  gate.open(18, 0);
  gate.setCold(19, at(3000));
  std::vector<std::int64_t> starts;
  std::uint64_t id = 0;
  for (std::int64_t ms = 0; ms < 3000; ms += 5) {
    const auto admission = gate.admit(request(++id), at(ms));
    if (admission.Kind == AdmissionKind::Run) {
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
