/**
 * @file
 * The claims of idempotency keys that count, in log order.
 */
#ifndef CHIVEFOLD_CORE_CLAIM_HISTORY_H
#define CHIVEFOLD_CORE_CLAIM_HISTORY_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chivefold {

/** The claim that counts for a key. */
struct Claim {
  LogOffset Offset = LogOffset::None;
  DaemonId Holder;
};

/**
 * Keeps the newest claims. The oldest is dropped on overflow; a repeat of its
 * key would be claimed anew, so the bound limits how long a key stays unique.
 * Not thread-safe.
 */
class ClaimHistory {
public:
  static constexpr std::size_t MaxEntries = 50'000;

  struct Entry {
    KeyHash Key;
    LogOffset Offset = LogOffset::None;
    std::uint32_t Holder = 0;
  };

  std::optional<Claim> find(const KeyHash &key) const;

  /** Claims @p key unless it is claimed. @return whether this claim counts. */
  bool add(const KeyHash &key, LogOffset offset, const DaemonId &holder);

  /** @return the entries, oldest first. */
  const std::deque<Entry> &entries() const { return Entries; }

  /** @return the holder of an entry. */
  const DaemonId &holder(const Entry &entry) const {
    return Holders[entry.Holder].Id;
  }

  /** @return a hash of all entries, maintained incrementally. */
  std::uint64_t digest() const { return Digest; }

private:
  /** Holders are stored once, since a daemon has many claims. */
  struct HolderSlot {
    DaemonId Id;
    std::uint32_t References = 0;
  };
  std::uint32_t acquireHolder(const DaemonId &id);
  void evictOldest();
  std::uint64_t hashOf(const Entry &entry) const;

  std::deque<Entry> Entries;
  std::uint64_t EvictedCount = 0;
  std::unordered_map<KeyHash, std::uint64_t> Index;
  std::vector<HolderSlot> Holders;
  std::vector<std::uint32_t> FreeHolderSlots;
  std::map<std::pair<Address, std::uint64_t>, std::uint32_t> HolderIndex;
  std::uint64_t Digest = 0;
};

} // namespace chivefold

#endif
