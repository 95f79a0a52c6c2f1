/**
 * @file
 * What a host can give to connections from outside, and how it is shared out.
 */
#ifndef CHIVEFOLD_IO_EDGE_LIMITS_H
#define CHIVEFOLD_IO_EDGE_LIMITS_H

#include "chivefold/core/types.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chivefold {

/** Why a request or a connection was not served by the edge itself. */
enum class EdgeRefusal : std::uint8_t {
  /** Malformed or ambiguous framing. */
  Malformed,
  /** Headers, trailers and chunk extensions over the limit. */
  Header,
  /** Body over the limit, or over what this host can ever hold. */
  Body,
  /** Headers or body took too long. */
  Slow,
  /** The bytes held over all connections were at their bound. */
  Memory,
  /** The number of connections was at its bound. */
  Connections,
};

constexpr std::array<std::string_view, 6> EdgeRefusalNames{
    "malformed", "header", "body", "slow", "memory", "connections"};

constexpr std::string_view edgeRefusalName(EdgeRefusal reason) {
  return EdgeRefusalNames[static_cast<std::size_t>(reason)];
}

/** Refusals since the start, indexed by EdgeRefusal. */
using EdgeCounts = std::array<std::uint64_t, EdgeRefusalNames.size()>;

/** How many connections each listening address accepts at once. */
struct ConnectionShares {
  std::size_t Callers = 0;
  std::size_t Admin = 0;
  std::size_t Readiness = 0;
  std::size_t Peers = 0;
};

/** Limits of a host for everything that comes over connections. */
struct EdgeLimits {
  /** Memory of the host for this process, in units of a million bytes. */
  std::size_t MemoryMb = 160;
  /** Descriptors that this process may have open. */
  std::size_t Descriptors = 4100;
  /** Longest time from the first byte of a request to the end of its body. */
  Duration BodyTimeout = std::chrono::minutes(5);

  /** A body is held by its request and once more while it is sent on. */
  static constexpr std::size_t BodyCopies = 2;
  /** Memory of the process apart from what connections hold. */
  static constexpr std::size_t ProcessBytes = 20U << 20U;
  /** Connections that are accepted at one address in any case. */
  static constexpr std::size_t MaxConnections = 1024;
  /** Descriptors for files, listeners, the store and the backend server:
   * an eighth of them, and at least this number. */
  static constexpr std::size_t MinOwnDescriptors = 64;

  /** @return the bytes that connections may hold together. Thread-safe. */
  constexpr std::size_t budgetBytes() const {
    const auto all = MemoryMb * 1000 * 1000;
    return std::max(all, 2 * ProcessBytes) - ProcessBytes;
  }

  /** @return how connections are shared out. Thread-safe. */
  constexpr ConnectionShares connections() const {
    const auto own = std::max(MinOwnDescriptors, Descriptors / 8);
    const auto seventh = (std::max(Descriptors, own + 7) - own) / 7;
    return {std::min(3 * seventh, MaxConnections),
            std::min(seventh, MaxConnections),
            std::min(seventh, MaxConnections),
            std::min(2 * seventh, MaxConnections)};
  }
};

} // namespace chivefold

#endif
