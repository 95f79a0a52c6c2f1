/**
 * @file
 * Records of the platform's log, and their encoding.
 */
#ifndef CHIVEFOLD_CORE_RECORD_H
#define CHIVEFOLD_CORE_RECORD_H

#include "chivefold/core/configuration.h"
#include "chivefold/core/error.h"
#include "chivefold/core/types.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chivefold {

/** Largest record; a larger change is appended as begin, parts and commit. */
constexpr std::size_t MaxRecordBytes = 32U << 10U;

/** A configuration change that fits one record. Counts only if Base is the
 * version in force at its place. */
struct ChangeRecord {
  Version Base = Version::None;
  std::vector<Section> Sections;
};

/** Part of a change that needs several records. Ignored without its commit. */
struct ChangePartRecord {
  RecordId ChangeId;
  std::uint32_t Index = 0;
  std::vector<Section> Sections;
};

/** Commits the parts of ChangeId; ignored if count or digest disagree. */
struct ChangeCommitRecord {
  RecordId ChangeId;
  Version Base = Version::None;
  std::uint32_t PartCount = 0;
  /** XXH3 chained over the encoded parts in index order. */
  std::uint64_t Digest = 0;
};

/** Takes or renews the lease of a move; counts only if ExpectedEpoch is
 * current. A renewal by the holder keeps the epoch. */
struct LeaseTakeRecord {
  std::string Service;
  /** Version of the configuration that asked for the move. */
  Version Move = Version::None;
  DaemonId Holder;
  Epoch ExpectedEpoch = Epoch::None;
};

/** Raises (or lowers) the share of a move; counts only under the current epoch.
 */
struct MoveStepRecord {
  std::string Service;
  Version Move = Version::None;
  Epoch LeaseEpoch = Epoch::None;
  std::uint32_t ShareBasisPoints = 0;
};

/** How a move ended. */
enum class MoveResult : std::uint8_t { Done, TakenBack };
std::string_view moveResultName(MoveResult r);
std::optional<MoveResult> moveResultFromName(std::string_view name);

/**
 * Ends a move. "Done" counts only under the current epoch, since it keeps
 * exposure; "taken back" only reduces exposure and counts from any daemon
 * while the move runs.
 */
struct MoveEndRecord {
  std::string Service;
  Version Move = Version::None;
  Epoch LeaseEpoch = Epoch::None;
  MoveResult Result = MoveResult::TakenBack;
  std::string Reason;
  std::string Evidence;
};

/** Takes a data centre out or puts it back. */
struct DataCentreRecord {
  std::string DataCentre;
  bool TakenOut = false;
};

/** Address of a daemon that found no live peer, so that others can reach it. */
struct AnnounceRecord {
  Address Peer;
  std::string DataCentre;
  std::string Region;
};

/**
 * Claims idempotency keys before their requests run. For each key the first
 * claim in log order counts; its holder alone may run the request.
 */
struct ClaimRecord {
  DaemonId Holder;
  std::vector<KeyHash> Keys;
};

/** Part of a snapshot of the control state as of AsOf. */
struct SnapshotPartRecord {
  RecordId SnapshotId;
  LogOffset AsOf = LogOffset::None;
  std::uint32_t Index = 0;
  std::uint32_t PartCount = 0;
  std::uint64_t Digest = 0;
  std::string Bytes;
};

using RecordBody =
    std::variant<ChangeRecord, ChangePartRecord, ChangeCommitRecord,
                 LeaseTakeRecord, MoveStepRecord, MoveEndRecord,
                 DataCentreRecord, AnnounceRecord, ClaimRecord,
                 SnapshotPartRecord>;

/** One record as its writer made it. */
struct Record {
  RecordId Id;
  /** Who wrote it, for operators only; never used to judge. */
  std::string Writer;
  RecordBody Body;
};

/** An encoded record at its place in the log. */
struct LogEntry {
  LogOffset Offset = LogOffset::None;
  std::string Bytes;
};

/** @return the encoded record. Thread-safe. */
std::string encodeRecord(const Record &record);

/**
 * Decodes untrusted bytes; never reads outside of them.
 * @return the record, or InvalidRecord. Thread-safe.
 */
Result<Record> decodeRecord(std::string_view bytes);

/** Most parts of one change, which bounds what readers keep without a commit.
 */
constexpr std::uint32_t MaxChangeParts = 256;

/** Most claims in one record. */
constexpr std::size_t MaxClaimKeys = 1024;

/** Seed of the digest of a change, before its first part. */
constexpr std::uint64_t InitialChangeDigest = 0;

/**
 * Adds one encoded part to the digest of a change. Parts are added in index
 * order, starting from InitialChangeDigest.
 * @param digest digest of the parts before this one.
 * @param part the part's record as encoded in the log.
 * @return the digest that includes the part. Thread-safe.
 */
std::uint64_t changeDigest(std::uint64_t digest, std::string_view part);

/**
 * Builds the records of a change, in the order in which they are appended: one
 * ChangeRecord if it fits MaxRecordBytes, else parts and a commit.
 * @param base version that the change was based on.
 * @param sections the change; applied in order.
 * @param newId gives the identity of each record.
 * @param writer who makes the change, for operators.
 * @return the records, or TooLarge if one section alone does not fit a record
 * or more than MaxChangeParts parts are needed. Thread-safe if @p newId is.
 */
Result<std::vector<Record>> makeChange(Version base,
                                       std::vector<Section> sections,
                                       const std::function<RecordId()> &newId,
                                       const std::string &writer);

} // namespace chivefold

#endif
