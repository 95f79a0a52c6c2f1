#include "chivefold/sidecar/backend_service.h"

#include "chivefold/core/call_policy.h"

#include <algorithm>

namespace chivefold {

namespace {

/** Routes counted for rollouts; further ones are not. */
constexpr std::size_t MaxCountedRoutes = 256;
/** Time after the deadline in which the server's own answer is awaited. */
constexpr Duration AnswerGrace = std::chrono::milliseconds(20);
/** A cold server is slower by about this factor, which says nothing of its
 * version. */
constexpr std::uint64_t ColdSlowdown = 2;

bool isSuccess(int status) { return status >= 200 && status < 300; }

} // namespace

BackendService::BackendService(Reactor &reactor, HttpClient &client,
                               const BackendParts &parts, BackendPlace place,
                               std::function<void()> changed)
    : Loop(reactor), Client(client), Ports(parts.Ports), Orders(parts.Orders),
      Versions(parts.Versions), Poison(parts.Poison),
      Upstream(std::move(place.Server)), Host(std::move(place.Host)),
      DataCentre(std::move(place.DataCentre)), Changed(std::move(changed)) {}

Status BackendService::report(const ServerReport &report) {
  if (report.Server.Ip != Upstream.Ip) {
    return Reason{ErrorCode::InvalidRecord, "a server of another host"};
  }
  const Start start{report.State.Instance, report.StartedAtMs};
  if (std::find(EndedStarts.begin(), EndedStarts.end(), start) !=
      EndedStarts.end()) {
    return Reason{ErrorCode::Conflict, "the server has ended"};
  }
  const bool older =
      StartedAtMs && report.StartedAtMs && *report.StartedAtMs < *StartedAtMs;
  if (older && !replacesSilent(report)) {
    return Reason{ErrorCode::Conflict, "a newer start is known"};
  }
  const bool sameStart = start == Start{Server.Instance, StartedAtMs};
  if (sameStart && report.Sequence <= Sequence) {
    return Reason{ErrorCode::Conflict, "a newer report is known"};
  }
  if (!sameStart) {
    takeStart(report);
  }
  Sequence = report.Sequence;
  ReportedAt = Loop.now();
  Successor = {};
  const bool back = Suspect;
  Suspect = false;
  SilentCalls = 0;
  ColdUntil = Loop.now() + report.ColdFor;
  const bool changed = back || !sameStart ||
                       Server.Phase != report.State.Phase ||
                       Server.Slots != report.State.Slots ||
                       Server.Version != report.State.Version;
  Server = report.State;
  if (changed) {
    Lines.info("the server reported a new state",
               {{"instance", Server.Instance},
                {"service", Server.Service},
                {"version", Server.Version},
                {"phase", serverPhaseName(Server.Phase)},
                {"slots", std::uint64_t{Server.Slots}},
                {"sequence", Sequence}});
    Changed();
  }
  updateGate();
  return Done{};
}

// A server that started after the clock of its host went back states an earlier
// time than its predecessor. Late reports of an ended server are few and come
// while the present one reports.
bool BackendService::replacesSilent(const ServerReport &report) {
  const auto now = Loop.now();
  const Start start{report.State.Instance, report.StartedAtMs};
  if (!(Successor == start)) {
    Successor = start;
    SuccessorSequence = report.Sequence;
    SuccessorSince = now;
    return false;
  }
  const bool reports = report.Sequence > SuccessorSequence;
  SuccessorSequence = std::max(SuccessorSequence, report.Sequence);
  return reports && now >= ReportedAt + SilentFor &&
         now >= SuccessorSince + StaysFor;
}

// Another start of a server has the address: what was known is void.
void BackendService::takeStart(const ServerReport &report) {
  if (Loop.now() < InterruptedAt + CrashMemory) {
    reportCrash();
  }
  Interrupted.clear();
  endPresent();
  StartedAtMs = report.StartedAtMs;
  Upstream = report.Server;
  Client.closeIdle();
  if (report.State.Version != CountedVersion) {
    Counts.clear();
    CountedVersion = report.State.Version;
  }
}

void BackendService::endPresent() {
  if (!Server.Instance.empty()) {
    EndedStarts.push_back({Server.Instance, StartedAtMs});
    if (EndedStarts.size() > MaxEnded) {
      EndedStarts.pop_front();
    }
  }
  Server = {};
}

Status BackendService::leave(const std::string &instance) {
  if (instance != Server.Instance) {
    return Reason{ErrorCode::NotFound, "not the present server"};
  }
  Lines.info("the server left", {{"instance", instance}});
  endPresent();
  updateGate();
  Changed();
  return Done{};
}

void BackendService::startLeaving() {
  Leaving = true;
  updateGate();
}

void BackendService::ordersChanged() { updateGate(); }

void BackendService::updateGate() {
  // Without the configuration it is not known what a cold server bears.
  const auto *service =
      Orders.routes() ? Orders.routes()->service(Server.Service) : nullptr;
  const bool takesWork = Server.Phase == ServerPhase::Ready && !Suspect &&
                         !Leaving && service != nullptr &&
                         !Orders.isEvacuated(DataCentre);
  if (!takesWork) {
    drop(Gate.close(), ErrorCode::NotReady);
    return;
  }
  Gate.setCold(service->ColdRate, ColdUntil);
  Gate.open(Server.Slots, service->MaxConnections);
  // One connection a running call, and a few that are closing.
  Client.setMaxConnections(Server.Slots + std::max(Server.Slots / 4, 2U));
  runWaiting();
}

ErrorCode BackendService::reasonToRefuse(const CallMessage &call) const {
  if (call.Service != Server.Service ||
      (!call.Instance.empty() && call.Instance != Server.Instance)) {
    return ErrorCode::NotFound;
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
                                  StillWanted stillWanted) {
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
  const auto offer =
      Gate.offer({id, call.Worth, call.Deadline, call.Route, call.InTimeUntil},
                 Loop.now());
  if (offer.Kind == AdmissionKind::Rejected) {
    refuse(reply, offer.Code, offer.RetryAfter);
    return id;
  }
  auto &entry = Calls[id];
  entry.Message = std::move(call);
  entry.Reply = std::move(reply);
  entry.IsWanted = std::move(stillWanted);
  entry.Digest = digest;
  if (offer.Kind == AdmissionKind::Run) {
    send(id);
  } else {
    armTimer();
  }
  return id;
}

void BackendService::send(BackendCallId id) {
  auto &call = Calls.at(id);
  const auto now = Loop.now();
  call.StartedAt = now;
  call.WasCold = Gate.state(now).Cold;
  HttpCall http;
  http.Method = call.Message.Method;
  http.Url = "http://" + toString(Upstream) + call.Message.Target;
  http.Headers = Ports.Requests.forServer(
      call.Message.Headers, {call.Message.Deadline - now, Server.Instance,
                             call.Message.CallerService});
  http.Body = std::move(call.Message.Body);
  http.Deadline = call.Message.Deadline + AnswerGrace;
  http.AcceptUnframed = true;
  if (!call.Message.Repeatable) {
    http.ReuseUsedSince = now - FreshFor;
  }
  // An answer that names no request may be a late one to an earlier request of
  // its connection.
  http.Accepts = [this, wanted = call.Message.RequestId](const auto &r,
                                                         bool isFirst) {
    const auto got = Ports.Requests.readServer(r).RequestId;
    return wanted.empty() || got == wanted || (got.empty() && isFirst);
  };
  call.Http = Client.start(std::move(http), [this, id](HttpOutcome outcome) {
    onOutcome(id, std::move(outcome));
  });
}

CallResult BackendService::resultOf(const Call &call, HttpOutcome &outcome) {
  if (!outcome.Response) {
    const auto code = outcome.Response.reason().Code;
    Lines.info("a call got no answer",
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

void BackendService::onOutcome(BackendCallId id, HttpOutcome outcome) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  const auto latency = Loop.now() - it->second.StartedAt;
  const bool refusedConnection =
      !outcome.Response && !outcome.MayHaveRun &&
      outcome.Response.reason().Code == ErrorCode::ConnectionFailed;
  const bool silent = !outcome.Response && outcome.MayHaveRun;
  auto result = resultOf(it->second, outcome);
  result.CallRefused = result.Result == Outcome::Answered &&
                       result.Status >= MinServerErrorStatus &&
                       Refused.explains(Loop.now());
  count(it->second, result, latency);
  noteInterruption(it->second, result);
  const bool answered = result.Result == Outcome::Answered;
  finish(id, std::move(result),
         answered ? std::optional<Duration>(latency) : std::nullopt);
  if (refusedConnection) {
    reportCrash();
    noteSilence();
  } else if (!silent) {
    SilentCalls = 0;
    AnsweredAt = Loop.now();
  } else if (++SilentCalls >= MaxSilentCalls &&
             Loop.now() >= AnsweredAt + AliveFor) {
    noteSilence();
  }
}

// A broken connection alone says nothing: the server may live and lose single
// answers. What was interrupted is reported once the server is seen to be gone.
void BackendService::noteInterruption(const Call &call,
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
  }
}

void BackendService::reportCrash() {
  for (const auto it : Interrupted) {
    Poison.serverDied(Host, it);
  }
  Interrupted.clear();
}

// Takes the server as gone; its next report proves that it lives.
void BackendService::noteSilence() {
  if (Suspect || Server.Phase != ServerPhase::Ready) {
    return;
  }
  Suspect = true;
  Lines.warn(
      "the server does not answer",
      {{"instance", Server.Instance}, {"calls", std::uint64_t{SilentCalls}}});
  updateGate();
  Changed();
}

void BackendService::count(const Call &call, const CallResult &result,
                           Duration latency) {
  const bool ran = result.Result != Outcome::NotRun;
  if (!ran || (Counts.size() >= MaxCountedRoutes &&
               Counts.count(call.Message.Route) == 0)) {
    return;
  }
  auto &counts = Counts[call.Message.Route];
  counts.PathPrefix = call.Message.Route;
  ++counts.Calls;
  const bool failed = result.Result == Outcome::Unknown ||
                      result.Status >= MinServerErrorStatus;
  counts.Errors += failed ? 1 : 0;
  const auto us = static_cast<std::uint64_t>(latency.count()) /
                  (call.WasCold ? ColdSlowdown : 1);
  counts.LatencySumUs += us;
  const double ms = static_cast<double>(us) / 1000;
  counts.LatencySquareSumMs2 += ms * ms;
}

std::vector<KindCounts> BackendService::counts() const {
  std::vector<KindCounts> out;
  out.reserve(Counts.size());
  for (const auto &it : Counts) {
    out.push_back(it.second);
  }
  return out;
}

void BackendService::finish(BackendCallId id, CallResult result,
                            std::optional<Duration> latency) {
  const auto it = Calls.find(id);
  const auto reply = std::move(it->second.Reply);
  Calls.erase(it);
  Gate.finished(id, latency);
  runWaiting();
  result.Gate = gate();
  reply(std::move(result));
}

void BackendService::cancel(BackendCallId id) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  if (!Gate.cancel(id)) {
    Client.cancel(it->second.Http);
    Gate.finished(id, std::nullopt);
  }
  Calls.erase(it);
  runWaiting();
}

// Ends calls that waited and were certainly not run.
void BackendService::drop(const std::vector<GateRequestId> &ids,
                          ErrorCode code) {
  for (const auto id : ids) {
    const auto it = Calls.find(id);
    if (it != Calls.end()) {
      const auto reply = std::move(it->second.Reply);
      Calls.erase(it);
      refuse(reply, code, {});
    }
  }
}

void BackendService::runWaiting() {
  const auto now = Loop.now();
  drop(Gate.expire(now), ErrorCode::DeadlineExceeded);
  for (const auto id : Gate.start(now)) {
    const auto it = Calls.find(id);
    if (it == Calls.end()) {
      continue;
    }
    const auto isWanted = it->second.IsWanted;
    if (isWanted && !isWanted()) {
      cancel(id);
    }
    if (Calls.count(id) > 0) {
      send(id);
    }
  }
  armTimer();
}

void BackendService::armTimer() {
  const auto next = Gate.nextChange(Loop.now());
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
