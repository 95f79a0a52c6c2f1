/**
 * @file
 * Attempts, deadlines, retry budget and outcome of one call.
 */
#ifndef CHIVEFOLD_CORE_CALL_POLICY_H
#define CHIVEFOLD_CORE_CALL_POLICY_H

#include "chivefold/core/error.h"
#include "chivefold/core/rate_limit.h"
#include "chivefold/core/types.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace chivefold {

/** Least status of an answer with which a server says that it failed. */
constexpr int MinServerErrorStatus = 500;

/** Retries that a call tree starts with, when its caller states none. */
constexpr std::uint32_t DefaultRetryBudget = 2;
/** Larger numbers in a header are cut to this. */
constexpr std::uint32_t MaxRetryBudget = 3;

/**
 * Retries that a daemon may make, shared by all its calls. Each answered call
 * earns a tenth of a retry, so retries stay under 10% of calls, and when all
 * calls fail they stop: 8 levels that fail together cannot multiply each
 * other's calls. A small refill over time lets a quiet daemon retry.
 * Not thread-safe.
 */
class RetryTokens {
public:
  static constexpr double TokensPerAnswer = 0.1;
  static constexpr double MaxTokens = 10;
  /** Tokens gained per second without any call. */
  static constexpr double TokensPerSecond = 0.1;

  explicit RetryTokens(TimePoint now);
  /** A call was answered without a server error. */
  void recordAnswer();
  /** @return whether a retry may be made; if so it is taken. */
  bool tryAcquire(TimePoint now);

private:
  RateLimiter Tokens;
};

/** What the policy must know of a call. */
struct CallParameters {
  TimePoint Deadline{};
  /** Whether running the request twice is harmless. */
  bool Repeatable = false;
  /** Retries left for the whole call tree, from the request's header. */
  std::uint32_t RetryBudget = DefaultRetryBudget;
};

enum class CallEventKind : std::uint8_t {
  /** The call arrived, or a wait is over. */
  Started,
  /** The router found Server. */
  Routed,
  /** The router found no usable server. */
  NotRouted,
  /** The gate refused; certainly not run. */
  RefusedNotRun,
  /** No byte of the request left; certainly not run. */
  FailedNotSent,
  /** The connection failed after the request was sent. */
  FailedMayHaveRun,
  /** The server answered with Status. */
  Answered,
  /** The deadline of the attempt passed. */
  AttemptTimedOut,
  /** The caller is gone. */
  Cancelled
};

struct CallEvent {
  CallEventKind Kind = CallEventKind::Started;
  /** For Routed. */
  Address Server;
  /** For RefusedNotRun and NotRouted: when to try again. */
  Duration RetryAfter{};
  /** For Answered: status of the response. */
  std::uint16_t Status = 0;
  /** For RefusedNotRun: why, for example Overloaded. */
  ErrorCode Code = ErrorCode::Ok;
};

/** Ask the router, excluding CallPolicy::tried(); report Routed or NotRouted.
 */
struct FindRoute {};

/** Send the request to Server. */
struct SendTo {
  Address Server;
  /** When this attempt is given up; at most the deadline of the call. */
  TimePoint AttemptDeadline{};
  /** Goes into the header of the attempt. */
  std::uint32_t RetryBudget = 0;
  std::uint32_t Attempt = 1;
};

/** Nothing to do until the next event. */
struct AwaitEvent {};

/**
 * The final answer; given once, as soon as no attempt can follow. For Answered
 * it is the response of the latest Answered event, which the caller of the
 * policy keeps: an answer with a server error may be followed by another
 * attempt on a repeatable route, and is final if that fails otherwise.
 */
struct FinishCall {
  Outcome Result = Outcome::Unknown;
  /** Status of the response; 503 or 429 for NotRun, 504 for Unknown. */
  std::uint16_t Status = 0;
  /** For NotRun and Unknown. */
  Duration RetryAfter{};
  ErrorCode Code = ErrorCode::Ok;
};

using CallDecision = std::variant<FindRoute, SendTo, AwaitEvent, FinishCall>;

/**
 * Decides the attempts of one call. An attempt that may have run is followed
 * by another only on a repeatable route; "not run" is answered only if no
 * attempt may have run. Not thread-safe.
 */
class CallPolicy {
public:
  static constexpr std::uint32_t MaxAttempts = 3;
  /** An attempt with less time than this is not begun. */
  static constexpr Duration MinAttemptTime = std::chrono::milliseconds(2);
  /** Retry-after time of an answer for which no server stated one. */
  static constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(200);

  /** @param tokens of the daemon; outlives this object. */
  CallPolicy(const CallParameters &parameters, RetryTokens &tokens);

  /** Takes an event. Events after FinishCall give AwaitEvent. */
  CallDecision next(const CallEvent &event, TimePoint now);

  /** @return the servers that this call has used. */
  const std::vector<Address> &tried() const;

  /** @return whether an attempt may have run. */
  bool mayHaveRun() const;

private:
  CallDecision send(const Address &server, TimePoint now);
  CallDecision retry(const CallEvent &event, TimePoint now);
  FinishCall fail(const CallEvent &event);
  FinishCall finish(FinishCall result);

  CallParameters Parameters;
  RetryTokens &Tokens;
  std::vector<Address> TriedServers;
  std::uint32_t Attempts = 0;
  /** Status of an answer with a server error; 0 if there was none. */
  std::uint16_t ErrorStatus = 0;
  bool AttemptInFlight = false;
  bool MayHaveRun = false;
  bool Finished = false;
};

} // namespace chivefold

#endif
