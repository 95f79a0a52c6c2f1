/**
 * @file
 * Snapshots of the control state in the log, split into records.
 */
#ifndef CHIVEFOLD_CORE_CONTROL_SNAPSHOT_H
#define CHIVEFOLD_CORE_CONTROL_SNAPSHOT_H

#include "chivefold/core/control_state.h"
#include "chivefold/core/error.h"
#include "chivefold/core/record.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivefold {

/** Bounds of snapshots. */
struct SnapshotLimits {
  /** Leaves room for the other fields within MaxRecordBytes. */
  static constexpr std::size_t PartBytes = MaxRecordBytes - 1024;
  static constexpr std::uint32_t MaxParts = 512;
  /** Snapshots assembled at a time; the oldest is dropped on overflow. */
  static constexpr std::size_t MaxAssembled = 4;
};

/**
 * Splits the snapshot of @p state into parts that fit a record each.
 * @return the parts in index order, or TooLarge above MaxParts. Thread-safe.
 */
Result<std::vector<SnapshotPartRecord>>
splitSnapshot(const ControlState &state, const RecordId &snapshotId);

/**
 * Collects snapshot parts from the log in any order. A snapshot of which parts
 * are missing or damaged yields nothing. Not thread-safe.
 */
class SnapshotAssembler {
public:
  /** @return the state once the last part of its snapshot was added. */
  std::optional<ControlState> add(const SnapshotPartRecord &part);

private:
  struct Partial {
    RecordId Id;
    std::map<std::uint32_t, std::string> Parts;
  };
  std::deque<Partial> Partials;
};

/** Place of a complete snapshot in the log. */
struct SnapshotLocation {
  LogOffset AsOf = LogOffset::None;
  /** Offset of the record that completed it. */
  LogOffset End = LogOffset::None;
  std::uint32_t Parts = 0;
};

/**
 * Looks through a trimmed log for the newest complete snapshot that the
 * retained records continue. Not thread-safe.
 */
class SnapshotScan {
public:
  /** @param first the log's oldest retained offset. */
  explicit SnapshotScan(LogOffset first) : First(first), Next(first) {}

  /** @return the offset to read from. */
  LogOffset next() const { return Next; }

  /** Adds the records read from next(). @return whether to read on, given the
   * log's @p tail, the offset of its next append. */
  bool add(const std::vector<LogEntry> &entries, LogOffset tail);

  const SnapshotLocation &location() const { return Location; }

  /** @return the state of the snapshot at location(), or LogTrimmed if there is
   * none. Call once. */
  Result<ControlState> take();

private:
  LogOffset First;
  LogOffset Next;
  SnapshotAssembler Assembler;
  std::optional<ControlState> Newest;
  SnapshotLocation Location;
};

} // namespace chivefold

#endif
