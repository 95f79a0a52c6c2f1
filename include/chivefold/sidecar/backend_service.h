/**
 * @file
 * Tracks the backend server on this host and forwards calls to it.
 */
#ifndef CHIVEFOLD_SIDECAR_BACKEND_SERVICE_H
#define CHIVEFOLD_SIDECAR_BACKEND_SERVICE_H

#include "chivefold/core/rate_limit.h"
#include "chivefold/daemon/call_message.h"
#include "chivefold/daemon/poison_service.h"
#include "chivefold/io/connection_probe.h"
#include "chivefold/io/http_client.h"
#include "chivefold/io/logging.h"
#include "chivefold/mesh/call_counts.h"
#include "chivefold/mesh/call_parents.h"
#include "chivefold/mesh/departures.h"
#include "chivefold/mesh/open_bodies.h"
#include "chivefold/mesh/refused_calls.h"
#include "chivefold/mesh/server_statements.h"
#include "chivefold/mesh/slot_gate.h"
#include "chivefold/sidecar/ports.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace chivefold {

/** Identifies a call at the backend service; 0 is never used. */
using BackendCallId = GateRequestId;

/** Dependencies of BackendService; all must outlive it. */
struct BackendDependencies {
  const PlatformPorts &Ports;
  const OperatorState &Orders;
  const VersionPolicy &Versions;
  PoisonService &Poison;
  Departures &Departed;
};

/** Request limit of the backend server, for metrics. */
struct LimitFigures {
  /** Requests per second that the server accepts; nothing if it states no
   * limit. */
  std::optional<double> Limit;
  /** Requests per second that were recently sent to the server. */
  double SentPerSecond = 0;
  /** Answers with a malformed limit. */
  std::uint64_t Malformed = 0;
  LimitEffects Effects;
  /** Requests at the gate that were calls of running requests. */
  std::uint64_t CallsOfRunning = 0;
};

/** Calls whose bodies are passed on while they arrive, for metrics. */
struct BodyFigures {
  std::size_t Open = 0;
  /** Calls that were not admitted since too many bodies were open. */
  std::uint64_t Refused = 0;
  /** Calls that lost their slot since their body did not get on. */
  std::uint64_t GivenUp = 0;
};

/** Location of the backend server and of its host. */
struct BackendLocation {
  Address Server;
  /** Address of this daemon, which identifies the host to peers. */
  Address Host;
  std::string DataCentre;
};

/**
 * Forwards calls to the backend server of this host, and only to the server
 * instance that reported last. The gate limits concurrent calls to the server.
 * Used on the reactor's thread only.
 */
class BackendService {
public:
  /** Maximum number of replaced server instances to remember; their late
   * reports are ignored. */
  static constexpr std::size_t MaxReplacedStarts = 64;
  /** Reports that wait until it is known which servers have left. */
  static constexpr std::size_t MaxHeldReports = 8;
  /** Consecutive unanswered calls after which the server is considered
   * unresponsive until its next report. */
  static constexpr std::uint32_t MaxUnansweredCalls = 3;
  /** A server that answered a call within this time is considered alive,
   * however many answers are lost. Several times the usual service time. */
  static constexpr Duration RecentAnswerWindow = std::chrono::milliseconds(500);
  /** A server that was sent a call within this time may be running it, although
   * the call was given up here. */
  static constexpr Duration MaxRunAfterSend = std::chrono::seconds(5);
  /** A connection that has been idle for longer is not reused for a request
   * that may run at most once: the server may have closed it already. */
  static constexpr Duration MaxReuseIdleTime = std::chrono::seconds(2);

  /** A server whose stated start time is earlier than that of the current one,
   * that was replaced before, or whose service is not in the configuration,
   * replaces the current one only if that has not reported for this time, which
   * exceeds two report intervals. */
  static constexpr Duration ReplaceAfterSilence =
      std::chrono::milliseconds(3500);
  /** The replacement must also have been reporting for this time, at least one
   * report interval. */
  static constexpr Duration MinSuccessorTime = std::chrono::milliseconds(1000);
  /** Maximum number of interrupted requests kept as possible causes of a
   * crash. */
  static constexpr std::size_t MaxInterrupted = 256;
  /** A server that answers this long after requests were interrupted has not
   * crashed: answers received before the interruption are processed by then. */
  static constexpr Duration CrashGrace = std::chrono::milliseconds(50);
  /** A new instance that reports within this time of an interruption means that
   * the previous one crashed. A crashed server restarts within seconds, so a
   * later start has another cause. */
  static constexpr Duration CrashAttributionWindow = std::chrono::seconds(15);
  /** Retry-After value of a call for whose open body there is no slot. */
  static constexpr Duration BodyRetryAfter = std::chrono::seconds(1);

