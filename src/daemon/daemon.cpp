#include "chivefold/daemon/daemon.h"

#include "chivefold/daemon/admin_service.h"
#include "chivefold/daemon/caller_service.h"
#include "chivefold/daemon/join_service.h"
#include "chivefold/daemon/move_service.h"
#include "chivefold/daemon/routing_update.h"
#include "chivefold/daemon/wire_convert.h"

#include <algorithm>

namespace chivefold {
namespace {

/** Time in which the fleet learns that a daemon leaves; a member that leaves
 * must get no new work after 3 s. */
constexpr Duration LeaveNotice = std::chrono::milliseconds(1500);
constexpr Duration DrainCheck = std::chrono::milliseconds(50);
/** Until the configuration states the bound of the backend server. */
constexpr std::size_t BackendConnections = 100;
constexpr std::size_t LogConnections = 8;

Member selfOf(const Settings &s, std::uint64_t bootId, UtcTime now) {
  Member m;
  m.Peer = s.PeerListen;
  m.DataCentre = s.DataCentre;
  m.Region = s.Region;
  m.Service = s.Service;
  m.ServiceVersion = s.ServiceVersion;
  // The clock gives a restarted daemon a higher incarnation in most cases; if
  // not, its peers tell it the one to exceed.
  m.Incarnation = static_cast<std::uint64_t>(
      std::max<std::int64_t>(now.time_since_epoch().count(), 1));
  m.BootId = bootId;
  m.CallerPort = s.CallerListen.Port;
  m.AdminPort = s.AdminListen.Port;
  return m;
}

} // namespace

struct Daemon::Parts {
  Parts(Reactor &reactor, Settings settings, std::uint64_t seed);

  void onFrame(wire::FrameBodyUnion &body, const PeerResponder &respond);
  void onControlFrame(wire::FrameBodyUnion &body, const PeerResponder &respond);
  void onCall(wire::CallRequestT &request, const PeerResponder &respond);
  void onCancel(std::uint64_t token);
  void onApplied();
  void drain(TimePoint deadline);

