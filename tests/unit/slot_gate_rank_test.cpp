#include "chivefold/mesh/slot_gate.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

SlotRequest newWork(std::uint64_t id, std::uint32_t priority) {
  return {GateRequestId{id}, priority, at(100'000), "r"};
}

SlotRequest callOfRunning(std::uint64_t id, std::uint32_t rank) {
  auto out = newWork(id, rank);
  out.ForRunning = true;
  return out;
}

/** @return the queued requests in the order in which one slot runs them. */
std::vector<std::uint64_t> runAll(SlotGate &gate, std::uint64_t running) {
  std::vector<std::uint64_t> order;
  for (;;) {
    gate.finished(GateRequestId{running}, milliseconds(10));
    const auto next = gate.start(at(10));
    if (next.empty()) {
      return order;
    }
    running = static_cast<std::uint64_t>(next.front());
    order.push_back(running);
  }
}

} // namespace

// Guards against work that was already done for a request and is thrown away
// because one of its calls waits behind new work.
TEST_CASE("calls of running requests go before new work of their rank",
          "[slot_gate]") {
  SlotGateTuning tuning;
  tuning.QueuePerSlot = 8;
  SlotGate gate(tuning);
  gate.open(1, 0);
  gate.admit(newWork(1, 1), at(0));
  gate.admit(newWork(2, 2), at(0));
  gate.admit(newWork(3, 1), at(1));
  gate.admit(callOfRunning(4, 2), at(2));
  gate.admit(callOfRunning(5, 1), at(3));
  gate.admit(newWork(6, 0), at(4));
  CHECK(runAll(gate, 1) == std::vector<std::uint64_t>{6, 5, 3, 4, 2});
}

// Guards against an urgent request that is refused because less urgent ones
// have filled the queue.
TEST_CASE("a full queue gives a place of the least urgent work to more urgent "
          "work",
          "[slot_gate]") {
  SlotGate gate;
  gate.open(2, 0);
  std::uint64_t id = 0;
  while (id < 2) {
    CHECK(gate.admit(newWork(++id, 2), at(0)).Kind == AdmissionKind::Run);
  }
  while (id < 10) {
    CHECK(gate.admit(newWork(++id, 2), at(0)).Kind == AdmissionKind::Queued);
  }
  CHECK(gate.admit(newWork(++id, 2), at(1)).Kind == AdmissionKind::Rejected);
  const auto urgent = gate.admit(newWork(++id, 0), at(2));
  CHECK(urgent.Kind == AdmissionKind::Queued);
  // The last one has waited least.
  CHECK(urgent.Displaced == GateRequestId{10});
  CHECK(urgent.RetryAfter >= milliseconds(50));
  CHECK_FALSE(gate.cancel(GateRequestId{10}));
  CHECK(gate.state(at(2)).Queued == 8);
  CHECK(gate.limitEffects().Displaced == 1);
  // More urgent work does not use up the bound of less urgent work. A call of
  // running work of the same rank takes a place, too.
  CHECK_FALSE(gate.admit(callOfRunning(++id, 2), at(3)).Displaced);
  CHECK(gate.admit(callOfRunning(++id, 2), at(3)).Displaced ==
        GateRequestId{9});
  // The least urgent work keeps the part that its share of the starts serves.
  int displaced = 2;
  while (gate.admit(newWork(++id, 0), at(4)).Displaced) {
    ++displaced;
  }
  CHECK(displaced == 6);
}

// Guards against a late request that pushes out one that can be in time.
TEST_CASE("late work takes no place of work in time", "[slot_gate]") {
  SlotGate gate;
  gate.open(1, 0);
  gate.admit(newWork(1, 2), at(0));
  for (std::uint64_t id = 2; id < 6; ++id) {
    gate.admit(newWork(id, 2), at(0));
  }
  auto late = newWork(6, 0);
  late.InTimeUntil = at(1);
  const auto admission = gate.admit(late, at(0));
  CHECK(admission.Kind == AdmissionKind::Queued);
  CHECK_FALSE(admission.Displaced);
}

// Guards against less urgent work that goes first because answers to the urgent
// route take most of the time until its target, so that each of its requests
// would count as late.
TEST_CASE("a route with a close target is not late as a whole", "[slot_gate]") {
  SlotGate gate;
  constexpr std::uint64_t slots = 13;
  gate.open(slots, 0);
  const auto view = [](std::uint64_t id, std::int64_t ms) {
    return SlotRequest{GateRequestId{id}, 0, at(ms + 1500), "view",
                       at(ms + 500)};
  };
  std::uint64_t id = 0;
  std::int64_t ms = 0;
  for (; ms < 20'000; ms += 400) {
    gate.admit(view(++id, ms), at(ms));
    gate.finished(GateRequestId{id}, milliseconds(400));
  }
  const auto first = id + 1;
  for (std::uint64_t n = 0; n < slots; ++n) {
    CHECK(gate.admit(view(++id, ms), at(ms)).Kind == AdmissionKind::Run);
  }
  const SlotRequest lessUrgent{GateRequestId{++id}, 2, at(ms + 9000), "r"};
  CHECK(gate.admit(lessUrgent, at(ms)).Kind == AdmissionKind::Queued);
  CHECK(gate.admit(view(++id, ms), at(ms)).Kind == AdmissionKind::Queued);
  gate.finished(GateRequestId{first}, milliseconds(400));
  CHECK(gate.start(at(ms + 10)) ==
        std::vector<GateRequestId>{GateRequestId{id}});
}

// Guards against a client that was refused, waited as it was told, and is put
// behind newcomers that are late as well. One that comes again at once is a
// newcomer.
TEST_CASE("a late request that comes back goes before late newcomers",
          "[slot_gate]") {
  SlotGate gate;
  gate.open(2, 0);
  const auto request = [](std::uint64_t id, std::int64_t targetMs) {
    return SlotRequest{GateRequestId{id}, 1, at(5000), "r", at(targetMs)};
  };
  for (std::uint64_t id = 1; id <= 2; ++id) {
    gate.admit(request(id, 400), at(0));
  }
  // The route now takes as long as its target.
  for (std::uint64_t id = 1; id <= 2; ++id) {
    gate.finished(GateRequestId{id}, milliseconds(2000));
    gate.admit(request(id + 2, 400), at(0));
  }
  CHECK(gate.admit(request(5, 500), at(190)).Kind == AdmissionKind::Queued);
  CHECK(gate.admit(request(6, 500), at(190)).Kind == AdmissionKind::Rejected);
  const auto back = gate.admit(request(7, 300), at(190));
  CHECK(back.Kind == AdmissionKind::Queued);
  CHECK(back.Displaced == GateRequestId{5});
  CHECK(gate.admit(request(8, 300), at(190)).Kind == AdmissionKind::Rejected);
}

// Guards against more requests at a server than its slots, a queue beyond its
// bound, and a request that is displaced and still runs.
TEST_CASE("ranks and displacement keep the gate's limits for any sequence",
          "[slot_gate]") {
  CHECK(rc::check([] {
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 5);
    SlotGate gate;
    gate.open(slots, 0);
    std::set<std::uint64_t> running;
    std::set<std::uint64_t> queued;
    std::uint64_t id = 0;
    std::int64_t ms = 0;
    const auto steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      ms += *rc::gen::inRange(0, 20);
      if (*rc::gen::inRange(0, 3) > 0) {
        auto request = newWork(++id, *rc::gen::inRange<std::uint32_t>(0, 3));
        request.ForRunning = *rc::gen::arbitrary<bool>();
        request.Deadline = at(ms + *rc::gen::inRange(100, 2000));
        request.InTimeUntil = at(ms + *rc::gen::inRange(50, 1000));
        const auto admission = gate.admit(request, at(ms));
        if (admission.Displaced) {
          RC_ASSERT(admission.Kind == AdmissionKind::Queued);
          RC_ASSERT(queued.erase(
                        static_cast<std::uint64_t>(*admission.Displaced)) == 1);
        }
        if (admission.Kind == AdmissionKind::Run) {
          running.insert(id);
        } else if (admission.Kind == AdmissionKind::Queued) {
          queued.insert(id);
        }
      } else if (!running.empty()) {
        gate.finished(GateRequestId{*running.begin()}, milliseconds(40));
        running.erase(running.begin());
      }
      for (const auto it : gate.expire(at(ms))) {
        RC_ASSERT(queued.erase(static_cast<std::uint64_t>(it)) == 1);
      }
      for (const auto it : gate.start(at(ms))) {
        RC_ASSERT(queued.erase(static_cast<std::uint64_t>(it)) == 1);
        running.insert(static_cast<std::uint64_t>(it));
      }
      RC_ASSERT(running.size() <= slots);
      RC_ASSERT(gate.state(at(ms)).Queued == queued.size());
    }
  }));
}
