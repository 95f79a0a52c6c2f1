/**
 * @file
 * Retry policy for attempts of a client's request.
 */
#ifndef CHIVEFOLD_MESH_ATTEMPT_POLICY_H
#define CHIVEFOLD_MESH_ATTEMPT_POLICY_H

#include "chivefold/core/types.h"
#include "chivefold/mesh/mesh_configuration.h"
#include "chivefold/mesh/retry_budget.h"

#include <cstdint>
#include <string_view>

namespace chivefold {

/** How an attempt ended. */
enum class AttemptEnd : std::uint8_t {
  /** The server ran the request and answered. */
  Answered,
  /** The server answered that it did not run the request. */
  DeclinedByServer,
  /** The server's gate refused the request; the server did not receive it. */
  RefusedByGate,
  /** The connection failed before any byte of the request reached a server. */
  NotSent,
  /** The request was sent, but no complete answer arrived. */
  Lost,
  /** No usable server was found. */
  NoServer
};

/** @return the name used in log lines, such as "answered" or "declined".
 * Thread-safe. */
std::string_view attemptEndName(AttemptEnd end);

/** What the proxy does after an attempt. */
enum class NextStep : std::uint8_t {
  /** Send the request to another server. */
  Retry,
  /** Forward the server's answer to the client. */
  Deliver,
  /** Answer that the request was not run and will not be. */
  RefuseNotRun,
  /** Answer that the request may have been run. */
  ReportUnknown
};

/** State of a request after an attempt, from which the next step is decided. */
struct AttemptFacts {
  AttemptEnd End = AttemptEnd::NoServer;
  /** HTTP status of the server's answer; 0 without an answer. */
  int Status = 0;
  /** Whether the server returned an error because a call of its own was
   * refused. Another server would fail in the same way. */
  bool CallRefused = false;
  RequestKind Kind = RequestKind::AtMostOnce;
  /** 0 is the most urgent. */
  std::uint32_t Priority = 0;
  /** Hosts of the fleet, which share the slack of the retry budget. */
  std::size_t Hosts = 1;
  /** Whether the request can be sent again: no part of its body is gone. */
  bool IsSendable = true;
  /** Attempts so far that may have run the request, including this one. */
  std::uint32_t PossibleRuns = 0;
  /** A request with this many attempts that may have run it is not retried. */
  std::uint32_t MaxPossibleRuns = 1;
  /** All attempts so far, including refused ones. */
  std::uint32_t Attempts = 0;
  /** Time left until the deadline of the request. */
  Duration TimeLeft{};
  /** Expected latency of another attempt. */
  Duration ExpectedLatency{};
};

/**
 * Decides whether a request is retried after an attempt, and otherwise how it
 * is answered. An at-most-once request is never retried after an attempt that
 * may have run it, and no request of whose body a part is gone. A retry is
 * taken from the service's retry budget if the last attempt reached a server.
 * After a refusal by a gate it is not, since no server received the request.
 * Thread-safe except for the budget.
 */
class AttemptPolicy {
public:
  /** Limit of all attempts of a request, including refused ones. */
  static constexpr std::uint32_t MaxAttempts = 5;

  static NextStep next(const AttemptFacts &facts, RetryBudget &budget,
                       TimePoint now);
};

} // namespace chivefold

#endif
