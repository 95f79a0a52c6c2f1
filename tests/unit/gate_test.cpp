#include "chivefold/core/gate.h"

#include <catch2/catch.hpp>
#include <queue>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace chivefold;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint T0{};

GateRequest request(std::uint64_t id, std::uint32_t worth,
                    Duration timeLeft = 10s) {
  return {static_cast<GateRequestId>(id), worth, T0 + timeLeft, false};
}

/** Simulates a server whose capacity grows with the calls it has finished. Its
 * latency rises when the load exceeds the capacity; a load above
 * maxTolerableLoad() counts as an overload. */
struct SimulatedServer {
  double Cold = 1;
  double Slots = 10;
  double WorkToWarm = 100;
  double Work = 0;
  int InFlight = 0;
  double PeakLoadRatio = 0;
  int OverloadCount = 0;

  double capacity() const {
    return Cold + (Slots - Cold) * std::min(1.0, Work / WorkToWarm);
  }
  double maxTolerableLoad() const { return 1.5 * capacity() + 1; }
  Duration start(double jitter) {
    ++InFlight;
    PeakLoadRatio = std::max(PeakLoadRatio, InFlight / maxTolerableLoad());
    OverloadCount += InFlight > maxTolerableLoad() ? 1 : 0;
    const double slowdown = std::max(1.0, InFlight / capacity());
    return Duration(static_cast<int>(20000 * slowdown * jitter));
  }
  void finish() {
    --InFlight;
    Work += 1;
  }
};

struct Event {
  TimePoint At;
  std::uint64_t Id;
  Duration Latency;
  bool operator<(const Event &o) const { return At > o.At; }
};

/** Offers @p perSecond requests for @p length. @param turnsCold whether the
 * server becomes cold halfway. @return the lowest limit in the second half. */
std::uint32_t simulate(Gate &gate, SimulatedServer &server, double perSecond,
                       Duration length, bool turnsCold, unsigned seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> jitter(0.85, 1.15);
  std::priority_queue<Event> events;
  const auto run = [&](std::uint64_t id, TimePoint now) {
    const auto latency = server.start(jitter(random));
    events.push({now + latency, id, latency});
  };
  const Duration gap(static_cast<int>(1e6 / perSecond));
  std::uint64_t id = 0;
  std::uint32_t lowest = UINT32_MAX;
  for (TimePoint now = T0; now < T0 + length; now += gap) {
    while (!events.empty() && events.top().At <= now) {
      const auto event = events.top();
      events.pop();
      server.finish();
      for (const auto next :
           gate.finish(static_cast<GateRequestId>(event.Id), ServerResult::Ok,
                       event.Latency, event.At)) {
        run(static_cast<std::uint64_t>(next), event.At);
      }
    }
    gate.expire(now);
    if (now >= T0 + length / 2) {
      lowest = std::min(lowest, gate.state().Limit);
    }
    if (turnsCold && now >= T0 + length / 2) {
      server.Work = 0;
      turnsCold = false;
    }
    if (gate.admit({static_cast<GateRequestId>(++id), 1, now + 1s, false}, now)
            .Kind == AdmissionKind::Run) {
      run(id, now);
    }
  }
  return lowest;
}

} // namespace

