#include "proxy_request.h"

#include "chivefold/daemon/wire_convert.h"
#include "chivefold/sidecar/refusal.h"

#include <algorithm>
#include <utility>

namespace chivefold {

ProxyService::ProxyService(Reactor &reactor, PeerNetwork &network,
                           const ProxyDependencies &parts, Address self,
                           std::string callerService)
    : Loop(reactor), Network(network), Parts(parts), Self(std::move(self)),
      CallerService(std::move(callerService)),
      Access(parts.Ports.Requests, parts.Feed, parts.Backend) {}

ProxyService::~ProxyService() {
  for (const auto &it : Open) {
    Loop.cancel(it.second->Timer);
    Loop.cancel(it.second->OrdersTimer);
  }
}

void ProxyService::setCallerService(std::string service) {
  CallerService = std::move(service);
}

RetryBudget &ProxyService::retryBudget(const std::string &service) {
  return Budgets.try_emplace(service, Parts.Retries, Loop.now()).first->second;
}

void ProxyService::attempt(const RequestPtr &request) {
  if (const int status = updateRoute(*request); status != 0) {
    return finishUnrouted(request, status);
  }
  if (!request->Call.isSendable()) {
    return finishUnserved(request, {});
  }
  // The route may permit fewer runs than it did at the last attempt.
  if (request->Runs > 0 && (request->Route->Kind == RequestKind::AtMostOnce ||
                            request->Runs >= request->Route->MaxAttempts)) {
    return reportUnknown(request);
  }
  const auto now = Loop.now();
  PlacementRequest wanted;
  wanted.Service = request->Call.Service;
  wanted.Route = request->Route->Name;
  wanted.Priority = request->Call.rank();
  wanted.TargetLatency = request->Route->TargetLatency;
  wanted.Tried = &request->Tried;
  wanted.InTimeUntil = request->Call.InTimeUntil;
  const auto choice = Parts.Servers.choose(wanted, now);
  if (!choice.Peer) {
    CallResult none = failedCall(Outcome::NotRun, ErrorCode::NotFound, 503,
                                 choice.RetryAfter);
    return decide(request, std::move(none), AttemptEnd::NoServer);
  }
  sendTo(request, choice);
}

void ProxyService::sendTo(const RequestPtr &request,
                          const PlacementChoice &choice) {
  if (++request->Attempts == 1) {
    retryBudget(request->Call.Service).recordRequest(Loop.now());
  }
  request->Peer = *choice.Peer;
  request->Tried.push_back(*choice.Peer);
  request->AttemptAt = Loop.now();
  request->InProgress = true;
  request->Call.Instance = choice.Instance;
  request->Call.ServerStart = choice.ServerStart;
  request->Call.KnownLimit = Parts.Servers.knownLimit(*choice.Peer);
  Parts.Servers.started(*choice.Peer);
  const std::weak_ptr<Request> weak = request;
  if (*choice.Peer == Self) {
    auto call = request->Call;
    const auto id =
        Parts.Backend.run(std::move(call), [this, weak](CallResult result) {
          const auto open = weak.lock();
          if (open) {
            onResult(open, std::move(result));
          }
        });
    request->LocalCall = Parts.Backend.isOpen(id) ? id : BackendCallId::None;
    return;
  }
  request->PeerCall = Network.request(
      *choice.Peer, frameBody(toWire(request->Call, Loop.now())),
      request->Deadline,
      [this, weak](PeerOutcome outcome) {
        const auto open = weak.lock();
        if (!open) {
          return;
        }
        auto answer = callAnswer(outcome, Loop.now());
        if (answer) {
          return onResult(open, std::move(*answer));
        }
        onPeerLost(*open, outcome);
        const auto end =
            outcome.MayHaveArrived ? Outcome::Unknown : Outcome::NotRun;
        onResult(open, failedCall(end, outcome.Failure.Code, 502, {}));
      },
      request->Call.Rest);
}

// The daemon beside the server ended or was cut off. Its server may have
// crashed by the request, and no one else may know.
void ProxyService::onPeerLost(const Request &request,
                              const PeerOutcome &outcome) {
  if (outcome.MayHaveArrived &&
      outcome.Failure.Code == ErrorCode::ConnectionFailed) {
    Lost.add({request.Peer, request.Call.ServerStart, digestOf(request.Call),
              Loop.now()});
  }
}

void ProxyService::fleetChanged() {
  const auto crashed = Lost.takeCrashed(
      [this](const Address &peer) { return Parts.Servers.serverStart(peer); },
      Loop.now());
  for (const auto &it : crashed) {
    Lines.info("a server has started again after a lost call",
               {{"host", toString(it.Peer)},
                {"digest", static_cast<std::uint64_t>(it.Digest)}});
    Parts.Poison.serverPresumedDead(it.Peer, it.Digest, it.At);
  }
}

AttemptEnd ProxyService::endOf(const CallResult &result) {
  switch (result.Result) {
  case Outcome::Answered:
    return AttemptEnd::Answered;
  case Outcome::Unknown:
    return AttemptEnd::Lost;
  case Outcome::NotRun:
    break;
  }
  if (result.Code == ErrorCode::Declined) {
    return AttemptEnd::DeclinedByServer;
  }
  return result.Code == ErrorCode::ConnectionFailed ? AttemptEnd::NotSent
                                                    : AttemptEnd::RefusedByGate;
}

void ProxyService::onResult(const RequestPtr &request, CallResult result) {
  if (request->Done || !request->InProgress) {
    return;
  }
  request->InProgress = false;
  request->PeerCall = PeerRequestId::None;
  request->LocalCall = BackendCallId::None;
  const auto end = endOf(result);
  updatePlacement(*request, result, end);
  if (end == AttemptEnd::RefusedByGate &&
      result.Code == ErrorCode::RouteChanged) {
    return onRouteChanged(request, result);
  }
  decide(request, std::move(result), end);
}

void ProxyService::updatePlacement(Request &request, const CallResult &result,
                                   AttemptEnd end) {
  const auto now = Loop.now();
  auto &servers = Parts.Servers;
  if (end == AttemptEnd::RefusedByGate || end == AttemptEnd::NotSent) {
    servers.notDelivered(request.Peer);
  }
  switch (end) {
  case AttemptEnd::Answered:
    retryBudget(request.Call.Service).recordAnswer();
    if (request.Call.isBodyOpen()) {
      // The server did not wait for the whole request.
      servers.cancelled(request.Peer);
      break;
    }
    servers.answered(
        request.Peer, request.Route->Name,
        request.Call.Rest ? result.Gate.ServiceTime : now - request.AttemptAt,
        request.Call.Body.size() + result.Body.size(),
        result.Status >= MinServerErrorStatus && !result.CallRefused,
        result.Gate, now);
    break;
  case AttemptEnd::RefusedByGate:
    // Neither tells how much other work the server can take.
    if (result.Code == ErrorCode::RouteChanged ||
        result.Code == ErrorCode::TooLarge) {
      servers.cancelled(request.Peer);
      break;
    }
    servers.refused(request.Peer, result.Gate, request.Call.rank(),
                    result.RetryAfter, now);
    break;
  case AttemptEnd::DeclinedByServer:
    servers.refused(request.Peer, result.Gate, request.Call.rank(),
                    DefaultRetryAfter, now);
    break;
  default:
    // With a part of a request open, the client may be the one that fails.
    if (request.Call.isBodyOpen()) {
      servers.cancelled(request.Peer);
      break;
    }
    servers.lost(request.Peer, now);
  }
  if (end == AttemptEnd::Answered || end == AttemptEnd::Lost) {
    ++request.Runs;
  }
}

void ProxyService::decide(const RequestPtr &request, CallResult result,
                          AttemptEnd end) {
  const auto now = Loop.now();
  AttemptFacts facts;
  facts.End = end;
  facts.Status = result.Status;
  facts.CallRefused = result.CallRefused;
  facts.Kind = request->Route->Kind;
  facts.Priority = request->Call.rank();
  facts.Hosts = Parts.Servers.fleetSize();
  facts.IsSendable = request->Call.isSendable();
  facts.PossibleRuns = request->Runs;
  facts.MaxPossibleRuns = request->Route->MaxAttempts;
  facts.Attempts = request->Attempts;
  facts.TimeLeft = request->Deadline - now;
  facts.ExpectedLatency = Parts.Servers.expectedLatency(request->Route->Name);
  const auto step =
      AttemptPolicy::next(facts, retryBudget(request->Call.Service), now);
  if (end != AttemptEnd::Answered || step != NextStep::Deliver) {
    Lines.info("attempt failed",
               {{"request", request->Call.RequestId},
                {"route", request->Route->Name},
                {"host", toString(request->Peer)},
                {"instance", request->Call.Instance},
                {"end", attemptEndName(end)},
                {"error", errorName(result.Code)},
                {"attempt", std::uint64_t{request->Attempts}},
                {"slots", std::uint64_t{result.Gate.Limit}},
                {"in_flight", std::uint64_t{result.Gate.InFlight}},
                {"queued", std::uint64_t{result.Gate.Queued}},
                {"limit", describe(result.Gate.StatedLimit, now)},
                {"expected_ms", toMs(facts.ExpectedLatency)},
                {"left_ms", toMs(facts.TimeLeft)},
                {"again", step == NextStep::Retry ? "yes" : "no"}});
  }
  if (end == AttemptEnd::RefusedByGate || end == AttemptEnd::NoServer) {
    request->RetryAfter =
        request->RetryAfter == Duration::zero()
            ? result.RetryAfter
            : std::min(request->RetryAfter, result.RetryAfter);
  }
  switch (step) {
  case NextStep::Retry:
    if (end == AttemptEnd::Answered) {
      request->ErrorAnswer = std::move(result);
    }
    return attempt(request);
  case NextStep::Deliver:
    return deliver(request, std::move(result));
  case NextStep::RefuseNotRun:
    return refuse(request, result);
  case NextStep::ReportUnknown:
    return reportUnknown(request);
  }
}

void ProxyService::deliver(const RequestPtr &request, CallResult result) {
  HttpResponse response;
  response.Status = result.Status;
  response.Headers = endToEndHeaders(result.Headers);
  response.Body = std::move(result.Body);
  finish(request, std::move(response), Outcome::Answered);
}

void ProxyService::refuse(const RequestPtr &request, const CallResult &result) {
  const auto after = request->RetryAfter > Duration::zero()
                         ? request->RetryAfter
                         : std::max(result.RetryAfter, DefaultRetryAfter);
  finish(request, refusal(503, after), Outcome::NotRun);
}

// Ends a request that cannot be sent any more.
void ProxyService::finishUnserved(const RequestPtr &request,
                                  const CallResult &result) {
  return request->Runs > 0 ? reportUnknown(request) : refuse(request, result);
}

void ProxyService::reportUnknown(const RequestPtr &request) {
  if (request->ErrorAnswer) {
    return deliver(request, std::move(*request->ErrorAnswer));
  }
  const int status = Loop.now() >= request->Deadline ? 504 : 502;
  finish(request, {status, {}, ""}, Outcome::Unknown);
}

void ProxyService::onDeadline(const RequestPtr &request) {
  if (request->Done) {
    return;
  }
  request->Timer = TimerId::None;
  const bool sent = request->InProgress || request->Runs > 0;
  Lines.info("request deadline exceeded",
             {{"request", request->Call.RequestId},
              {"route", request->Route->Name},
              {"host", toString(request->Peer)},
              {"attempt", std::uint64_t{request->Attempts}},
              {"held_ms", toMs(Loop.now() - request->ReceivedAt)}});
  if (request->InProgress && request->Call.isBodyOpen()) {
    Parts.Servers.cancelled(request->Peer);
  } else if (request->InProgress) {
    Parts.Servers.lost(request->Peer, Loop.now());
  }
  stopAttempt(*request);
  if (sent) {
    return reportUnknown(request);
  }
  refuse(request, {});
}

void ProxyService::stopAttempt(Request &request) {
  request.InProgress = false;
  if (request.PeerCall != PeerRequestId::None) {
    Network.cancel(request.PeerCall);
    request.PeerCall = PeerRequestId::None;
  }
  if (request.LocalCall != BackendCallId::None) {
    Parts.Backend.cancel(request.LocalCall);
    request.LocalCall = BackendCallId::None;
  }
}

void ProxyService::cancelTimers(Request &request) {
  AwaitingOrders.erase(&request);
  for (auto *it : {&request.Timer, &request.OrdersTimer}) {
    Loop.cancel(*it);
    *it = TimerId::None;
  }
}

void ProxyService::abandon(const RequestPtr &request) {
  if (request->Done) {
    return;
  }
  request->Done = true;
  if (request->InProgress) {
    Parts.Servers.cancelled(request->Peer);
  }
  stopAttempt(*request);
  cancelTimers(*request);
  Lines.info("client disconnected",
             {{"request", request->Call.RequestId},
              {"route", request->Route->Name},
              {"held_ms", toMs(Loop.now() - request->ReceivedAt)}});
  Open.erase(request.get());
}

void ProxyService::finish(const RequestPtr &request, HttpResponse response,
                          Outcome outcome) {
  request->Done = true;
  cancelTimers(*request);
  const auto now = Loop.now();
  const auto held = now - request->ReceivedAt;
  CallSample sample;
  sample.Service = request->Call.Service;
  sample.Kind = request->Route->Name;
  sample.Result = outcome;
  sample.Good = outcome == Outcome::Answered &&
                response.Status < MinServerErrorStatus &&
                held <= request->Route->TargetLatency;
  sample.Latency = held;
  Parts.CallMetrics.record(now, sample);
  if (outcome != Outcome::Answered) {
    if (!request->Key) {
      Parts.Backend.refusedCalls().recordRefusal(request->Route->Name, now);
    }
    Lines.info("request failed",
               {{"request", request->Call.RequestId},
                {"route", request->Route->Name},
                {"service", request->Call.Service},
                {"priority", std::uint64_t{request->Call.Worth}},
                {"rank", std::uint64_t{request->Call.rank()}},
                {"for_running", request->Call.ForRunning ? "yes" : "no"},
                {"outcome", outcomeName(outcome)},
                {"status", static_cast<std::uint64_t>(response.Status)},
                {"attempts", std::uint64_t{request->Attempts}},
                {"held_ms", toMs(held)},
                {"version", request->Table->configuration().Version}});
  }
  request->Exchange->respond(std::move(response));
  Open.erase(request.get());
}

} // namespace chivefold
