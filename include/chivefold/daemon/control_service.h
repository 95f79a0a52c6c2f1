/**
 * @file
 * Keeps the control state of a daemon current: reads the log, exchanges
 * records with peers, recovers at start and spreads safe steps.
 */
#ifndef CHIVEFOLD_DAEMON_CONTROL_SERVICE_H
#define CHIVEFOLD_DAEMON_CONTROL_SERVICE_H

#include "chivefold/core/control_state.h"
#include "chivefold/core/dissemination.h"
#include "chivefold/core/member_table.h"
#include "chivefold/core/safe_steps.h"
#include "chivefold/daemon/membership_service.h"
#include "chivefold/daemon/poison_service.h"
#include "chivefold/daemon/snapshot_service.h"
#include "chivefold/io/log_client.h"
#include "chivefold/io/logging.h"
#include "chivefold/io/peer_network.h"
#include "chivefold/io/reactor.h"

#include <functional>
#include <random>
#include <vector>

namespace chivefold {

/** What the control service replays into and decides with. */
struct ControlParts {
  ControlState &State;
  SafeSteps &Steps;
  MemberTable &Members;
  Dissemination &Records;
  PoisonService &Poison;
};

/** Whether the log answers, as this daemon last saw it. */
struct LogStatus {
  bool Available = false;
  /** When a read that reached the end of the log was sent. */
  std::optional<TimePoint> ReadAt;
};

/** Used on the reactor's thread only. */
class ControlService : public GossipPayload {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(200);
  /** Time that a read may wait at the log for a new record. */
  static constexpr Duration LongPoll = std::chrono::seconds(2);
  static constexpr Duration ReadTimeout = std::chrono::seconds(5);
  static constexpr Duration MinBackoff = std::chrono::milliseconds(100);
  /** Bounds the delay of a change after an outage of the log, since a change
   * must be in force everywhere within 11 s. */
  static constexpr Duration MaxBackoff = std::chrono::seconds(2);
  static constexpr Duration PeerTimeout = std::chrono::seconds(1);
  /** Snapshots that a daemon serves in one second. */
  static constexpr std::uint32_t SnapshotsPerSecond = 4;
  static constexpr std::size_t StepFanout = 4;

  /** @param seed of the jitter. @param onApplied runs after the state or the
   * safe steps changed. */
  ControlService(Reactor &reactor, PeerNetwork &network, LogClient &log,
                 ControlParts parts, std::uint64_t seed,
                 std::function<void()> onApplied);
  ~ControlService() override;
  ControlService(const ControlService &) = delete;
  ControlService &operator=(const ControlService &) = delete;

  /** Begins recovery and reading. */
  void start();

  Readiness readiness();
  LogStatus logStatus() const { return Log; }

  /** Appends a record; @p done gets its offset after a lost answer too. */
  void append(RecordBody body, Duration timeLimit,
              LogClient::AppendCallback done);

  /** Whether this daemon reads the log even if it is not one of the readers. */
  void setFollowing(bool following) { Following = following; }

  /** Reads the log now until @p offset is applied. */
  void catchUp(LogOffset offset);

  /** Puts a safe step in force here and spreads it. */
  void startStep(const SafeStep &step);

  /** A peer answered a join. */
  void joinAnswered(const PeerAnswer &answer);

  /** Handle frames of peers. */
  void onRecords(const wire::RecordsT &records);
  void onFetch(const wire::FetchRecordsT &fetch, const PeerResponder &respond);
  void onSnapshotRequest(const PeerResponder &respond);
  void onStep(const wire::SafeStepT &step);

  LogOffset appliedOffset() const override;
  std::uint64_t stateDigest() const override;
  std::vector<std::unique_ptr<wire::SafeStepT>> stepsToSend() override;
  void heardProgress(
      const Address &peer, LogOffset applied, std::uint64_t digest,
      const std::vector<std::unique_ptr<wire::SafeStepT>> &steps) override;
  std::vector<std::unique_ptr<wire::PoisonDeathT>> deathsToSend() override;
  /** @return the deaths for a joining daemon, a bounded number. */
  std::vector<std::unique_ptr<wire::PoisonDeathT>> deathsForJoin();
  void heardDeaths(
      const std::vector<std::unique_ptr<wire::PoisonDeathT>> &deaths) override;

private:
  void tick();
  bool wantsLog();
  void readLog();
  void onRead(const Result<LogBatch> &batch, TimePoint sentAt);
  void onReadFailed(const Reason &reason);
  void accept(const std::vector<LogEntry> &entries,
              const std::optional<Address> &from);
  void applied(std::size_t count);
  void fetch(const Fetch &fetch);
  void onFetched(const Address &from, const PeerOutcome &outcome);
  void requestSnapshot(const Address &from);
  void mergeStep(const SafeStep &step);
  RecordId newRecordId();

  Reactor &Loop;
  PeerNetwork &Network;
  LogClient &Client;
  ControlParts Parts;
  std::mt19937_64 Random;
  std::function<void()> OnApplied;
  SnapshotService Snapshots;
  LogStatus Log;
  bool Reading = false;
  bool SnapshotPending = false;
  bool WasReady = false;
  bool Following = false;
  LogOffset Wanted = LogOffset::None;
  TimePoint ReadAfter{};
  Duration Backoff = MinBackoff;
  TimePoint SnapshotWindowEnd{};
  std::uint32_t SnapshotsServed = 0;
  TimerId Timer = TimerId::None;
  Logger Lines{"control"};
};

} // namespace chivefold

#endif
