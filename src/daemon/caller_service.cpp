#include "chivefold/daemon/caller_service.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chivefold {
namespace {

constexpr Duration NotReadyRetryAfter = std::chrono::milliseconds(500);
constexpr std::size_t MaxKeyBytes = 256;

/** Splits "/SERVICE/PATH" at the second slash. */
std::pair<std::string_view, std::string_view> splitPath(std::string_view path) {
  const auto slash = path.find('/', 1);
  if (slash == std::string_view::npos) {
    return {path.substr(1), "/"};
  }
  return {path.substr(1, slash - 1), path.substr(slash)};
}

std::uint16_t statusOf(ErrorCode ec) {
  switch (ec) {
  case ErrorCode::NotFound:
    return 404;
  case ErrorCode::TooLarge:
    return 508;
  default:
    return 400;
  }
}

/** Reads a numeric header; absent is @p fallback. */
std::optional<std::uint32_t> numberHeader(const HttpHeaders &headers,
                                          std::string_view name,
                                          std::uint32_t fallback) {
  const auto text = headerValue(headers, name);
  return text.empty() ? std::optional<std::uint32_t>(fallback)
                      : parseNumber(text);
}

std::string explain(const CallResult &result) {
  nlohmann::json body = {{"outcome", outcomeName(result.Result)},
                         {"error", errorName(result.Code)}};
  return body.dump() + "\n";
}

} // namespace

CallerService::CallerService(Reactor &reactor, CallerParts parts,
                             std::uint64_t seed)
    : Loop(reactor), Parts(parts), Random(seed) {}

std::optional<CallResult>
CallerService::refuseEarly(const HttpRequest &request) const {
  if (Parts.Control.readiness().Ready) {
    return std::nullopt;
  }
  // Without the configuration a key may be that of a request that has run.
  const bool keyed = !headerValue(request.Headers, CallHeaders::Key).empty();
  return failedCall(keyed ? Outcome::Unknown : Outcome::NotRun,
                    ErrorCode::NotReady, keyed ? 504 : 503, NotReadyRetryAfter);
}

std::optional<CallResult>
CallerService::refusePoison(const HttpRequest &request,
                            const Accepted &accepted) const {
  const auto left = Parts.Poison.quarantined(digestOf(accepted.Call));
  if (!left) {
    return std::nullopt;
  }
  // A request that brings its key may be a repeat of one that has run.
  const bool keyed = !headerValue(request.Headers, CallHeaders::Key).empty();
  return failedCall(keyed ? Outcome::Unknown : Outcome::NotRun,
                    ErrorCode::Quarantined, keyed ? 504 : 503, *left);
}

Status CallerService::readHeaders(const HttpRequest &request,
                                  Accepted &accepted) {
  const auto &route = *accepted.Matched;
  const auto timeout =
      numberHeader(request.Headers, CallHeaders::TimeoutMs, route.TimeoutMs);
  const auto depth = numberHeader(request.Headers, CallHeaders::Depth, 0);
  const auto budget = numberHeader(request.Headers, CallHeaders::RetryBudget,
                                   DefaultRetryBudget);
  if (!timeout || !depth || !budget) {
    return Reason{ErrorCode::InvalidArgument, "a header is not a number"};
  }
  if (*depth >= static_cast<std::uint32_t>(ConfigurationLimits::MaxDepth)) {
    return Reason{ErrorCode::TooLarge, "the call is too deep"};
  }
  auto &call = accepted.Call;
  call.Deadline = Loop.now() + std::chrono::milliseconds(
                                   std::min(*timeout, route.TimeoutMs));
  call.Depth = *depth + 1;
  call.RetryBudget = std::min(*budget, MaxRetryBudget);
  call.Key = headerValue(request.Headers, CallHeaders::Key);
  if (call.Key.size() > MaxKeyBytes) {
    return Reason{ErrorCode::InvalidArgument, "the key is too long"};
  }
  if (call.Key.empty() && !route.Repeatable) {
    call.Key = randomKey();
  }
  return Done{};
}

