#include "chivefold/core/call_policy.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <rapidcheck.h>

using namespace chivefold;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint T0{};
constexpr int Levels = 8;

CallEvent event(CallEventKind kind) {
  CallEvent e;
  e.Kind = kind;
  e.Server = {"127.0.0.1", 1};
  return e;
}

/** A chain of failing services; each level has the retry tokens of its own
 * daemon. */
struct FailingChain {
  std::vector<RetryTokens> Tokens =
      std::vector<RetryTokens>(Levels, RetryTokens(T0));
  std::uint64_t DeepestCalls = 0;

  void call(int level, std::uint32_t budget, TimePoint now) {
    if (level == Levels) {
      ++DeepestCalls;
      return;
    }
    CallPolicy policy({now + 1s, true, budget},
                      Tokens[static_cast<std::size_t>(level)]);
    auto decision = policy.next(event(CallEventKind::Started), now);
    while (std::holds_alternative<FindRoute>(decision)) {
      decision = policy.next(event(CallEventKind::Routed), now);
      if (const auto *send = std::get_if<SendTo>(&decision)) {
        call(level + 1, send->RetryBudget, now);
        decision = policy.next(event(CallEventKind::FailedMayHaveRun), now);
      }
    }
    CHECK(std::get<FinishCall>(decision).Result == Outcome::Unknown);
  }
};

std::uint64_t callsWithoutBudget(int level) {
  return level == Levels ? 1 : 4 * callsWithoutBudget(level + 1);
}

} // namespace

// Guards against retry amplification: when all levels of a call tree fail, the
// retries of each level must not multiply those of the levels above.
TEST_CASE("retries of 8 failing levels do not multiply", "[call]") {
  FailingChain chain;
  constexpr int calls = 1000;
  for (int n = 0; n < calls; ++n) {
    chain.call(0, DefaultRetryBudget, T0 + n * 5ms);
  }
  const double factor = static_cast<double>(chain.DeepestCalls) / calls;
  std::cout << "deepest calls per call: " << factor << " with the budget, "
            << callsWithoutBudget(0) << " with three unconditional retries\n";
  CHECK(factor < 1.2);
}

// Guards against running a non-repeatable request twice, against the result
// NotRun for a call that may have run, and against a call that never ends.
TEST_CASE("a call that may have run is not repeated", "[call]") {
  CHECK(rc::check([] {
    RetryTokens tokens(T0);
    const bool isRepeatable = *rc::gen::arbitrary<bool>();
    CallPolicy policy({T0 + 1s, isRepeatable, *rc::gen::inRange(0U, 9U)},
                      tokens);
    bool mayHaveRun = false;
    bool isSent = false;
    int sends = 0;
    TimePoint now = T0;
    auto decision = policy.next(event(CallEventKind::Started), now);
    for (int steps = 0; !std::holds_alternative<FinishCall>(decision);
         ++steps) {
      RC_ASSERT(steps < 20);
      now += Duration(*rc::gen::inRange(0, 400000));
      auto kind = CallEventKind::Routed;
      if (isSent) {
        kind = *rc::gen::element(
            CallEventKind::RefusedNotRun, CallEventKind::FailedNotSent,
            CallEventKind::FailedMayHaveRun, CallEventKind::AttemptTimedOut,
            CallEventKind::Cancelled);
        mayHaveRun = mayHaveRun || (kind != CallEventKind::RefusedNotRun &&
                                    kind != CallEventKind::FailedNotSent);
      }
      decision = policy.next(event(kind), now);
      isSent = std::holds_alternative<SendTo>(decision);
      if (isSent) {
        RC_ASSERT(isRepeatable || !mayHaveRun);
        RC_ASSERT(std::get<SendTo>(decision).AttemptDeadline <= T0 + 1s);
        RC_ASSERT(++sends <= 3);
      }
    }
    const auto &end = std::get<FinishCall>(decision);
    RC_ASSERT(end.Result == (mayHaveRun ? Outcome::Unknown : Outcome::NotRun));
    RC_ASSERT(end.RetryAfter > Duration::zero());
    RC_ASSERT(std::holds_alternative<AwaitEvent>(
        policy.next(event(CallEventKind::Answered), now)));
  }));
}

// Guards against a wrong status, and against a result that is delayed although
// no further attempt is possible.
TEST_CASE("a rejection without another attempt is final at once", "[call]") {
  RetryTokens tokens(T0);
  CallPolicy policy({T0 + 1s, false, 0}, tokens);
  policy.next(event(CallEventKind::Started), T0);
  policy.next(event(CallEventKind::Routed), T0);
  auto refusal = event(CallEventKind::RefusedNotRun);
  refusal.Code = ErrorCode::Overloaded;
  refusal.RetryAfter = 70ms;
  const auto end = std::get<FinishCall>(policy.next(refusal, T0));
  CHECK(end.Status == 429);
  CHECK(end.RetryAfter == 70ms);
  CallPolicy late({T0 + 1s, false, 2}, tokens);
  CHECK(
      std::get<FinishCall>(late.next(event(CallEventKind::Started), T0 + 999ms))
          .Status == 503);
}

// Guards against a failed retry that replaces the server's error answer, and
// against retrying a non-repeatable request after an error answer.
TEST_CASE("an error answer is repeated only on a repeatable route", "[call]") {
  RetryTokens tokens(T0);
  auto error = event(CallEventKind::Answered);
  error.Status = 502;
  for (const bool isRepeatable : {false, true}) {
    CallPolicy policy({T0 + 1s, isRepeatable, 2}, tokens);
    policy.next(event(CallEventKind::Started), T0);
    policy.next(event(CallEventKind::Routed), T0);
    auto decision = policy.next(error, T0);
    CHECK(std::holds_alternative<FindRoute>(decision) == isRepeatable);
    if (isRepeatable) {
      decision = policy.next(event(CallEventKind::NotRouted), T0);
    }
    const auto end = std::get<FinishCall>(decision);
    CHECK(end.Result == Outcome::Answered);
    CHECK(end.Status == 502);
  }
}

// Guards against more retries than a tenth of the answered calls allows.
TEST_CASE("retries stay under a tenth of the answered calls", "[call]") {
  RetryTokens tokens(T0);
  int taken = 0;
  for (int n = 0; n < 10000; ++n) {
    tokens.recordAnswer();
    taken += tokens.tryAcquire(T0) ? 1 : 0;
  }
  CHECK(taken <= 10000 / 10 + 10);
  CHECK(taken >= 10000 / 10 - 1);
  CHECK(tokens.tryAcquire(T0 + 20s));
}
