#include "chivefold/daemon/call_message.h"

#include "chivefold/io/http_status.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

#include <strings.h>

namespace chivefold {
namespace {

constexpr std::array<std::string_view, 18> HopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Host",
    "Content-Length",
    "Expect",
    CallHeaders::Key,
    CallHeaders::Outcome,
    CallHeaders::TimeoutMs,
    CallHeaders::Depth,
    CallHeaders::RetryBudget,
    CallHeaders::Version,
    CallHeaders::RetryAfterMs};

bool equalsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::vector<std::unique_ptr<wire::HeaderFieldT>>
toWire(const HttpHeaders &headers) {
  std::vector<std::unique_ptr<wire::HeaderFieldT>> to;
  for (const auto &it : headers) {
    auto field = std::make_unique<wire::HeaderFieldT>();
    field->name = it.Name;
    field->value = it.Value;
    to.push_back(std::move(field));
  }
  return to;
}

HttpHeaders
fromWire(std::vector<std::unique_ptr<wire::HeaderFieldT>> &headers) {
  HttpHeaders to;
  for (auto &it : headers) {
    to.push_back({std::move(it->name), std::move(it->value)});
  }
  return to;
}

/** Stands for a body of unknown length on the wire. */
constexpr auto UnknownLength = std::numeric_limits<std::uint64_t>::max();
/** Stands for "no target" on the wire. */
constexpr auto NoTarget = std::numeric_limits<std::uint32_t>::max();

std::uint32_t toMs(Duration d) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(d);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(ms.count(), 0));
}

std::uint32_t toUs(Duration d) {
  constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(d.count(), 0, most));
}

// Absent on the wire if nothing is known.
std::unique_ptr<wire::RequestLimitT> limitToWire(const RequestLimit &limit,
                                                 TimePoint now) {
  if (limit.Known == LimitKnowledge::Unknown && limit.ServerStart == 0) {
    return nullptr;
  }
  auto to = std::make_unique<wire::RequestLimitT>();
  to->known = static_cast<std::uint8_t>(limit.Known);
  to->server_start = limit.ServerStart;
  if (limit.Known == LimitKnowledge::Stated) {
    to->per_second = limit.PerSecond;
    to->age_ms = toMs(now - limit.StatedAt);
  }
  return to;
}

RequestLimit limitFromWire(const wire::RequestLimitT *limit, TimePoint now) {
  RequestLimit out;
  // The comparison is false for NaN, too.
  if (limit == nullptr || !(limit->per_second >= 0) ||
      limit->known > static_cast<std::uint8_t>(LimitKnowledge::Stated)) {
    return out;
  }
  out.Known = static_cast<LimitKnowledge>(limit->known);
  out.PerSecond = limit->per_second;
  out.ServerStart = limit->server_start;
  out.StatedAt = now - std::chrono::milliseconds(limit->age_ms);
  return out;
}

// A daemon of an earlier version passes on what a server in trouble sent as its
// status. That is no answer; the state of the gate still holds.
CallResult withValidStatus(CallResult result) {
  if (isFinalStatus(result.Status)) {
    return result;
  }
  if (result.Result == Outcome::Answered) {
    auto failed =
        failedCall(Outcome::Unknown, ErrorCode::OutcomeUnknown, 502, {});
    failed.Gate = result.Gate;
    return failed;
  }
  result.Status = result.Result == Outcome::NotRun ? 503 : 502;
  return result;
}

} // namespace

std::string_view CallMessage::path() const {
  return std::string_view(Target).substr(0, Target.find('?'));
}

CallResult failedCall(Outcome outcome, ErrorCode code, std::uint16_t status,
                      Duration retryAfter) {
  CallResult result;
  result.Result = outcome;
  result.Code = code;
  result.Status = status;
  result.RetryAfter = retryAfter;
  return result;
}

wire::CallRequestT toWire(const CallMessage &call, TimePoint now) {
  wire::CallRequestT to;
  (call.Rest ? to.streamed_service : to.service) = call.Service;
  to.body_left = call.Rest ? call.Rest->length().value_or(UnknownLength) : 0;
  to.method = call.Method;
  to.path = call.Target;
  to.headers = toWire(call.Headers);
  to.body.assign(call.Body.begin(), call.Body.end());
  to.key = call.Key;
  to.time_left_ms = toMs(call.Deadline - now);
  if (call.InTimeUntil != TimePoint::max()) {
    to.in_time_left_ms = toMs(call.InTimeUntil - now);
  }
  to.depth = call.Depth;
  to.retry_budget = call.RetryBudget;
  to.worth = call.Worth;
  to.repeatable = call.Repeatable;
  to.to_claim_holder = call.ToClaimHolder;
  to.instance = call.Instance;
  to.server_start = call.ServerStart;
  to.config_version = call.ConfigurationVersion;
  to.route = call.Route;
  to.caller_service = call.CallerService;
  to.request_id = call.RequestId;
  to.request_limit = limitToWire(call.KnownLimit, now);
  to.customer = call.Customer;
  to.key_digest = call.KeyDigest;
  to.for_running = call.ForRunning;
  to.rank = call.RunningRank;
  return to;
}

