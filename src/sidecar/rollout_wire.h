/**
 * @file
 * Conversion of rollout progress to and from its wire format, which is used in
 * frames and in the store. Internal to src/sidecar. All functions are
 * thread-safe.
 */
#ifndef CHIVEFOLD_SIDECAR_ROLLOUT_WIRE_H
#define CHIVEFOLD_SIDECAR_ROLLOUT_WIRE_H

#include "chivefold/mesh/version_policy.h"
#include "peer_generated.h"

#include <memory>
#include <optional>

namespace chivefold {

std::unique_ptr<wire::RolloutProgressT> toWire(const RolloutProgress &from);

/** @return the progress, or std::nullopt if a field is missing or out of range.
 */
std::optional<RolloutProgress> fromWire(const wire::RolloutProgressT &from);

} // namespace chivefold

#endif
