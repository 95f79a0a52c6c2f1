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

/** Lowest HTTP status that reports a server error. */
constexpr int MinServerErrorStatus = 500;

/** Retry budget of a call tree whose caller states none. */
constexpr std::uint32_t DefaultRetryBudget = 2;
/** Upper bound of the retry budget; a larger value in a request header is
 * reduced to it. */
constexpr std::uint32_t MaxRetryBudget = 3;

/**
 * Token bucket that limits the retries of a daemon, shared by all its calls.
 * Each answered call adds a tenth of a retry, so retries stay under 10% of the
 * calls. When all calls fail, no tokens are added and retries stop, so that 8
 * service levels that fail together do not multiply each other's calls. A small
 * refill over time lets a daemon with few calls retry. Not thread-safe.
 */
class RetryTokens {
public:
  static constexpr double TokensPerAnswer = 0.1;
  static constexpr double MaxTokens = 10;
  /** Refill that does not depend on calls. */
  static constexpr double TokensPerSecond = 0.1;

  explicit RetryTokens(TimePoint now);
  /** Adds the tokens for a call that was answered without a server error. */
  void recordAnswer();
  /** Takes the token for one retry. @return whether the retry may be made. */
  bool tryAcquire(TimePoint now);

private:
  RateLimiter Tokens;
};

/** Properties of a call that decide its attempts. */
struct CallParameters {
  TimePoint Deadline{};
  /** Whether the request may be run more than once. */
  bool Repeatable = false;
  /** Retries left for the whole call tree, from the request header. */
  std::uint32_t RetryBudget = DefaultRetryBudget;
};

enum class CallEventKind : std::uint8_t {
  /** The call arrived, or a wait before another attempt is over. */
  Started,
  /** The router chose Server. */
  Routed,
  /** The router found no usable server. */
  NotRouted,
  /** The gate refused the request, which was not run. */
  RefusedNotRun,
  /** No byte of the request was sent, so it was not run. */
  FailedNotSent,
  /** The connection failed after the request was sent; it may have run. */
  FailedMayHaveRun,
  /** The server answered with Status. */
  Answered,
  /** The deadline of the attempt passed; the request may have run. */
  AttemptTimedOut,
  /** The caller cancelled the call or disconnected. */
  Cancelled
};

struct CallEvent {
  CallEventKind Kind = CallEventKind::Started;
  /** For Routed: the chosen server. */
  Address Server;
  /** For RefusedNotRun and NotRouted: time after which to try again. */
  Duration RetryAfter{};
  /** For Answered: HTTP status of the response. */
  std::uint16_t Status = 0;
  /** For RefusedNotRun: the reason, for example Overloaded. */
  ErrorCode Code = ErrorCode::Ok;
};

/** Ask the router for a server other than those in CallPolicy::tried(), then
 * report Routed or NotRouted.
 */
struct FindRoute {};

/** Send the request to Server. */
struct SendTo {
  Address Server;
  /** Time at which this attempt is abandoned; not later than the deadline of
   * the call. */
  TimePoint AttemptDeadline{};
  /** Value of the retry budget header of the attempt. */
  std::uint32_t RetryBudget = 0;
  std::uint32_t Attempt = 1;
};

/** Wait for the next event. */
struct AwaitEvent {};

/**
 * End the call with this result. Returned once, as soon as no further attempt
 * is possible. If Result is Answered, the response to return is that of the
 * latest Answered event, which the user of the policy must keep: on a
 * repeatable route, an answer with a server error may be followed by another
 * attempt, and it remains the result if no later attempt is answered.
 */
struct FinishCall {
  Outcome Result = Outcome::Unknown;
  /** HTTP status of the response; 503 or 429 for NotRun, 504 for Unknown. */
  std::uint16_t Status = 0;
  /** For NotRun and Unknown: time after which the caller may try again. */
  Duration RetryAfter{};
  ErrorCode Code = ErrorCode::Ok;
};

using CallDecision = std::variant<FindRoute, SendTo, AwaitEvent, FinishCall>;

/**
 * State machine that decides the attempts of one call. After an attempt that
 * may have run, another one is made only on a repeatable route. The result is
 * NotRun only if none of the attempts can have run. Not thread-safe.
 */
class CallPolicy {
public:
  static constexpr std::uint32_t MaxAttempts = 3;
  /** An attempt is not started with less time than this before its deadline. */
  static constexpr Duration MinAttemptTime = std::chrono::milliseconds(2);
  /** Retry-after time of a result for which no server stated one. */
  static constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(200);

  /** @param tokens retry tokens of the daemon; must outlive this object. */
  CallPolicy(const CallParameters &parameters, RetryTokens &tokens);

  /** Handles an event. @return what to do next; AwaitEvent for any event after
   * FinishCall. */
  CallDecision next(const CallEvent &event, TimePoint now);

  /** @return the servers to which an attempt of this call was sent. */
  const std::vector<Address> &tried() const;

  /** @return whether an attempt of this call may have run. */
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
  /** Status of the latest answer with a server error; 0 if there was none. */
  std::uint16_t ErrorStatus = 0;
  bool AttemptInFlight = false;
  bool MayHaveRun = false;
  bool Finished = false;
};

} // namespace chivefold

#endif
