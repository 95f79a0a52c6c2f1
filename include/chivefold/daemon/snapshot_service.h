/**
 * @file
 * Appends snapshots of the control state to the log and recovers from them.
 */
#ifndef CHIVEFOLD_DAEMON_SNAPSHOT_SERVICE_H
#define CHIVEFOLD_DAEMON_SNAPSHOT_SERVICE_H

#include "chivefold/core/control_snapshot.h"
#include "chivefold/core/dissemination.h"
#include "chivefold/core/member_table.h"
#include "chivefold/core/snapshot_schedule.h"
#include "chivefold/io/log_client.h"
#include "chivefold/io/logging.h"
#include "chivefold/io/reactor.h"

#include <functional>
#include <optional>
#include <vector>

namespace chivefold {

/** What snapshots are made from and installed into. */
struct SnapshotParts {
  ControlState &State;
  MemberTable &Members;
  Dissemination &Records;
};

/** Used on the reactor's thread only. */
class SnapshotService {
public:
  /** Time limit for one part; a writer that fails leaves the snapshot to the
   * next candidate. */
  static constexpr Duration PartTimeout = std::chrono::seconds(10);
  /** Pause between parts: 50 appends/s of the log's budget of 300. */
  static constexpr Duration PartInterval = std::chrono::milliseconds(20);
  static constexpr Duration ReadTimeout = std::chrono::seconds(5);
  /** Pause after a scan without result. */
  static constexpr Duration ScanPause = std::chrono::seconds(2);

  /** @param newId gives the identities of snapshots and records. @param
   * onInstalled runs after a snapshot from the log replaced the state. */
  SnapshotService(Reactor &reactor, LogClient &log, SnapshotParts parts,
                  std::function<RecordId()> newId,
                  std::function<void()> onInstalled);
  ~SnapshotService();
  SnapshotService(const SnapshotService &) = delete;
  SnapshotService &operator=(const SnapshotService &) = delete;

  /** A read of the log succeeded. */
  void logRead(LogOffset first, LogOffset next);

  /** A peer's snapshot replaced the state. */
  void recordsSkipped() { Schedule.recordsSkipped(); }

  /** Appends a snapshot if one is due. Call several times a second. */
  void tick();

  /** Scans the log for the newest complete snapshot and installs it if it is
   * newer than the state. One scan at a time; has no effect within ScanPause of
   * one without result. */
  void recover();

private:
  void write(SnapshotCause cause);
  void writeNext();
  void endWrite(const char *why);
  void scanOn();
  void onScanned(const Result<LogBatch> &batch);
  void endScan();

  Reactor &Loop;
  LogClient &Client;
  SnapshotParts Parts;
  std::function<RecordId()> NewId;
  std::function<void()> OnInstalled;
  SnapshotSchedule Schedule;
  /** Parts of the snapshot that is being appended; empty if none is. */
  std::vector<SnapshotPartRecord> Writing;
  std::size_t Written = 0;
  TimerId Timer = TimerId::None;
  std::optional<SnapshotScan> Scan;
  TimePoint ScanAfter{};
  Logger Lines{"snapshot"};
};

} // namespace chivefold

#endif
