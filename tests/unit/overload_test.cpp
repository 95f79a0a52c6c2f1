#include "chivefold/mesh/attempt_age.h"
#include "chivefold/mesh/refused_calls.h"
#include "chivefold/mesh/slot_gate.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <random>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

/** Arrival rate, service time and latency limits of one kind of request. */
struct RequestKindLoad {
  std::uint32_t Priority;
  double PerSecond;
  double ServiceMs;
  std::int64_t TargetMs;
  std::int64_t DeadlineMs;
};

/** Numbers of requests of one kind. */
struct Results {
  int Arrived = 0;
  int InTime = 0;
  int Late = 0;
};

/** A server's slots and the kinds of request that arrive there. */
struct Workload {
  std::uint32_t Slots;
  std::vector<RequestKindLoad> Kinds;
};

/** Simulates a server with random arrivals and service times from a fixed seed.
 */
class ServerSimulation {
public:
  explicit ServerSimulation(const Workload &workload) : Simulated(workload) {}

  /** Simulates 20 s with a SlotGate. @return results by kind of request. */
  std::map<std::size_t, Results> runWithGate() {
    SlotGate gate;
    gate.open(Simulated.Slots, 0);
    return run(
        [&](std::uint64_t id, const Request &r, std::int64_t ms) {
          const auto &kind = Simulated.Kinds[r.Kind];
          const SlotRequest request{
              GateRequestId{id}, kind.Priority, at(ms + kind.DeadlineMs),
              "r" + std::to_string(r.Kind), at(ms + kind.TargetMs)};
          return gate.admit(request, at(ms)).Kind == AdmissionKind::Run;
        },
        [&](std::uint64_t id, const Request &r, std::int64_t ms) {
          gate.finished(GateRequestId{id}, milliseconds(ms - r.StartedMs));
        },
        [&](std::int64_t ms) {
          gate.expire(at(ms));
          std::vector<std::uint64_t> ids;
          for (const auto it : gate.start(at(ms))) {
            ids.push_back(static_cast<std::uint64_t>(it));
          }
          return ids;
        });
  }

  /** The same with a baseline, a bounded FIFO queue. */
  std::map<std::size_t, Results> runWithFifoQueue() {
    std::deque<std::uint64_t> queue;
    std::uint32_t running = 0;
    return run(
        [&](std::uint64_t id, const Request &, std::int64_t) {
          if (running < Simulated.Slots) {
            ++running;
            return true;
          }
          if (queue.size() < 4 * std::size_t{Simulated.Slots}) {
            queue.push_back(id);
          }
          return false;
        },
        [&](std::uint64_t, const Request &, std::int64_t) { --running; },
        [&](std::int64_t) {
          std::vector<std::uint64_t> ids;
          while (running < Simulated.Slots && !queue.empty()) {
            ids.push_back(queue.front());
            queue.pop_front();
            ++running;
          }
          return ids;
        });
  }

private:
  struct Request {
    std::size_t Kind;
    std::int64_t ArrivedMs;
    std::int64_t StartedMs;
  };
  using Admit =
      std::function<bool(std::uint64_t, const Request &, std::int64_t)>;
  using Finish =
      std::function<void(std::uint64_t, const Request &, std::int64_t)>;
  using Start = std::function<std::vector<std::uint64_t>(std::int64_t)>;