bool hasRest(const wire::CallRequestT &request) {
  return request.body_left > 0;
}

std::optional<std::uint64_t> restLength(const wire::CallRequestT &request) {
  return request.body_left == UnknownLength
             ? std::nullopt
             : std::optional<std::uint64_t>(request.body_left);
}

CallMessage fromWire(wire::CallRequestT &request, TimePoint now) {
  CallMessage call;
  call.Service =
      std::move(hasRest(request) ? request.streamed_service : request.service);
  call.Method = std::move(request.method);
  call.Target = std::move(request.path);
  call.Headers = fromWire(request.headers);
  call.Body = std::string(request.body.begin(), request.body.end());
  call.Key = std::move(request.key);
  call.Deadline = now + std::chrono::milliseconds(request.time_left_ms);
  if (request.in_time_left_ms != NoTarget) {
    call.InTimeUntil = now + std::chrono::milliseconds(request.in_time_left_ms);
  }
  call.Depth = request.depth;
  call.RetryBudget = request.retry_budget;
  call.Worth = request.worth;
  call.Repeatable = request.repeatable;
  call.ToClaimHolder = request.to_claim_holder;
  call.Instance = std::move(request.instance);
  call.ServerStart = request.server_start;
  call.ConfigurationVersion = request.config_version;
  call.Route = std::move(request.route);
  call.CallerService = std::move(request.caller_service);
  call.RequestId = std::move(request.request_id);
  call.KnownLimit = limitFromWire(request.request_limit.get(), now);
  call.Customer = std::move(request.customer);
  call.KeyDigest = request.key_digest;
  call.ForRunning = request.for_running;
  call.RunningRank = request.rank;
  return call;
}

std::unique_ptr<wire::GateStateT> gateToWire(const GateState &gate,
                                             TimePoint now) {
  auto to = std::make_unique<wire::GateStateT>();
  to->limit = gate.Limit;
  to->in_flight = gate.InFlight;
  to->queued = gate.Queued;
  to->cold = gate.Cold;
  to->leaving = gate.Leaving;
  to->request_limit = limitToWire(gate.StatedLimit, now);
  to->limit_wait_ms = toMs(gate.LimitWait);
  to->server_leaving = gate.ServerLeaving;
  to->backlog_ms = toMs(gate.Backlog);
  to->service_us = toUs(gate.ServiceTime);
  to->typical_service_us = toUs(gate.TypicalServiceTime);
  return to;
}

GateState gateFromWire(const wire::GateStateT *gate, TimePoint now) {
  if (gate == nullptr) {
    return {};
  }
  return {gate->limit,
          gate->in_flight,
          gate->queued,
          gate->cold,
          gate->leaving,
          limitFromWire(gate->request_limit.get(), now),
          std::chrono::milliseconds(gate->limit_wait_ms),
          gate->server_leaving,
          std::chrono::milliseconds(gate->backlog_ms),
          Duration(gate->service_us),
          Duration(gate->typical_service_us)};
}

wire::CallAnswerT toWire(const CallResult &result, TimePoint now) {
  wire::CallAnswerT to;
  to.outcome = static_cast<std::uint8_t>(result.Result);
  to.error = errorName(result.Code);
  to.status = result.Status;
  to.headers = toWire(result.Headers);
  to.body.assign(result.Body.begin(), result.Body.end());
  to.retry_after_ms = toMs(result.RetryAfter);
  to.gate = gateToWire(result.Gate, now);
  to.call_refused = result.CallRefused;
  return to;
}

std::optional<CallResult> fromWire(wire::CallAnswerT &answer, TimePoint now) {
  if (answer.outcome > static_cast<std::uint8_t>(Outcome::Unknown)) {
    return std::nullopt;
  }
  CallResult result;
  result.Result = static_cast<Outcome>(answer.outcome);
  result.Code = errorFromName(answer.error).value_or(ErrorCode::OutcomeUnknown);
  result.Status = answer.status;
  result.Headers = fromWire(answer.headers);
  result.Body.assign(answer.body.begin(), answer.body.end());
  result.RetryAfter = std::chrono::milliseconds(answer.retry_after_ms);
  result.Gate = gateFromWire(answer.gate.get(), now);
  result.CallRefused = answer.call_refused;
  return withValidStatus(std::move(result));
}

std::optional<CallResult> callAnswer(PeerOutcome &outcome, TimePoint now) {
  auto *answer = outcome.Answer ? outcome.Answer->AsCallAnswer() : nullptr;
  return answer != nullptr ? fromWire(*answer, now) : std::nullopt;
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers) {
  HttpHeaders kept;
  for (const auto &it : headers) {
    const auto hop = std::any_of(
        HopHeaders.begin(), HopHeaders.end(),
        [&it](std::string_view h) { return equalsIgnoringCase(h, it.Name); });
    if (!hop) {
      kept.push_back(it);
    }
  }
  return kept;
}

std::optional<std::uint32_t> parseNumber(std::string_view text) {
  std::uint32_t n = 0;
  const auto *end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, n);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return n;
}

} // namespace chivefold
