#include "chivefold/core/control_snapshot.h"

#include <algorithm>

namespace chivefold {

Result<std::vector<SnapshotPartRecord>>
splitSnapshot(const ControlState &state, const RecordId &snapshotId) {
  const auto bytes = state.encodeSnapshot();
  const auto count = (bytes.size() + SnapshotLimits::PartBytes - 1) /
                     SnapshotLimits::PartBytes;
  if (count > SnapshotLimits::MaxParts) {
    return Reason{ErrorCode::TooLarge, "snapshot has too many parts"};
  }
  const auto digest = hash64(bytes);
  std::vector<SnapshotPartRecord> parts;
  for (std::size_t n = 0; n < count; ++n) {
    parts.push_back({snapshotId, state.applied(), static_cast<std::uint32_t>(n),
                     static_cast<std::uint32_t>(count), digest,
                     bytes.substr(n * SnapshotLimits::PartBytes,
                                  SnapshotLimits::PartBytes)});
  }
  return parts;
}

std::optional<ControlState>
SnapshotAssembler::add(const SnapshotPartRecord &part) {
  if (part.PartCount > SnapshotLimits::MaxParts ||
      part.Index >= part.PartCount) {
    return std::nullopt;
  }
  auto it =
      std::find_if(Partials.begin(), Partials.end(),
                   [&](const Partial &p) { return p.Id == part.SnapshotId; });
  if (it == Partials.end()) {
    if (Partials.size() == SnapshotLimits::MaxAssembled) {
      Partials.pop_front();
    }
    Partials.push_back({part.SnapshotId, {}});
    it = std::prev(Partials.end());
  }
  it->Parts.emplace(part.Index, part.Bytes);
  if (it->Parts.size() < part.PartCount) {
    return std::nullopt;
  }
  std::string bytes;
  for (const auto &p : it->Parts) {
    bytes += p.second;
  }
  Partials.erase(it);
  if (hash64(bytes) != part.Digest) {
    return std::nullopt;
  }
  auto state = ControlState::decodeSnapshot(bytes);
  if (!state || state->applied() != part.AsOf) {
    return std::nullopt;
  }
  return std::move(*state);
}

bool SnapshotScan::add(const std::vector<LogEntry> &entries, LogOffset tail) {
  for (const auto &it : entries) {
    Next = LogOffset{raw(it.Offset) + 1};
    const auto record = decodeRecord(it.Bytes);
    const auto *part =
        record ? std::get_if<SnapshotPartRecord>(&record->Body) : nullptr;
    // Records between an older snapshot and the first retained one are lost.
    if (part == nullptr || raw(part->AsOf) + 1 < raw(First) ||
        part->AsOf <= Location.AsOf) {
      continue;
    }
    if (auto state = Assembler.add(*part)) {
      Newest = std::move(state);
      Location = {part->AsOf, it.Offset, part->PartCount};
    }
  }
  return !entries.empty() && Next < tail;
}

Result<ControlState> SnapshotScan::take() {
  if (!Newest) {
    return Reason{ErrorCode::LogTrimmed,
                  "the log retains records from " + std::to_string(raw(First)) +
                      " on, but no complete snapshot to replay them from"};
  }
  return std::move(*Newest);
}

} // namespace chivefold
