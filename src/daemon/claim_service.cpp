#include "chivefold/daemon/claim_service.h"

#include "chivefold/daemon/wire_convert.h"

namespace chivefold {
namespace {

constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(500);

CallResult unknownCall(ErrorCode code) {
  return failedCall(Outcome::Unknown, code, 504, DefaultRetryAfter);
}

HttpHeaders toHttp(const std::vector<ResponseHeader> &headers) {
  HttpHeaders to;
  for (const auto &it : headers) {
    to.push_back({it.Name, it.Value});
  }
  return to;
}

std::vector<ResponseHeader> fromHttp(const HttpHeaders &headers) {
  std::vector<ResponseHeader> to;
  for (const auto &it : headers) {
    to.push_back({it.Name, it.Value});
  }
  return to;
}

CallResult toResult(const StoredResponse &stored) {
  CallResult result;
  result.Result = Outcome::Answered;
  result.Status = stored.Status;
  result.Headers = toHttp(stored.Headers);
  result.Body = stored.Body;
  return result;
}

/** Identifies the request that a key stands for. */
std::uint64_t contentOf(const CallMessage &call) {
  return hash64(call.Body, hash64(call.Target, hash64(call.Method)));
}

} // namespace

ClaimService::ClaimService(Reactor &reactor, PeerNetwork &network,
                           ControlService &control, const ControlState &state,
                           CallRunner &runner, DaemonId self)
    : Loop(reactor), Network(network), Control(control), Runner(runner),
      Self(std::move(self)), Claims(state, Self) {}

ClaimService::~ClaimService() {
  for (auto &it : Waiters) {
    Loop.cancel(it.second.Timer);
  }
}

void ClaimService::request(CallMessage call, CallReply reply) {
  const auto key = hashKey(call.Service, call.Key);
  const auto id = WaiterId{NextWaiter++};
  const auto digest = contentOf(call);
  const auto deadline = call.Deadline;
  const bool toHolder = call.ToClaimHolder;
  auto &waiter = Waiters[id];
  waiter.Key = key;
  waiter.Call = std::move(call);
  waiter.Reply = std::move(reply);
  waiter.Timer = Loop.schedule(deadline, [this, id] { timedOut(id); });
  act(Claims.request(key, digest, toHolder, id));
  appendClaims();
}

void ClaimService::appendClaims() {
  auto keys = Claims.nextAppend();
  if (keys.empty()) {
    return;
  }
  ClaimRecord record{Self, keys};
  Control.append(std::move(record), ClaimTimeout,
                 [this, keys](const Result<LogOffset> &offset, bool maybe) {
                   claimsAppended(keys, offset, maybe);
                 });
}

void ClaimService::claimsAppended(const std::vector<KeyHash> &keys,
                                  const Result<LogOffset> &offset,
                                  bool mayHaveTakenEffect) {
  if (offset) {
    Claims.appendAccepted();
    Control.catchUp(*offset);
    recordsApplied();
  } else {
    act(Claims.appendFailed(keys, mayHaveTakenEffect));
  }
  appendClaims();
}

void ClaimService::recordsApplied() { act(Claims.recordsApplied()); }

void ClaimService::act(const std::vector<ClaimEffect> &effects) {
  for (const auto &it : effects) {
    act(it);
  }
}

void ClaimService::act(const ClaimEffect &effect) {
  switch (effect.Action) {
  case ClaimAction::Wait:
    return;
  case ClaimAction::Run:
    return run(effect.Waiter);
  case ClaimAction::Answer:
    return reply(effect.Waiter, toResult(*effect.Response));
  case ClaimAction::Forward:
    return forward(effect.Waiter);
  case ClaimAction::NotRun:
    return reply(effect.Waiter,
                 failedCall(Outcome::NotRun, ErrorCode::Overloaded, 503,
                            DefaultRetryAfter));
  case ClaimAction::Unknown:
    return reply(effect.Waiter, unknownCall(ErrorCode::OutcomeUnknown));
  case ClaimAction::Conflict:
    return reply(effect.Waiter, failedCall(Outcome::NotRun, ErrorCode::Conflict,
                                           422, Duration{}));
  }
}

void ClaimService::run(WaiterId id) {
  const auto it = Waiters.find(id);
  if (it == Waiters.end()) {
    return;
  }
  const auto key = it->second.Key;
  auto call = it->second.Call;
  call.ToClaimHolder = false;
  AttemptHooks hooks;
  hooks.Starting = [this, key] { return Claims.table().attemptStarted(key); };
  hooks.NotRun = [this, key] { Claims.table().attemptNotRun(key); };
  Runner.run(std::move(call), std::move(hooks), [this, key](CallResult result) {
    runEnded(key, std::move(result));
  });
}

void ClaimService::runEnded(const KeyHash &key, CallResult result) {
  if (result.Result == Outcome::Answered) {
    act(Claims.table().answered(key, {result.Status, fromHttp(result.Headers),
                                      std::move(result.Body)}));
    return;
  }
  act(Claims.table().endedWithoutResponse(key, result.Result));
}

void ClaimService::forward(WaiterId id) {
  const auto it = Waiters.find(id);
  if (it == Waiters.end()) {
    return;
  }
  const auto holder = Claims.forwardTo(it->second.Key);
  if (!holder) {
    reply(id, unknownCall(ErrorCode::OutcomeUnknown));
    return;
  }
  auto call = it->second.Call;
  call.ToClaimHolder = true;
  const auto deadline = call.Deadline;
  Network.request(*holder, frameBody(toWire(call, Loop.now())), deadline,
                  [this, id](PeerOutcome outcome) {
                    auto result = callAnswer(outcome, Loop.now());
                    reply(id, result ? std::move(*result)
                                     : unknownCall(outcome.Failure.Code));
                  });
}

void ClaimService::reply(WaiterId id, CallResult result) {
  const auto it = Waiters.find(id);
  if (it == Waiters.end()) {
    return;
  }
  Loop.cancel(it->second.Timer);
  const auto done = std::move(it->second.Reply);
  Waiters.erase(it);
  done(std::move(result));
}

void ClaimService::timedOut(WaiterId id) {
  const auto it = Waiters.find(id);
  if (it == Waiters.end()) {
    return;
  }
  Claims.table().removeWaiter(it->second.Key, id);
  reply(id, unknownCall(ErrorCode::DeadlineExceeded));
}

} // namespace chivefold
