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

/** One kind of request that arrives at the gate of a server. */
struct Arrivals {
  std::uint32_t Priority;
  double PerSecond;
  double ServiceMs;
  std::int64_t TargetMs;
  std::int64_t DeadlineMs;
};

struct Served {
  int Asked = 0;
  int InTime = 0;
  int Late = 0;
};

/** A load of several kinds of request on one server for some seconds. */
struct Load {
  std::uint32_t Slots;
  std::vector<Arrivals> Kinds;
};

/** The server, with services that end at times drawn from a seed. */
class Replay {
public:
  explicit Replay(const Load &load) : Played(load) {}

  /** Plays 20 s through the real gate. */
  std::map<std::size_t, Served> throughGate() {
    SlotGate gate;
    gate.open(Played.Slots, 0);
    return play(
        [&](std::uint64_t id, const Request &r, std::int64_t ms) {
          const auto &kind = Played.Kinds[r.Kind];
          const SlotWork work{
              GateRequestId{id}, kind.Priority, at(ms + kind.DeadlineMs),
              "r" + std::to_string(r.Kind), at(ms + kind.TargetMs)};
          return gate.offer(work, at(ms)).Kind == AdmissionKind::Run;
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

  /** The same for a baseline: a bounded queue served in order of arrival. */
  std::map<std::size_t, Served> throughQueue() {
    std::deque<std::uint64_t> queue;
    std::uint32_t running = 0;
    return play(
        [&](std::uint64_t id, const Request &, std::int64_t) {
          if (running < Played.Slots) {
            ++running;
            return true;
          }
          if (queue.size() < 4 * std::size_t{Played.Slots}) {
            queue.push_back(id);
          }
          return false;
        },
        [&](std::uint64_t, const Request &, std::int64_t) { --running; },
        [&](std::int64_t) {
          std::vector<std::uint64_t> ids;
          while (running < Played.Slots && !queue.empty()) {
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
  using Offer =
      std::function<bool(std::uint64_t, const Request &, std::int64_t)>;
  using Finish =
      std::function<void(std::uint64_t, const Request &, std::int64_t)>;
  using Start = std::function<std::vector<std::uint64_t>(std::int64_t)>;

  std::map<std::size_t, Served> play(const Offer &offer, const Finish &finish,
                                     const Start &start) {
    std::mt19937_64 random(1);
    std::map<std::uint64_t, Request> requests;
    std::multimap<std::int64_t, std::uint64_t> ends;
    std::map<std::size_t, Served> out;
    std::uint64_t lastId = 0;
    const auto begin = [&](std::uint64_t id, std::int64_t ms) {
      auto &r = requests.at(id);
      r.StartedMs = ms;
      std::exponential_distribution<double> service(
          1 / Played.Kinds[r.Kind].ServiceMs);
      ends.emplace(ms + 1 + static_cast<std::int64_t>(service(random)), id);
    };
    for (std::int64_t ms = 0; ms < 20'000; ++ms) {
      while (!ends.empty() && ends.begin()->first <= ms) {
        const auto id = ends.begin()->second;
        ends.erase(ends.begin());
        const auto &r = requests.at(id);
        finish(id, r, ms);
        const auto &kind = Played.Kinds[r.Kind];
        auto &served = out[r.Kind];
        served.InTime += ms - r.ArrivedMs <= kind.TargetMs ? 1 : 0;
        served.Late += ms - r.ArrivedMs > kind.TargetMs &&
                               ms - r.ArrivedMs <= kind.DeadlineMs
                           ? 1
                           : 0;
      }
      for (std::size_t kind = 0; kind < Played.Kinds.size(); ++kind) {
        std::poisson_distribution<int> count(Played.Kinds[kind].PerSecond /
                                             1000);
        for (int n = count(random); n > 0; --n) {
          const auto id = ++lastId;
          requests[id] = {kind, ms, ms};
          ++out[kind].Asked;
          if (offer(id, requests[id], ms)) {
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

  const Load Played;
};

double partInTime(const Served &served) {
  return static_cast<double>(served.InTime) / served.Asked;
}

} // namespace

// Guards against an overload in which the server is busy all the time with work
// that is late when it ends: 1.3 times what the server bears, of two kinds that
// are worth the same. In order of arrival nearly nothing is in time.
TEST_CASE("under a lasting overload work is in time", "[overload]") {
  const Load load{12, {{2, 260, 60, 200, 1200}}};
  const auto queued = Replay(load).throughQueue();
  const auto gated = Replay(load).throughGate();
  INFO("in order of arrival: " << partInTime(queued.at(0))
                               << ", gate: " << partInTime(gated.at(0)));
  // The server bears 200 of 260 a second.
  CHECK(partInTime(gated.at(0)) > 0.6);
  CHECK(partInTime(gated.at(0)) > 2 * partInTime(queued.at(0)));
}

// Guards against urgent work that is late since less urgent work is served, and
// against less urgent work that gets nothing: the mix of a service whose other
// servers are gone.
TEST_CASE("urgent work is in time and the rest is not starved", "[overload]") {
  const Load load{
      12,
      {{0, 142, 42, 150, 1000}, {1, 330, 15, 60, 200}, {2, 57, 48, 150, 1000}}};
  const auto queued = Replay(load).throughQueue();
  const auto gated = Replay(load).throughGate();
  for (const auto &it : gated) {
    INFO("kind " << it.first
                 << ", in order of arrival: " << partInTime(queued.at(it.first))
                 << ", gate: " << partInTime(it.second));
    const auto served = static_cast<double>(it.second.InTime + it.second.Late) /
                        it.second.Asked;
    CHECK(served > 0.25);
    CHECK((it.first > 0 || partInTime(it.second) > 0.9));
  }
}

// Guards against a repeated attempt that is taken for a new request, which goes
// before others that can still be in time.
TEST_CASE("the age of a request counts from its first attempt", "[overload]") {
  AttemptAge ages;
  for (int i = 0; i < 40; ++i) {
    ages.note("r", milliseconds(1000));
    ages.note("r", milliseconds(400 + i));
    // A client with more patience than the others.
    if (i % 10 == 0) {
      ages.note("r", milliseconds(3000));
    }
  }
  CHECK(ages.note("r", milliseconds(1000)) == Duration::zero());
  CHECK(ages.note("r", milliseconds(700)) == milliseconds(300));
  CHECK(ages.note("r", milliseconds(3000)) == Duration::zero());
  CHECK(ages.note("unknown", milliseconds(300)) == Duration::zero());
}

// Guards against a server, a version or a route that is blamed for calls that
// another service refused, and against a real fault that is excused.
TEST_CASE("errors after refused calls are told from others", "[overload]") {
  RefusedCalls calls;
  int explained = 0;
  for (std::int64_t i = 0; i < 100; ++i) {
    const auto ms = i * 50;
    // A client is refused; then a call, and the server fails.
    calls.note("client", at(ms));
    calls.note("call", at(ms + 20));
    explained += calls.explains(at(ms + 22)) ? 1 : 0;
    // An error of the server's own.
    CHECK_FALSE(calls.explains(at(ms + 40)));
  }
  CHECK(explained > 90);
  CHECK(calls.isCall("call"));
  CHECK_FALSE(calls.isCall("client"));
}

// Guards against requests that wait although they will be late: clients that
// send others behind them get no answer to those before.
TEST_CASE("late work does not wait in vain", "[overload]") {
  SlotGate gate;
  gate.open(4, 0);
  const auto work = [](std::uint64_t id, std::int64_t inTimeUntil) {
    return SlotWork{GateRequestId{id}, 1, at(5000), "r", at(inTimeUntil)};
  };
  std::uint64_t id = 0;
  while (id < 4) {
    CHECK(gate.offer(work(++id, 200), at(0)).Kind == AdmissionKind::Run);
  }
  // Late on arrival: two wait, further ones are refused at once.
  CHECK(gate.offer(work(++id, 10), at(0)).Kind == AdmissionKind::Queued);
  CHECK(gate.offer(work(++id, 10), at(0)).Kind == AdmissionKind::Queued);
  CHECK(gate.offer(work(++id, 10), at(0)).Kind == AdmissionKind::Rejected);
  // Those in time still find room, and are refused once they will be late.
  while (id < 11) {
    CHECK(gate.offer(work(++id, 300), at(0)).Kind == AdmissionKind::Queued);
  }
  CHECK(gate.expire(at(100)).empty());
  CHECK(gate.expire(at(290)).size() == 4);
  gate.finished(GateRequestId{1}, milliseconds(20));
  CHECK(gate.start(at(291)).size() == 1);
}
