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

/** Limits on the size and number of snapshots in the log. */
struct SnapshotLimits {
  /** Largest payload of one part; leaves room for the other fields of the
   * record within MaxRecordBytes. */
  static constexpr std::size_t PartBytes = MaxRecordBytes - 1024;
  static constexpr std::uint32_t MaxParts = 512;
  /** Incomplete snapshots that are assembled at a time; when another one
   * begins, the oldest is dropped. */
  static constexpr std::size_t MaxAssembled = 4;
};

/**
 * Splits the encoded snapshot of @p state into parts that each fit one record.
 * @return the parts in index order, or TooLarge if more than
 * SnapshotLimits::MaxParts are needed. Thread-safe.
 */
Result<std::vector<SnapshotPartRecord>>
splitSnapshot(const ControlState &state, const RecordId &snapshotId);

/**
 * Assembles snapshots from their parts, which may arrive in any order. A
 * snapshot with missing or damaged parts yields no state. Not thread-safe.
 */
class SnapshotAssembler {
public:
  /** @return the decoded state if @p part completes its snapshot. */
  std::optional<ControlState> add(const SnapshotPartRecord &part);

private:
  struct Partial {
    RecordId Id;
    std::map<std::uint32_t, std::string> Parts;
  };
  std::deque<Partial> Partials;
};

/** Position of a complete snapshot in the log. */
struct SnapshotLocation {
  /** Offset of the newest record that the snapshot includes. */
  LogOffset AsOf = LogOffset::None;
  /** Offset of the record that completed the snapshot. */
  LogOffset End = LogOffset::None;
  std::uint32_t Parts = 0;
};

/**
 * Searches a trimmed log for the newest complete snapshot from which the
 * retained records can be replayed without a gap. Not thread-safe.
 */
class SnapshotScan {
public:
  /** @param first the log's oldest retained offset. */
  explicit SnapshotScan(LogOffset first) : First(first), Next(first) {}

  /** @return the offset to read from. */
  LogOffset next() const { return Next; }

  /**
   * Adds the records that were read from next().
   * @param tail offset of the log's next append.
   * @return whether records before @p tail are still to be read.
   */
  bool add(const std::vector<LogEntry> &entries, LogOffset tail);

  /** @return the newest snapshot found so far; its AsOf is None if there is
   * none. */
  const SnapshotLocation &location() const { return Location; }

  /** @return the state of the snapshot at location(), or LogTrimmed if there is
   * none. Moves the state out, so call it only once. */
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
