#include "chivefold/core/claim_coordinator.h"

#include <utility>

namespace chivefold {

ClaimCoordinator::ClaimCoordinator(const ControlState &state, DaemonId self,
                                   const ClaimLimits &limits)
    : State(state), Self(std::move(self)), Table(limits) {}

ClaimHolder ClaimCoordinator::holderOf(const KeyHash &key) const {
  const auto claim = State.claim(key);
  if (!claim) {
    return ClaimHolder::None;
  }
  return claim->Holder == Self ? ClaimHolder::Self : ClaimHolder::Other;
}

ClaimEffect ClaimCoordinator::request(const KeyHash &key,
                                      std::uint64_t bodyDigest,
                                      bool forwardedToHolder, WaiterId waiter) {
  const auto holder = holderOf(key);
  if (forwardedToHolder && holder == ClaimHolder::Other) {
    // The sender considers this daemon the holder, but the holder is an earlier
    // run of it, whose results are lost.
    return {waiter, ClaimAction::Unknown, nullptr};
  }
  return Table.request(key, bodyDigest, holder, waiter);
}

std::vector<KeyHash> ClaimCoordinator::nextAppend() {
  auto keys = Table.nextAppend();
  if (UnconfirmedKeys.size() + keys.size() > MaxUnconfirmedKeys) {
    // Only a long log outage causes this.
    UnconfirmedKeys.clear();
  }
  UnconfirmedKeys.insert(keys.begin(), keys.end());
  return keys;
}

void ClaimCoordinator::appendAccepted() { Table.appendAccepted(); }

std::vector<ClaimEffect>
ClaimCoordinator::appendFailed(const std::vector<KeyHash> &keys,
                               bool mayHaveTakenEffect) {
  if (!mayHaveTakenEffect) {
    for (const auto &it : keys) {
      UnconfirmedKeys.erase(it);
    }
  }
  return Table.appendFailed(!mayHaveTakenEffect);
}

std::vector<ClaimEffect> ClaimCoordinator::recordsApplied() {
  std::vector<KeyHash> confirmed;
  for (const auto &it : UnconfirmedKeys) {
    if (holderOf(it) != ClaimHolder::None) {
      confirmed.push_back(it);
    }
  }
  std::vector<ClaimEffect> effects;
  for (const auto &it : confirmed) {
    UnconfirmedKeys.erase(it);
    const auto keyEffects = Table.claimReplayed(it, holderOf(it));
    effects.insert(effects.end(), keyEffects.begin(), keyEffects.end());
  }
  return effects;
}

std::optional<Address> ClaimCoordinator::forwardTo(const KeyHash &key) const {
  const auto claim = State.claim(key);
  if (!claim || claim->Holder.Peer == Self.Peer) {
    return std::nullopt;
  }
  return claim->Holder.Peer;
}

} // namespace chivefold