// Guards against a sequence of events in which the gate exceeds its limits or
// loses a request.
TEST_CASE("gate keeps its limits for any sequence", "[gate]") {
  CHECK(rc::check([] {
    const ServerLimits limits{*rc::gen::inRange(1U, 8U), 100,
                              *rc::gen::inRange(0U, 6U),
                              *rc::gen::inRange(1U, 4U)};
    Gate gate(limits);
    std::set<std::uint64_t> running;
    std::set<std::uint64_t> queued;
    const auto removeQueued = [&](const std::vector<GateRequestId> &ids) {
      for (const auto id : ids) {
        RC_ASSERT(queued.erase(static_cast<std::uint64_t>(id)) == 1U);
      }
    };
    TimePoint now = T0;
    std::uint64_t last = 0;
    const auto steps =
        *rc::gen::resize(500, rc::gen::container<std::vector<std::uint32_t>>(
                                  rc::gen::arbitrary<std::uint32_t>()));
    for (const auto step : steps) {
      now += Duration(step % 5000);
      const auto limitBefore = gate.state().Limit;
      if (step % 3 != 0) {
        const auto id = ++last;
        const auto admission = gate.admit(
            {static_cast<GateRequestId>(id), step % 5, now + 30ms, false}, now);
        if (admission.Kind == AdmissionKind::Run) {
          running.insert(id);
          RC_ASSERT(running.size() <= limitBefore);
        } else if (admission.Kind == AdmissionKind::Queued) {
          queued.insert(id);
        }
        if (admission.Shed) {
          removeQueued({*admission.Shed});
        }
      } else if (!running.empty()) {
        const auto id = *running.begin();
        running.erase(running.begin());
        const auto ids = gate.finish(static_cast<GateRequestId>(id),
                                     static_cast<ServerResult>(step / 3 % 5),
                                     Duration(step % 90000), now);
        removeQueued(ids);
        for (const auto it : ids) {
          running.insert(static_cast<std::uint64_t>(it));
        }
        RC_ASSERT(ids.empty() || running.size() <= gate.state().Limit);
      }
      removeQueued(gate.expire(now));
      RC_ASSERT(queued.size() <= limits.Queue);
      RC_ASSERT(gate.state().Limit <= limits.Slots);
      RC_ASSERT(gate.state().InFlight == running.size());
      RC_ASSERT(gate.state().Queued == queued.size());
    }
  }));
}

// Guards against overloading a cold server, and against a limit that does not
// reach the slots once the server is warm.
TEST_CASE("a cold server is warmed up within what it bears", "[gate]") {
  CHECK(rc::check([] {
    SimulatedServer server;
    server.Cold = *rc::gen::inRange(1, 4);
    server.Slots = *rc::gen::inRange(4, 25);
    server.WorkToWarm = *rc::gen::inRange(20, 2000);
    const ServerLimits limits{static_cast<std::uint32_t>(server.Slots), 100, 20,
                              static_cast<std::uint32_t>(server.Cold)};
    Gate gate(limits);
    const double full = server.Slots * 50;
    const auto percent = *rc::gen::inRange(110, 500);
    simulate(gate, server, full * percent / 100, 60s, false,
             *rc::gen::inRange(1U, 1000U));
    RC_ASSERT(server.PeakLoadRatio <= 1.0);
    RC_ASSERT(gate.state().Limit == limits.Slots);
  }));
}

// Guards against raising the limit based on calls that ran under a lower limit.
TEST_CASE("only calls of the current limit let it grow", "[gate]") {
  GateTuning tuning;
  tuning.MinWindow = 1;
  Gate gate({4, 100, 20, 2}, tuning);
  const auto start = [&gate](std::uint64_t id) {
    REQUIRE(gate.admit(request(id, 1), T0).Kind == AdmissionKind::Run);
  };
  const auto limitAfter = [&gate](std::uint64_t id) {
    gate.finish(static_cast<GateRequestId>(id), ServerResult::Ok, 10ms, T0);
    return gate.state().Limit;
  };
  start(1);
  start(2);
  CHECK(limitAfter(1) == 2);
  start(3);
  CHECK(limitAfter(2) == 3);
  start(4);
  start(5);
  CHECK(limitAfter(3) == 3);
  CHECK(limitAfter(4) == 3);
  CHECK(limitAfter(5) == 3);
  start(6);
  CHECK(limitAfter(6) == 4);
}

// Guards against keeping a server at full load after it has suddenly become
// cold.
TEST_CASE("a sudden cold turn falls back to the cold limit", "[gate]") {
  SimulatedServer server;
  server.Slots = 20;
  server.WorkToWarm = 300;
  Gate gate({20, 100, 20, 1});
  const auto lowest = simulate(gate, server, 1200, 60s, true, 1);
  CHECK(lowest == 1);
  // The gate cannot detect the change before the first slow answer, so the
  // slots may be filled once, but not a second time.
  CHECK(server.OverloadCount <= 20 + 5);
  CHECK(gate.state().Limit == 20);
}

