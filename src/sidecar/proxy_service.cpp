#include "chivefold/sidecar/proxy_service.h"

#include "chivefold/daemon/wire_convert.h"
#include "chivefold/sidecar/refusal.h"

#include <algorithm>
#include <utility>

namespace chivefold {

namespace {

/** Retry-After value for refusals for which no other value is known. */
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(500);
/** Retry-After value while the daemon stops; clients then use another host. */
constexpr Duration LeavingRetryAfter = std::chrono::milliseconds(100);

std::string pathAndQuery(const HttpRequest &request) {
  return request.Query.empty() ? request.Path
                               : request.Path + "?" + request.Query;
}

std::uint64_t toMs(Duration d) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(d.count(), 0) /
                                    1000);
}

} // namespace

struct ProxyService::Request {
  std::shared_ptr<HttpExchange> Exchange;
  std::string Hostname;
  /** Configuration of the route, which it keeps alive. */
  std::shared_ptr<const RouteTable> Table;
  const MeshRoute *Route = nullptr;
  CallMessage Call;
  TimePoint ReceivedAt{};
  TimePoint Deadline{};
  TimerId Timer = TimerId::None;
  /** Ends the wait for a later configuration. */
  TimerId OrdersTimer = TimerId::None;
  std::vector<Address> Tried;
  std::uint32_t Attempts = 0;
  std::uint32_t Runs = 0;
  /** Host of the current attempt. */
  Address Peer;
  TimePoint AttemptAt{};
  bool InProgress = false;
  PeerRequestId PeerCall = PeerRequestId::None;
  BackendCallId LocalCall = BackendCallId::None;
  /** Last answer with a server error; delivered if the retry has no known
   * outcome. */
  std::optional<CallResult> ErrorAnswer;
  Duration RetryAfter{};
  bool Done = false;
};

ProxyService::ProxyService(Reactor &reactor, PeerNetwork &network,
                           const ProxyDependencies &parts, Address self,
                           std::string callerService)
    : Loop(reactor), Network(network), Parts(parts), Self(std::move(self)),
      CallerService(std::move(callerService)) {}

ProxyService::~ProxyService() {
  for (const auto &it : Open) {
    Loop.cancel(it.second->Timer);
    Loop.cancel(it.second->OrdersTimer);
  }
}

void ProxyService::setCallerService(std::string service) {
  CallerService = std::move(service);
}

// Status of a request without a route. The route may be in a configuration that
// this daemon has not received yet.
int ProxyService::unroutedStatus(const std::string &hostname) const {
  if (!Parts.Orders.routes()) {
    return 503;
  }
  if (hostname.empty()) {
    return 400;
  }
  return Parts.Feed.mayBeStale() ? 503 : 404;
}

void ProxyService::answerUnrouted(const std::shared_ptr<HttpExchange> &exchange,
                                  const ClientRequest &client) {
  const auto &routes = Parts.Orders.routes();
  const int status = unroutedStatus(client.Hostname);
  Lines.info("no matching route",
             {{"request", client.Id},
              {"status", static_cast<std::uint64_t>(status)},
              {"host", client.Hostname},
              {"path", exchange->request().Path},
              {"version", routes ? routes->configuration().Version : 0}});
  if (status == 503) {
    return exchange->respond(refusal(status, DefaultRetryAfter));
  }
  exchange->respond({status, {}, ""});
}

void ProxyService::handle(const std::shared_ptr<HttpExchange> &exchange) {
  const auto &received = exchange->request();
  const auto client = Parts.Ports.Requests.readClient(received);
  const auto &table = Parts.Orders.routes();
  const auto *route =
      table ? table->find(client.Hostname, received.Path) : nullptr;
  if (route == nullptr) {
    return answerUnrouted(exchange, client);
  }
  const auto now = Loop.now();
  if (Leaving) {
    // Clients of this host use another host until the daemon has restarted.
    return exchange->respond(refusal(503, LeavingRetryAfter));
  }
  auto request = std::make_shared<Request>();
  request->Exchange = exchange;
  request->Hostname = client.Hostname;
  request->Table = table;
  request->ReceivedAt = now;
  request->Deadline =
      now + std::min(route->Timeout, client.TimeLeft.value_or(route->Timeout));
  auto &call = request->Call;
  setRoute(*request, *route);
  call.Service = Split.choose(*route);
  call.Method = received.Method;
  call.Target = pathAndQuery(received);
  call.Headers = received.Headers;
  call.Body = received.Body;
  call.Deadline = request->Deadline;
  call.InTimeUntil = inTimeUntil(*route, client, now);
  call.CallerService = CallerService;
  call.RequestId = client.Id;
  const auto quarantine = Parts.Poison.isEmpty()
                              ? std::nullopt
                              : Parts.Poison.quarantined(digestOf(call));
  if (quarantine) {
    Lines.info("refused a request that crashes servers",
               {{"request", client.Id}, {"route", route->Name}});
    return exchange->respond(refusal(503, *quarantine));
  }
  Open.emplace(request.get(), request);
  const std::weak_ptr<Request> weak = request;
  request->Timer = Loop.schedule(request->Deadline, [this, weak] {
    if (const auto open = weak.lock()) {
      onDeadline(open);
    }
  });
  exchange->onAbandoned([this, weak] {
    if (const auto open = weak.lock()) {
      abandon(open);
    }
  });
  attempt(request);
}

TimePoint ProxyService::inTimeUntil(const MeshRoute &route,
                                    const ClientRequest &client,
                                    TimePoint now) {
  if (route.TargetLatency <= Duration::zero()) {
    return TimePoint::max();
  }
  const auto age = client.TimeLeft
                       ? Ages.recordAttempt(route.Name, *client.TimeLeft)
                       : Duration::zero();
  return now + route.TargetLatency - age;
}

