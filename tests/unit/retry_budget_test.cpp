#include "chivefold/mesh/retry_budget.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>

using namespace chivefold;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const RetryTerms Terms{0.2, 200, seconds(10)};
constexpr std::size_t Hosts = 80;

TimePoint at(std::int64_t ms) { return TimePoint() + milliseconds(ms); }

/** Repeats granted while a server declines every second request: 200 requests
 * a second for 8 s, after 10 s without a fault. */
unsigned grantedWhileDeclining(RetryBudget &budget) {
  unsigned granted = 0;
  for (std::int64_t ms = 0; ms < 18'000; ms += 5) {
    const auto now = at(ms);
    budget.recordRequest(now);
    const bool declined = ms >= 10'000 && ms % 10 == 0;
    if (!declined) {
      budget.recordAnswer();
    } else if (budget.tryAcquire(0, Hosts, now)) {
      ++granted;
    }
  }
  return granted;
}

} // namespace

// Guards against a budget that shrinks with the answers of a service just when
// its servers decline much of what they get.
TEST_CASE("a service that declines requests keeps its repeats",
          "[mesh][retry_budget]") {
  RetryBudget withTerms(Terms, at(0));
  RetryBudget before(std::nullopt, at(0));
  const auto granted = grantedWhileDeclining(withTerms);
  const auto baseline = grantedWhileDeclining(before);
  CAPTURE(granted, baseline);
  // Half of the terms: a tenth of the 200 requests a second.
  CHECK(granted >= 160);
  CHECK(granted > baseline);
}

// Guards against urgent requests that find the budget spent by others.
TEST_CASE("the last part of the budget is kept for urgent requests",
          "[mesh][retry_budget]") {
  RetryBudget budget(Terms, at(0));
  for (int i = 0; i < 1000; ++i) {
    budget.recordRequest(at(i));
  }
  while (budget.tryAcquire(2, Hosts, at(1000))) {
  }
  CHECK_FALSE(budget.tryAcquire(7, Hosts, at(1000)));
  CHECK(budget.tryAcquire(1, Hosts, at(1000)));
  while (budget.tryAcquire(1, Hosts, at(1000))) {
  }
  CHECK(budget.tryAcquire(0, Hosts, at(1000)));
}

// Guards against repeats above the operator's terms in a window at any
// position, also when the load falls or stops.
TEST_CASE("no window has more repeats than half of the terms",
          "[mesh][retry_budget]") {
  CHECK(rc::check([] {
    RetryBudget budget(Terms, at(0));
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
    std::int64_t ms = 0;
    const auto steps = *rc::gen::container<std::vector<std::int64_t>>(
        rc::gen::weightedOneOf<std::int64_t>(
            {{8, rc::gen::inRange<std::int64_t>(0, 20)},
             {1, rc::gen::inRange<std::int64_t>(500, 12'000)}}));
    for (const auto step : steps) {
      ms += step;
      const auto now = at(ms);
      budget.recordRequest(now);
      requests.push_back(now);
      const auto hosts = *rc::gen::inRange<std::size_t>(1, 300);
      if (!budget.tryAcquire(static_cast<std::uint32_t>(ms % 3), hosts, now)) {
        continue;
      }
      repeats.push_back(now);
      while (repeats.front() + Terms.Window <= now) {
        repeats.pop_front();
      }
      while (requests.front() + Terms.Window <= now) {
        requests.pop_front();
      }
      RC_ASSERT(static_cast<double>(repeats.size()) <=
                0.5 * (Terms.Ratio * static_cast<double>(requests.size()) +
                       Terms.Slack));
    }
  }));
}