  /** @param changed called when the state of the server has changed. The
   * references must outlive this object. */
  BackendService(Reactor &reactor, HttpClient &client,
                 const BackendDependencies &parts, BackendLocation place,
                 std::function<void()> changed);

  /** Applies a report. One of a ready server waits until this daemon knows
   * which servers have left. @return InvalidRecord if the server runs on
   * another host, Conflict if the report waits, is outdated or its instance has
   * ended. */
  Status report(const ServerReport &report);

  /** Records that the server instance has shut down. @return NotFound if
   * @p instance is not the current one; its reports are ignored nevertheless,
   * since this daemon may have started after them. */
  Status leave(const std::string &instance);

  /** Takes the current server out if it has left, and applies the reports that
   * waited, after other processes have told what they know of departures. */
  void departuresChanged();

  /** Stops accepting calls before the daemon stops; running calls finish. */
  void startLeaving();

  /** Re-evaluates the gate and the waiting calls after the operator's orders or
   * the shares of versions have changed. */
  void ordersChanged();

  /** Told of each request that is sent to the server at @p at, with @p change
   * 1, and with -1 if the server states that it has not run. */
  using RunObserver = std::function<void(const std::string &customer,
                                         TimePoint at, int change)>;
  void onRun(RunObserver observer) { Observer = std::move(observer); }

  /** @return whether the caller still waits for the answer. Checked before a
   * queued call is started; the callback may cancel the call. */
  using CallerWaiting = std::function<bool()>;

  /** Runs or queues a call. @p reply is called exactly once unless the call is
   * cancelled, possibly before this function returns. */
  BackendCallId run(CallMessage call, CallReply reply,
                    CallerWaiting callerWaiting = {});
  bool isOpen(BackendCallId id) const { return Calls.count(id) > 0; }
  /** Cancels a call: a queued call is dropped, a running one is aborted. */
  void cancel(BackendCallId id);

  /** @return the record of requests from this host that failed. The backend
   * server may have made some of them, which can explain its own errors. */
  RefusedCallTracker &refusedCalls() { return Refused; }

  /** @return the running request behind a request from this host; nothing if
   * that is a client's as far as is known. */
  std::optional<RunningRequest> parentOf(const std::string &route,
                                         TimePoint deadline) const {
    return Refused.isOutboundRoute(route) ? Parents.parentOf(route, deadline)
                                          : std::nullopt;
  }

  const BackendServerState &server() const { return Server; }
  /** @return the state of the gate and the server's request limit. */
  GateState gate() const;
  LimitFigures limitFigures() const;
  BodyFigures bodyFigures() const;
  std::size_t openCalls() const { return Calls.size(); }
  /** @return whether the server may be running a call. Also true for a while
   * after the start of this daemon, which may have replaced another one. */
  bool mayBeRunning() const;
  /** @return how many admitted calls were refused before they were sent, since
   * their server, its version or their route was no longer in use. */
  std::uint64_t revokedCalls() const { return Revoked; }

  /** @return call counts by route for the server's current version. */
  std::vector<KindCounts> counts() const { return Counts.all(); }
  /** @return the version that counts() refers to. */
  const std::string &countedVersion() const { return Counts.version(); }

private:
  struct Call {
    CallMessage Message;
    CallReply Reply;
    CallerWaiting IsCallerWaiting;
    HttpCallId Http = HttpCallId::None;
    TimePoint StartedAt{};
    RequestDigest Digest = RequestDigest::None;
    bool WasCold = false;
    /** Start of the server to which the request was sent. */
    std::uint64_t ServerStart = 0;

    /** @return when the server had the whole request. Precondition: it was sent
     * and its body is not open. */
    TimePoint workBegan() const {
      return Message.Rest ? Message.Rest->endedAt() : StartedAt;
    }
  };