RetryTokens &ProxyService::tokens(const std::string &service) {
  return Tokens.try_emplace(service, Loop.now()).first->second;
}

void ProxyService::setRoute(Request &request, const MeshRoute &route) const {
  request.Route = &route;
  auto &call = request.Call;
  call.Worth = route.Priority;
  call.Repeatable = route.Kind == RequestKind::Idempotent;
  call.Route = route.Name;
  call.ConfigurationVersion = request.Table->configuration().Version;
}

// Routes a request again if the configuration has changed since. Deadline and
// target latency stay. @return false if it no longer has a route.
bool ProxyService::updateRoute(Request &request) {
  const auto &table = Parts.Orders.routes();
  if (table == request.Table) {
    return true;
  }
  const auto *route = table->find(request.Hostname, request.Call.path());
  if (route == nullptr) {
    return false;
  }
  request.Table = table;
  setRoute(request, *route);
  if (!leadsTo(*route, request.Call.Service)) {
    request.Call.Service = Split.choose(*route);
    request.Tried.clear();
  }
  return true;
}

void ProxyService::attempt(const RequestPtr &request) {
  if (!updateRoute(*request)) {
    return finishUnrouted(request);
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
  wanted.Priority = request->Route->Priority;
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
  ++request->Attempts;
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
      request->Deadline, [this, weak](PeerOutcome outcome) {
        const auto open = weak.lock();
        if (!open) {
          return;
        }
        auto answer = callAnswer(outcome, Loop.now());
        if (answer) {
          return onResult(open, std::move(*answer));
        }
        const auto end =
            outcome.MayHaveArrived ? Outcome::Unknown : Outcome::NotRun;
        onResult(open, failedCall(end, outcome.Failure.Code, 502, {}));
      });
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

// The daemon beside the server has a configuration that routes the request
// elsewhere. If it is later than that of this daemon, the request waits for it.
void ProxyService::onRouteChanged(const RequestPtr &request,
                                  const CallResult &result) {
  if (request->Attempts >= AttemptPolicy::MaxAttempts) {
    return decide(request, result, AttemptEnd::RefusedByGate);
  }
  // The refusal says nothing about the server.
  request->Tried.pop_back();
  if (Parts.Orders.routes() != request->Table) {
    return attempt(request);
  }
  Lines.info("waiting for a configuration that another daemon has",
             {{"request", request->Call.RequestId},
              {"route", request->Route->Name},
              {"host", toString(request->Peer)},
              {"version", request->Table->configuration().Version}});
  AwaitingOrders.insert(request.get());
  const std::weak_ptr<Request> weak = request;
  request->OrdersTimer =
      Loop.schedule(Loop.now() + MaxOrdersWait, [this, weak] {
        const auto open = weak.lock();
        if (open && !open->Done) {
          finishUnserved(open, {});
        }
      });
}

void ProxyService::ordersChanged() {
  const auto waiting = std::exchange(AwaitingOrders, {});
  for (auto *const it : waiting) {
    // The attempt of another request may have ended this one.
    const auto open = Open.find(it);
    if (open != Open.end() && it->OrdersTimer != TimerId::None) {
      Loop.cancel(it->OrdersTimer);
      it->OrdersTimer = TimerId::None;
      attempt(RequestPtr(open->second));
    }
  }
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
    tokens(request.Call.Service).recordAnswer();
    servers.answered(request.Peer, request.Route->Name, now - request.AttemptAt,
                     request.Call.Body.size() + result.Body.size(),
                     result.Status >= MinServerErrorStatus &&
                         !result.CallRefused,
                     result.Gate, now);
    break;
  case AttemptEnd::RefusedByGate:
    if (result.Code == ErrorCode::RouteChanged) {
      servers.cancelled(request.Peer);
      break;
    }
    servers.refused(request.Peer, result.Gate, request.Route->Priority,
                    result.RetryAfter, now);
    break;
  case AttemptEnd::DeclinedByServer:
    servers.refused(request.Peer, result.Gate, request.Route->Priority,
                    DefaultRetryAfter, now);
    break;
  default:
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
  facts.PossibleRuns = request->Runs;
  facts.MaxPossibleRuns = request->Route->MaxAttempts;
  facts.Attempts = request->Attempts;
  facts.TimeLeft = request->Deadline - now;
  facts.ExpectedLatency = Parts.Servers.expectedLatency(request->Route->Name);
  const auto step =
      AttemptPolicy::next(facts, tokens(request->Call.Service), now);
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

// Ends a request that the configuration in force does not route.
void ProxyService::finishUnrouted(const RequestPtr &request) {
  const int status = unroutedStatus(request->Hostname);
  Lines.info("the configuration no longer routes a request",
             {{"request", request->Call.RequestId},
              {"route", request->Route->Name},
              {"status", static_cast<std::uint64_t>(status)},
              {"version", Parts.Orders.routes()->configuration().Version}});
  if (request->Runs > 0 || status == 503) {
    return finishUnserved(request, {});
  }
  finish(request, {status, {}, ""}, Outcome::NotRun);
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
  if (request->InProgress) {
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
    Parts.Backend.refusedCalls().recordRefusal(request->Route->Name, now);
    Lines.info("request failed",
               {{"request", request->Call.RequestId},
                {"route", request->Route->Name},
                {"service", request->Call.Service},
                {"priority", std::uint64_t{request->Route->Priority}},
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
