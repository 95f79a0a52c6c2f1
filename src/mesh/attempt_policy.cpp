#include "chivefold/mesh/attempt_policy.h"

#include <array>

namespace chivefold {

namespace {

constexpr std::array<std::string_view, 6> AttemptEndNames{
    "answered", "declined", "refused-by-gate", "not-sent", "lost", "no-server"};

/** How a request is answered when it is not retried. */
NextStep finalStep(const AttemptFacts &facts) {
  switch (facts.End) {
  case AttemptEnd::Answered:
    return NextStep::Deliver;
  case AttemptEnd::Lost:
    return NextStep::ReportUnknown;
  default:
    // An idempotent request may have been run by an earlier attempt.
    return facts.PossibleRuns > 0 ? NextStep::ReportUnknown
                                  : NextStep::RefuseNotRun;
  }
}

bool mayRetry(const AttemptFacts &facts) {
  if (facts.End == AttemptEnd::Answered &&
      (facts.Status < MinServerErrorStatus || facts.CallRefused)) {
    return false;
  }
  const bool mayHaveRun =
      facts.End == AttemptEnd::Answered || facts.End == AttemptEnd::Lost;
  if (mayHaveRun && facts.Kind == RequestKind::AtMostOnce) {
    return false;
  }
  return facts.End != AttemptEnd::NoServer && facts.IsSendable &&
         facts.PossibleRuns < facts.MaxPossibleRuns &&
         facts.Attempts < AttemptPolicy::MaxAttempts &&
         facts.ExpectedLatency < facts.TimeLeft;
}

bool reachedServer(AttemptEnd end) {
  return end == AttemptEnd::Answered || end == AttemptEnd::Lost ||
         end == AttemptEnd::DeclinedByServer;
}

} // namespace

std::string_view attemptEndName(AttemptEnd end) {
  return AttemptEndNames[static_cast<std::size_t>(end)];
}

NextStep AttemptPolicy::next(const AttemptFacts &facts, RetryBudget &budget,
                             TimePoint now) {
  if (!mayRetry(facts)) {
    return finalStep(facts);
  }
  if (reachedServer(facts.End) &&
      !budget.tryAcquire(facts.Priority, facts.Hosts, now)) {
    return finalStep(facts);
  }
  return NextStep::Retry;
}

} // namespace chivefold