  std::map<std::size_t, Results> run(const Admit &admit, const Finish &finish,
                                     const Start &start) {
    std::mt19937_64 random(1);
    std::map<std::uint64_t, Request> requests;
    std::multimap<std::int64_t, std::uint64_t> ends;
    std::map<std::size_t, Results> out;
    std::uint64_t lastId = 0;
    const auto begin = [&](std::uint64_t id, std::int64_t ms) {
      auto &r = requests.at(id);
      r.StartedMs = ms;
      std::exponential_distribution<double> service(
          1 / Simulated.Kinds[r.Kind].ServiceMs);
      ends.emplace(ms + 1 + static_cast<std::int64_t>(service(random)), id);
    };
    for (std::int64_t ms = 0; ms < 20'000; ++ms) {
      while (!ends.empty() && ends.begin()->first <= ms) {
        const auto id = ends.begin()->second;
        ends.erase(ends.begin());
        const auto &r = requests.at(id);
        finish(id, r, ms);
        const auto &kind = Simulated.Kinds[r.Kind];
        auto &results = out[r.Kind];
        results.InTime += ms - r.ArrivedMs <= kind.TargetMs ? 1 : 0;
        results.Late += ms - r.ArrivedMs > kind.TargetMs &&
                                ms - r.ArrivedMs <= kind.DeadlineMs
                            ? 1
                            : 0;
      }
      for (std::size_t kind = 0; kind < Simulated.Kinds.size(); ++kind) {
        std::poisson_distribution<int> count(Simulated.Kinds[kind].PerSecond /
                                             1000);
        for (int n = count(random); n > 0; --n) {
          const auto id = ++lastId;
          requests[id] = {kind, ms, ms};
          ++out[kind].Arrived;
          if (admit(id, requests[id], ms)) {
            begin(id, ms);
          }
        }
      }
      for (const auto id : start(ms)) {
        begin(id, ms);
      }
    }
    return out;
  }

  const Workload Simulated;
};

double inTimeRatio(const Results &results) {
  return static_cast<double>(results.InTime) / results.Arrived;
}

} // namespace

// Guards against a server that is always busy with requests that are late when
// they end. The load is 1.3 times the server's capacity; served in order of
// arrival nearly no request is in time.
TEST_CASE("requests are in time under sustained overload", "[overload]") {
  const Workload workload{12, {{2, 260, 60, 200, 1200}}};
  const auto queued = ServerSimulation(workload).runWithFifoQueue();
  const auto gated = ServerSimulation(workload).runWithGate();
  INFO("in order of arrival: " << inTimeRatio(queued.at(0))
                               << ", gate: " << inTimeRatio(gated.at(0)));
  // The server can serve 200 of the 260 requests per second.
  CHECK(inTimeRatio(gated.at(0)) > 0.6);
  CHECK(inTimeRatio(gated.at(0)) > 2 * inTimeRatio(queued.at(0)));
}

// Guards against high-priority requests that are late because others are served
// first, and against low-priority requests that are never served. The mix is
// that of a service whose other servers are gone.
TEST_CASE("high-priority requests are in time and others are not starved",
          "[overload]") {
  const Workload workload{
      12,
      {{0, 142, 42, 150, 1000}, {1, 330, 15, 60, 200}, {2, 57, 48, 150, 1000}}};
  const auto queued = ServerSimulation(workload).runWithFifoQueue();
  const auto gated = ServerSimulation(workload).runWithGate();
  for (const auto &it : gated) {
    INFO("kind " << it.first << ", in order of arrival: "
                 << inTimeRatio(queued.at(it.first))
                 << ", gate: " << inTimeRatio(it.second));
    const auto answeredRatio =
        static_cast<double>(it.second.InTime + it.second.Late) /
        it.second.Arrived;
    CHECK(answeredRatio > 0.25);
    CHECK((it.first > 0 || inTimeRatio(it.second) > 0.9));
  }
}

// Guards against a retry that is taken for a new request and therefore runs
// before requests that can still be in time.
TEST_CASE("the age of a request counts from its first attempt", "[overload]") {
  AttemptAgeEstimator estimator;
  for (int i = 0; i < 40; ++i) {
    estimator.recordAttempt("r", milliseconds(1000));
    estimator.recordAttempt("r", milliseconds(400 + i));
    // A client with a longer timeout than the others.
    if (i % 10 == 0) {
      estimator.recordAttempt("r", milliseconds(3000));
    }
  }
  CHECK(estimator.recordAttempt("r", milliseconds(1000)) == Duration::zero());
  CHECK(estimator.recordAttempt("r", milliseconds(700)) == milliseconds(300));
  CHECK(estimator.recordAttempt("r", milliseconds(3000)) == Duration::zero());
  CHECK(estimator.recordAttempt("unknown", milliseconds(300)) ==
        Duration::zero());
}

