/**
 * @file
 * Matches the idempotency key claims of this daemon with the replayed log.
 */
#ifndef CHIVEFOLD_CORE_CLAIM_COORDINATOR_H
#define CHIVEFOLD_CORE_CLAIM_COORDINATOR_H

#include "chivefold/core/claim_table.h"
#include "chivefold/core/control_state.h"
#include "chivefold/core/types.h"

#include <optional>
#include <unordered_set>
#include <vector>

namespace chivefold {

/**
 * Looks up which daemon holds a key, selects the claims to append to the log
 * and starts requests once their claim appears in the replayed log. The user of
 * this class runs, forwards or answers each request as the returned ClaimEffect
 * says. Not thread-safe.
 */
class ClaimCoordinator {
public:
  /** Bound of the keys whose claim is not in the replayed log yet. On overflow
   * all of them are dropped, and their callers get "outcome unknown" at their
   * deadline. */
  static constexpr std::size_t MaxUnconfirmedKeys = 50000;

  /** @param state state replayed from the log; must outlive this object. @param
   * self identity of this run of the daemon. */
  ClaimCoordinator(const ControlState &state, DaemonId self,
                   const ClaimLimits &limits = {});

  /**
   * Handles a request with an idempotency key.
   * @param forwardedToHolder whether another daemon forwarded the request
   * because it considers this daemon the holder of the key.
   * @return what to do; see ClaimTable::request().
   */
  ClaimEffect request(const KeyHash &key, std::uint64_t bodyDigest,
                      bool forwardedToHolder, WaiterId waiter);

  /** @return keys for one claim record to append now; see
   * ClaimTable::nextAppend(). */
  std::vector<KeyHash> nextAppend();

  /** Reports that the log accepted the append in flight. The caller then reads
   * the log up to that record and calls recordsApplied(). */
  void appendAccepted();

  /** Reports that the append of @p keys failed. @param mayHaveTakenEffect false
   * only if the record is not in the log and cannot appear in it later. */
  std::vector<ClaimEffect> appendFailed(const std::vector<KeyHash> &keys,
                                        bool mayHaveTakenEffect);

  /** Must be called after records were applied to the state. @return the
   * effects of the claims that they contain. */
  std::vector<ClaimEffect> recordsApplied();

  /** @return the daemon to which to forward a request with @p key. None if no
   * daemon holds the key, or if the holder is a run of this daemon: the result
   * of an earlier run is lost and the outcome is unknown. */
  std::optional<Address> forwardTo(const KeyHash &key) const;

  /** @return the claim table, to which the progress of running requests is
   * reported. Valid as long as this object. */
  ClaimTable &table() { return Table; }

private:
  ClaimHolder holderOf(const KeyHash &key) const;

  const ControlState &State;
  DaemonId Self;
  ClaimTable Table;
  std::unordered_set<KeyHash> UnconfirmedKeys;
};

} // namespace chivefold

#endif
