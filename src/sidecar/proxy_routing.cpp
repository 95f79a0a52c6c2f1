// Routing of requests, and those that wait for a later configuration.
#include "proxy_request.h"

#include "chivefold/sidecar/refusal.h"

#include <utility>

namespace chivefold {

namespace {

/** Retry-After value while the daemon stops; clients then use another host. */
constexpr Duration LeavingRetryAfter = std::chrono::milliseconds(100);

std::string pathAndQuery(const HttpRequest &request) {
  return request.Query.empty() ? request.Path
                               : request.Path + "?" + request.Query;
}

} // namespace

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
  const auto access = Access.check(*table, *route, client.Key, client.Id);
  if (access.RefusalStatus != 0) {
    return exchange->respond(
        access.RefusalStatus == 503
            ? refusal(access.RefusalStatus, DefaultRetryAfter)
            : HttpResponse{access.RefusalStatus, {}, ""});
  }
  auto request = std::make_shared<Request>();
  request->Exchange = exchange;
  request->Hostname = client.Hostname;
  request->Key = client.Key;
  request->Table = table;
  request->ReceivedAt = now;
  request->Deadline =
      now + std::min(route->Timeout, client.TimeLeft.value_or(route->Timeout));
  auto &call = request->Call;
  call.Headers = received.Headers;
  setRoute(*request, *route, access);
  call.Service = Split.choose(*route);
  call.Method = received.Method;
  call.Target = pathAndQuery(received);
  call.Body = received.Body;
  call.Rest = received.Rest;
  call.Deadline = request->Deadline;
  call.InTimeUntil = inTimeUntil(*route, client, now);
  call.CallerService = CallerService;
  call.RequestId = client.Id;
  joinParent(call, *route, client, now);
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

// Gives a call of the server beside this daemon the rank of the running request
// that it belongs to, which is useless without it. The call keeps at least its
// own target, without the time since a first attempt: the server makes no
// other.
void ProxyService::joinParent(CallMessage &call, const MeshRoute &route,
                              const ClientRequest &client, TimePoint now) {
  // Calls carry no customer's key.
  if (!client.TimeLeft || client.Key) {
    return;
  }
  const auto parent =
      Parts.Backend.parentOf(call.Route, now + *client.TimeLeft);
  if (!parent) {
    return;
  }
  call.ForRunning = true;
  call.RunningRank = rankOfCall(call.Worth, parent->Rank);
  if (call.InTimeUntil != TimePoint::max()) {
    call.InTimeUntil = now + route.TargetLatency;
    if (parent->InTimeUntil != TimePoint::max()) {
      call.InTimeUntil = std::max(call.InTimeUntil, parent->InTimeUntil);
    }
  }
  Lines.debug("call of a running request",
              {{"request", call.RequestId},
               {"route", call.Route},
               {"parent_route", parent->Route},
               {"rank", std::uint64_t{call.RunningRank}},
               {"parent_age_ms", toMs(now - parent->StartedAt)}});
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

void ProxyService::setRoute(Request &request, const MeshRoute &route,
                            const AccessDecision &access) const {
  request.Route = &route;
  auto &call = request.Call;
  Access.apply(access, *request.Table, route, request.Key, call);
  call.Repeatable = route.Kind == RequestKind::Idempotent;
  call.Route = route.Name;
  call.ConfigurationVersion = request.Table->configuration().Version;
}

// Routes a request again if the configuration has changed since. Deadline and
// target latency stay. @return the status of its refusal if it no longer has a
// route or a customer's key, else 0.
int ProxyService::updateRoute(Request &request) {
  const auto &table = Parts.Orders.routes();
  if (table == request.Table) {
    return 0;
  }
  const auto *route = table->find(request.Hostname, request.Call.path());
  if (route == nullptr) {
    return unroutedStatus(request.Hostname);
  }
  const auto access =
      Access.check(*table, *route, request.Key, request.Call.RequestId);
  if (access.RefusalStatus != 0) {
    return access.RefusalStatus;
  }
  request.Table = table;
  setRoute(request, *route, access);
  if (!leadsTo(*route, request.Call.Service)) {
    request.Call.Service = Split.choose(*route);
    request.Tried.clear();
  }
  return 0;
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

// Ends a request that the configuration in force does not route or allow.
void ProxyService::finishUnrouted(const RequestPtr &request, int status) {
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

} // namespace chivefold