std::string CallerService::randomKey() {
  return "generated-" + std::to_string(Random()) + std::to_string(Random());
}

Result<CallerService::Accepted>
CallerService::accept(const HttpRequest &request) {
  const auto [name, path] = splitPath(request.Path);
  Accepted accepted;
  accepted.Config = Parts.State.configuration();
  const auto *service = accepted.Config->service(name);
  if (service == nullptr) {
    return Reason{ErrorCode::NotFound, "no such service"};
  }
  accepted.Target = service;
  accepted.Matched = findRoute(*service, request.Method, path);
  if (accepted.Matched == nullptr) {
    return Reason{ErrorCode::NotFound, "no such route"};
  }
  auto &call = accepted.Call;
  call.Service = service->Name;
  call.Method = request.Method;
  call.Target = path;
  if (!request.Query.empty()) {
    call.Target += "?" + request.Query;
  }
  call.Headers = endToEndHeaders(request.Headers);
  call.Body = request.Body;
  call.Worth = accepted.Matched->Worth;
  call.Repeatable = accepted.Matched->Repeatable;
  if (const auto read = readHeaders(request, accepted); !read) {
    return read.reason();
  }
  return accepted;
}

void CallerService::handle(const std::shared_ptr<HttpExchange> &exchange) {
  if (auto refused = refuseEarly(exchange->request())) {
    respond(exchange, std::move(*refused));
    return;
  }
  auto accepted = accept(exchange->request());
  if (!accepted) {
    const auto ec = accepted.reason().Code;
    respond(exchange, failedCall(Outcome::NotRun, ec, statusOf(ec), {}));
    return;
  }
  if (auto refused = refusePoison(exchange->request(), *accepted)) {
    record(*accepted, *refused, Loop.now());
    respond(exchange, std::move(*refused));
    return;
  }
  run(exchange, std::move(*accepted));
}

void CallerService::run(const std::shared_ptr<HttpExchange> &exchange,
                        Accepted accepted) {
  auto call = std::move(accepted.Call);
  const auto startedAt = Loop.now();
  auto reply = [this, exchange, startedAt,
                accepted = std::move(accepted)](CallResult result) {
    record(accepted, result, startedAt);
    respond(exchange, std::move(result));
  };
  if (!call.Repeatable) {
    Parts.Claims.request(std::move(call), std::move(reply));
    return;
  }
  const auto id = Parts.Runner.run(std::move(call), {}, std::move(reply));
  exchange->onAbandoned([this, id] { Parts.Runner.cancel(id); });
}

void CallerService::respond(const std::shared_ptr<HttpExchange> &exchange,
                            CallResult result) const {
  HttpResponse response;
  response.Status = result.Status;
  response.Headers = std::move(result.Headers);
  const auto add = [&response](std::string_view name, std::string value) {
    response.Headers.push_back({std::string(name), std::move(value)});
  };
  add(CallHeaders::Outcome, std::string(outcomeName(result.Result)));
  add(CallHeaders::Version, std::to_string(raw(Parts.State.version())));
  if (result.Result == Outcome::Answered) {
    response.Body = std::move(result.Body);
    exchange->respond(std::move(response));
    return;
  }
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(result.RetryAfter)
          .count();
  if (ms > 0) {
    add(CallHeaders::RetryAfterMs, std::to_string(ms));
    add("Retry-After", std::to_string((ms + 999) / 1000));
  }
  add("Content-Type", "application/json");
  response.Body = explain(result);
  exchange->respond(std::move(response));
}

void CallerService::record(const Accepted &accepted, const CallResult &result,
                           TimePoint startedAt) {
  CallSample sample;
  sample.Service = accepted.Target->Name;
  sample.Kind = accepted.Matched->Kind;
  sample.Result = result.Result;
  sample.Good = result.Result == Outcome::Answered &&
                result.Status < MinServerErrorStatus;
  sample.Worth = accepted.Matched->Worth;
  const auto now = Loop.now();
  sample.Latency = now - startedAt;
  Parts.Figures.record(now, sample);
}

} // namespace chivefold
