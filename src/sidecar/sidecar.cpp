#include "chivefold/sidecar/sidecar.h"

#include "chivefold/daemon/wire_convert.h"
#include "chivefold/sidecar/backend_service.h"
#include "chivefold/sidecar/edge_metrics.h"
#include "chivefold/sidecar/explanation.h"
#include "chivefold/sidecar/fleet_service.h"
#include "chivefold/sidecar/host_memory.h"
#include "chivefold/sidecar/order_feed.h"
#include "chivefold/sidecar/proxy_service.h"
#include "chivefold/sidecar/rollout_service.h"
#include "chivefold/sidecar/usage_service.h"
#include "sidecar_metrics.h"

#include <algorithm>
#include <random>

namespace chivefold {

namespace {

constexpr std::size_t InitialConnections = 16;
/** One report of usage at a time, and one that is being given up. */
constexpr std::size_t ReportConnections = 2;
/** Time after a stop during which clients may still send requests: the platform
 * removes a host after two failed readiness checks, one per second. */
constexpr Duration DeregistrationDelay = std::chrono::milliseconds(2600);
/** Part of the grace period reserved for the exit of the process. */
constexpr Duration ExitReserve = std::chrono::milliseconds(500);
/** Retry-After value of a call for whose body there is no memory. */
constexpr Duration BudgetRetryAfter = std::chrono::seconds(1);
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(50);
/** Without known peers, the daemon is ready after this time: the fleet may
 * consist of one host. */
constexpr Duration SingleHostReadyDelay = std::chrono::milliseconds(1500);
/** Peers that keep an announcement while the store is away. */
constexpr std::size_t MemoryPeers = 3;
/** Interval between log lines about traffic to other daemons. */
constexpr Duration TrafficInterval = std::chrono::seconds(10);

const HttpHeaders JsonContent{{"Content-Type", "application/json"}};

PlacementSettings placementSettings(PlacementStrategy strategy) {
  PlacementSettings out;
  out.Strategy = strategy;
  return out;
}

} // namespace

struct Sidecar::Impl {
  Impl(Reactor &reactor, SidecarSettings settings, const PlatformPorts &ports,
       const StoreAccess &store, std::uint64_t seed);

  HostState self() const;
  void onFrame(wire::FrameBodyUnion &body, const PeerResponder &respond);
  void onCall(wire::CallRequestT &request, const PeerResponder &respond);
  void onCancel(std::uint64_t token);
  void onOrders(const OperatorChange &change);
  void onSharesChanged();
  void onServerChanged();
  void onAdmin(const std::shared_ptr<HttpExchange> &exchange);
  void onReport(const std::shared_ptr<HttpExchange> &exchange);
  void onLeave(const std::shared_ptr<HttpExchange> &exchange);
  void acknowledgeDeparture(const std::shared_ptr<HttpExchange> &exchange);
  HttpServerLimits callerLimits() const;
  HttpServerLimits edgeLimits(std::size_t connections) const;
  bool isReady() const;
  void logTraffic();
  void drain(TimePoint earliest, TimePoint latest);

  Reactor &Loop;
  SidecarSettings Own;
  const PlatformPorts &Ports;
  std::mt19937_64 Seeds;
  std::uint64_t BootId;
  std::uint64_t Sequence = 0;
  /** Bytes that all connections of this process hold. */
  std::shared_ptr<ByteBudget> Budget;
  TimePoint StartedAt;
  bool Leaving = false;
  /** New requests of clients are refused. */
  bool Closed = false;

