/**
 * @file
 * Deterministic replay of the log into the state that all daemons agree on.
 */
#ifndef CHIVEFOLD_CORE_CONTROL_STATE_H
#define CHIVEFOLD_CORE_CONTROL_STATE_H

#include "chivefold/core/claim_history.h"
#include "chivefold/core/configuration.h"
#include "chivefold/core/error.h"
#include "chivefold/core/record.h"
#include "chivefold/core/types.h"
#include "chivefold/core/verdict.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivefold {

/** Limits of the replicated state. They are part of the replay rules: daemons
 * with different values would compute different digests. */
struct ControlStateLimits {
  static constexpr std::size_t MaxPendingChanges = 64;
  static constexpr std::size_t MaxPendingBytes = 4U << 20U;
  static constexpr std::size_t MaxAnnounces = 64;
  /** Ended moves of removed services are dropped, oldest first, above this. */
  static constexpr std::size_t MaxMoves = ConfigurationLimits::MaxServices;
  /** Texts of records that are kept in the state are truncated to these
   * lengths. */
  static constexpr std::size_t MaxWriterBytes = 128;
  static constexpr std::size_t MaxReasonBytes = 1024;
  static constexpr std::size_t MaxEvidenceBytes = 4096;
  static constexpr std::uint32_t FullShareBasisPoints = 10'000;
};

/** The newest move of one service. */
struct MoveState {
  std::string Service;
  /** Offset of the change that requested the move; identifies it. */
  Version Move = Version::None;
  std::string FromVersion;
  std::string ToVersion;
  UtcTime Deadline{};
  std::uint32_t ShareBasisPoints = 0;
  /** Offset of the newest applied step, or None. */
  LogOffset StepOffset = LogOffset::None;
  bool Ended = false;
  /** Valid if Ended. */
  MoveResult Result = MoveResult::TakenBack;
  LogOffset EndOffset = LogOffset::None;
  std::string Reason;
  std::string Evidence;
};

/** Exclusive right of one daemon to drive a running move. */
struct Lease {
  std::string Service;
  Version Move = Version::None;
  DaemonId Holder;
  Epoch LeaseEpoch = Epoch::None;
  /** Newest applied record of the holder; a candidate restarts its takeover
   * timer when this changes. */
  LogOffset LastOffset = LogOffset::None;
};

/** Whether a data centre is taken out, and the record that decided it. */
struct DataCentreState {
  std::string Name;
  bool TakenOut = false;
  LogOffset Offset = LogOffset::None;
};

/** Address of a daemon that announced itself in the log. */
struct Announce {
  Address Peer;
  std::string DataCentre;
  std::string Region;
  LogOffset Offset = LogOffset::None;
};

/**
 * Checks that every reference in a configuration resolves (dependencies,
 * current and target versions, data centres) and that it is within
 * ConfigurationLimits, including the dependency depth.
 * @return InvalidText with the first violation. Thread-safe.
 */
Status validateConfiguration(const Configuration &config);

/**
 * Replicated state machine over the log. Two instances that applied the same
 * offsets have equal digests. Not thread-safe; the configuration that it
 * returns is immutable and may be read from any thread.
 */
class ControlState {
public:
  ControlState();

  /**
   * Applies the entry that follows applied(). Entries at or below applied()
   * are ignored (AlreadyApplied). An undecodable entry changes nothing but
   * advances applied().
   * @return the verdict on the record, or Conflict if entries between
   * applied() and this one are missing; the caller then fetches them.
   */
  Result<VerdictKind> apply(const LogEntry &entry);

  /** @return the offset of the newest applied entry. */
  LogOffset applied() const { return Applied; }

  /** @return the offset of the newest change that was accepted, None before
   * the first. */
  Version version() const { return CurrentVersion; }

  /** @return the configuration in force, never null. */
  std::shared_ptr<const Configuration> configuration() const { return Config; }

  /** @return the verdict on the record, while it is among the newest
   * VerdictHistory::MaxEntries ids. */
  std::optional<Verdict> verdict(const RecordId &id) const {
    return Verdicts.find(id);
  }

  /** @return the newest move of each service, running or ended, by name. */
  std::vector<MoveState> moves() const;

  /** @return the newest move of @p service or nullptr. Valid until the next
   * call of apply(). */
  const MoveState *move(std::string_view service) const;

  /** @return the lease of the running move of @p service or nullptr. Valid
   * until the next call of apply(). */
  const Lease *lease(std::string_view service) const;

