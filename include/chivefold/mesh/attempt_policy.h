/**
 * @file
 * What follows an attempt of a client's request.
 */
#ifndef CHIVEFOLD_MESH_ATTEMPT_POLICY_H
#define CHIVEFOLD_MESH_ATTEMPT_POLICY_H

#include "chivefold/core/call_policy.h"
#include "chivefold/core/types.h"
#include "chivefold/mesh/mesh_configuration.h"

#include <cstdint>
#include <string_view>

namespace chivefold {

/** How an attempt ended. */
enum class AttemptEnd : std::uint8_t {
  /** The server ran the request and answered. */
  Answered,
  /** The server answered that it did not run the request. */
  DeclinedByServer,
  /** The gate beside the server refused; no server saw the request. */
  RefusedByGate,
  /** Nothing left this daemon. */
  NotSent,
  /** Sent, and no complete answer came. */
  Lost,
  /** No server could be chosen. */
  NoServer
};

/** @return "answered", "declined", ... Thread-safe. */
std::string_view attemptEndName(AttemptEnd end);

enum class NextStep : std::uint8_t {
  /** Choose another server. */
  Retry,
  /** Pass on the server's answer. */
  Deliver,
  /** Answer that the request has not run and never will. */
  RefuseNotRun,
  /** Answer that the outcome is unknown. */
  ReportUnknown
};

/** Facts of one request that the next step rests on. */
struct AttemptFacts {
  AttemptEnd End = AttemptEnd::NoServer;
  /** Status of the server's answer, if it answered. */
  int Status = 0;
  /** The server failed since a call that it made was refused: another server
   * would fail in the same way. */
  bool CallRefused = false;
  RequestKind Kind = RequestKind::AtMostOnce;
  /** Servers that may have run the request so far, this attempt included. */
  std::uint32_t PossibleRuns = 0;
  std::uint32_t MaxPossibleRuns = 1;
  /** Attempts of any kind so far. */
  std::uint32_t Attempts = 0;
  /** Time left, and the time that another attempt is expected to take. */
  Duration TimeLeft{};
  Duration ExpectedLatency{};
};

/**
 * Decides what follows an attempt. Requests that may run at most once are never
 * sent again after an attempt that may have run. A repetition that reaches a
 * server is taken from the service's retry budget; one after a refusal by a
 * gate is not, since no server saw the request. Thread-safe but for the tokens.
 */
class AttemptPolicy {
public:
  /** Attempts of any kind, refusals included. */
  static constexpr std::uint32_t MaxAttempts = 5;

  static NextStep next(const AttemptFacts &facts, RetryTokens &tokens,
                       TimePoint now);
};

} // namespace chivefold

#endif