  const StoreAccess Store;
  OperatorState Orders;
  VersionPolicy Versions;
  FleetTable Hosts;
  AnnouncePlan Plan;
  OrderReaders Readers;
  Placement Servers;
  Metrics CallMetrics;
  HttpClient ServerHttp;
  HttpClient ReportHttp;
  PeerNetwork Network;
  PoisonService Poison;
  Departures Departed;
  BackendService Backend;
  FleetService Fleet;
  HostMemory Memory;
  OrderFeed Feed;
  RolloutService Rollouts;
  UsageService Usage;
  ProxyService Proxy;
  HttpServer CallerServer;
  HttpServer AdminServer;
  HttpServer ReadinessServer;
  /** Calls of peers in progress, by request token. */
  std::unordered_map<std::uint64_t, BackendCallId> PeerCalls;
  std::uint64_t MalformedReports = 0;
  std::uint64_t OutdatedReports = 0;
  Logger Lines{"sidecar"};
};

Sidecar::Impl::Impl(Reactor &reactor, SidecarSettings settings,
                    const PlatformPorts &ports, const StoreAccess &store,
                    std::uint64_t seed)
    : Loop(reactor), Own(std::move(settings)), Ports(ports), Seeds(seed),
      BootId(Seeds()),
      Budget(std::make_shared<ByteBudget>(Own.Edge.budgetBytes())),
      StartedAt(Loop.now()), Store(store), Orders(ports.Orders),
      Versions(Orders), Hosts(Seeds()),
      Plan(Hosts, Own.PeerListen, Own.DataCentre, Seeds()),
      Readers(Hosts, Own.PeerListen, Own.DataCentre),
      Servers(Hosts, Orders, Versions, Own.PeerListen, Own.DataCentre, Seeds(),
              placementSettings(Own.Strategy)),
      CallMetrics(MetricsSettings()), ServerHttp(Loop, InitialConnections),
      ReportHttp(Loop, ReportConnections),
      Network(Loop, Own.PeerListen,
              [this](const Address & /*link*/, wire::FrameBodyUnion &body,
                     const PeerResponder &respond) { onFrame(body, respond); },
              {Budget, Own.Edge.connections().Peers}),
      Poison(
          Loop, Network, [this](std::size_t n) { return Fleet.randomHosts(n); },
          Seeds()),
      Backend(Loop, ServerHttp, {ports, Orders, Versions, Poison, Departed},
              {Own.BackendServer, Own.PeerListen, Own.DataCentre},
              [this] { onServerChanged(); }),
      Fleet(
          Loop, Network, store, Hosts, Plan, Readers, Own.PeerListen,
          [this] { return self(); },
          [this] {
            return PiggybackedState{
                Orders.end(),
                Orders.history().start(Orders.end().Era),
                Orders.digest(),
                Feed.unconfirmedFor(),
                Rollouts.digest(),
                Poison.deathsToSend(PoisonService::DeathsPerProbe),
                Departed.newest(HostMemory::MaxAnnounced),
                Departed.isComplete()};
          },
          [this](const Address &from, const PiggybackedState &piggybacked) {
            Feed.onPeer(from, piggybacked);
            Rollouts.onPeer(from, piggybacked.RolloutDigest);
            Poison.onDeaths(piggybacked.Deaths);
            Memory.merge(piggybacked.Departed, piggybacked.KnowsDepartures);
          },
          [this] {
            Servers.refresh();
            Proxy.fleetChanged();
          },
          Seeds()),
      Memory(
          Loop, store, {Departed, Poison, Hosts}, Own.PeerListen,
          [this](const std::function<void()> &kept) {
            Fleet.notifySome(MemoryPeers, kept);
          },
          [this] { Backend.departuresChanged(); }),
      Feed(
          Loop, {store.Store, Network, Orders, Plan, Readers}, Own.PeerListen,
          [this](const OperatorChange &change) { onOrders(change); }, Seeds()),
      Rollouts(Loop, Network,
               {Store, ports, Orders, Hosts, Servers, Backend, Versions},
               shortRolloutSettings(Own.Exposure), Own.PeerListen,
               [this] { onSharesChanged(); }),
      Usage(Loop, Network, ReportHttp, {Store, ports.Usage, Hosts}, Own.Usage,
            Own.PeerListen, BootId),
      Proxy(Loop, Network,
            {ports, Orders, Feed, Servers, Backend, Poison, CallMetrics,
             Own.Retries},
            Own.PeerListen, Own.Service),
      CallerServer(
          Loop, Own.CallerListen,
          [this](const std::shared_ptr<HttpExchange> &exchange) {
            Proxy.handle(exchange);
          },
          Budget),
      AdminServer(
          Loop, Own.AdminListen,
          [this](const std::shared_ptr<HttpExchange> &exchange) {
            onAdmin(exchange);
          },
          Budget),
      ReadinessServer(
          Loop, Own.ReadinessListen,
          [this](const std::shared_ptr<HttpExchange> &exchange) {
            exchange->respond({isReady() ? 200 : 503, {}, ""});
          },
          Budget) {
  CallerServer.setLimits(callerLimits());
  AdminServer.setLimits(edgeLimits(Own.Edge.connections().Admin));
  ReadinessServer.setLimits(edgeLimits(Own.Edge.connections().Readiness));
  Backend.onRun([this](const std::string &customer, TimePoint at, int change) {
    Usage.count(customer, at, change);
  });
  Fleet.onOtherRecord(
      [this](const KeyedRecord &record) { return Memory.restore(record); });
  Fleet.onListed([this](std::uint64_t era) { Memory.onListed(era); });
  Network.onCancel([this](std::uint64_t token) { onCancel(token); });
}

HostState Sidecar::Impl::self() const {
  HostState out;
  out.Peer = Own.PeerListen;
  out.DataCentre = Own.DataCentre;
  out.BootId = BootId;
  out.Sequence = Sequence;
  out.Leaving = Leaving;
  out.Server = Backend.server();
  out.Gate = Backend.gate();
  return out;
}

HttpServerLimits Sidecar::Impl::callerLimits() const {
  auto out = edgeLimits(Own.Edge.connections().Callers);
  out.StreamsBodies = true;
  if (Orders.routes()) {
    const auto &limits = Orders.routes()->configuration().Limits;
    out.MaxHeaderBytes = limits.MaxHeaderBytes;
    out.MaxBodyBytes = limits.MaxBodyBytes;
    out.HeaderTimeout = limits.HeaderTimeout;
    out.IdleTimeout = limits.IdleTimeout;
  }
  return out;
}

HttpServerLimits Sidecar::Impl::edgeLimits(std::size_t connections) const {
  HttpServerLimits out;
  out.BodyTimeout = Own.Edge.BodyTimeout;
  out.MaxConnections = connections;
  return out;
}

bool Sidecar::Impl::isReady() const {
  const bool knowsPeers = Hosts.hosts().size() > 1 ||
                          Loop.now() >= StartedAt + SingleHostReadyDelay;
  return !Leaving && Orders.routes() != nullptr && knowsPeers;
}

void Sidecar::Impl::onServerChanged() {
  ++Sequence;
  Fleet.announce();
  Servers.refresh();
}

void Sidecar::Impl::onOrders(const OperatorChange &change) {
  if (change.Configuration) {
    CallerServer.setLimits(callerLimits());
  }
  Rollouts.ordersChanged();
  Servers.refresh();
  // Calls that these refuse are sent again by the new orders at once.
  Backend.ordersChanged();
  Proxy.ordersChanged();
}

void Sidecar::Impl::onSharesChanged() {
  Servers.refresh();
  Backend.ordersChanged();
}

void Sidecar::Impl::onFrame(wire::FrameBodyUnion &body,
                            const PeerResponder &respond) {
  switch (body.type) {
  case wire::FrameBody::CallRequest:
    return onCall(*body.AsCallRequest(), respond);
  case wire::FrameBody::Hello:
    return Fleet.onHello(*body.AsHello(), respond);
  case wire::FrameBody::FetchOrders:
    return Feed.onFetch(*body.AsFetchOrders(), respond);
  case wire::FrameBody::OrdersNotice:
    return Feed.onNotice(*body.AsOrdersNotice());
  case wire::FrameBody::Rollouts:
    return Rollouts.onRollouts(*body.AsRollouts());
  case wire::FrameBody::PoisonDeath:
    return Poison.onDeath(*body.AsPoisonDeath());
  case wire::FrameBody::UsagePush:
    return Usage.onPush(*body.AsUsagePush(), respond);
  case wire::FrameBody::StatsRequest:
    return Rollouts.onStatsRequest(*body.AsStatsRequest(), respond);
  default:
    // Frames of a newer protocol are ignored; a request among them times out at
    // the sender.
    return;
  }
}

void Sidecar::Impl::onCall(wire::CallRequestT &request,
                           const PeerResponder &respond) {
  if (!respond) {
    return;
  }
  const auto bytes = EdgeLimits::BodyCopies * request.body.size() +
                     (hasRest(request) ? BodyStream::WindowBytes : 0);
  if (!Budget->admits(bytes)) {
    return respond(
        frameBody(toWire(failedCall(Outcome::NotRun, ErrorCode::Overloaded, 503,
                                    BudgetRetryAfter),
                         Loop.now())));
  }
  const auto token = Network.requestToken();
  const auto lease = std::make_shared<ByteLease>(Budget, bytes);
  auto call = fromWire(request, Loop.now());
  if (hasRest(request)) {
    call.Rest = Network.receiveRest(restLength(request));
  }
  const auto id = Backend.run(
      std::move(call),
      [this, token, respond, lease](const CallResult &result) {
        PeerCalls.erase(token);
        respond(frameBody(toWire(result, Loop.now())));
      },
      [this, token] { return Network.isWanted(token); });
  if (Backend.isOpen(id)) {
    PeerCalls[token] = id;
  }
}

void Sidecar::Impl::onCancel(std::uint64_t token) {
  const auto it = PeerCalls.find(token);
  if (it != PeerCalls.end()) {
    Backend.cancel(it->second);
    PeerCalls.erase(it);
  }
}

void Sidecar::Impl::onAdmin(const std::shared_ptr<HttpExchange> &exchange) {
  const auto &request = exchange->request();
  switch (Ports.Reports.requestKind(request)) {
  case AdminRequestKind::Report:
    return onReport(exchange);
  case AdminRequestKind::Leave:
    return onLeave(exchange);
  case AdminRequestKind::None:
    break;
  }
  if (request.Path == "/-/metrics") {
    return exchange->respond(
        {200,
         {{"Content-Type", "text/plain"}},
         toPrometheus(CallMetrics.report(Loop.now())) +
             trafficMetrics(Network) + limitMetrics(Backend.limitFigures()) +
             revokedMetrics(Backend) + bodyMetrics(Backend.bodyFigures()) +
             ignoredMetrics({MalformedReports, OutdatedReports,
                             Feed.ignoredRecords(), Fleet.ignoredEntries()}) +
             eraMetrics(Store.Era, Orders) +
             edgeMetrics(*Budget, {{"callers", &CallerServer},
                                   {"admin", &AdminServer},
                                   {"readiness", &ReadinessServer}}) +
             accessMetrics(Proxy.accessCounts()) +
             usageMetrics(Usage.figures())});
  }
  if (request.Path == "/-/explain") {
    return exchange->respond(
        explain({Orders, Versions, Servers, Own.DataCentre, Feed.mayBeStale()},
                queryValue(request.Query, "host"),
                queryValue(request.Query, "path"), Loop.now()));
  }
  if (request.Path == "/-/ready") {
    return exchange->respond({isReady() ? 200 : 503, {}, ""});
  }
  exchange->respond({404, {}, ""});
}

void Sidecar::Impl::onReport(const std::shared_ptr<HttpExchange> &exchange) {
  const auto report = Ports.Reports.report(exchange->request());
  const auto taken = report ? Backend.report(*report) : Status(report.reason());
  if (!taken) {
    ++(report ? OutdatedReports : MalformedReports);
    Lines.info("ignored a backend server's report",
               {{"path", exchange->request().Path},
                {"error", errorName(taken.reason().Code)},
                {"reason", taken.reason().Message}});
  }
  // An outdated report is acknowledged; only a malformed one is an error.
  if (!report) {
    return exchange->respond({400, JsonContent, "{}"});
  }
  if (report->State.Phase == ServerPhase::Draining) {
    return acknowledgeDeparture(exchange);
  }
  exchange->respond({200, JsonContent, "{}"});
}

// An acknowledged departure binds the next daemon of this host, too.
void Sidecar::Impl::acknowledgeDeparture(
    const std::shared_ptr<HttpExchange> &exchange) {
  Memory.whenKept([exchange](bool isKept) {
    exchange->respond({isKept ? 200 : 503, JsonContent, "{}"});
  });
}

void Sidecar::Impl::onLeave(const std::shared_ptr<HttpExchange> &exchange) {
  const auto instance = Ports.Reports.leaving(exchange->request());
  const auto taken = Backend.leave(instance);
  if (!taken) {
    Lines.info("ignored a backend server's shutdown notice",
               {{"instance", instance}, {"reason", taken.reason().Message}});
  }
  acknowledgeDeparture(exchange);
}

void Sidecar::Impl::logTraffic() {
  for (const auto &it : Network.traffic()) {
    Lines.info("frames sent to other daemons",
               {{"kind", it.Kind}, {"frames", it.Frames}, {"bytes", it.Bytes}});
  }
  Loop.schedule(Loop.now() + TrafficInterval, [this] { logTraffic(); });
}

// Accepts new requests until @p earliest, then finishes open ones until @p
// latest and stops the reactor.
void Sidecar::Impl::drain(TimePoint earliest, TimePoint latest) {
  const auto now = Loop.now();
  if (now >= earliest && !Closed) {
    Closed = true;
    CallerServer.quiesce();
    Proxy.startLeaving();
  }
  const auto open =
      Proxy.openRequests() + Backend.openCalls() + CallerServer.openRequests();
  if ((open == 0 && now >= earliest) || now >= latest) {
    Lines.info("stopped", {{"open_requests", open}});
    Loop.stop();
    return;
  }
  Loop.schedule(now + DrainCheckInterval,
                [this, earliest, latest] { drain(earliest, latest); });
}

Sidecar::Sidecar(Reactor &reactor, SidecarSettings settings,
                 const PlatformPorts &ports, const StoreAccess &store,
                 std::uint64_t seed)
    : Implementation(std::make_unique<Impl>(reactor, std::move(settings), ports,
                                            store, seed)) {}

Sidecar::~Sidecar() = default;

Status Sidecar::start() {
  for (auto &started :
       {Implementation->Network.start(), Implementation->AdminServer.start(),
        Implementation->ReadinessServer.start(),
        Implementation->CallerServer.start()}) {
    if (!started) {
      return started.reason();
    }
  }
  Implementation->Lines.info(
      "started", {{"data_centre", Implementation->Own.DataCentre},
                  {"service", Implementation->Own.Service},
                  {"peer", toString(Implementation->Own.PeerListen)},
                  {"boot", Implementation->BootId}});
  Implementation->Memory.start();
  Implementation->Fleet.start();
  Implementation->Feed.start();
  Implementation->Rollouts.start();
  Implementation->Usage.start();
  Implementation->logTraffic();
  return Done{};
}

void Sidecar::reload(const SidecarSettings &settings) {
  Implementation->Lines.info("settings reloaded",
                             {{"service", settings.Service}});
  Implementation->Own.Service = settings.Service;
  Implementation->Proxy.setCallerService(settings.Service);
  if (!setLogLevel(settings.LogLevel)) {
    Implementation->Lines.warn("unknown log level",
                               {{"level", settings.LogLevel}});
  }
}

void Sidecar::stop() {
  if (Implementation->Leaving) {
    return;
  }
  Implementation->Leaving = true;
  ++Implementation->Sequence;
  Implementation->Lines.info(
      "stopping", {{"open_requests", Implementation->Proxy.openRequests()},
                   {"open_calls", Implementation->Backend.openCalls()}});
  Implementation->Rollouts.stop();
  Implementation->Usage.stop();
  Implementation->Backend.startLeaving();
  Implementation->Fleet.announce();
  Implementation->Servers.refresh();
  Implementation->CallerServer.closeAfterAnswers();
  const auto now = Implementation->Loop.now();
  const auto latest = now + Implementation->Own.GracePeriod - ExitReserve;
  Implementation->drain(std::min(now + DeregistrationDelay, latest), latest);
}

} // namespace chivefold
