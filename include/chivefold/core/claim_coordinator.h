/**
 * @file
 * Connects the claims of this daemon with the replayed log.
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
 * Decides who holds a key, which claims to append and when a claim counts.
 * The caller runs, forwards and answers as the effects say. Not thread-safe.
 */
class ClaimCoordinator {
public:
  /** Keys whose claim is not seen in the log yet. On overflow they are
   * forgotten, and their callers get "outcome unknown" at their deadline. */
  static constexpr std::size_t MaxUnconfirmedKeys = 50000;

  /** @param state replayed log; outlives this object. @param self this run of
   * the daemon. */
  ClaimCoordinator(const ControlState &state, DaemonId self,
                   const ClaimLimits &limits = {});

  /**
   * A request with a key arrived.
   * @param forwardedToHolder forwarded by a daemon that takes this one for the
   * holder.
   * @return what to do; see ClaimTable::request().
   */
  ClaimEffect request(const KeyHash &key, std::uint64_t bodyDigest,
                      bool forwardedToHolder, WaiterId waiter);

  /** @return keys for one claim record to append now; see
   * ClaimTable::nextAppend(). */
  std::vector<KeyHash> nextAppend();

  /** The append in flight was accepted. Read the log up to it, then call
   * recordsApplied(). */
  void appendAccepted();

  /** The append of @p keys failed. @param mayHaveTakenEffect unless the record
   * is certainly not and will not be in the log. */
  std::vector<ClaimEffect> appendFailed(const std::vector<KeyHash> &keys,
                                        bool mayHaveTakenEffect);

  /** Call after records were applied to the state. */
  std::vector<ClaimEffect> recordsApplied();

  /** @return where to forward a request with @p key, or none if an earlier run
   * of this daemon held it: its result is lost, the outcome unknown. */
  std::optional<Address> forwardTo(const KeyHash &key) const;

  /** @return the table, for the progress of runs. Valid as long as this. */
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