  /** @return the version that serves the traffic of @p service outside of a
   * running move's share, empty if the service is unknown. */
  std::string effectiveVersion(std::string_view service) const;

  /** @return the first claim of @p key, while it is retained. */
  std::optional<Claim> claim(const KeyHash &key) const {
    return Claims.find(key);
  }

  /** @return whether @p dataCentre is out of service. */
  bool takenOut(std::string_view dataCentre) const;

  /** @return the state of @p dataCentre or nullptr. Valid until the next call
   * of apply(). */
  const DataCentreState *dataCentre(std::string_view dataCentre) const;

  /** @return the newest announcements, at most one for each peer address,
   * oldest first. */
  const std::deque<Announce> &announces() const { return Announces; }

  /** @return a hash of the whole state; cached until the next apply(). */
  std::uint64_t digest() const;

  /** @return the state as a ControlSnapshot buffer. */
  std::string encodeSnapshot() const;

  /**
   * Decodes untrusted bytes.
   * @return the state, or InvalidRecord if the bytes are damaged or
   * incomplete, exceed a limit, or do not match the digest that they carry.
   * Thread-safe.
   */
  static Result<ControlState> decodeSnapshot(std::string_view bytes);

private:
  friend class ControlSnapshotCodec;

  struct PendingPart {
    LogOffset Offset = LogOffset::None;
    std::string Bytes;
  };
  /** Parts of a change whose commit has not been applied. */
  struct PendingChange {
    RecordId ChangeId;
    std::map<std::uint32_t, PendingPart> Parts;
  };
  struct VersionOverride {
    std::string ToVersion;
    LogOffset Offset = LogOffset::None;
  };
  /** A decoded record with its offset and encoded bytes. */
  struct RecordContext {
    LogOffset Offset;
    const Record &Source;
    std::string_view Bytes;
  };

  /** Applies a record whose id is new. @return the verdict. */
  Verdict applyRecord(const RecordContext &context);
  Verdict applyBody(const RecordContext &context, const ChangeRecord &r);
  Verdict applyBody(const RecordContext &context, const ChangePartRecord &r);
  Verdict applyBody(const RecordContext &context, const ChangeCommitRecord &r);
  Verdict applyBody(const RecordContext &context, const LeaseTakeRecord &r);
  Verdict applyBody(const RecordContext &context, const MoveStepRecord &r);
  Verdict applyBody(const RecordContext &context, const MoveEndRecord &r);
  Verdict applyBody(const RecordContext &context, const DataCentreRecord &r);
  Verdict applyBody(const RecordContext &context, const AnnounceRecord &r);
  Verdict applyBody(const RecordContext &context, const ClaimRecord &r);
  Verdict applyBody(const RecordContext &context, const SnapshotPartRecord &r);

  Verdict lostRace() const;
  Verdict applyChange(const RecordContext &context,
                      const std::vector<Section> &sections);
  bool overridesStayValid(const Configuration &next) const;
  void updateMoves(LogOffset at, const Configuration &next);
  void updateMove(LogOffset at, const Service *before, const Service &after);
  void updateDataCentres(LogOffset at, const Configuration &next);
  MoveState *runningMove(const std::string &service, Version move);
  void endMove(MoveState &move, LogOffset at, MoveResult result,
               const std::string &reason);
  void evictOldestMoves();
  bool addPart(const RecordId &changeId, std::uint32_t index, PendingPart part);
  void dropPending(const RecordId &changeId);
  void setConfiguration(std::shared_ptr<const Configuration> next);
  std::uint64_t computeDigest() const;

  LogOffset Applied = LogOffset::None;
  Version CurrentVersion = Version::None;
  std::string VersionWriter;
  std::shared_ptr<const Configuration> Config;
  std::uint64_t ConfigDigest = 0;
  std::map<std::string, MoveState, std::less<>> Moves;
  std::map<std::string, Lease, std::less<>> Leases;
  /** Versions that completed moves made current, by service. They replace
   * the current version of the configuration until that changes. */
  std::map<std::string, VersionOverride, std::less<>> Overrides;
  std::map<std::string, DataCentreState, std::less<>> DataCentres;
  std::deque<Announce> Announces;
  ClaimHistory Claims;
  VerdictHistory Verdicts;
  /** Ordered by the arrival of the first part of each, oldest first. */
  std::deque<PendingChange> Pending;
  std::size_t PendingBytes = 0;
  mutable std::optional<std::uint64_t> CachedDigest;
};

} // namespace chivefold

#endif
