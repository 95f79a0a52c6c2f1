#include "chivefold/sidecar/backend_service.h"

#include "chivefold/core/call_policy.h"

#include <algorithm>
#include <utility>

namespace chivefold {

namespace {

/** Time after the deadline during which the server's answer is still accepted.
 */
constexpr Duration AnswerGrace = std::chrono::milliseconds(20);

} // namespace

BackendService::BackendService(Reactor &reactor, HttpClient &client,
                               const BackendDependencies &parts,
                               BackendLocation place,
                               std::function<void()> changed)
    : Loop(reactor), Client(client), Ports(parts.Ports), Orders(parts.Orders),
      Versions(parts.Versions), Poison(parts.Poison), Departed(parts.Departed),
      Upstream(std::move(place.Server)), Host(std::move(place.Host)),
      DataCentre(std::move(place.DataCentre)), Changed(std::move(changed)),
      SentAt(reactor.now()), Probe(reactor) {}

bool BackendService::mayBeRunning() const {
  const auto now = Loop.now();
  return now < SentAt + MaxRunAfterSend || Gate.state(now).InFlight > 0;
}

void BackendService::startLeaving() {
  Leaving = true;
  updateGate();
}

void BackendService::ordersChanged() {
  if (Unconfigured && isConfigured(*Unconfigured)) {
    const auto waiting = *std::exchange(Unconfigured, std::nullopt);
    // A server that has reported since is not replaced by an older report.
    if (Server.Instance.empty() && !report(waiting)) {
      Lines.info("a report before its configuration no longer applies",
                 {{"instance", waiting.State.Instance}});
    }
  }
  updateGate();
}

void BackendService::updateGate() {
  // The configuration states the request rate allowed for a cold server.
  const auto *service =
      Orders.routes() ? Orders.routes()->service(Server.Service) : nullptr;
  const bool takesWork = Server.Phase == ServerPhase::Ready && !Unresponsive &&
                         !Leaving && service != nullptr &&
                         !Orders.isEvacuated(DataCentre);
  if (!takesWork) {
    drop(Gate.close(), ErrorCode::NotReady);
    refuseUnservable();
    return;
  }
  Gate.setCold(service->ColdRate, ColdUntil);
  Gate.open(Server.Slots, service->MaxConnections);
  // One connection per running call, and a few that are being closed.
  Client.setMaxConnections(Server.Slots + std::max(Server.Slots / 4, 2U));
  refuseUnservable();
  runWaiting();
}

void BackendService::send(BackendCallId id) {
  auto &call = Calls.at(id);
  const auto now = Loop.now();
  call.StartedAt = now;
  call.WasCold = Gate.state(now).Cold;
  call.ServerStart = Statements.limit().ServerStart;
  Sent.record(now);
  SentAt = now;
  Parents.started(id, {call.Message.Route, call.Message.rank(),
                       call.Message.Deadline, call.Message.InTimeUntil, now});
  if (Observer) {
    Observer(call.Message.Customer, now, 1);
  }
  HttpCall http;
  http.Method = call.Message.Method;
  http.Url = "http://" + toString(Upstream) + call.Message.Target;
  http.Headers = Ports.Requests.forServer(
      call.Message.Headers, {call.Message.Deadline - now, call.Message.Instance,
                             call.Message.CallerService,
                             checksKeys(call.Message), call.Message.Customer});
  http.Body = std::move(call.Message.Body);
  http.Rest = call.Message.Rest;
  http.Deadline = call.Message.Deadline + AnswerGrace;
  http.AcceptUnframed = true;
  if (!call.Message.Repeatable) {
    http.ReuseUsedSince = now - MaxReuseIdleTime;
  }
  // An answer without a request ID is accepted only as the first one on its
  // connection; otherwise it may be a late answer to an earlier request. A
  // request without an ID cannot be told from others, so it is the first.
  http.FreshConnection = call.Message.RequestId.empty();
  http.Accepts = [this, wanted = call.Message.RequestId](const auto &r,
                                                         bool isFirst) {
    const auto got = Ports.Requests.readServer(r).RequestId;
    return got.empty() ? isFirst : got == wanted;
  };
  if (call.Message.Rest) {
    watchBodies();
  }
  call.Http = Client.start(std::move(http), [this, id](HttpOutcome outcome) {
    onOutcome(id, std::move(outcome));
  });
}

CallResult BackendService::resultOf(const Call &call, HttpOutcome &outcome) {
  if (!outcome.Response) {
    const auto code = outcome.Response.reason().Code;
    Lines.info("backend call failed without an answer",
               {{"request", call.Message.RequestId},
                {"instance", Server.Instance},
                {"reason", outcome.Response.reason().Message},
                {"may_have_run", outcome.MayHaveRun ? "yes" : "no"}});
    return outcome.MayHaveRun ? failedCall(Outcome::Unknown, code, 502, {})
                              : failedCall(Outcome::NotRun, code, 503, {});
  }
  auto &response = *outcome.Response;
  const auto facts = Ports.Requests.readServer(response);
  if (facts.NotRun) {
    return failedCall(Outcome::NotRun, ErrorCode::Declined,
                      static_cast<std::uint16_t>(response.Status), {});
  }
  if (isSuccess(response.Status) && !facts.Authentic) {
    return failedCall(Outcome::Unknown, ErrorCode::ConnectionFailed, 502, {});
  }
  CallResult result;
  result.Result = Outcome::Answered;
  result.Status = static_cast<std::uint16_t>(response.Status);
  result.Headers = std::move(response.Headers);
  result.Body = std::move(response.Body);
  return result;
}

// Whether the server answered with an error because a call of its own was
// refused, from which the routes behind its calls are learned.
bool BackendService::isCausedByRefusal(const std::string &route,
                                       const CallResult &result) {
  if (result.Result != Outcome::Answered ||
      result.Status < MinServerErrorStatus) {
    return false;
  }
  const auto refused = Refused.matchError(Loop.now());
  if (refused) {
    Parents.recordError(*refused, route);
  }
  return refused.has_value();
}

void BackendService::onOutcome(BackendCallId id, HttpOutcome outcome) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  const bool isBodyOpen = it->second.Message.isBodyOpen();
  const auto latency = Loop.now() - it->second.workBegan();
  const bool refusedConnection =
      !outcome.Response && !outcome.MayHaveRun &&
      outcome.Response.reason().Code == ErrorCode::ConnectionFailed;
  // An answer with an invalid status has no known outcome, but its server is
  // alive. One that waits for the rest of a body need not answer.
  const bool silent =
      !outcome.Response && outcome.MayHaveRun && !isBodyOpen &&
      outcome.Response.reason().Code != ErrorCode::OutcomeUnknown;
  if (outcome.Response) {
    applyStatement(it->second, *outcome.Response);
  }
  auto result = resultOf(it->second, outcome);
  result.CallRefused = isCausedByRefusal(it->second.Message.Route, result);
  if (Observer && result.Result == Outcome::NotRun) {
    Observer(it->second.Message.Customer, it->second.StartedAt, -1);
  }
  if (!isBodyOpen) {
    count(it->second, result, latency);
  }
  recordInterruption(it->second, result);
  const bool answered = result.Result == Outcome::Answered;
  const auto request = it->second.Message.RequestId;
  finish(id, std::move(result),
         answered && !isBodyOpen ? std::optional<Duration>(latency)
                                 : std::nullopt);
  stopIfLeaving(request);
  if (refusedConnection) {
    reportCrash();
    markUnresponsive();
  } else if (!silent) {
    UnansweredCalls = 0;
    AnsweredAt = Loop.now();
  } else if (++UnansweredCalls >= MaxUnansweredCalls &&
             Loop.now() >= AnsweredAt + RecentAnswerWindow) {
    markUnresponsive();
  }
}

