/**
 * @file
 * Admission control beside one backend server.
 */
#ifndef CHIVEFOLD_CORE_GATE_H
#define CHIVEFOLD_CORE_GATE_H

#include "chivefold/core/configuration.h"
#include "chivefold/core/error.h"
#include "chivefold/core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chivefold {

/** Identifies a request at one gate; chosen by the caller, unique in flight. */
enum class GateRequestId : std::uint64_t { None = 0 };

/** Whether a daemon knows the request limit of a backend server. */
enum class LimitKnowledge : std::uint8_t {
  /** No answer of the server has arrived since the daemon or it started. */
  Unknown,
  /** The server states no limit. */
  None,
  Stated
};

/** Request limit that a backend server states, as known to a daemon. */
struct RequestLimit {
  LimitKnowledge Known = LimitKnowledge::Unknown;
  /** Requests per second that the server accepts from all hosts together; used
   * if Stated. */
  double PerSecond = 0;
  /** Identifies the start of the server to which the limit belongs; 0 if there
   * is no server. */
  std::uint64_t ServerStart = 0;
  /** Time of the newest answer that stated the limit. */
  TimePoint StatedAt{};
};

/** State of a gate; part of each of its answers. */
struct GateState {
  /** Maximum number of requests in flight at the server; 0 if not known. */
  std::uint32_t Limit = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  /** The limit is below the configured number of slots. */
  bool Cold = false;
  bool Leaving = false;
  /** Request limit that the server states. */
  RequestLimit StatedLimit{};
  /** Time until that limit lets a new request start. */
  Duration LimitWait{};
  /** The server stated that it shuts down. */
  bool ServerLeaving = false;
  /** Expected time until a new request would start. */
  Duration Backlog{};
  /** In an answer, the time that the request took at the server and the typical
   * one of its route there, both apart from queues; zero if not known. */
  Duration ServiceTime{};
  Duration TypicalServiceTime{};
};

struct GateRequest {
  GateRequestId Id = GateRequestId::None;
  std::uint32_t Worth = 1;
  TimePoint Deadline{};
  bool IsRepeatable = false;
};

/** Result of a request that was sent to the server. */
enum class ServerResult : std::uint8_t {
  Ok,
  ServerError,
  ConnectionFailed,
  TimedOut,
  Cancelled
};
/** @return "ok", "server-error", ... Thread-safe. */
std::string_view serverResultName(ServerResult r);

enum class AdmissionKind : std::uint8_t { Run, Queued, Rejected };

/** Decision on a new request. */
struct Admission {
  AdmissionKind Kind = AdmissionKind::Run;
  /** Set if rejected: Overloaded, NotReady, ConnectionFailed or
   * DeadlineExceeded. The request was certainly not run. */
  ErrorCode Code = ErrorCode::Ok;
  /** For a rejected or shed request: time after which its caller may try this
   * server again. */
  Duration RetryAfter{};
  /** Queued request of lower worth that was removed in favour of the new one.
   * It was not run. */
  std::optional<GateRequestId> Shed;
};

/** Parameters of the adaptive concurrency limit of a gate. */
struct GateTuning {
  /** The limit grows if the mean latency is at most this multiple of the
   * baseline. In simulations a cold server got up to 1.13 times its tolerable
   * load with a factor of 1.3 and windows of 8 calls, and at most 0.85 times
   * with 1.2 and 16. */
  double GrowFactor = 1.2;
  /** The limit is halved if the mean latency of a window exceeds this multiple
   * of the baseline. */
  double HalveFactor = 2.0;
  /** If the smoothed latency exceeds this multiple of the baseline, the server
   * is considered cold and the limit falls to the cold limit. */
  double ColdFactor = 4.0;
  /** Minimum number of calls in a window, which also has at least as many calls
   * as the limit. */
  std::uint32_t MinWindow = 16;
  /** The limit is halved if this share of the calls in a window fails. */
  double HalveFailures = 0.5;
  /** Time without new requests after a failed connection; doubles up to
   * MaxBackOff. */
  Duration InitialBackOff = std::chrono::milliseconds(50);
  Duration MaxBackOff = std::chrono::milliseconds(1000);
};

