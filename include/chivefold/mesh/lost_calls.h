/**
 * @file
 * Calls to other hosts that ended without an answer.
 */
#ifndef CHIVEFOLD_MESH_LOST_CALLS_H
#define CHIVEFOLD_MESH_LOST_CALLS_H

#include "chivefold/core/poison_table.h"
#include "chivefold/core/types.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace chivefold {

/** A call that was lost with the daemon beside its server. */
struct LostCall {
  Address Peer;
  /** Start of the server to which it was sent. */
  std::uint64_t ServerStart = 0;
  RequestDigest Digest = RequestDigest::None;
  TimePoint At{};
};

/**
 * Calls whose server may have crashed together with its daemon, which then told
 * no one. If the server is found to have started again, they may be the cause.
 * Holds at most MaxCalls; the oldest are dropped. Not thread-safe.
 */
class LostCalls {
public:
  static constexpr std::size_t MaxCalls = 256;
  /** A server that crashed is back within this time; a later start has another
   * cause. */
  static constexpr Duration MaxAge = std::chrono::seconds(15);

  void add(const LostCall &call);

  /** Returns the start of the server that now runs beside a daemon; 0 if none
   * is known. */
  using CurrentStart = std::function<std::uint64_t(const Address &peer)>;

  bool isEmpty() const { return Calls.empty(); }

  /** @return and forgets the calls whose servers have started again since. */
  std::vector<LostCall> takeCrashed(const CurrentStart &currentStart,
                                    TimePoint now);

private:
  std::deque<LostCall> Calls;
};

} // namespace chivefold

#endif
