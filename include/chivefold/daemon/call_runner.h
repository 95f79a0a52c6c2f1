/**
 * @file
 * Runs the attempts of calls on backend servers, here and at peers.
 */
#ifndef CHIVEFOLD_DAEMON_CALL_RUNNER_H
#define CHIVEFOLD_DAEMON_CALL_RUNNER_H

#include "chivefold/core/call_policy.h"
#include "chivefold/core/router.h"
#include "chivefold/daemon/call_message.h"
#include "chivefold/daemon/gate_service.h"
#include "chivefold/io/peer_network.h"
#include "chivefold/io/reactor.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace chivefold {

/** Identifies a call in progress. */
enum class CallId : std::uint64_t { None = 0 };

/** Decides whether the attempts of a keyed call may go out. */
struct AttemptHooks {
  /** Called before an attempt; the call ends as unknown if it returns false. */
  std::function<bool()> Starting;
  /** Called when the attempt was certainly not run. */
  std::function<void()> NotRun;
};

/** Used on the reactor's thread only. */
class CallRunner {
public:
  /** Calls in progress; further ones are rejected as not run. */
  static constexpr std::size_t MaxCalls = 10000;

  CallRunner(Reactor &reactor, PeerNetwork &network, Router &router,
             RetryTokens &tokens, GateService &gate, PoisonService &poison,
             Address self);
  ~CallRunner();
  CallRunner(const CallRunner &) = delete;
  CallRunner &operator=(const CallRunner &) = delete;

  /** Runs @p call; @p reply runs once, at the latest at the call's deadline. */
  CallId run(CallMessage call, AttemptHooks hooks, CallReply reply);

  /** The caller is gone; the reply does not run. */
  void cancel(CallId id);

  std::size_t openCalls() const { return Calls.size(); }

private:
  struct Call;

  void step(const std::shared_ptr<Call> &call, const CallEvent &event);
  void decide(const std::shared_ptr<Call> &call, CallDecision decision);
  void route(const std::shared_ptr<Call> &call);
  void send(const std::shared_ptr<Call> &call, const SendTo &send);
  void sendToPeer(const std::shared_ptr<Call> &call,
                  const CallMessage &message);
  void attemptEnded(const std::shared_ptr<Call> &call, std::uint32_t attempt,
                    CallResult result);
  void refusePoison(const std::shared_ptr<Call> &call, Duration left);
  void learnPoison(const Call &call, const CallResult &result);
  void feedBack(const Call &call, const CallResult &result);
  void finish(const std::shared_ptr<Call> &call, const FinishCall &decision);
  void abortAttempt(Call &call);

  Reactor &Loop;
  PeerNetwork &Network;
  Router &Routes;
  RetryTokens &Tokens;
  GateService &LocalGate;
  PoisonService &Poison;
  Address Self;
  std::uint64_t NextId = 1;
  std::unordered_map<CallId, std::shared_ptr<Call>> Calls;
};

} // namespace chivefold

#endif
