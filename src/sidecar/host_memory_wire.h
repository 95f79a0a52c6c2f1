/**
 * @file
 * Conversion of announced departures to and from their wire format, which is
 * used in frames and in the store. Internal to src/sidecar. All functions are
 * thread-safe.
 */
#ifndef CHIVEFOLD_SIDECAR_HOST_MEMORY_WIRE_H
#define CHIVEFOLD_SIDECAR_HOST_MEMORY_WIRE_H

#include "chivefold/core/poison_table.h"
#include "chivefold/mesh/departures.h"
#include "peer_generated.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivefold {

using DeparturesOnWire = std::vector<std::unique_ptr<wire::DepartureT>>;

/** Maximum number of announcements in a message or record; further ones are
 * ignored. */
constexpr std::size_t MaxDeparturesOnWire = 8;

DeparturesOnWire toWire(const std::vector<Departure> &from);

/** @return the announcements that name an instance. */
std::vector<Departure> fromWire(const DeparturesOnWire &from);

using CrashesOnWire = std::vector<std::unique_ptr<wire::KeptCrashT>>;

/** Converts crashes that the daemon at @p own keeps. @param nowMs UTC. */
CrashesOnWire crashesToWire(const std::vector<PoisonUpdate> &from,
                            const Address &own, std::int64_t nowMs);

/** @return the crashes of a record of the daemon at @p host that are valid. A
 * clock that was ahead makes none younger than now. */
std::vector<PoisonUpdate> crashesFromWire(const CrashesOnWire &from,
                                          const Address &host,
                                          std::int64_t nowMs);

/** @return the bytes of a record in the store. */
std::string encodeHostMemory(const wire::HostMemoryT &from);

/** @return the record, or nothing if the bytes are not valid. */
std::optional<wire::HostMemoryT> decodeHostMemory(const std::string &bytes);

} // namespace chivefold

#endif
