#include "chivefold/core/call_policy.h"

#include <algorithm>

namespace chivefold {
namespace {

constexpr std::uint16_t StatusTooMany = 429;
constexpr std::uint16_t StatusNotRun = 503;
constexpr std::uint16_t StatusUnknown = 504;

} // namespace

RetryTokens::RetryTokens(TimePoint now) : Tokens(PerSecond, Max, now) {}

void RetryTokens::earn() { Tokens.add(PerAnswer); }

bool RetryTokens::tryAcquire(TimePoint now) { return Tokens.tryAcquire(now); }

CallPolicy::CallPolicy(const CallTerms &terms, RetryTokens &tokens)
    : Terms(terms), Tokens(tokens) {
  Terms.RetryBudget = std::min(Terms.RetryBudget, MaxRetryBudget);
}

CallDecision CallPolicy::next(const CallEvent &event, TimePoint now) {
  if (Finished) {
    return AwaitEvent{};
  }
  switch (event.Kind) {
  case CallEventKind::Started:
    if (now + MinAttemptTime > Terms.Deadline) {
      return fail(
          {CallEventKind::Started, {}, {}, 0, ErrorCode::DeadlineExceeded});
    }
    return FindRoute{};
  case CallEventKind::Routed:
    return send(event.Server, now);
  case CallEventKind::NotRouted:
    return fail(event);
  case CallEventKind::RefusedNotRun:
  case CallEventKind::FailedNotSent:
    Sent = false;
    return retry(event, now);
  case CallEventKind::FailedMayHaveRun:
  case CallEventKind::AttemptTimedOut:
    Sent = false;
    MayHaveRun = true;
    return Terms.Repeatable ? retry(event, now) : fail(event);
  case CallEventKind::Answered:
    Sent = false;
    if (event.Status < FirstServerError) {
      Tokens.earn();
      return finish({Outcome::Answered, event.Status, {}, ErrorCode::Ok});
    }
    ErrorStatus = event.Status;
    return Terms.Repeatable ? retry(event, now) : fail(event);
  case CallEventKind::Cancelled:
    MayHaveRun = MayHaveRun || Sent;
    return fail(event);
  }
  return AwaitEvent{};
}

CallDecision CallPolicy::send(const Address &server, TimePoint now) {
  const auto left = Terms.Deadline - now;
  if (left < MinAttemptTime) {
    return fail(
        {CallEventKind::Routed, {}, {}, 0, ErrorCode::DeadlineExceeded});
  }
  ++Attempts;
  Sent = true;
  Tried.push_back(server);
  // Half of the time is kept for another attempt where one may follow.
  const bool mayRepeat = Terms.Repeatable && Terms.RetryBudget > 0 &&
                         Attempts < MaxAttempts && left >= 4 * MinAttemptTime;
  return SendTo{server, now + (mayRepeat ? left / 2 : left), Terms.RetryBudget,
                Attempts};
}

CallDecision CallPolicy::retry(const CallEvent &event, TimePoint now) {
  if (Attempts >= MaxAttempts || Terms.RetryBudget == 0 ||
      now + MinAttemptTime > Terms.Deadline || !Tokens.tryAcquire(now)) {
    return fail(event);
  }
  --Terms.RetryBudget;
  return FindRoute{};
}

FinishCall CallPolicy::fail(const CallEvent &event) {
  FinishCall result;
  if (ErrorStatus != 0) {
    result.Result = Outcome::Answered;
    result.Status = ErrorStatus;
    return finish(result);
  }
  result.RetryAfter = event.RetryAfter > Duration::zero() ? event.RetryAfter
                                                          : DefaultRetryAfter;
  result.Code = event.Code;
  if (MayHaveRun) {
    result.Result = Outcome::Unknown;
    result.Status = StatusUnknown;
    result.Code = ErrorCode::OutcomeUnknown;
    return finish(result);
  }
  result.Result = Outcome::NotRun;
  result.Status =
      event.Code == ErrorCode::Overloaded ? StatusTooMany : StatusNotRun;
  if (result.Code == ErrorCode::Ok) {
    result.Code = event.Kind == CallEventKind::NotRouted
                      ? ErrorCode::NotReady
                      : ErrorCode::ConnectionFailed;
  }
  return finish(result);
}

FinishCall CallPolicy::finish(FinishCall result) {
  Finished = true;
  return result;
}

const std::vector<Address> &CallPolicy::tried() const { return Tried; }

bool CallPolicy::mayHaveRun() const { return MayHaveRun || Sent; }

} // namespace chivefold
