#include "chivefold/mesh/request_pacer.h"
#include "chivefold/mesh/slot_gate.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <random>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

/** A gate before a server that always takes the same time, in 1 ms steps. */
struct LimitedGate {
  SlotGate Gate;
  std::int64_t ServiceMs = 200;
  std::uint64_t NextId = 0;
  std::deque<std::pair<std::uint64_t, std::int64_t>> Running;
  /** Times of all starts, in milliseconds. */
  std::vector<std::int64_t> Starts;
  std::vector<SlotAdmission> Rejections;
  std::size_t Dropped = 0;

  explicit LimitedGate(std::uint32_t slots) { Gate.open(slots, 0); }

  void limit(std::optional<double> perSecond, std::int64_t ms) {
    Gate.setRequestLimit(perSecond, at(ms));
  }

  void begin(std::uint64_t id, std::int64_t ms) {
    Starts.push_back(ms);
    Running.emplace_back(id, ms + ServiceMs);
  }

  SlotAdmission arrive(std::int64_t ms, std::int64_t targetMs,
                       std::int64_t deadlineMs, std::uint32_t priority = 1) {
    const auto id = ++NextId;
    const auto out = Gate.admit({GateRequestId{id}, priority,
                                 at(ms + deadlineMs), "r", at(ms + targetMs)},
                                at(ms));
    if (out.Kind == AdmissionKind::Run) {
      begin(id, ms);
    } else if (out.Kind == AdmissionKind::Rejected) {
      Rejections.push_back(out);
    }
    return out;
  }

  void step(std::int64_t ms) {
    while (!Running.empty() && Running.front().second <= ms) {
      Gate.finished(GateRequestId{Running.front().first},
                    milliseconds(ServiceMs));
      Running.pop_front();
    }
    Dropped += Gate.expire(at(ms)).size();
    for (const auto it : Gate.start(at(ms))) {
      begin(static_cast<std::uint64_t>(it), ms);
    }
  }

  /** @return most starts in any 4 s from @p sinceMs on. */
  std::size_t mostIn4s(std::int64_t sinceMs) const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < Starts.size(); ++i) {
      while (Starts[first] < sinceMs || Starts[first] <= Starts[i] - 4000) {
        if (++first > i) {
          break;
        }
      }
      most = std::max(most, first > i ? 0 : i - first + 1);
    }
    return most;
  }
};

/** Requests that a server with this limit may get in any 4 s. */
double allowedIn4s(double perSecond) { return 6 * perSecond + 5; }

} // namespace