// Guards against shedding requests in favour of requests of lower worth.
TEST_CASE("a full queue sheds the lowest worth, newest first", "[gate]") {
  Gate gate({1, 100, 2, 1});
  CHECK(gate.admit(request(1, 1), T0).Kind == AdmissionKind::Run);
  CHECK(gate.admit(request(2, 5), T0).Kind == AdmissionKind::Queued);
  CHECK(gate.admit(request(3, 5), T0).Kind == AdmissionKind::Queued);
  const auto equal = gate.admit(request(4, 5), T0);
  CHECK(equal.Kind == AdmissionKind::Rejected);
  CHECK(equal.Code == ErrorCode::Overloaded);
  CHECK(equal.RetryAfter > Duration::zero());
  CHECK(gate.admit(request(5, 4), T0).Kind == AdmissionKind::Rejected);
  const auto better = gate.admit(request(6, 9), T0);
  CHECK(better.Kind == AdmissionKind::Queued);
  CHECK(better.Shed == static_cast<GateRequestId>(3));
  const auto next =
      gate.finish(static_cast<GateRequestId>(1), ServerResult::Ok, 5ms, T0);
  CHECK(next == std::vector<GateRequestId>{static_cast<GateRequestId>(6)});
}

// Guards against running a request after its deadline, and against queueing a
// request that cannot be served before its deadline.
TEST_CASE("queued requests end at their deadline", "[gate]") {
  Gate gate({1, 100, 5, 1});
  gate.admit(request(1, 1), T0);
  gate.admit(request(2, 1, 50ms), T0);
  CHECK(gate.nextDeadline() == T0 + 50ms);
  CHECK(gate.finish(static_cast<GateRequestId>(1), ServerResult::Ok, 60ms,
                    T0 + 60ms)
            .empty());
  CHECK(gate.expire(T0 + 60ms).size() == 1);
  gate.admit(request(3, 1), T0 + 60ms);
  CHECK(gate.admit(request(4, 1, 80ms), T0 + 60ms).Kind ==
        AdmissionKind::Rejected);
}

// Guards against a planned shutdown that interrupts running requests or admits
// new ones.
TEST_CASE("a leaving server finishes its work and takes no more", "[gate]") {
  Gate gate({1, 100, 5, 1});
  gate.admit(request(1, 1), T0);
  gate.admit(request(2, 1), T0);
  CHECK(gate.startLeaving().size() == 1);
  CHECK(gate.admit(request(3, 1), T0).Code == ErrorCode::NotReady);
  CHECK(gate.state().InFlight == 1);
  CHECK(gate.state().Leaving);
}

// Guards against sending full load to a server that has just restarted after a
// crash.
TEST_CASE("a failed connection falls back to the cold limit", "[gate]") {
  SimulatedServer server;
  server.WorkToWarm = 50;
  Gate gate({10, 100, 20, 2});
  simulate(gate, server, 600, 10s, false, 1);
  REQUIRE(gate.state().Limit == 10);
  // Fails a request that is in flight; simulate() numbers requests from 1.
  const TimePoint now = T0 + 10s;
  for (std::uint64_t id = 1; id < 6000 && gate.state().Limit == 10; ++id) {
    gate.finish(static_cast<GateRequestId>(id), ServerResult::ConnectionFailed,
                1ms, now);
  }
  CHECK(gate.state().Limit == 2);
  const auto refused =
      gate.admit({GateRequestId(7000), 1, now + 9s, false}, now + 1ms);
  CHECK(refused.Code == ErrorCode::ConnectionFailed);
  CHECK(refused.RetryAfter > Duration::zero());
}

// Guards against running requests that wait for a connection because the server
// accepts fewer connections than it has slots.
TEST_CASE("slots do not exceed the connections", "[gate]") {
  ServerLimits limits;
  limits.Slots = 10;
  limits.ColdSlots = 10;
  limits.Connections = 3;
  Gate gate(limits);
  for (std::uint64_t n = 1; n <= 5; ++n) {
    const auto expected = n <= 3 ? AdmissionKind::Run : AdmissionKind::Queued;
    CHECK(gate.admit(request(n, 1), T0).Kind == expected);
  }
}