// A broken connection alone does not prove a crash: a live server can lose
// single answers. Interrupted requests are reported once the server is found to
// be down.
void BackendService::recordInterruption(const Call &call,
                                        const CallResult &result) {
  const auto now = Loop.now();
  if (result.Result == Outcome::Answered) {
    if (result.Status < MinServerErrorStatus) {
      Poison.succeeded(call.Digest);
    }
    if (now >= InterruptedAt + CrashGrace) {
      Interrupted.clear();
    }
  } else if (result.Result == Outcome::Unknown &&
             result.Code == ErrorCode::ConnectionFailed &&
             Interrupted.size() < MaxInterrupted) {
    Interrupted.push_back(call.Digest);
    InterruptedAt = now;
    probeServer();
  }
}

// Finds out at once whether the server is down: this daemon may be the next
// process that ends.
void BackendService::probeServer() {
  Probe.start(Upstream, [this](ProbeResult result) {
    if (result == ProbeResult::Refused) {
      reportCrash();
      markUnresponsive();
    }
  });
}

void BackendService::reportCrash() {
  for (const auto it : Interrupted) {
    Poison.serverDied(Host, it);
  }
  Interrupted.clear();
}

// Considers the server unresponsive until its next report.
void BackendService::markUnresponsive() {
  if (Unresponsive || Server.Phase != ServerPhase::Ready) {
    return;
  }
  Unresponsive = true;
  Lines.warn("backend server unresponsive; no calls until its next report",
             {{"instance", Server.Instance},
              {"calls", std::uint64_t{UnansweredCalls}}});
  updateGate();
  Changed();
}

void BackendService::count(const Call &call, const CallResult &result,
                           Duration latency) {
  if (result.Result != Outcome::NotRun) {
    const bool failed = result.Result == Outcome::Unknown ||
                        result.Status >= MinServerErrorStatus;
    Counts.record({call.Message.Route, failed, call.WasCold, latency});
  }
}

void BackendService::finish(BackendCallId id, CallResult result,
                            std::optional<Duration> latency) {
  const auto it = Calls.find(id);
  const auto reply = std::move(it->second.Reply);
  const auto route = std::move(it->second.Message.Route);
  Calls.erase(it);
  Parents.ended(id);
  Gate.finished(id, latency);
  runWaiting();
  result.Gate = gate();
  result.Gate.ServiceTime = latency.value_or(Duration::zero());
  result.Gate.TypicalServiceTime = Gate.work().pace().typical(route);
  reply(std::move(result));
}

void BackendService::cancel(BackendCallId id) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  if (!Gate.cancel(id)) {
    Client.cancel(it->second.Http);
    Parents.ended(id);
    Gate.finished(id, std::nullopt);
  }
  Calls.erase(it);
  runWaiting();
}

} // namespace chivefold
