/**
 * @file
 * Wire form of the progress of rollouts, in frames and in the store. Internal
 * to sidecar. All functions are thread-safe.
 */
#ifndef CHIVEFOLD_SIDECAR_ROLLOUT_WIRE_H
#define CHIVEFOLD_SIDECAR_ROLLOUT_WIRE_H

#include "chivefold/mesh/version_policy.h"
#include "chivefold/sidecar/ports.h"
#include "peer_generated.h"

#include <memory>
#include <optional>
#include <string>

namespace chivefold {

std::unique_ptr<wire::RolloutProgressT> toWire(const RolloutProgress &from);

/** @return the progress, or nothing if a field is missing or out of range. */
std::optional<RolloutProgress> fromWire(const wire::RolloutProgressT &from);

/** @return the value of a record in the store. */
std::string encode(const RolloutProgress &progress);

/** @return the progress with the place of its record, or nothing if the record
 * cannot be read. */
std::optional<RolloutProgress> decode(const KeyedRecord &record);

} // namespace chivefold

#endif
