/**
 * @file
 * Wire form of the progress of rollouts, in frames and in the store. Internal
 * to sidecar. All functions are thread-safe.
 */
#ifndef CHIVEFOLD_SIDECAR_ROLLOUT_WIRE_H
#define CHIVEFOLD_SIDECAR_ROLLOUT_WIRE_H

#include "chivefold/mesh/version_policy.h"
#include "peer_generated.h"

#include <memory>
#include <optional>

namespace chivefold {

std::unique_ptr<wire::RolloutProgressT> toWire(const RolloutProgress &from);

/** @return the progress, or nothing if a field is missing or out of range. */
std::optional<RolloutProgress> fromWire(const wire::RolloutProgressT &from);

} // namespace chivefold

#endif
