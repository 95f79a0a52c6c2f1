/**
 * @file
 * Conversion between frames of the peer protocol and core types.
 */
#ifndef CHIVEFOLD_DAEMON_WIRE_CONVERT_H
#define CHIVEFOLD_DAEMON_WIRE_CONVERT_H

#include "chivefold/core/member_table.h"
#include "chivefold/core/poison_table.h"
#include "chivefold/core/safe_steps.h"
#include "chivefold/core/sequential_test.h"
#include "chivefold/core/types.h"
#include "peer_generated.h"

#include <memory>
#include <optional>
#include <vector>

namespace chivefold {

/** @return @p address for a frame. Thread-safe. */
std::unique_ptr<wire::PeerAddressT> addressToWire(const Address &address);

/** @return the address, or nothing if it is not an IP number with a port.
 * Thread-safe. */
std::optional<Address> fromWire(const wire::PeerAddressT *address);

/** @return @p member for a frame. Thread-safe. */
std::unique_ptr<wire::MemberT> toWire(const Member &member);

/** @return the member, or nothing if a field is missing or out of range.
 * Thread-safe. */
std::optional<Member> fromWire(const wire::MemberT *member);

/** Converts lists; entries that do not convert are dropped. Thread-safe. */
std::vector<std::unique_ptr<wire::MemberT>>
toWire(const std::vector<Member> &members);
std::vector<Member>
fromWire(const std::vector<std::unique_ptr<wire::MemberT>> &members);

/** Converts safe steps; nothing if the kind is not known. Thread-safe. */
std::unique_ptr<wire::SafeStepT> stepToWire(const SafeStep &step);
std::optional<SafeStep> stepFromWire(const wire::SafeStepT &step);

/** Converts deaths; nothing if the server has no address. Thread-safe. */
std::unique_ptr<wire::PoisonDeathT> poisonToWire(const PoisonUpdate &step);
std::optional<PoisonUpdate> poisonFromWire(const wire::PoisonDeathT &death);

/** Converts counts of a version. Thread-safe. */
std::vector<std::unique_ptr<wire::KindStatsT>>
statsToWire(const std::vector<KindCounts> &counts, const std::string &version);
std::vector<KindCounts>
statsFromWire(const std::vector<std::unique_ptr<wire::KindStatsT>> &stats);

/** @return a frame body that holds @p table. Thread-safe. */
template <class T> wire::FrameBodyUnion frameBody(T table) {
  wire::FrameBodyUnion body;
  body.Set(std::move(table));
  return body;
}

} // namespace chivefold

#endif