  Reactor &Loop;
  Settings Own;
  std::mt19937_64 Seeds;
  std::uint64_t BootId;
  DaemonId Self;
  ControlState State;
  SafeSteps Steps;
  MemberTable Members;
  Dissemination Records;
  Router Routes;
  RetryTokens Tokens;
  Metrics Figures;
  RoutingUpdate Routing;
  HttpClient Backend;
  HttpClient LogHttp;
  LogClient Log;
  PeerNetwork Network;
  PoisonService Poison;
  GateService Gate;
  ControlService Control;
  MembershipService Membership;
  JoinService Join;
  CallRunner Runner;
  ClaimService Claims;
  MoveService Moves;
  CallerService Callers;
  AdminService Admin;
  HttpServer CallerServer;
  HttpServer AdminServer;
  /** Calls of peers in progress at the gate, by token of their request. */
  std::unordered_map<std::uint64_t, GateRequestId> PeerCalls;
  /** Configuration whose objectives the figures use. */
  Version ObjectivesOf = Version::None;
  bool Leaving = false;
  Logger Lines{"daemon"};
};

Daemon::Parts::Parts(Reactor &reactor, Settings settings, std::uint64_t seed)
    : Loop(reactor), Own(std::move(settings)), Seeds(seed),
      BootId(Seeds()), Self{Own.PeerListen, BootId}, Steps(State),
      Members(selfOf(Own, BootId, Loop.utcNow()), Seeds()),
      Records(State, Members), Routes(Seeds(), Own.DataCentre),
      Tokens(Loop.now()), Figures(MetricsSettings()),
      Routing(Routes, State, Steps, Members), Backend(Loop, BackendConnections),
      LogHttp(Loop, LogConnections), Log(Loop, LogHttp, Own.LogUrl, Seeds()),
      Network(Loop, Own.PeerListen,
              [this](const Address & /*link*/, wire::FrameBodyUnion &body,
                     const PeerResponder &respond) { onFrame(body, respond); }),
      Poison(
          Loop, Network,
          [this](std::size_t n) { return Members.randomPeers(n, true); },
          Seeds()),
      Gate(Loop, Backend, Own, State, Poison),
      Control(Loop, Network, Log, {State, Steps, Members, Records, Poison},
              Seeds(), [this] { onApplied(); }),
      Membership(Loop, Network, Members, Control,
                 [this] { Routing.refresh(); }),
      Join(Loop, Network, Control, State, Membership, Members, Own, Seeds()),
      Runner(Loop, Network, Routes, Tokens, Gate, Poison, Own.PeerListen),
      Claims(Loop, Network, Control, State, Runner, Self),
      Moves(Loop, Network, {Control, State, Steps, Members, Gate}, Own, Self),
      Callers(Loop, {Control, State, Runner, Claims, Figures, Poison}, Seeds()),
      Admin(Loop,
            {Control, State, Steps, Members, Gate, Moves, Figures, Network},
            Own),
      CallerServer(Loop, Own.CallerListen,
                   [this](const std::shared_ptr<HttpExchange> &exchange) {
                     Callers.handle(exchange);
                   }),
      AdminServer(Loop, Own.AdminListen,
                  [this](const std::shared_ptr<HttpExchange> &exchange) {
                    Admin.handle(exchange);
                  }) {
  Network.onCancel([this](std::uint64_t token) { onCancel(token); });
}

void Daemon::Parts::onApplied() {
  if (State.version() != ObjectivesOf) {
    ObjectivesOf = State.version();
    Figures.setObjectives(*State.configuration());
  }
  Admin.recordsApplied();
  Routing.refresh();
  Gate.configurationChanged();
  Claims.recordsApplied();
  Moves.recordsApplied();
}

void Daemon::Parts::onFrame(wire::FrameBodyUnion &body,
                            const PeerResponder &respond) {
  switch (body.type) {
  case wire::FrameBody::CallRequest:
    return onCall(*body.AsCallRequest(), respond);
  case wire::FrameBody::Ping:
    return Membership.onPing(*body.AsPing(), respond);
  case wire::FrameBody::PingRequest:
    return Membership.onPingRequest(*body.AsPingRequest(), respond);
  case wire::FrameBody::Join:
    return Join.onJoin(*body.AsJoin(), respond);
  case wire::FrameBody::StatsRequest:
    return Moves.onStatsRequest(*body.AsStatsRequest(), respond);
  default:
    return onControlFrame(body, respond);
  }
}

void Daemon::Parts::onControlFrame(wire::FrameBodyUnion &body,
                                   const PeerResponder &respond) {
  switch (body.type) {
  case wire::FrameBody::Records:
    return Control.onRecords(*body.AsRecords());
  case wire::FrameBody::FetchRecords:
    return Control.onFetch(*body.AsFetchRecords(), respond);
  case wire::FrameBody::SnapshotRequest:
    return Control.onSnapshotRequest(respond);
  case wire::FrameBody::SafeStep:
    return Control.onStep(*body.AsSafeStep());
  case wire::FrameBody::PoisonDeath:
    return Poison.onDeath(*body.AsPoisonDeath());
  default:
    // Frames of a newer protocol are ignored; the sender sees a time-out.
    return;
  }
}

void Daemon::Parts::onCall(wire::CallRequestT &request,
                           const PeerResponder &respond) {
  if (!respond) {
    return;
  }
  auto call = fromWire(request, Loop.now());
  auto reply = [this, respond](const CallResult &result) {
    respond(frameBody(toWire(result, Loop.now())));
  };
  if (call.ToClaimHolder) {
    Claims.request(std::move(call), reply);
    return;
  }
  const auto token = Network.requestToken();
  const auto id =
      Gate.run(std::move(call), [this, token, reply](const CallResult &result) {
        PeerCalls.erase(token);
        reply(result);
      });
  if (Gate.isOpen(id)) {
    PeerCalls[token] = id;
  }
}

void Daemon::Parts::onCancel(std::uint64_t token) {
  const auto it = PeerCalls.find(token);
  if (it != PeerCalls.end()) {
    Gate.cancel(it->second);
    PeerCalls.erase(token);
  }
}

void Daemon::Parts::drain(TimePoint deadline) {
  const auto open = Runner.openCalls() + Claims.openCalls() + Gate.openCalls() +
                    CallerServer.openRequests();
  if (open == 0 || Loop.now() >= deadline) {
    Lines.info("daemon stopped", {{"open_calls", open}});
    Membership.announceSelf(MemberState::Left);
    Loop.schedule(Loop.now() + DrainCheck, [this] { Loop.stop(); });
    return;
  }
  Loop.schedule(Loop.now() + DrainCheck, [this, deadline] { drain(deadline); });
}

Daemon::Daemon(Reactor &reactor, Settings settings, std::uint64_t seed)
    : All(std::make_unique<Parts>(reactor, std::move(settings), seed)) {}

Daemon::~Daemon() = default;

Status Daemon::start() {
  for (const auto &started : {All->Network.start(), All->AdminServer.start(),
                              All->CallerServer.start()}) {
    if (!started) {
      return started;
    }
  }
  All->Control.start();
  All->Membership.start();
  All->Join.start();
  All->Moves.start();
  All->Lines.info("daemon started",
                  {{"callers", toString(All->Own.CallerListen)},
                   {"peers", toString(All->Own.PeerListen)},
                   {"admin", toString(All->Own.AdminListen)}});
  return Done{};
}

void Daemon::stop() {
  if (All->Leaving) {
    return;
  }
  All->Leaving = true;
  All->Lines.info("planned stop begins");
  All->Admin.startLeaving();
  All->Membership.announceSelf(MemberState::Leaving);
  const auto now = All->Loop.now();
  const auto deadline = now + std::chrono::milliseconds(All->Own.DrainMs);
  All->Loop.schedule(std::min(now + LeaveNotice, deadline), [this, deadline] {
    All->CallerServer.quiesce();
    All->Gate.startLeaving();
    All->drain(deadline);
  });
}

} // namespace chivefold
