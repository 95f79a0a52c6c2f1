#include "chivefold/daemon/gate_service.h"

#include "chivefold/core/call_policy.h"

#include <algorithm>
#include <cmath>

namespace chivefold {
namespace {

constexpr std::uint16_t StatusShed = 429;
constexpr std::uint16_t StatusNotRun = 503;
constexpr std::uint16_t StatusUnknown = 504;
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(200);

ServerLimits limitsOf(const ControlState &state, const std::string &service) {
  const auto *found = state.configuration()->service(service);
  return found != nullptr ? found->Limits : ServerLimits();
}

std::string milliseconds(Duration d) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

} // namespace

GateService::GateService(Reactor &reactor, HttpClient &client,
                         const Settings &settings, const ControlState &state,
                         PoisonService &poison)
    : Loop(reactor), Client(client), Own(settings), State(state),
      Poison(poison), Admission(limitsOf(state, settings.Service)) {}

GateService::~GateService() { Loop.cancel(Timer); }

GateRequestId GateService::run(CallMessage call, CallReply reply) {
  const auto id = GateRequestId{NextId++};
  const auto now = Loop.now();
  const GateRequest request{id, call.Worth, call.Deadline, call.Repeatable};
  const bool ours = call.Service == Own.Service;
  const auto digest = digestOf(call);
  Calls.emplace(id, OpenCall{std::move(call), std::move(reply),
                             HttpCallId::None, now, digest});
  if (!ours) {
    reject(id, ErrorCode::NotFound, DefaultRetryAfter);
    return id;
  }
  const auto admission = Admission.admit(request, now);
  if (admission.Shed) {
    reject(*admission.Shed, ErrorCode::Overloaded, admission.RetryAfter);
  }
  if (admission.Kind == AdmissionKind::Rejected) {
    reject(id, admission.Code, admission.RetryAfter);
  } else if (admission.Kind == AdmissionKind::Run) {
    startRunning(id);
  }
  armTimer();
  return id;
}

HttpCall GateService::httpCall(const CallMessage &call) const {
  HttpCall http;
  http.Method = call.Method;
  http.Url = "http://" + toString(Own.BackendServer) + call.Target;
  http.Headers = call.Headers;
  http.Body = call.Body;
  http.Deadline = call.Deadline;
  http.FreshConnection = !call.Repeatable;
  const auto add = [&http](std::string_view name, std::string value) {
    http.Headers.push_back({std::string(name), std::move(value)});
  };
  add(CallHeaders::TimeoutMs, milliseconds(call.Deadline - Loop.now()));
  add(CallHeaders::Depth, std::to_string(call.Depth));
  add(CallHeaders::RetryBudget, std::to_string(call.RetryBudget));
  if (!call.Key.empty()) {
    add(CallHeaders::Key, call.Key);
  }
  return http;
}

void GateService::startRunning(GateRequestId id) {
  if (refusePoison(id)) {
    return;
  }
  auto &open = Calls.at(id);
  open.StartedAt = Loop.now();
  open.Http =
      Client.start(httpCall(open.Message), [this, id](HttpOutcome outcome) {
        finished(id, std::move(outcome));
      });
}

bool GateService::refusePoison(GateRequestId id) {
  const auto left = Poison.quarantined(Calls.at(id).Digest);
  if (!left) {
    return false;
  }
  const auto next = Admission.finish(id, ServerResult::Cancelled,
                                     Duration::zero(), Loop.now());
  reject(id, ErrorCode::Quarantined, *left);
  for (const auto it : next) {
    startRunning(it);
  }
  return true;
}

void GateService::learnPoison(const OpenCall &open, const CallResult &answer,
                              ServerResult result) {
  if (result == ServerResult::ConnectionFailed &&
      answer.Result == Outcome::Unknown) {
    Poison.serverDied(Own.PeerListen, open.Digest);
  } else if (answer.Result == Outcome::Answered &&
             answer.Status < MinServerErrorStatus) {
    Poison.succeeded(open.Digest);
  }
}

CallResult GateService::classify(HttpOutcome &outcome,
                                 ServerResult &result) const {
  if (outcome.Response) {
    auto &response = *outcome.Response;
    result = response.Status >= MinServerErrorStatus ? ServerResult::ServerError
                                                     : ServerResult::Ok;
    const auto said = headerValue(response.Headers, CallHeaders::Outcome);
    if (said == outcomeName(Outcome::NotRun)) {
      // The backend server shed the request and says so.
      return failedCall(Outcome::NotRun, ErrorCode::Overloaded, StatusNotRun,
                        DefaultRetryAfter);
    }
    CallResult answered;
    answered.Result = Outcome::Answered;
    answered.Status = static_cast<std::uint16_t>(response.Status);
    answered.Headers = endToEndHeaders(response.Headers);
    answered.Headers.push_back(
        {std::string(CallHeaders::ServedBy), Own.ServiceVersion});
    answered.Body = std::move(response.Body);
    return answered;
  }
  const auto code = outcome.Response.reason().Code;
  result = code == ErrorCode::DeadlineExceeded ? ServerResult::TimedOut
           : code == ErrorCode::OutcomeUnknown ? ServerResult::ServerError
                                               : ServerResult::ConnectionFailed;
  if (!outcome.MayHaveRun) {
    return failedCall(Outcome::NotRun, code, StatusNotRun, DefaultRetryAfter);
  }
  return failedCall(Outcome::Unknown, code, StatusUnknown, DefaultRetryAfter);
}

void GateService::finished(GateRequestId id, HttpOutcome outcome) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  const auto now = Loop.now();
  const auto latency = now - it->second.StartedAt;
  ServerResult result = ServerResult::Ok;
  auto answer = classify(outcome, result);
  count(it->second.Message, answer, latency);
  learnPoison(it->second, answer, result);
  for (const auto next : Admission.finish(id, result, latency, now)) {
    startRunning(next);
  }
  reply(id, std::move(answer));
  armTimer();
}

