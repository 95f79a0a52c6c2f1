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

/** State of a gate; travels in each of its answers. */
struct GateState {
  /** Requests that the server may run at once; 0 means "not known". */
  std::uint32_t Limit = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  /** The limit is still below the configured slots. */
  bool Cold = false;
  bool Leaving = false;
};

struct GateRequest {
  GateRequestId Id = GateRequestId::None;
  std::uint32_t Worth = 1;
  TimePoint Deadline{};
  bool IsRepeatable = false;
};

/** How a request that ran ended, as the gate sees it. */
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

/** Decision on a newcomer. */
struct Admission {
  AdmissionKind Kind = AdmissionKind::Run;
  /** Set if rejected: Overloaded, NotReady, ConnectionFailed or
   * DeadlineExceeded. The request was certainly not run. */
  ErrorCode Code = ErrorCode::Ok;
  /** When the caller may try this server again; for Rejected and for Shed. */
  Duration RetryAfter{};
  /** A queued request of lower worth that the newcomer displaced; it was
   * certainly not run. */
  std::optional<GateRequestId> Shed;
};

/** Constants of the concurrency control of a gate. */
struct GateTuning {
  /** Latency up to this multiple of the baseline lets the limit grow. With 1.3
   * and windows of 8 a simulated cold server got up to 1.13 times the load that
   * it bears; with 1.2 and 16 at most 0.85 times. */
  double GrowFactor = 1.2;
  /** A window whose mean exceeds this multiple halves the limit. */
  double HalveFactor = 2.0;
  /** Smoothed latency beyond this multiple means a sudden cold turn. */
  double ColdFactor = 4.0;
  /** A window has at least this many calls, and at least `limit` of them. */
  std::uint32_t MinWindow = 16;
  /** Share of failures in a window that halves the limit. */
  double HalveFailures = 0.5;
  /** Pause after a failed connection, doubling up to MaxBackOff. */
  Duration InitialBackOff = std::chrono::milliseconds(50);
  Duration MaxBackOff = std::chrono::milliseconds(1000);
};

/**
 * Enforces the slots, the bounded queue and the cold-start limit of one
 * backend server. Its decisions use only what finished calls show. Queued
 * requests run by worth, oldest first among equals. Not thread-safe.
 */
class Gate {
public:
  explicit Gate(const ServerLimits &limits, const GateTuning &tuning = {});

  /** Puts new limits in force; running requests go on, queued ones beyond a
   * smaller queue are returned (lowest worth first) and were not run. */
  std::vector<GateRequestId> setLimits(const ServerLimits &limits);

  /** Decides on a newcomer. A full queue sheds the lowest worth, the newest
   * among equals, which may be the newcomer. Precondition: the id is neither
   * queued nor running. */
  Admission admit(const GateRequest &request, TimePoint now);

  /**
   * Ends a running request; an unknown id is ignored.
   * @param latency time from its start to its end.
   * @return queued requests to run now.
   */
  std::vector<GateRequestId> finish(GateRequestId id, ServerResult result,
                                    Duration latency, TimePoint now);

  /** @return queued requests whose deadline has passed; certainly not run. */
  std::vector<GateRequestId> expire(TimePoint now);

  /** @return the earliest deadline in the queue, if there is any. */
  std::optional<TimePoint> nextDeadline() const;

  /** Drops a queued request. @return whether it was queued, hence not run; a
   * running one must be ended with finish(). */
  bool cancel(GateRequestId id);

  /** Refuses new work from now on. @return the queued requests, which were
   * certainly not run; running ones finish. */
  std::vector<GateRequestId> startLeaving();

  /** Takes new work again, from the cold limit. */
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
  /** Figures of the calls since the limit was last judged. */
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
  /** Requests started before this sequence number ran under another limit
   * and say nothing about the current one. */
  std::uint64_t LimitSetAt = 0;
  Window CurrentWindow;
  /** Low latency in microseconds per limit level; 0 means "not known". */
  std::vector<double> Baselines;
  double SmoothedLatencyUs = 0;
  std::uint32_t RecentCalls = 0;
  Duration BackOff{};
  TimePoint BackOffUntil{};
};

} // namespace chivefold

#endif
