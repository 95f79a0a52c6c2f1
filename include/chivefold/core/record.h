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

/** Largest encoded record. A change that does not fit is appended as several
 * parts and a commit. */
constexpr std::size_t MaxRecordBytes = 32U << 10U;

/** A configuration change that fits one record. Applied only if Base is the
 * configuration version in force at its log offset. */
struct ChangeRecord {
  Version Base = Version::None;
  std::vector<Section> Sections;
};

/** Part of a change that needs several records. Has no effect until the commit
 * of ChangeId is applied. */
struct ChangePartRecord {
  RecordId ChangeId;
  std::uint32_t Index = 0;
  std::vector<Section> Sections;
};

/** Commits the parts of ChangeId. Has no effect if the part count or the digest
 * does not match the parts. */
struct ChangeCommitRecord {
  RecordId ChangeId;
  Version Base = Version::None;
  std::uint32_t PartCount = 0;
  /** XXH3 chained over the encoded parts in index order. */
  std::uint64_t Digest = 0;
};

/** Takes or renews the lease of a move. Applied only if ExpectedEpoch is the
 * current lease epoch. A renewal by the holder keeps the epoch. */
struct LeaseTakeRecord {
  std::string Service;
  /** Configuration version that requested the move. */
  Version Move = Version::None;
  DaemonId Holder;
  Epoch ExpectedEpoch = Epoch::None;
};

/** Sets the traffic share of a move. Applied only under the current lease
 * epoch. */
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
 * Ends a move. Done is applied only under the current lease epoch, since it
 * keeps traffic on the new version. TakenBack only removes traffic from it, so
 * it is applied from any daemon while the move runs.
 */
struct MoveEndRecord {
  std::string Service;
  Version Move = Version::None;
  Epoch LeaseEpoch = Epoch::None;
  MoveResult Result = MoveResult::TakenBack;
  std::string Reason;
  std::string Evidence;
};

/** Takes a data centre out of service or puts it back. */
struct DataCentreRecord {
  std::string DataCentre;
  bool TakenOut = false;
};

/** Announces the address of a daemon that found no live peer, so that other
 * daemons can contact it. */
struct AnnounceRecord {
  Address Peer;
  std::string DataCentre;
  std::string Region;
};

/**
 * Claims idempotency keys before their requests run. For each key, only the
 * holder of the first claim in log order may run the request.
 */
struct ClaimRecord {
  DaemonId Holder;
  std::vector<KeyHash> Keys;
};

/** Part of a snapshot of the control state at log offset AsOf. */
struct SnapshotPartRecord {
  RecordId SnapshotId;
  LogOffset AsOf = LogOffset::None;
  std::uint32_t Index = 0;
  std::uint32_t PartCount = 0;
  /** Hash of the whole encoded snapshot. */
  std::uint64_t Digest = 0;
  std::string Bytes;
};

using RecordBody =
    std::variant<ChangeRecord, ChangePartRecord, ChangeCommitRecord,
                 LeaseTakeRecord, MoveStepRecord, MoveEndRecord,
                 DataCentreRecord, AnnounceRecord, ClaimRecord,
                 SnapshotPartRecord>;

/** A decoded log record. */
struct Record {
  RecordId Id;
  /** Who wrote the record. Shown to operators; does not affect how the record
   * is applied. */
  std::string Writer;
  RecordBody Body;
};

/** An encoded record with its offset in the log. */
struct LogEntry {
  LogOffset Offset = LogOffset::None;
  std::string Bytes;
};

/** @return the encoded record. Thread-safe. */
std::string encodeRecord(const Record &record);

/**
 * Decodes untrusted bytes without reading out of bounds.
 * @return the record, or InvalidRecord. Thread-safe.
 */
Result<Record> decodeRecord(std::string_view bytes);

/** Maximum number of parts of one change. Limits the memory that readers use
 * for a change without a commit. */
constexpr std::uint32_t MaxChangeParts = 256;

/** Maximum number of keys in one ClaimRecord. */
constexpr std::size_t MaxClaimKeys = 1024;

/** Digest of a change before its first part is added. */
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
 * @param base configuration version that the change is based on.
 * @param sections the change; applied in order.
 * @param newId generates the id of each record.
 * @param writer who makes the change, for operators.
 * @return the records, or TooLarge if a single section does not fit a record
 * or more than MaxChangeParts parts are needed. Thread-safe if @p newId is.
 */
Result<std::vector<Record>> makeChange(Version base,
                                       std::vector<Section> sections,
                                       const std::function<RecordId()> &newId,
                                       const std::string &writer);

} // namespace chivefold

#endif