void GateService::reject(GateRequestId id, ErrorCode code,
                         Duration retryAfter) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  const auto status = code == ErrorCode::Overloaded ? StatusShed : StatusNotRun;
  auto result = failedCall(Outcome::NotRun, code, status, retryAfter);
  count(it->second.Message, result, {});
  reply(id, std::move(result));
}

void GateService::reply(GateRequestId id, CallResult result) {
  auto open = Calls.extract(id);
  result.Gate = Admission.state();
  open.mapped().Reply(std::move(result));
}

void GateService::cancel(GateRequestId id) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  if (Admission.cancel(id)) {
    Calls.erase(it);
    return;
  }
  if (!it->second.Message.Repeatable) {
    return;
  }
  Client.cancel(it->second.Http);
  const auto latency = Loop.now() - it->second.StartedAt;
  Calls.erase(it);
  for (const auto next :
       Admission.finish(id, ServerResult::Cancelled, latency, Loop.now())) {
    startRunning(next);
  }
}

void GateService::configurationChanged() {
  const auto limits = limitsOf(State, Own.Service);
  Client.setMaxConnections(limits.Connections);
  for (const auto id : Admission.setLimits(limits)) {
    reject(id, ErrorCode::Overloaded, DefaultRetryAfter);
  }
  dropOldCounts();
}

void GateService::dropOldCounts() {
  const auto *service = State.configuration()->service(Own.Service);
  for (auto it = Counts.begin(); it != Counts.end();) {
    const bool kept = service != nullptr &&
                      std::any_of(service->Routes.begin(),
                                  service->Routes.end(), [&it](const Route &r) {
                                    return r.PathPrefix == it->first.first &&
                                           r.Kind == it->first.second;
                                  });
    it = kept ? std::next(it) : Counts.erase(it);
  }
}

void GateService::startLeaving() {
  for (const auto id : Admission.startLeaving()) {
    reject(id, ErrorCode::NotReady, DefaultRetryAfter);
  }
}

void GateService::armTimer() {
  Loop.cancel(Timer);
  Timer = TimerId::None;
  const auto deadline = Admission.nextDeadline();
  if (!deadline) {
    return;
  }
  Timer = Loop.schedule(*deadline, [this] {
    Timer = TimerId::None;
    for (const auto id : Admission.expire(Loop.now())) {
      reject(id, ErrorCode::DeadlineExceeded, DefaultRetryAfter);
    }
    armTimer();
  });
}

void GateService::count(const CallMessage &call, const CallResult &result,
                        Duration latency) {
  const auto *service = State.configuration()->service(Own.Service);
  const auto *route = service != nullptr
                          ? findRoute(*service, call.Method, call.path())
                          : nullptr;
  if (route == nullptr) {
    return;
  }
  auto &counts = Counts[{route->PathPrefix, route->Kind}];
  counts.PathPrefix = route->PathPrefix;
  counts.Kind = route->Kind;
  if (result.Result == Outcome::NotRun) {
    ++counts.Refusals;
    return;
  }
  ++counts.Calls;
  if (result.Result == Outcome::Unknown ||
      result.Status >= MinServerErrorStatus) {
    ++counts.Errors;
  }
  const auto us = static_cast<std::uint64_t>(latency.count());
  counts.LatencySumUs += us;
  counts.LatencySquareSumMs2 += std::pow(static_cast<double>(us) / 1000, 2);
}

std::vector<KindCounts> GateService::counts() const {
  std::vector<KindCounts> all;
  all.reserve(Counts.size());
  for (const auto &it : Counts) {
    all.push_back(it.second);
  }
  return all;
}

} // namespace chivefold
