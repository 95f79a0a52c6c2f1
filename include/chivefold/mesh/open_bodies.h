/**
 * @file
 * Slots of a server for requests whose bodies are still arriving.
 */
#ifndef CHIVEFOLD_MESH_OPEN_BODIES_H
#define CHIVEFOLD_MESH_OPEN_BODIES_H

#include "chivefold/core/types.h"
#include "chivefold/mesh/slot_gate.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace chivefold {

/** A request that occupies a slot while its client sends the body. */
struct OpenBody {
  GateRequestId Call = GateRequestId::None;
  /** When its first bytes were sent to the server. */
  TimePoint SentAt{};
  /** Bytes a second that arrive of it. */
  double Pace = 0;
};

/**
 * A body that is passed on while it arrives keeps a slot of the server for as
 * long as its client likes. The load that this answers are clients that stop in
 * mid-body, on many connections at once: they get at most a part of the slots,
 * and a body that does not get on loses its slot as soon as another request
 * waits for it. Thread-safe.
 */
class OpenBodyPolicy {
public:
  /** Open bodies get one of so many slots, and one in any case. */
  static constexpr std::uint32_t SlotsPerBody = 4;
  /** Bytes a second below which a body does not get on. */
  static constexpr double MinPace = 16U << 10U;
  /** Time that a body has to reach its pace. */
  static constexpr Duration StartTime = std::chrono::seconds(1);

  /** @return how many open bodies a server with @p slots may have. */
  static std::size_t limit(std::uint32_t slots);

  /** @return the body that gives its slot to a request that waits: the slowest
   * one below MinPace. */
  static std::optional<GateRequestId>
  slowest(const std::vector<OpenBody> &bodies, TimePoint now);
};

} // namespace chivefold

#endif
