#include "chivefold/core/claim_history.h"

namespace chivefold {

std::optional<Claim> ClaimHistory::find(const KeyHash &key) const {
  const auto it = Index.find(key);
  if (it == Index.end()) {
    return std::nullopt;
  }
  const auto &entry = Entries[it->second - EvictedCount];
  return Claim{entry.Offset, holder(entry)};
}

bool ClaimHistory::add(const KeyHash &key, LogOffset offset,
                       const DaemonId &holder) {
  if (Index.count(key) != 0) {
    return false;
  }
  if (Entries.size() == MaxEntries) {
    evictOldest();
  }
  Index.emplace(key, EvictedCount + Entries.size());
  Entries.push_back({key, offset, acquireHolder(holder)});
  Digest += hashOf(Entries.back());
  return true;
}

std::uint32_t ClaimHistory::acquireHolder(const DaemonId &id) {
  const auto key = std::make_pair(id.Peer, id.BootId);
  const auto it = HolderIndex.find(key);
  if (it != HolderIndex.end()) {
    ++Holders[it->second].References;
    return it->second;
  }
  std::uint32_t slot = 0;
  if (FreeHolderSlots.empty()) {
    slot = static_cast<std::uint32_t>(Holders.size());
    Holders.emplace_back();
  } else {
    slot = FreeHolderSlots.back();
    FreeHolderSlots.pop_back();
  }
  Holders[slot] = {id, 1};
  HolderIndex.emplace(key, slot);
  return slot;
}

void ClaimHistory::evictOldest() {
  const auto entry = Entries.front();
  Digest -= hashOf(entry);
  Index.erase(entry.Key);
  auto &slot = Holders[entry.Holder];
  if (--slot.References == 0) {
    HolderIndex.erase({slot.Id.Peer, slot.Id.BootId});
    FreeHolderSlots.push_back(entry.Holder);
  }
  Entries.pop_front();
  ++EvictedCount;
}

std::uint64_t ClaimHistory::hashOf(const Entry &entry) const {
  const auto &id = holder(entry);
  const std::uint64_t words[] = {entry.Key.High, entry.Key.Low,
                                 raw(entry.Offset), id.BootId, id.Peer.Port};
  return hash64({reinterpret_cast<const char *>(words), sizeof words},
                hash64(id.Peer.Ip));
}

} // namespace chivefold
