#include "chivefold/mesh/attempt_policy.h"

#include <array>

namespace chivefold {

namespace {

constexpr std::array<std::string_view, 6> EndNames{
    "answered", "declined", "refused-by-gate", "not-sent", "lost", "no-server"};

/** What to say when no attempt follows. */
NextStep finalStep(const AttemptFacts &facts) {
  switch (facts.End) {
  case AttemptEnd::Answered:
    return NextStep::Deliver;
  case AttemptEnd::Lost:
    return NextStep::ReportUnknown;
  default:
    // An earlier attempt of an idempotent request may have run.
    return facts.Runs > 0 ? NextStep::ReportUnknown : NextStep::RefuseNotRun;
  }
}

bool worthRepeating(const AttemptFacts &facts) {
  if (facts.End == AttemptEnd::Answered &&
      (facts.Status < MinServerErrorStatus || facts.CallRefused)) {
    return false;
  }
  const bool ran =
      facts.End == AttemptEnd::Answered || facts.End == AttemptEnd::Lost;
  if (ran && facts.Kind == RequestKind::AtMostOnce) {
    return false;
  }
  return facts.End != AttemptEnd::NoServer && facts.Runs < facts.MaxRuns &&
         facts.Attempts < AttemptPolicy::MaxAttempts &&
         facts.Expected < facts.TimeLeft;
}

bool reachedServer(AttemptEnd end) {
  return end == AttemptEnd::Answered || end == AttemptEnd::Lost ||
         end == AttemptEnd::DeclinedByServer;
}

} // namespace

std::string_view attemptEndName(AttemptEnd end) {
  return EndNames[static_cast<std::size_t>(end)];
}

NextStep AttemptPolicy::next(const AttemptFacts &facts, RetryTokens &tokens,
                             TimePoint now) {
  if (!worthRepeating(facts)) {
    return finalStep(facts);
  }
  if (reachedServer(facts.End) && !tokens.tryAcquire(now)) {
    return finalStep(facts);
  }
  return NextStep::TryAgain;
}

} // namespace chivefold
