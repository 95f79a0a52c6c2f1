/**
 * @file
 * Runs admitted calls on the backend server of this host.
 */
#ifndef CHIVEFOLD_DAEMON_GATE_SERVICE_H
#define CHIVEFOLD_DAEMON_GATE_SERVICE_H

#include "chivefold/core/control_state.h"
#include "chivefold/core/gate.h"
#include "chivefold/core/sequential_test.h"
#include "chivefold/daemon/call_message.h"
#include "chivefold/daemon/poison_service.h"
#include "chivefold/daemon/settings.h"
#include "chivefold/io/http_client.h"
#include "chivefold/io/reactor.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace chivefold {

/**
 * Sees all the load that reaches the backend server and applies Gate to it.
 * A reply runs exactly once. Used on the reactor's thread only.
 */
class GateService {
public:
  GateService(Reactor &reactor, HttpClient &client, const Settings &settings,
              const ControlState &state, PoisonService &poison);
  ~GateService();
  GateService(const GateService &) = delete;
  GateService &operator=(const GateService &) = delete;

  /** Runs @p call or rejects it. @return the id for cancel(). */
  GateRequestId run(CallMessage call, CallReply reply);

  /** The caller is gone. Only a repeatable or queued call is ended; the result
   * of another one is still needed. */
  void cancel(GateRequestId id);

  /** Puts the limits of the configuration in force. */
  void configurationChanged();

  /** Refuses new work; running calls finish. */
  void startLeaving();

  GateState state() const { return Admission.state(); }
  std::size_t openCalls() const { return Calls.size(); }
  bool isOpen(GateRequestId id) const { return Calls.count(id) != 0; }

  /** @return figures by route, at most one entry per configured route. */
  std::vector<KindCounts> counts() const;

private:
  struct OpenCall {
    CallMessage Message;
    CallReply Reply;
    HttpCallId Http = HttpCallId::None;
    TimePoint StartedAt{};
    RequestDigest Digest = RequestDigest::None;
  };

  void startRunning(GateRequestId id);
  bool refusePoison(GateRequestId id);
  void learnPoison(const OpenCall &open, const CallResult &answer,
                   ServerResult result);
  void finished(GateRequestId id, HttpOutcome outcome);
  CallResult classify(HttpOutcome &outcome, ServerResult &result) const;
  void reject(GateRequestId id, ErrorCode code, Duration retryAfter);
  void reply(GateRequestId id, CallResult result);
  void count(const CallMessage &call, const CallResult &result,
             Duration latency);
  void dropOldCounts();
  void armTimer();
  HttpCall httpCall(const CallMessage &call) const;

  Reactor &Loop;
  HttpClient &Client;
  const Settings &Own;
  const ControlState &State;
  PoisonService &Poison;
  Gate Admission;
  std::uint64_t NextId = 1;
  /** Bounded by the gate's slots and queue. */
  std::unordered_map<GateRequestId, OpenCall> Calls;
  /** By path prefix and kind; entries of removed routes are dropped. */
  std::map<std::pair<std::string, std::string>, KindCounts> Counts;
  TimerId Timer = TimerId::None;
};

} // namespace chivefold

#endif
