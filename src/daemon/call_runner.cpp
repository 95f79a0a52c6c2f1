#include "chivefold/daemon/call_runner.h"

#include "chivefold/daemon/wire_convert.h"

namespace chivefold {

struct CallRunner::Call {
  Call(CallMessage message, RetryTokens &tokens)
      : Message(std::move(message)),
        Policy(CallParameters{Message.Deadline, Message.Repeatable,
                              Message.RetryBudget},
               tokens),
        Digest(digestOf(Message)) {}

  CallId Id = CallId::None;
  CallMessage Message;
  CallPolicy Policy;
  RequestDigest Digest;
  AttemptHooks Hooks;
  CallReply Reply;
  /** The attempt in progress. */
  std::uint32_t Attempt = 0;
  Address Server;
  TimePoint SentAt{};
  PeerRequestId Remote = PeerRequestId::None;
  GateRequestId Local = GateRequestId::None;
  /** Result of the newest attempt, given to the caller if it was answered. */
  CallResult Last;
};

namespace {

constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(200);

/** Translates the end of an attempt for the policy. */
CallEvent eventOf(const CallResult &result) {
  CallEvent event;
  event.Status = result.Status;
  event.Code = result.Code;
  event.RetryAfter = result.RetryAfter;
  if (result.Result == Outcome::Answered) {
    event.Kind = CallEventKind::Answered;
  } else if (result.Result == Outcome::NotRun) {
    event.Kind = result.Code == ErrorCode::ConnectionFailed
                     ? CallEventKind::FailedNotSent
                     : CallEventKind::RefusedNotRun;
  } else {
    event.Kind = result.Code == ErrorCode::DeadlineExceeded
                     ? CallEventKind::AttemptTimedOut
                     : CallEventKind::FailedMayHaveRun;
  }
  return event;
}

} // namespace

CallRunner::CallRunner(Reactor &reactor, PeerNetwork &network, Router &router,
                       RetryTokens &tokens, GateService &gate,
                       PoisonService &poison, Address self)
    : Loop(reactor), Network(network), Routes(router), Tokens(tokens),
      LocalGate(gate), Poison(poison), Self(std::move(self)) {}

CallRunner::~CallRunner() = default;

CallId CallRunner::run(CallMessage call, AttemptHooks hooks, CallReply reply) {
  if (Calls.size() >= MaxCalls) {
    reply(failedCall(Outcome::NotRun, ErrorCode::Overloaded, 503,
                     DefaultRetryAfter));
    return CallId::None;
  }
  auto state = std::make_shared<Call>(std::move(call), Tokens);
  state->Id = CallId{NextId++};
  state->Hooks = std::move(hooks);
  state->Reply = std::move(reply);
  Calls.emplace(state->Id, state);
  step(state, CallEvent{});
  return state->Id;
}

void CallRunner::step(const std::shared_ptr<Call> &call,
                      const CallEvent &event) {
  decide(call, call->Policy.next(event, Loop.now()));
}

void CallRunner::decide(const std::shared_ptr<Call> &call,
                        CallDecision decision) {
  if (std::holds_alternative<FindRoute>(decision)) {
    route(call);
  } else if (const auto *to = std::get_if<SendTo>(&decision)) {
    send(call, *to);
  } else if (const auto *end = std::get_if<FinishCall>(&decision)) {
    finish(call, *end);
  }
}

void CallRunner::route(const std::shared_ptr<Call> &call) {
  if (const auto left = Poison.quarantined(call->Digest)) {
    refusePoison(call, *left);
    return;
  }
  const auto choice =
      Routes.chooseForSuspect(call->Message.Service, call->Policy.tried(),
                              Poison.crashedServers(call->Digest), Loop.now());
  CallEvent event;
  event.Kind = choice.Found ? CallEventKind::Routed : CallEventKind::NotRouted;
  event.Server = choice.Peer;
  event.RetryAfter = choice.RetryAfter;
  step(call, event);
}

void CallRunner::refusePoison(const std::shared_ptr<Call> &call,
                              Duration left) {
  const bool mayHaveRun = call->Policy.mayHaveRun();
  finish(call, {mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                static_cast<std::uint16_t>(mayHaveRun ? 504 : 503), left,
                ErrorCode::Quarantined});
}

void CallRunner::learnPoison(const Call &call, const CallResult &result) {
  if (result.Result == Outcome::Unknown &&
      result.Code == ErrorCode::ConnectionFailed && result.Gate.Limit != 0) {
    // The gate says that its backend server died. It spreads the death too, but
    // that may arrive after the next attempt; both name the same server, so the
    // death counts once.
    Poison.serverDied(call.Server, call.Digest);
  } else if (result.Result == Outcome::Answered &&
             result.Status < MinServerErrorStatus) {
    Poison.succeeded(call.Digest);
  }
}

void CallRunner::send(const std::shared_ptr<Call> &call, const SendTo &send) {
  if (call->Hooks.Starting && !call->Hooks.Starting()) {
    finish(call, {Outcome::Unknown, 504, DefaultRetryAfter,
                  ErrorCode::OutcomeUnknown});
    return;
  }
  const auto now = Loop.now();
  call->Attempt = send.Attempt;
  call->Server = send.Server;
  call->SentAt = now;
  Routes.started(send.Server, now);
  auto message = call->Message;
  message.Deadline = send.AttemptDeadline;
  message.RetryBudget = send.RetryBudget;
  if (send.Server != Self) {
    sendToPeer(call, message);
    return;
  }
  call->Local =
      LocalGate.run(std::move(message),
                    [this, call, attempt = send.Attempt](CallResult result) {
                      attemptEnded(call, attempt, std::move(result));
                    });
}

void CallRunner::sendToPeer(const std::shared_ptr<Call> &call,
                            const CallMessage &message) {
  const auto attempt = call->Attempt;
  const auto deadline = message.Deadline;
  call->Remote = Network.request(
      call->Server, frameBody(toWire(message, Loop.now())), deadline,
      [this, call, attempt](PeerOutcome outcome) {
        auto result = callAnswer(outcome, Loop.now());
        if (!result) {
          const auto code = outcome.Failure.Code == ErrorCode::Ok
                                ? ErrorCode::InvalidRecord
                                : outcome.Failure.Code;
          result = failedCall(
              outcome.MayHaveArrived ? Outcome::Unknown : Outcome::NotRun, code,
              outcome.MayHaveArrived ? 504 : 503, DefaultRetryAfter);
        }
        attemptEnded(call, attempt, std::move(*result));
      });
}

void CallRunner::attemptEnded(const std::shared_ptr<Call> &call,
                              std::uint32_t attempt, CallResult result) {
  if (attempt != call->Attempt || Calls.count(call->Id) == 0) {
    return;
  }
  call->Remote = PeerRequestId::None;
  call->Local = GateRequestId::None;
  feedBack(*call, result);
  learnPoison(*call, result);
  if (result.Result == Outcome::NotRun && call->Hooks.NotRun) {
    call->Hooks.NotRun();
  }
  if (result.Code == ErrorCode::Quarantined) {
    const auto left = result.RetryAfter;
    call->Policy.next(eventOf(result), Loop.now());
    refusePoison(call, left);
    return;
  }
  const auto event = eventOf(result);
  call->Last = std::move(result);
  step(call, event);
}

void CallRunner::feedBack(const Call &call, const CallResult &result) {
  const auto now = Loop.now();
  const auto latency = now - call.SentAt;
  if (result.Code == ErrorCode::Quarantined) {
    // Says nothing about the server.
    Routes.cancelled(call.Server);
  } else if (result.Result == Outcome::Answered &&
             result.Status < MinServerErrorStatus) {
    Routes.answered(call.Server, latency, result.Gate, now);
  } else if (result.Result == Outcome::NotRun &&
             result.Code != ErrorCode::ConnectionFailed) {
    Routes.refused(call.Server, result.Gate, result.RetryAfter, now);
  } else {
    Routes.failed(call.Server, latency, now);
  }
}

void CallRunner::finish(const std::shared_ptr<Call> &call,
                        const FinishCall &decision) {
  Calls.erase(call->Id);
  if (decision.Result == Outcome::Answered &&
      call->Last.Result == Outcome::Answered) {
    call->Reply(std::move(call->Last));
    return;
  }
  auto result = failedCall(decision.Result, decision.Code, decision.Status,
                           decision.RetryAfter);
  result.Gate = call->Last.Gate;
  call->Reply(std::move(result));
}

void CallRunner::abortAttempt(Call &call) {
  if (call.Remote != PeerRequestId::None) {
    Network.cancel(call.Remote);
    Routes.cancelled(call.Server);
  } else if (call.Local != GateRequestId::None) {
    LocalGate.cancel(call.Local);
    Routes.cancelled(call.Server);
  }
}

void CallRunner::cancel(CallId id) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  const auto call = it->second;
  Calls.erase(it);
  abortAttempt(*call);
}

} // namespace chivefold
