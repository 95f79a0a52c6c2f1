#include "chivefold/core/call_policy.h"

#include <algorithm>

namespace chivefold {
namespace {

constexpr std::uint16_t StatusTooManyRequests = 429;
constexpr std::uint16_t StatusServiceUnavailable = 503;
constexpr std::uint16_t StatusGatewayTimeout = 504;

} // namespace

RetryTokens::RetryTokens(TimePoint now)
    : Tokens(TokensPerSecond, MaxTokens, now) {}

void RetryTokens::recordAnswer() { Tokens.add(TokensPerAnswer); }

bool RetryTokens::tryAcquire(TimePoint now) { return Tokens.tryAcquire(now); }

CallPolicy::CallPolicy(const CallParameters &parameters, RetryTokens &tokens)
    : Parameters(parameters), Tokens(tokens) {
  Parameters.RetryBudget = std::min(Parameters.RetryBudget, MaxRetryBudget);
}

CallDecision CallPolicy::next(const CallEvent &event, TimePoint now) {
  if (Finished) {
    return AwaitEvent{};
  }
  switch (event.Kind) {
  case CallEventKind::Started:
    if (now + MinAttemptTime > Parameters.Deadline) {
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
    AttemptInFlight = false;
    return retry(event, now);
  case CallEventKind::FailedMayHaveRun:
  case CallEventKind::AttemptTimedOut:
    AttemptInFlight = false;
    MayHaveRun = true;
    return Parameters.Repeatable ? retry(event, now) : fail(event);
  case CallEventKind::Answered:
    AttemptInFlight = false;
    if (event.Status < MinServerErrorStatus) {
      Tokens.recordAnswer();
      return finish({Outcome::Answered, event.Status, {}, ErrorCode::Ok});
    }
    ErrorStatus = event.Status;
    return Parameters.Repeatable ? retry(event, now) : fail(event);
  case CallEventKind::Cancelled:
    MayHaveRun = MayHaveRun || AttemptInFlight;
    return fail(event);
  }
  return AwaitEvent{};
}

CallDecision CallPolicy::send(const Address &server, TimePoint now) {
  const auto timeLeft = Parameters.Deadline - now;
  if (timeLeft < MinAttemptTime) {
    return fail(
        {CallEventKind::Routed, {}, {}, 0, ErrorCode::DeadlineExceeded});
  }
  ++Attempts;
  AttemptInFlight = true;
  TriedServers.push_back(server);
  // Keeps half of the remaining time for a retry if one is possible.
  const bool mayRetry = Parameters.Repeatable && Parameters.RetryBudget > 0 &&
                        Attempts < MaxAttempts &&
                        timeLeft >= 4 * MinAttemptTime;
  return SendTo{server, now + (mayRetry ? timeLeft / 2 : timeLeft),
                Parameters.RetryBudget, Attempts};
}

CallDecision CallPolicy::retry(const CallEvent &event, TimePoint now) {
  if (Attempts >= MaxAttempts || Parameters.RetryBudget == 0 ||
      now + MinAttemptTime > Parameters.Deadline || !Tokens.tryAcquire(now)) {
    return fail(event);
  }
  --Parameters.RetryBudget;
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
    result.Status = StatusGatewayTimeout;
    result.Code = ErrorCode::OutcomeUnknown;
    return finish(result);
  }
  result.Result = Outcome::NotRun;
  result.Status = event.Code == ErrorCode::Overloaded
                      ? StatusTooManyRequests
                      : StatusServiceUnavailable;
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

const std::vector<Address> &CallPolicy::tried() const { return TriedServers; }

bool CallPolicy::mayHaveRun() const { return MayHaveRun || AttemptInFlight; }

} // namespace chivefold
