/**
 * @file
 * Conversion of places in the store's history to and from frames.
 */
#ifndef CHIVEFOLD_SIDECAR_HISTORY_WIRE_H
#define CHIVEFOLD_SIDECAR_HISTORY_WIRE_H

#include "chivefold/mesh/store_history.h"
#include "peer_generated.h"

#include <memory>

namespace chivefold {

inline std::unique_ptr<wire::EraStart> toWire(const EraStart &from) {
  return std::make_unique<wire::EraStart>(from.AtLeast, from.AtMost);
}

/** @return unbounded if @p from is null. */
inline EraStart fromWire(const wire::EraStart *from) {
  return from == nullptr ? EraStart()
                         : EraStart{from->at_least(), from->at_most()};
}

inline std::unique_ptr<wire::StorePlace> toWire(const StorePosition &from) {
  return std::make_unique<wire::StorePlace>(from.Era, from.Offset);
}

inline StorePosition fromWire(const wire::StorePlace &from) {
  return {from.era(), from.offset()};
}

} // namespace chivefold

#endif
