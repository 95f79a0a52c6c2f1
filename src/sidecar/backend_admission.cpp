// Admission of calls at the backend server's gate, and those that wait there.
#include "chivefold/sidecar/backend_service.h"

#include <utility>

namespace chivefold {

// Whether the daemon where the call began, or this one, checks keys.
bool BackendService::checksKeys(const CallMessage &call) const {
  const auto &table = Orders.routes();
  return !call.Customer.empty() || (table && table->keys() != nullptr);
}

// Whether a key that was valid for the daemon where the call began still is.
bool BackendService::isKeyHeld(const CallMessage &call,
                               const RouteTable &table) const {
  const auto *keys = table.keys();
  if (keys == nullptr) {
    return true;
  }
  if (call.KeyDigest != 0) {
    return keys->holds(call.Customer, static_cast<KeyDigest>(call.KeyDigest));
  }
  // That daemon did not know yet that keys are checked.
  return !Ports.Requests.hasKey(call.Headers);
}

// Whether the configuration routes the call to its service. A caller's daemon
// with the same or a later configuration has determined that.
bool BackendService::isRouted(const CallMessage &call) const {
  const auto &table = Orders.routes();
  if (!table || call.ConfigurationVersion == 0 ||
      table->configuration().Version <= call.ConfigurationVersion) {
    return true;
  }
  const auto *route =
      table->find(Ports.Requests.hostname(call.Headers), call.path());
  return route != nullptr && leadsTo(*route, call.Service) &&
         isKeyHeld(call, *table);
}

ErrorCode BackendService::reasonToRefuse(const CallMessage &call) const {
  if (call.Service != Server.Service ||
      (!call.Instance.empty() && call.Instance != Server.Instance) ||
      (call.ServerStart != 0 && call.ServerStart != Server.Start)) {
    return ErrorCode::NotFound;
  }
  if (!isRouted(call)) {
    return ErrorCode::RouteChanged;
  }
  if (!Gate.isOpen() || Versions.share(Server.Service, Server.Version) == 0) {
    return ErrorCode::NotReady;
  }
  return ErrorCode::Ok;
}

void BackendService::refuse(const CallReply &reply, ErrorCode code,
                            Duration retryAfter) {
  auto result = failedCall(Outcome::NotRun, code, 503, retryAfter);
  result.Gate = gate();
  reply(std::move(result));
}

BackendCallId BackendService::run(CallMessage call, CallReply reply,
                                  CallerWaiting callerWaiting) {
  const auto id = static_cast<BackendCallId>(++NextCall);
  const auto reason = reasonToRefuse(call);
  if (reason != ErrorCode::Ok) {
    constexpr Duration retryAfter = std::chrono::seconds(1);
    refuse(reply, reason, retryAfter);
    return id;
  }
  const auto digest = digestOf(call);
  if (const auto left = Poison.quarantined(digest)) {
    refuse(reply, ErrorCode::Quarantined, *left);
    return id;
  }
  if (!admitsBody(call)) {
    refuse(reply, ErrorCode::TooLarge, BodyRetryAfter);
    return id;
  }
  adoptLimit(call);
  CallsOfRunning += call.ForRunning ? 1 : 0;
  const auto offer = Gate.admit({id, call.rank(), call.Deadline, call.Route,
                                 call.InTimeUntil, call.ForRunning},
                                Loop.now());
  if (offer.Kind == AdmissionKind::Rejected) {
    refuse(reply, offer.Code, offer.RetryAfter);
    return id;
  }
  call.Instance = Server.Instance;
  call.ServerStart = Server.Start;
  auto &entry = Calls[id];
  entry.Message = std::move(call);
  entry.Reply = std::move(reply);
  entry.IsCallerWaiting = std::move(callerWaiting);
  entry.Digest = digest;
  if (offer.Kind == AdmissionKind::Run) {
    send(id);
  } else {
    armTimer();
  }
  if (offer.Displaced) {
    drop({*offer.Displaced}, ErrorCode::Overloaded, offer.RetryAfter);
  }
  return id;
}

// Refuses queued calls, none of which has been sent to the server.
void BackendService::drop(const std::vector<GateRequestId> &ids, ErrorCode code,
                          std::optional<Duration> retryAfter) {
  for (const auto id : ids) {
    const auto it = Calls.find(id);
    if (it != Calls.end()) {
      const auto reply = std::move(it->second.Reply);
      Calls.erase(it);
      refuse(reply, code, retryAfter.value_or(gate().LimitWait));
    }
  }
}

// Refuses the calls that were admitted for a server, version or route that is
// no longer in use. Those already sent continue.
void BackendService::refuseUnservable() {
  std::vector<BackendCallId> ids;
  for (const auto &it : Calls) {
    if (reasonToRefuse(it.second.Message) != ErrorCode::Ok) {
      ids.push_back(it.first);
    }
  }
  for (const auto id : ids) {
    refuseUnsent(id);
  }
}

// Refuses a call that can no longer be served unless it was sent already.
void BackendService::refuseUnsent(BackendCallId id) {
  // The reply to another call may have changed the state of this one.
  const auto it = Calls.find(id);
  const auto code =
      it == Calls.end() ? ErrorCode::Ok : reasonToRefuse(it->second.Message);
  if (code == ErrorCode::Ok) {
    return;
  }
  const auto &call = it->second;
  if (!Gate.cancel(id)) {
    if (call.Http != HttpCallId::None && !Client.cancelUnsent(call.Http)) {
      return;
    }
    Parents.ended(id);
    Gate.finished(id, std::nullopt);
  }
  ++Revoked;
  Lines.info("refused a waiting call that can no longer be served",
             {{"request", call.Message.RequestId},
              {"error", errorName(code)},
              {"service", call.Message.Service},
              {"instance", call.Message.Instance},
              {"current_service", Server.Service},
              {"current_instance", Server.Instance},
              {"version", call.Message.ConfigurationVersion}});
  const auto reply = std::move(it->second.Reply);
  Calls.erase(it);
  refuse(reply, code, gate().LimitWait);
}

// Starts the queued calls for which there is room. A call whose caller has left
// makes room for the next one: a nested call leaves that to the outer one, so
// that the depth of the stack does not grow with the queue.
void BackendService::runWaiting() {
  HasNewRoom = true;
  if (IsStarting) {
    return;
  }
  IsStarting = true;
  while (std::exchange(HasNewRoom, false)) {
    const auto now = Loop.now();
    drop(Gate.expire(now), ErrorCode::DeadlineExceeded);
    for (const auto id : Gate.start(now)) {
      startAdmitted(id);
    }
  }
  IsStarting = false;
  armTimer();
}

// Sends a call that has left the queue, unless its caller has left or it can no
// longer be served.
void BackendService::startAdmitted(BackendCallId id) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  // May run other handlers, which may end the call.
  const auto isCallerWaiting = it->second.IsCallerWaiting;
  if (isCallerWaiting && !isCallerWaiting()) {
    cancel(id);
  }
  refuseUnsent(id);
  if (Calls.count(id) > 0) {
    send(id);
  }
}

void BackendService::armTimer() {
  const auto next = Gate.nextWakeUp(Loop.now());
  if (!next) {
    return;
  }
  if (Timer != TimerId::None) {
    if (TimerAt <= *next) {
      return;
    }
    Loop.cancel(Timer);
  }
  TimerAt = *next;
  Timer = Loop.schedule(*next, [this] {
    Timer = TimerId::None;
    runWaiting();
  });
}

} // namespace chivefold
