/**
 * @file
 * Schedule that decides when, and by which daemon, a snapshot of the control
 * state is appended to the log.
 */
#ifndef CHIVEFOLD_CORE_SNAPSHOT_SCHEDULE_H
#define CHIVEFOLD_CORE_SNAPSHOT_SCHEDULE_H

#include "chivefold/core/control_snapshot.h"
#include "chivefold/core/member_table.h"
#include "chivefold/core/record.h"
#include "chivefold/core/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace chivefold {

/** Intervals and limits of the schedule. */
struct SnapshotScheduleLimits {
  /** Fewest records between a snapshot and the next one that is due by
   * RetentionUsed. The number of parts of the snapshot counts instead if it is
   * larger, so that snapshots take up at most about half of the log. */
  static constexpr std::uint64_t MinRecords = 16;
  static constexpr Duration MaxAge = std::chrono::hours(1);
  /** Age from which a snapshot is renewed with fewer than MinRecords new
   * records, if the log has expired records since: a log that expires records
   * by time would drop the snapshot while few records are appended. */
  static constexpr Duration MinRenewalAge = std::chrono::minutes(1);
  /** Delay of each candidate after the one ranked before it, and after the
   * last part of an incomplete snapshot by another writer. At the log's budget
   * of 300 appends/s, 1,500 records are appended in that time. */
  static constexpr Duration TakeoverDelay = std::chrono::seconds(5);
};

/** Why a snapshot is due. */
enum class SnapshotCause : std::uint8_t {
  /** Half of the retained records are newer than the newest snapshot. */
  RetentionUsed,
  /** The newest snapshot is MaxAge old. */
  Age,
  /** A starting daemon can no longer rebuild the state from the log. */
  NotRecoverable,
};

/** @return a name for log lines. Thread-safe. */
std::string_view snapshotCauseName(SnapshotCause cause);

/** Rank of a daemon among the candidates that may write a snapshot. */
struct SnapshotRank {
  /** The candidate of rank 0 writes first; absent if the daemon is not a
   * candidate. */
  std::optional<std::size_t> Rank;
  std::size_t Candidates = 0;
};

/** @return the rank of this daemon among the log readers of all data centres,
 * in rendezvous hashing order. Not thread-safe. */
SnapshotRank snapshotRank(const MemberTable &members);

/**
 * Tracks the snapshots in the log through the applied records and decides when
 * this daemon must append one. Not thread-safe.
 */
class SnapshotSchedule {
public:
  /** Call for each applied record, in log order. */
  void applied(const LogEntry &entry, TimePoint now);

  /** Call when the state was replaced by that of a peer. The skipped records
   * may contain snapshots, so nothing is due until scanned() is called or a
   * newer snapshot is complete. */
  void recordsSkipped() { Skipped = true; }

  /** @return whether a snapshot would be due, but the log must be scanned for
   * one first. */
  bool scanNeeded(LogOffset applied, TimePoint now) const {
    return Skipped && dueCause(applied, now);
  }

  /** Call when the retained log has been scanned. @param newest the newest
   * complete snapshot in it; its AsOf is None if there is none. */
  void scanned(const SnapshotLocation &newest, TimePoint now);

  /** Call after each read of the log. @param first oldest retained offset.
   * @param next offset of the next append. */
  void logRead(LogOffset first, LogOffset next, TimePoint now);

  /** Call when an attempt of this daemon to write a snapshot has ended. The
   * next one is not due within TakeoverDelay unless a complete snapshot is
   * seen first. */
  void attemptEnded(TimePoint now);

  /**
   * @param applied offset applied by this daemon; AsOf of its snapshot.
   * @param rank is called only if a snapshot is due.
   * @return why this daemon must append a snapshot now, or nothing if it must
   * not.
   */
  std::optional<SnapshotCause> due(LogOffset applied,
                                   const std::function<SnapshotRank()> &rank,
                                   TimePoint now);

  /** @return the newest complete snapshot that was seen; its AsOf is None if
   * there was none. */
  const SnapshotLocation &newest() const { return Newest; }

private:
  /** Part indexes seen of an incomplete snapshot. */
  struct Partial {
    RecordId Id;
    std::set<std::uint32_t> Seen;
  };

  void setNewest(const SnapshotLocation &location, TimePoint now);
  /** @return why a snapshot is due, regardless of rank and delays. */
  std::optional<SnapshotCause> dueCause(LogOffset applied, TimePoint now) const;
  bool retentionUsed(TimePoint now) const;

  SnapshotLocation Newest;
  std::optional<TimePoint> NewestAt;
  LogOffset FirstAtNewest = LogOffset::None;
  /** At most SnapshotLimits::MaxAssembled; the oldest is dropped first. */
  std::deque<Partial> Partials;
  LogOffset First = LogOffset::None;
  LogOffset Next = LogOffset::None;
  bool Skipped = false;
  std::optional<TimePoint> DueSince;
  /** When the last part of an incomplete snapshot was seen. */
  std::optional<TimePoint> PartSeenAt;
  std::optional<TimePoint> NotBefore;
};

} // namespace chivefold

#endif
