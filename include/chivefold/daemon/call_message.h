/**
 * @file
 * One call as it travels from its caller to a backend server and back.
 */
#ifndef CHIVEFOLD_DAEMON_CALL_MESSAGE_H
#define CHIVEFOLD_DAEMON_CALL_MESSAGE_H

#include "chivefold/core/error.h"
#include "chivefold/core/gate.h"
#include "chivefold/core/types.h"
#include "chivefold/io/http.h"
#include "chivefold/io/peer_network.h"
#include "peer_generated.h"

#include <functional>
#include <optional>
#include <string>

namespace chivefold {

/** Headers of the protocol with callers and backend servers. */
struct CallHeaders {
  static constexpr std::string_view Key = "Idempotency-Key";
  static constexpr std::string_view TimeoutMs = "Chivefold-Timeout-Ms";
  static constexpr std::string_view Depth = "Chivefold-Depth";
  static constexpr std::string_view RetryBudget = "Chivefold-Retry-Budget";
  static constexpr std::string_view Outcome = "Chivefold-Outcome";
  static constexpr std::string_view RetryAfterMs = "Chivefold-Retry-After-Ms";
  static constexpr std::string_view Version = "Chivefold-Version";
  static constexpr std::string_view ServedBy = "Chivefold-Served-By-Version";
};

/** A request. */
struct CallMessage {
  std::string Service;
  std::string Method;
  /** Path below the service, with the query. */
  std::string Target;
  HttpHeaders Headers;
  SharedBody Body;
  /** What follows Body while it arrives; null if Body is whole. */
  std::shared_ptr<BodyStream> Rest;
  /** Idempotency key, or "". */
  std::string Key;
  TimePoint Deadline{};
  /** Until then an answer has its full value; max() if it has no target. */
  TimePoint InTimeUntil = TimePoint::max();
  std::uint32_t Depth = 0;
  std::uint32_t RetryBudget = 0;
  std::uint32_t Worth = 1;
  bool Repeatable = false;
  /** Sent to the daemon that holds the claim of Key, which decides. */
  bool ToClaimHolder = false;
  /** Backend server that was chosen, or "". */
  std::string Instance;
  /** Identifies the start of that server's process; 0 if unknown. */
  std::uint64_t ServerStart = 0;
  /** Version of the configuration by which the caller's daemon routed the
   * request; 0 if unknown. */
  std::uint64_t ConfigurationVersion = 0;
  /** Name of the route, for figures. */
  std::string Route;
  /** Service of the host where the request began. */
  std::string CallerService;
  /** Identity that the client gave the request. */
  std::string RequestId;
  /** Request limit of the chosen server as the caller's daemon knows it. */
  RequestLimit KnownLimit;
  /** Customer whose key the client stated, or "". */
  std::string Customer;
  /** Digest of that key; 0 if there is none. */
  std::uint64_t KeyDigest = 0;
  /** The request is a call of one that runs at the server beside the caller's
   * daemon. */
  bool ForRunning = false;
  /** Rank of that request; used if ForRunning. 0 is the most urgent. */
  std::uint32_t RunningRank = 0;

  /** @return the rank by which the request is queued and placed. */
  std::uint32_t rank() const { return ForRunning ? RunningRank : Worth; }
  /** @return Target without the query. */
  std::string_view path() const;
  /** @return whether a part of the body is still to be passed on. */
  bool isBodyOpen() const { return Rest && !Rest->isAtEnd(); }
  /** @return whether the call can be sent, again or for the first time: all of
   * its body is still here or to come. */
  bool isSendable() const { return !Rest || !Rest->isStarted(); }
};

/** What became of a request. */
struct CallResult {
  Outcome Result = Outcome::Unknown;
  ErrorCode Code = ErrorCode::Ok;
  /** Status for the caller; that of the backend server if answered. */
  std::uint16_t Status = 0;
  HttpHeaders Headers;
  std::string Body;
  /** Time after which the caller may come back, unless answered. */
  Duration RetryAfter{};
  /** State of the gate that decided; Limit is 0 if none did. */
  GateState Gate;
  /** The server answered with an error since a call that it made was refused.
   */
  bool CallRefused = false;
};

using CallReply = std::function<void(CallResult)>;

/** @return a result without a response of a backend server. Thread-safe. */
CallResult failedCall(Outcome outcome, ErrorCode code, std::uint16_t status,
                      Duration retryAfter);

/** @return the request for a frame; @p now turns the deadline into time left.
 * Thread-safe. */
wire::CallRequestT toWire(const CallMessage &call, TimePoint now);
CallMessage fromWire(wire::CallRequestT &request, TimePoint now);

/** @return whether the body of a call goes on in further frames. Thread-safe.
 */
bool hasRest(const wire::CallRequestT &request);
/** @return the bytes that follow, if known. Thread-safe. */
std::optional<std::uint64_t> restLength(const wire::CallRequestT &request);

/** Converts the state of a gate; all zero if there is none. @p now turns times
 * into ages. Thread-safe. */
std::unique_ptr<wire::GateStateT> gateToWire(const GateState &gate,
                                             TimePoint now);
GateState gateFromWire(const wire::GateStateT *gate, TimePoint now);

wire::CallAnswerT toWire(const CallResult &result, TimePoint now);
/** @return the result, or nothing if a field is out of range. Thread-safe. */
std::optional<CallResult> fromWire(wire::CallAnswerT &answer, TimePoint now);

/** @return the result that a peer answered, or nothing if there is no valid
 * one. Thread-safe. */
std::optional<CallResult> callAnswer(PeerOutcome &outcome, TimePoint now);

/** @return the headers without those of one connection or of this protocol.
 * Thread-safe. */
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

/** @return the number in @p text, or nothing. Thread-safe. */
std::optional<std::uint32_t> parseNumber(std::string_view text);

} // namespace chivefold

#endif
