/**
 * @file
 * The effective claims of idempotency keys, in log order.
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

/** The effective claim of a key: the first one in the log. */
struct Claim {
  LogOffset Offset = LogOffset::None;
  DaemonId Holder;
};

/**
 * Keeps the newest claims. On overflow the oldest one is evicted, after which
 * its key can be claimed again; the bound therefore limits how long a key is
 * known as claimed. Not thread-safe.
 */
class ClaimHistory {
public:
  static constexpr std::size_t MaxEntries = 50'000;

  struct Entry {
    KeyHash Key;
    LogOffset Offset = LogOffset::None;
    /** Index into Holders. */
    std::uint32_t Holder = 0;
  };

  std::optional<Claim> find(const KeyHash &key) const;

  /** Adds a claim of @p key unless the key is already claimed. @return whether
   * the claim was added. */
  bool add(const KeyHash &key, LogOffset offset, const DaemonId &holder);

  /** @return the entries, oldest first. */
  const std::deque<Entry> &entries() const { return Entries; }

  /** @return the daemon that holds the claim of @p entry. */
  const DaemonId &holder(const Entry &entry) const {
    return Holders[entry.Holder].Id;
  }

  /** @return a hash of all entries, maintained incrementally. */
  std::uint64_t digest() const { return Digest; }

private:
  /** A daemon that holds claims. Stored once and counted by References, since a
   * daemon holds many claims. */
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