/**
 * Admission control for one backend server: an adaptive concurrency limit that
 * starts at the cold limit and grows up to the slots, and a bounded priority
 * queue. The limit depends only on the results of finished calls. Queued
 * requests run in order of worth, the oldest first among equals. Not
 * thread-safe.
 */
class Gate {
public:
  explicit Gate(const ServerLimits &limits, const GateTuning &tuning = {});

  /** Sets new limits. Running requests continue. @return queued requests that
   * exceed the new queue size, lowest worth first; they were not run. */
  std::vector<GateRequestId> setLimits(const ServerLimits &limits);

  /** Decides whether to run, queue or reject a new request. If the queue is
   * full, the request of the lowest worth is shed, the newest among equals,
   * which may be the new one. Precondition: the id is neither queued nor
   * running. */
  Admission admit(const GateRequest &request, TimePoint now);

  /**
   * Reports the end of a running request; an unknown id is ignored.
   * @param latency time from its start to its end.
   * @return queued requests to run now.
   */
  std::vector<GateRequestId> finish(GateRequestId id, ServerResult result,
                                    Duration latency, TimePoint now);

  /** Removes queued requests whose deadline has passed. @return their ids; they
   * were not run. */
  std::vector<GateRequestId> expire(TimePoint now);

  /** @return the earliest deadline in the queue, if it is not empty. */
  std::optional<TimePoint> nextDeadline() const;

  /** Removes a queued request. @return whether it was queued, so that it was
   * not run; a running request must be ended with finish(). */
  bool cancel(GateRequestId id);

  /** Rejects new requests from now on. Running requests continue. @return the
   * queued requests, which were not run. */
  std::vector<GateRequestId> startLeaving();

  /** Admits requests again, starting with the cold limit. */
  void stopLeaving();

  GateState state() const;

  /** @return smoothed latency of recent calls; 0 before the first. */
  Duration smoothedLatency() const;

private:
  /** Orders the queue by worth (highest first), then by arrival. */
  struct QueueKey {
    std::uint32_t Worth;
    std::uint64_t Sequence;
    bool operator<(const QueueKey &o) const {
      return Worth != o.Worth ? Worth > o.Worth : Sequence < o.Sequence;
    }
  };
  struct QueuedRequest {
    GateRequestId Id;
    TimePoint Deadline;
  };
  /** Statistics of the calls since the limit was last evaluated. */
  struct Window {
    std::uint32_t Successes = 0;
    std::uint32_t Failures = 0;
    double LatencySum = 0;
    std::uint32_t PeakInFlight = 0;
  };
  static constexpr std::size_t MaxBaselines = 64;

  Admission enqueue(const GateRequest &request, TimePoint now);
  Admission reject(ErrorCode code, std::size_t ahead) const;
  GateRequestId evictLast();
  std::vector<GateRequestId> runQueued(TimePoint now);
  void recordResult(ServerResult result, double latency, TimePoint now);
  void updateSmoothedLatency(double latency);
  void connectionFailed(TimePoint now);
  void evaluateWindow();
  void setLimit(std::uint32_t limit);
  double baseline() const;
  void updateBaseline(double mean);
  Duration retryAfter(std::size_t ahead) const;
  void start(GateRequestId id);

  ServerLimits Limits;
  GateTuning Tuning;
  std::uint32_t Limit;
  bool Leaving = false;
  /** Bounded by Limits.Queue; overflow sheds. */
  std::map<QueueKey, QueuedRequest> Queue;
  std::unordered_map<GateRequestId, QueueKey> QueuedIds;
  /** Bounded by Limits.Slots. */
  std::unordered_map<GateRequestId, std::uint64_t> Running;
  std::uint64_t NextSequence = 1;
  /** Sequence number at the last change of the limit. Requests started before
   * it ran under another limit and are not used to evaluate the current one. */
  std::uint64_t LimitSetAt = 0;
  Window CurrentWindow;
  /** Baseline latency in microseconds for each value of the limit; 0 if not
   * known. */
  std::vector<double> Baselines;
  double SmoothedLatencyUs = 0;
  std::uint32_t RecentCalls = 0;
  Duration BackOff{};
  TimePoint BackOffUntil{};
};

} // namespace chivefold

#endif
