/**
 * @file
 * Decides when a snapshot of the control state is appended to the log, and by
 * whom.
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

/** Times and bounds of the schedule. */
struct SnapshotScheduleLimits {
  /** Records after a snapshot before the used retention makes the next one
   * due; the parts of the snapshot if they are more, so that snapshots are at
   * most about half of the log. */
  static constexpr std::uint64_t MinRecords = 16;
  static constexpr Duration MaxAge = std::chrono::hours(1);
  /** Age at which a snapshot is renewed when the log expires records by time
   * while few are appended. */
  static constexpr Duration MinRenewalAge = std::chrono::minutes(1);
  /** A candidate starts this long after the one before it, and after the last
   * part that another writer appended. At the log's budget of 300 appends/s it
   * is 1,500 records. */
  static constexpr Duration TakeoverDelay = std::chrono::seconds(5);
};

/** Why a snapshot is due. */
enum class SnapshotCause : std::uint8_t {
  /** Half of the retained records are newer than the newest snapshot. */
  RetentionUsed,
  /** The newest snapshot is MaxAge old. */
  Age,
  /** The log no longer retains what a starting daemon needs. */
  NotRecoverable,
};

/** @return a name for log lines. Thread-safe. */
std::string_view snapshotCauseName(SnapshotCause cause);

/** Place of a daemon among the candidates. */
struct SnapshotRank {
  /** 0 writes first; none if the daemon is no candidate. */
  std::optional<std::size_t> Rank;
  std::size_t Candidates = 0;
};

/** @return the place of this daemon among the log readers of all data centres
 * in rendezvous order. Not thread-safe. */
SnapshotRank snapshotRank(const MemberTable &members);

/**
 * Follows the snapshots in the log by the applied records and decides when this
 * daemon appends one. Not thread-safe.
 */
class SnapshotSchedule {
public:
  /** A record was applied; records come in log order. */
  void applied(const LogEntry &entry, TimePoint now);

  /** The state was replaced by a peer's, so that snapshots in the records that
   * were skipped are not known. Nothing is due until scanned(). */
  void recordsSkipped() { Skipped = true; }

  /** @return whether a snapshot would be due, but the log must be scanned for
   * one first. */
  bool scanNeeded(LogOffset applied, TimePoint now) const {
    return Skipped && dueCause(applied, now);
  }

  /** The retained log was scanned. @param newest the newest complete snapshot
   * in it; its AsOf is None if there is none. */
  void scanned(const SnapshotLocation &newest, TimePoint now);

  /** The log was read. @param first oldest retained offset. @param next offset
   * of the next append. */
  void logRead(LogOffset first, LogOffset next, TimePoint now);

  /** An attempt of this daemon ended; the next one is not due before
   * TakeoverDelay unless the snapshot is seen complete. */
  void attemptEnded(TimePoint now);

  /**
   * @param applied offset applied by this daemon, which its snapshot will have.
   * @param rank is called only if a snapshot is due.
   * @return why this daemon must append a snapshot now, if it must.
   */
  std::optional<SnapshotCause> due(LogOffset applied,
                                   const std::function<SnapshotRank()> &rank,
                                   TimePoint now);

  /** @return the newest complete snapshot that was seen; its AsOf is None if
   * there was none. */
  const SnapshotLocation &newest() const { return Newest; }

private:
  /** Indexes seen of a snapshot without all parts. */
  struct Partial {
    RecordId Id;
    std::set<std::uint32_t> Seen;
  };

  void setNewest(const SnapshotLocation &location, TimePoint now);
  std::optional<SnapshotCause> dueCause(LogOffset applied, TimePoint now) const;
  bool retentionUsed(TimePoint now) const;

  SnapshotLocation Newest;
  std::optional<TimePoint> NewestAt;
  LogOffset FirstAtNewest = LogOffset::None;
  /** At most SnapshotLimits::MaxAssembled, the oldest is dropped. */
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
