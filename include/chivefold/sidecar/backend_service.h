/**
 * @file
 * The backend server beside this daemon: its reports and the work it gets.
 */
#ifndef CHIVEFOLD_SIDECAR_BACKEND_SERVICE_H
#define CHIVEFOLD_SIDECAR_BACKEND_SERVICE_H

#include "chivefold/core/sequential_test.h"
#include "chivefold/daemon/call_message.h"
#include "chivefold/daemon/poison_service.h"
#include "chivefold/io/http_client.h"
#include "chivefold/io/logging.h"
#include "chivefold/mesh/refused_calls.h"
#include "chivefold/mesh/slot_gate.h"
#include "chivefold/sidecar/ports.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace chivefold {

/** Identifies a call at the backend service; 0 is never used. */
using BackendCallId = GateRequestId;

/** What a backend service works with; all outlive it. */
struct BackendParts {
  const PlatformPorts &Ports;
  const OperatorState &Orders;
  const VersionPolicy &Versions;
  PoisonService &Poison;
};

/** Where the server is. */
struct BackendPlace {
  Address Server;
  /** Address of this daemon, which names the host among peers. */
  Address Host;
  std::string DataCentre;
};

/**
 * Passes calls to the backend server of this host, and only to the start of it
 * that last reported itself. The gate bounds what the server gets. Used on the
 * reactor's thread only.
 */
class BackendService {
public:
  /** Starts of servers that ended, whose late reports are ignored. */
  static constexpr std::size_t MaxEnded = 64;
  /** Calls in a row without an answer after which the server is taken as gone
   * until it reports again. */
  static constexpr std::uint32_t MaxSilentCalls = 3;
  /** A server that answered a call so recently lives, however many answers are
   * lost: several times the usual time of service. */
  static constexpr Duration AliveFor = std::chrono::milliseconds(500);
  /** An idle connection used before this time is not reused for a request that
   * may run at most once: the server may have closed it already. */
  static constexpr Duration FreshFor = std::chrono::seconds(2);

  /** A server with an earlier start time is taken for the successor of one that
   * was silent for so long, if it has reported itself for so long: more than
   * two and one of the intervals in which servers report. */
  static constexpr Duration SilentFor = std::chrono::milliseconds(3500);
  static constexpr Duration StaysFor = std::chrono::milliseconds(1000);
  /** Requests that were interrupted and whose server may have crashed. */
  static constexpr std::size_t MaxInterrupted = 256;
  /** A server that answers this long after requests were interrupted has not
   * crashed; answers that had arrived before are handled by then. */
  static constexpr Duration CrashGrace = std::chrono::milliseconds(50);
  /** A server that crashed is back after some seconds; a later start says
   * nothing of requests that were interrupted before. */
  static constexpr Duration CrashMemory = std::chrono::seconds(15);

  /** @param changed runs when the state of the server changed. The references
   * outlive this object. */
  BackendService(Reactor &reactor, HttpClient &client,
                 const BackendParts &parts, BackendPlace place,
                 std::function<void()> changed);

  /** Takes a report. @return InvalidRecord if it is of another host's server,
   * Conflict if a newer start or report is known. */
  Status report(const ServerReport &report);

  /** The server leaves. @return NotFound if it is not the present one. */
  Status leave(const std::string &instance);

  /** The daemon stops: no new work, running calls end. */
  void startLeaving();

  /** The operator's orders changed. */
  void ordersChanged();

  /** @return whether the caller still waits; asked before a call that had to
   * wait is run, and may cancel it. */
  using StillWanted = std::function<bool()>;

  /** Runs a call; @p reply runs once unless the call is cancelled, and may run
   * before this returns. */
  BackendCallId run(CallMessage call, CallReply reply,
                    StillWanted stillWanted = {});
  bool isOpen(BackendCallId id) const { return Calls.count(id) > 0; }
  /** Ends a call: one that waits is dropped, one that runs is aborted. */
  void cancel(BackendCallId id);

  /** Takes note of requests of this host that were not answered, some of which
   * the server made. */
  RefusedCallTracker &refusedCalls() { return Refused; }

  const BackendServerState &server() const { return Server; }
  GateState gate() const { return Gate.state(Loop.now()); }
  std::size_t openCalls() const { return Calls.size(); }

  /** @return counts of the present server's version by route. */
  std::vector<KindCounts> counts() const;
  /** @return the version that counts() is about. */
  const std::string &countedVersion() const { return CountedVersion; }

private:
  struct Call {
    CallMessage Message;
    CallReply Reply;
    StillWanted IsWanted;
    HttpCallId Http = HttpCallId::None;
    TimePoint StartedAt{};
    RequestDigest Digest = RequestDigest::None;
    bool WasCold = false;
  };

  ErrorCode reasonToRefuse(const CallMessage &call) const;
  void refuse(const CallReply &reply, ErrorCode code, Duration retryAfter);
  void send(BackendCallId id);
  void onOutcome(BackendCallId id, HttpOutcome outcome);
  CallResult resultOf(const Call &call, HttpOutcome &outcome);
  void finish(BackendCallId id, CallResult result,
              std::optional<Duration> latency);
  void drop(const std::vector<GateRequestId> &ids, ErrorCode code);
  void runWaiting();
  void armTimer();
  void takeStart(const ServerReport &report);
  void updateGate();
  void noteSilence();
  void noteInterruption(const Call &call, const CallResult &result);
  void reportCrash();
  void count(const Call &call, const CallResult &result, Duration latency);
  bool replacesSilent(const ServerReport &report);
  void endPresent();

  Reactor &Loop;
  HttpClient &Client;
  const PlatformPorts &Ports;
  const OperatorState &Orders;
  const VersionPolicy &Versions;
  PoisonService &Poison;
  Address Upstream;
  const Address Host;
  std::string DataCentre;
  std::function<void()> Changed;

  /** One start of a server. */
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
  /** A server with an earlier start time that reports itself. */
  Start Successor;
  std::uint64_t SuccessorSequence = 0;
  TimePoint SuccessorSince{};
  /** The server is cold until then, by its last report. */
  TimePoint ColdUntil{};
  /** Connections fail; nothing is sent until the next report. */
  bool Suspect = false;
  bool Leaving = false;
  std::uint32_t SilentCalls = 0;
  TimePoint AnsweredAt{};
  std::deque<Start> EndedStarts;
  SlotGate Gate;
  std::unordered_map<BackendCallId, Call> Calls;
  std::uint64_t NextCall = 0;
  TimerId Timer = TimerId::None;
  TimePoint TimerAt{};
  RefusedCallTracker Refused;
  /** Requests whose connections broke since the server last answered. */
  std::vector<RequestDigest> Interrupted;
  TimePoint InterruptedAt{};
  std::map<std::string, KindCounts> Counts;
  std::string CountedVersion;
  Logger Lines{"backend"};
};

} // namespace chivefold

#endif
