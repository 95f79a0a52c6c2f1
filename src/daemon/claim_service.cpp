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
    : Loop(reactor), Network(network), Control(control), State(state),
      Runner(runner), Self(std::move(self)) {}

ClaimService::~ClaimService() {
  for (auto &it : Waiters) {
    Loop.cancel(it.second.Timer);
  }
}

ClaimHolder ClaimService::holderOf(const KeyHash &key) const {
  const auto claim = State.claim(key);
  if (!claim) {
    return ClaimHolder::None;
  }
  return claim->Holder == Self ? ClaimHolder::Self : ClaimHolder::Other;
}

void ClaimService::request(CallMessage call, CallReply reply) {
  const auto key = hashKey(call.Service, call.Key);
  const auto holder = holderOf(key);
  if (call.ToClaimHolder && holder == ClaimHolder::Other) {
    // The sender took this daemon for the holder, which it is not: an earlier
    // run of this daemon was, and its results are lost.
    reply(unknownCall(ErrorCode::OutcomeUnknown));
    return;
  }
  const auto id = WaiterId{NextWaiter++};
  const auto digest = contentOf(call);
  const auto deadline = call.Deadline;
  auto &waiter = Waiters[id];
  waiter.Key = key;
  waiter.Call = std::move(call);
  waiter.Reply = std::move(reply);
  waiter.Timer = Loop.schedule(deadline, [this, id] { timedOut(id); });
  act(Table.request(key, digest, holder, id));
  appendClaims();
}

void ClaimService::appendClaims() {
  auto keys = Table.nextAppend();
  if (keys.empty()) {
    return;
  }
  if (Unseen.size() + keys.size() > MaxUnseen) {
    // Only a long outage of the log gets here. Claims that are seen later than
    // this read as "outcome unknown".
    Unseen.clear();
  }
  Unseen.insert(keys.begin(), keys.end());
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
    Table.appended();
    Control.catchUp(*offset);
    recordsApplied();
  } else {
    if (!mayHaveTakenEffect) {
      for (const auto &it : keys) {
        Unseen.erase(it);
      }
    }
    act(Table.appendFailed(!mayHaveTakenEffect));
  }
  appendClaims();
}

void ClaimService::recordsApplied() {
  std::vector<KeyHash> seen;
  for (const auto &it : Unseen) {
    if (holderOf(it) != ClaimHolder::None) {
      seen.push_back(it);
    }
  }
  for (const auto &it : seen) {
    Unseen.erase(it);
    act(Table.claimSeen(it, holderOf(it)));
  }
}

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
  hooks.Starting = [this, key] { return Table.attemptStarted(key); };
  hooks.NotRun = [this, key] { Table.attemptNotRun(key); };
  Runner.run(std::move(call), std::move(hooks), [this, key](CallResult result) {
    runEnded(key, std::move(result));
  });
}

void ClaimService::runEnded(const KeyHash &key, CallResult result) {
  if (result.Result == Outcome::Answered) {
    act(Table.answered(key, {result.Status, fromHttp(result.Headers),
                             std::move(result.Body)}));
    return;
  }
  act(Table.ended(key, result.Result));
}

void ClaimService::forward(WaiterId id) {
  const auto it = Waiters.find(id);
  if (it == Waiters.end()) {
    return;
  }
  const auto claim = State.claim(it->second.Key);
  if (!claim || claim->Holder.Peer == Self.Peer) {
    reply(id, unknownCall(ErrorCode::OutcomeUnknown));
    return;
  }
  auto call = it->second.Call;
  call.ToClaimHolder = true;
  const auto deadline = call.Deadline;
  Network.request(claim->Holder.Peer, frameBody(toWire(call, Loop.now())),
                  deadline, [this, id](PeerOutcome outcome) {
                    auto *answer = outcome.Answer
                                       ? outcome.Answer->AsCallAnswer()
                                       : nullptr;
                    auto result =
                        answer != nullptr ? fromWire(*answer) : std::nullopt;
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
  Table.forget(it->second.Key, id);
  reply(id, unknownCall(ErrorCode::DeadlineExceeded));
}

} // namespace chivefold
