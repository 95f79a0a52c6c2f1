#include "chivefold/mesh/slot_gate.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

/** Requests of one kind and what became of them. */
struct Tally {
  int Arrived = 0;
  int InTime = 0;
  int Answered = 0;
  int Refused = 0;
  /** Longest wait of a request that was refused. */
  std::int64_t LongestRefusalMs = 0;
  double inTime() const { return static_cast<double>(InTime) / Arrived; }
  double answered() const { return static_cast<double>(Answered) / Arrived; }
};

struct TreeResults {
  /** Urgent requests at another service, each of which needs two calls here. */
  Tally Trees;
  /** Less urgent requests of clients here. */
  Tally Direct;
};

/** How the calls of the trees reach the gate. */
enum class CallOrder { AsNewWork, AsRunningWork };

/**
 * A server that gets the calls of urgent requests and less urgent requests of
 * its own. From 5 s to 10 s of 15 s there are 2.5 times as many of the latter.
 * Arrivals and service times come from a fixed seed.
 */
class CalledServer {
public:
  explicit CalledServer(CallOrder order) : Order(order) {
    SlotGateTuning tuning;
    if (Order == CallOrder::AsNewWork) {
      // Nothing gives way, as before calls had a rank.
      tuning.KeptQueueShare = 1;
    }
    Gate = SlotGate(tuning);
    Gate.open(13, 0);
  }

  TreeResults run() {
    for (std::int64_t ms = 0; ms < 15'000; ++ms) {
      endRequests(ms);
      const bool burst = ms >= 5'000 && ms < 10'000;
      for (int n = arrivals(TreesPerSecond); n > 0; --n) {
        beginTree(ms);
      }
      for (int n = arrivals(DirectPerSecond * (burst ? 2.5 : 1)); n > 0; --n) {
        ++Results.Direct.Arrived;
        offer({Id{++LastId}, 2, at(ms + 1200), "direct", at(ms + 1500)},
              {0, ms, ms, 310}, ms);
      }
      for (const auto id : Gate.expire(at(ms))) {
        refused(id, ms);
      }
      for (const auto id : Gate.start(at(ms))) {
        begin(id, ms);
      }
    }
    return Results;
  }

private:
  using Id = GateRequestId;
  static constexpr double TreesPerSecond = 45;
  static constexpr double DirectPerSecond = 24;

  struct Request {
    /** 0 for a request of a client here. */
    std::uint64_t Tree;
    std::int64_t ArrivedMs;
    std::int64_t StartedMs;
    double ServiceMs;
  };
  struct Tree {
    std::int64_t ArrivedMs;
    int CallsLeft;
  };

  int arrivals(double perSecond) {
    return std::poisson_distribution<int>(perSecond / 1000)(Random);
  }

  // A tree has worked for 60 ms when it calls, and needs 150 ms more after its
  // calls; its target is 500 ms, and its client waits for 1500 ms.
  void beginTree(std::int64_t ms) {
    ++Results.Trees.Arrived;
    const auto tree = ++LastId;
    Trees[tree] = {ms - 60, 2};
    for (int i = 0; i < 2 && Trees.count(tree) > 0; ++i) {
      SlotRequest call{Id{++LastId}, 1, at(ms + 750), "call", at(ms + 250)};
      if (Order == CallOrder::AsRunningWork) {
        call.Priority = 0;
        call.ForRunning = true;
        call.InTimeUntil = at(ms - 60 + 500);
      }
      offer(call, {tree, ms, ms, 60}, ms);
    }
  }

  void offer(const SlotRequest &request, const Request &facts,
             std::int64_t ms) {
    Requests[request.Id] = facts;
    const auto admission = Gate.admit(request, at(ms));
    if (admission.Kind == AdmissionKind::Rejected) {
      return refused(request.Id, ms);
    }
    if (admission.Displaced) {
      refused(*admission.Displaced, ms);
    }
    if (admission.Kind == AdmissionKind::Run) {
      begin(request.Id, ms);
    }
  }

  void begin(Id id, std::int64_t ms) {
    auto &request = Requests.at(id);
    request.StartedMs = ms;
    std::exponential_distribution<double> time(1 / request.ServiceMs);
    Ends.emplace(ms + 1 + static_cast<std::int64_t>(time(Random)), id);
  }

  void refused(Id id, std::int64_t ms) {
    const auto &request = Requests.at(id);
    if (request.Tree != 0) {
      // The server that made the call answers its caller with an error.
      Trees.erase(request.Tree);
      return;
    }
    auto &tally = Results.Direct;
    ++tally.Refused;
    tally.LongestRefusalMs =
        std::max(tally.LongestRefusalMs, ms - request.ArrivedMs);
  }

  void endRequests(std::int64_t ms) {
    while (!Ends.empty() && Ends.begin()->first <= ms) {
      const auto id = Ends.begin()->second;
      Ends.erase(Ends.begin());
      const auto &request = Requests.at(id);
      Gate.finished(id, milliseconds(ms - request.StartedMs));
      if (request.Tree == 0) {
        count(Results.Direct, ms - request.ArrivedMs, 1500, 1200);
        continue;
      }
      const auto tree = Trees.find(request.Tree);
      if (tree != Trees.end() && --tree->second.CallsLeft == 0) {
        count(Results.Trees, ms + 150 - tree->second.ArrivedMs, 500, 1500);
        Trees.erase(tree);
      }
    }
  }

  static void count(Tally &tally, std::int64_t ms, std::int64_t target,
                    std::int64_t deadline) {
    tally.InTime += ms <= std::min(target, deadline) ? 1 : 0;
    tally.Answered += ms <= deadline ? 1 : 0;
  }

  const CallOrder Order;
  SlotGate Gate;
  std::mt19937_64 Random{1};
  std::uint64_t LastId = 0;
  std::map<Id, Request> Requests;
  std::map<std::uint64_t, Tree> Trees;
  std::multimap<std::int64_t, Id> Ends;
  TreeResults Results;
};

} // namespace

// Guards against urgent requests that fail at their calls, after they were
// worked on, because a burst of less urgent requests fills the called server.
TEST_CASE("a burst of less urgent requests does not fail urgent call trees",
          "[overload]") {
  const auto before = CalledServer(CallOrder::AsNewWork).run();
  const auto now = CalledServer(CallOrder::AsRunningWork).run();
  INFO("trees in time, before: " << before.Trees.inTime()
                                 << ", now: " << now.Trees.inTime());
  INFO("direct answered, before: " << before.Direct.answered()
                                   << ", now: " << now.Direct.answered());
  INFO("longest refusal, before: " << before.Direct.LongestRefusalMs << " ms, "
                                   << "now: " << now.Direct.LongestRefusalMs);
  CHECK(now.Trees.inTime() > 0.85);
  CHECK(now.Trees.inTime() > before.Trees.inTime());
  // The more urgent kind is served no worse, and the other is not starved.
  CHECK(now.Trees.answered() >= now.Direct.answered() - 0.05);
  CHECK(now.Direct.answered() > 0.5);
  CHECK(now.Direct.LongestRefusalMs <= 1200);
}
