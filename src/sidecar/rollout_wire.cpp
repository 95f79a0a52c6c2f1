#include "rollout_wire.h"

#include "history_wire.h"

namespace chivefold {

std::unique_ptr<wire::RolloutProgressT> toWire(const RolloutProgress &from) {
  auto to = std::make_unique<wire::RolloutProgressT>();
  to->service = from.Service;
  to->target_version = from.TargetVersion;
  to->order_offset = from.OrderOffset;
  to->phase = static_cast<std::uint8_t>(from.Phase);
  to->share_basis_points = from.ShareBasisPoints;
  to->elapsed_ms = static_cast<std::uint32_t>(from.Elapsed.count() / 1000);
  to->rejected = from.Rejected;
  to->base_version = from.BaseVersion;
  to->offset = from.Offset;
  to->era = from.Era;
  to->order_era = from.OrderEra;
  to->order_digest = from.OrderDigest;
  to->first_end = from.FirstEnd ? toWire(*from.FirstEnd) : nullptr;
  to->provisional = from.Provisional;
  return to;
}

std::optional<RolloutProgress> fromWire(const wire::RolloutProgressT &from) {
  if (from.service.empty() || from.target_version.empty() ||
      from.phase > static_cast<std::uint8_t>(RolloutPhase::RolledBack) ||
      from.share_basis_points > FullShare ||
      (from.provisional &&
       from.phase != static_cast<std::uint8_t>(RolloutPhase::RolledBack))) {
    return std::nullopt;
  }
  RolloutProgress to;
  to.Service = from.service;
  to.TargetVersion = from.target_version;
  to.OrderOffset = from.order_offset;
  to.Phase = static_cast<RolloutPhase>(from.phase);
  to.ShareBasisPoints = from.share_basis_points;
  to.Elapsed = std::chrono::milliseconds(from.elapsed_ms);
  to.Rejected = from.rejected;
  to.BaseVersion = from.base_version;
  to.Offset = from.offset;
  to.Era = from.era;
  to.OrderEra = from.order_era;
  to.OrderDigest = from.order_digest;
  if (from.first_end) {
    to.FirstEnd = fromWire(*from.first_end);
  }
  to.Provisional = from.provisional;
  return to;
}

} // namespace chivefold
