/**
 * @file
 * Runs requests with an idempotency key at most once.
 */
#ifndef CHIVEFOLD_DAEMON_CLAIM_SERVICE_H
#define CHIVEFOLD_DAEMON_CLAIM_SERVICE_H

#include "chivefold/core/claim_coordinator.h"
#include "chivefold/core/control_state.h"
#include "chivefold/daemon/call_message.h"
#include "chivefold/daemon/call_runner.h"
#include "chivefold/daemon/control_service.h"
#include "chivefold/io/peer_network.h"
#include "chivefold/io/reactor.h"

#include <unordered_map>

namespace chivefold {

/** Used on the reactor's thread only. */
class ClaimService {
public:
  /** Longest time for a claim to reach the log; callers whose deadline is
   * earlier get their answer then. */
  static constexpr Duration ClaimTimeout = std::chrono::seconds(2);

  ClaimService(Reactor &reactor, PeerNetwork &network, ControlService &control,
               const ControlState &state, CallRunner &runner, DaemonId self);
  ~ClaimService();
  ClaimService(const ClaimService &) = delete;
  ClaimService &operator=(const ClaimService &) = delete;

  /** Runs @p call, or answers with what became of its key. Precondition: Key
   * is not empty. @p reply runs once, at the latest at the deadline. */
  void request(CallMessage call, CallReply reply);

  /** Call after log records were applied. */
  void recordsApplied();

  std::size_t openCalls() const { return Waiters.size(); }

private:
  struct Waiter {
    KeyHash Key;
    CallMessage Call;
    CallReply Reply;
    TimerId Timer = TimerId::None;
  };

  void act(const ClaimEffect &effect);
  void act(const std::vector<ClaimEffect> &effects);
  void run(WaiterId id);
  void runEnded(const KeyHash &key, CallResult result);
  void forward(WaiterId id);
  void reply(WaiterId id, CallResult result);
  void timedOut(WaiterId id);
  void appendClaims();
  void claimsAppended(const std::vector<KeyHash> &keys,
                      const Result<LogOffset> &offset, bool mayHaveTakenEffect);

  Reactor &Loop;
  PeerNetwork &Network;
  ControlService &Control;
  CallRunner &Runner;
  DaemonId Self;
  ClaimCoordinator Claims;
  std::uint64_t NextWaiter = 1;
  std::unordered_map<WaiterId, Waiter> Waiters;
};

} // namespace chivefold

#endif
