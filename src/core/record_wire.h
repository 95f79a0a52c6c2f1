/**
 * @file
 * Conversion between configuration types and their FlatBuffers object types.
 */
#ifndef CHIVEFOLD_SRC_CORE_RECORD_WIRE_H
#define CHIVEFOLD_SRC_CORE_RECORD_WIRE_H

#include "chivefold/core/record.h"

#include "record_generated.h"

#include <memory>

namespace chivefold {

/** Conversions to wire types, which cannot fail. All functions of this file are
 * thread-safe. */
std::unique_ptr<wire::FleetT> toWire(const Fleet &fleet);
std::unique_ptr<wire::ServiceT> toWire(const Service &service);
std::unique_ptr<wire::DaemonIdT> toWire(const DaemonId &id);
std::unique_ptr<wire::AddressT> toWire(const Address &address);

/** Conversions from wire types. They return InvalidRecord if a required field
 * is absent or a value is out of range. */
Result<Fleet> fromWire(const wire::FleetT &fleet);
Result<Service> fromWire(const wire::ServiceT &service);
Result<DaemonId> fromWire(const wire::DaemonIdT *id);
Result<Address> fromWire(const wire::AddressT *address);

/**
 * @return lower bound of the bytes that @p sections would take if none of them
 * shared content. A malformed buffer can refer to one long string many times
 * and would then take far more memory once unpacked. Precondition: the
 * FlatBuffers verifier accepted the buffer.
 */
std::size_t unsharedBytes(
    const flatbuffers::Vector<flatbuffers::Offset<wire::Section>> *sections);

/** @return InvalidRecord with @p message. */
inline Reason invalidRecord(std::string message) {
  return {ErrorCode::InvalidRecord, std::move(message)};
}

} // namespace chivefold

#endif