  bool checksKeys(const CallMessage &call) const;
  bool isKeyHeld(const CallMessage &call, const RouteTable &table) const;
  bool isRouted(const CallMessage &call) const;
  ErrorCode reasonToRefuse(const CallMessage &call) const;
  void refuse(const CallReply &reply, ErrorCode code, Duration retryAfter);
  void send(BackendCallId id);
  bool isCausedByRefusal(const std::string &route, const CallResult &result);
  void onOutcome(BackendCallId id, HttpOutcome outcome);
  CallResult resultOf(const Call &call, HttpOutcome &outcome);
  void adoptLimit(const CallMessage &call);
  void applyRequestLimit();
  void logLimit(LimitChange change, double before, const CallMessage &call,
                std::string_view source);
  void applyStatement(const Call &call, const HttpResponse &response);
  void finish(BackendCallId id, CallResult result,
              std::optional<Duration> latency);
  void drop(const std::vector<GateRequestId> &ids, ErrorCode code,
            std::optional<Duration> retryAfter = std::nullopt);
  void refuseUnservable();
  void refuseUnsent(BackendCallId id);
  void runWaiting();
  void startAdmitted(BackendCallId id);
  void armTimer();
  std::size_t openBodies() const;
  bool admitsBody(const CallMessage &call);
  bool giveUpSlowBody();
  void watchBodies();
  void beginInstance(const ServerReport &report);
  void updateGate();
  void markUnresponsive();
  void stopIfLeaving(const std::string &requestId);
  void stopIfLeft();
  void recordInterruption(const Call &call, const CallResult &result);
  void probeServer();
  void reportCrash();
  void count(const Call &call, const CallResult &result, Duration latency);
  bool isConfigured(const ServerReport &report) const;
  bool hasLeft(const ServerReport &report) const;
  bool hasLeft(const std::string &instance,
               std::optional<std::int64_t> startedAtMs) const;
  void announceDeparture(const std::string &instance,
                         std::optional<std::int64_t> startedAtMs);
  std::int64_t utcMs() const;
  std::string objectionTo(const ServerReport &report) const;
  bool replacesSilentServer(const ServerReport &report);
  void replaceCurrentInstance(const ServerReport &report);

  Reactor &Loop;
  HttpClient &Client;
  const PlatformPorts &Ports;
  const OperatorState &Orders;
  const VersionPolicy &Versions;
  PoisonService &Poison;
  Departures &Departed;
  Address Upstream;
  const Address Host;
  std::string DataCentre;
  std::function<void()> Changed;
  RunObserver Observer;

  /** Identifies one run of a server process. */
  struct Start {
    std::string Instance;
    std::optional<std::int64_t> StartedAtMs;
    bool operator==(const Start &o) const {
      return Instance == o.Instance && StartedAtMs == o.StartedAtMs;
    }
  };

  BackendServerState Server;
  std::optional<std::int64_t> StartedAtMs;
  std::uint64_t Sequence = 0;
  TimePoint ReportedAt{};
  /** Reporting server with an earlier start time than the current one. */
  Start Successor;
  std::uint64_t SuccessorSequence = 0;
  TimePoint SuccessorSince{};
  /** End of the warm-up period, according to the last report. */
  TimePoint ColdUntil{};
  /** The server does not respond; no calls are sent until its next report. */
  bool Unresponsive = false;
  bool Leaving = false;
  /** Inside runWaiting(). */
  bool IsStarting = false;
  /** Queued calls may start that could not before. */
  bool HasNewRoom = false;
  std::uint32_t UnansweredCalls = 0;
  TimePoint AnsweredAt{};
  /** When a call was last sent, or this daemon started. */
  TimePoint SentAt;
  /** Reports from before it was known which servers have left. */
  std::deque<ServerReport> HeldReports;
  /** Starts in whose place another one reported. */
  std::deque<Start> ReplacedStarts;
  /** Last report of a service that the configuration does not contain yet. */
  std::optional<ServerReport> Unconfigured;
  SlotGate Gate;
  std::unordered_map<BackendCallId, Call> Calls;
  std::uint64_t NextCall = 0;
  TimerId Timer = TimerId::None;
  TimePoint TimerAt{};
  TimerId BodyTimer = TimerId::None;
  BodyFigures Bodies;
  RefusedCallTracker Refused;
  CallParents Parents;
  /** Requests whose connections broke since the server last answered. */
  std::vector<RequestDigest> Interrupted;
  TimePoint InterruptedAt{};
  ConnectionProbe Probe;
  CallCounts Counts;
  ServerStatements Statements;
  RateMeter Sent;
  std::uint64_t MalformedLimits = 0;
  std::uint64_t Revoked = 0;
  std::uint64_t CallsOfRunning = 0;
  Logger Lines{"backend"};
};

} // namespace chivefold

#endif