// Guards against more requests in any 4 s than a limit allows, at any rate of
// arrivals, and when the limit begins, is replaced, or begins again.
TEST_CASE("any 4 s stay within a request limit", "[request_pacer]") {
  std::mt19937_64 random(20261204);
  for (const double limit : {0.1, 0.5, 1.0, 2.9, 7.25, 25.2, 55.9, 103.0}) {
    for (const double load : {0.5, 1.0, 3.0}) {
      INFO("limit " << limit << ", load " << load);
      LimitedGate gate(40);
      std::bernoulli_distribution arrives(
          std::min(1.0, load * std::max(limit, 1.0) / 1000));
      for (std::int64_t ms = 0; ms < 30'000; ++ms) {
        if (ms == 3'000 || ms == 20'000) {
          gate.limit(limit, ms);
        }
        if (ms == 10'000) {
          gate.limit(limit / 2, ms);
        }
        if (ms == 15'000) {
          gate.limit(std::nullopt, ms);
        }
        if (arrives(random)) {
          gate.arrive(ms, 600, 4'000);
        }
        gate.step(ms);
        if (ms == 9'999) {
          CHECK(gate.mostIn4s(3'000) <= allowedIn4s(limit));
        }
        if (ms == 14'999) {
          CHECK(gate.mostIn4s(10'000) <= allowedIn4s(limit / 2));
        }
      }
      CHECK(gate.mostIn4s(20'000) <= allowedIn4s(limit));
    }
  }
}

// Guards against a burst of the requests that waited when a limit begins, and
// against one when it rises.
TEST_CASE("requests that waited for a limit do not start together",
          "[request_pacer]") {
  LimitedGate gate(40);
  gate.limit(2, 0);
  for (int i = 0; i < 8; ++i) {
    gate.arrive(0, 60'000, 60'000);
  }
  for (std::int64_t ms = 0; ms < 1'000; ++ms) {
    gate.step(ms);
  }
  CHECK(gate.Starts.size() <= 3);
  const auto before = gate.Starts.size();
  gate.limit(10, 1'000);
  gate.step(1'000);
  // One, and what 250 ms of the new limit let start.
  CHECK(gate.Starts.size() - before <= 3);
}

// Guards against exceeding a limit although no request would be late by it.
TEST_CASE("a limit is exceeded only for requests that would be late",
          "[request_pacer]") {
  for (const std::int64_t targetMs : {60'000, 300}) {
    LimitedGate gate(40);
    gate.limit(10, 0);
    for (std::int64_t ms = 0; ms < 20'000; ++ms) {
      if (ms % 80 == 0) {
        gate.arrive(ms, targetMs, 60'000);
      }
      gate.step(ms);
    }
    const auto perSecond = static_cast<double>(gate.Starts.size()) / 20;
    INFO("target " << targetMs << " ms, " << perSecond << " a second");
    if (targetMs == 300) {
      CHECK(perSecond > 11);
    } else {
      CHECK(perSecond < 10.3);
    }
  }
}

// Guards against requests that wait for a limit until their deadline although
// it is known that they cannot run, and against a retry-after time that is too
// short for the limit.
TEST_CASE("a limit that leaves no room rejects at once", "[request_pacer]") {
  LimitedGate gate(40);
  gate.limit(0.5, 0);
  for (int i = 0; i < 20; ++i) {
    gate.arrive(0, 600, 4'000);
  }
  REQUIRE(gate.Rejections.size() >= 15);
  for (const auto &it : gate.Rejections) {
    CHECK(it.Code == ErrorCode::RateLimited);
    CHECK(it.RetryAfter >= milliseconds(1'000));
  }
  CHECK(gate.Gate.limitEffects().Rejected == gate.Rejections.size());
  // More urgent requests push a waiting one so far back that it cannot run; it
  // is dropped then and not at its deadline.
  LimitedGate other(40);
  other.limit(0.5, 0);
  other.arrive(0, 4'000, 4'000, 2);
  other.arrive(0, 4'000, 4'000, 2);
  for (int i = 0; i < 3; ++i) {
    other.arrive(10, 10'000, 10'000, 0);
  }
  other.step(20);
  CHECK(other.Dropped == 1);
}

// Guards against low-priority requests that use up a limit while urgent ones
// wait or are rejected.
TEST_CASE("a limit is spent on urgent requests first", "[request_pacer]") {
  LimitedGate gate(40);
  gate.limit(5, 0);
  std::size_t urgentRejected = 0;
  std::size_t otherRejected = 0;
  for (std::int64_t ms = 0; ms < 10'000; ++ms) {
    if (ms % 250 == 0) {
      urgentRejected +=
          gate.arrive(ms, 1'000, 3'000, 0).Kind == AdmissionKind::Rejected ? 1
                                                                           : 0;
    }
    if (ms % 50 == 0) {
      otherRejected +=
          gate.arrive(ms, 1'000, 3'000, 2).Kind == AdmissionKind::Rejected ? 1
                                                                           : 0;
    }
    gate.step(ms);
  }
  CHECK(urgentRejected == 0);
  CHECK(otherRejected > 100);
}

// Guards against a limit and a cold rate of which only one is kept.
TEST_CASE("a limit and a cold rate hold together", "[request_pacer]") {
  for (const bool limitIsLower : {true, false}) {
    LimitedGate gate(40);
    gate.Gate.setCold(limitIsLower ? 20 : 4, at(60'000));
    gate.limit(limitIsLower ? 4 : 20, 0);
    for (std::int64_t ms = 0; ms < 12'000; ++ms) {
      if (ms % 10 == 0) {
        gate.arrive(ms, 600, 4'000);
      }
      gate.step(ms);
    }
    CHECK(gate.mostIn4s(0) <= allowedIn4s(4));
    CHECK(gate.Starts.size() >= 30);
  }
}

// Guards against a limit of 0 that is never found to have ended, because the
// server gets no requests.
TEST_CASE("a server with a limit of 0 gets a request now and then",
          "[request_pacer]") {
  LimitedGate gate(4);
  gate.limit(0, 0);
  for (std::int64_t ms = 0; ms < 60'000; ++ms) {
    if (ms % 100 == 0) {
      gate.arrive(ms, 600, 4'000);
    }
    gate.step(ms);
  }
  CHECK(gate.Starts.size() >= 4);
  CHECK(gate.mostIn4s(0) <= 5);
}

// Guards against a server that gets nothing for seconds because its limit fell
// steeply while it was fully used.
TEST_CASE("a falling limit holds a server back for one interval at most",
          "[request_pacer]") {
  constexpr auto burst = milliseconds(70);
  for (const double before : {60.0, 600.0, 6000.0}) {
    for (const double after : {20.0, 2.0, 0.5}) {
      INFO(before << " to " << after << " requests per second");
      RequestPacer pacer(burst);
      pacer.setRate(before, at(0));
      for (std::int64_t ms = 0; ms < 1000; ++ms) {
        while (pacer.mayStart(at(ms))) {
          pacer.started(at(ms));
        }
      }
      pacer.setRate(after, at(1000));
      const auto interval = Duration(static_cast<Duration::rep>(1e6 / after));
      CHECK(pacer.wait(0, at(1000)) <= interval);
      // Repeated changes do not add up to more than one request.
      pacer.started(at(1000));
      pacer.setRate(after / 2, at(1001));
      pacer.setRate(after, at(1002));
      CHECK_FALSE(pacer.mayStart(at(1002)));
    }
  }
}