// Guards against retries that run before requests that can still be in time
// because the timeouts of clients vary, so that no stated time is frequent.
TEST_CASE("retries are told from first attempts where timeouts vary",
          "[overload]") {
  AttemptAgeEstimator estimator;
  std::mt19937_64 random(1);
  std::uniform_int_distribution<int> first(1275, 1500);
  std::uniform_int_distribution<int> retry(300, 1200);
  int falseAges = 0;
  std::int64_t largestErrorMs = 0;
  for (int i = 0; i < 2000; ++i) {
    const auto firstAge =
        estimator.recordAttempt("r", milliseconds(first(random)));
    falseAges += i > 100 && firstAge > Duration::zero() ? 1 : 0;
    if (i % 2 == 0) {
      const auto left = retry(random);
      const auto age = estimator.recordAttempt("r", milliseconds(left));
      const auto error = age.count() / 1000 - (1387 - left);
      largestErrorMs = std::max(largestErrorMs, i > 100 ? std::abs(error) : 0);
    }
  }
  CHECK(falseAges == 0);
  CHECK(largestErrorMs <= 25);
}

// Guards against errors that are counted against a server, version or route
// although another service refused its calls, and against errors of the server
// itself that are not counted.
TEST_CASE("errors after refused calls are told from others", "[overload]") {
  RefusedCallTracker tracker;
  int matched = 0;
  for (std::int64_t i = 0; i < 100; ++i) {
    const auto ms = i * 50;
    // A client request is refused, then a call of the server, which then
    // returns an error.
    tracker.recordRefusal("client", at(ms));
    tracker.recordRefusal("call", at(ms + 20));
    matched += tracker.matchError(at(ms + 22)) ? 1 : 0;
    // An error that the server caused itself.
    CHECK_FALSE(tracker.matchError(at(ms + 40)));
  }
  CHECK(matched > 90);
  CHECK(tracker.isOutboundRoute("call"));
  CHECK_FALSE(tracker.isOutboundRoute("client"));
}

// Guards against long queues of requests that will be late. Answers on a
// connection are in order, so that each of them delays the answers to the
// requests that the client sent after it.
TEST_CASE("requests that will be late do not fill the queue", "[overload]") {
  SlotGate gate;
  gate.open(4, 0);
  const auto request = [](std::uint64_t id, std::int64_t inTimeUntil) {
    return SlotRequest{GateRequestId{id}, 1, at(5000), "r", at(inTimeUntil)};
  };
  std::uint64_t id = 0;
  while (id < 4) {
    CHECK(gate.admit(request(++id, 200), at(0)).Kind == AdmissionKind::Run);
  }
  // Late on arrival: two are queued, further ones are rejected at once.
  CHECK(gate.admit(request(++id, 10), at(0)).Kind == AdmissionKind::Queued);
  CHECK(gate.admit(request(++id, 10), at(0)).Kind == AdmissionKind::Queued);
  CHECK(gate.admit(request(++id, 10), at(0)).Kind == AdmissionKind::Rejected);
  // Requests in time are still queued, and expire once they will be late and
  // are beyond the bound for late requests.
  while (id < 11) {
    CHECK(gate.admit(request(++id, 300), at(0)).Kind == AdmissionKind::Queued);
  }
  CHECK(gate.expire(at(100)).empty());
  CHECK(gate.expire(at(290)).size() == 4);
  gate.finished(GateRequestId{1}, milliseconds(20));
  CHECK(gate.start(at(291)).size() == 1);
}
