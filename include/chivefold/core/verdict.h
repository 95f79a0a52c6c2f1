/**
 * @file
 * Verdicts on log records, stored for the newest record ids.
 */
#ifndef CHIVEFOLD_CORE_VERDICT_H
#define CHIVEFOLD_CORE_VERDICT_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace chivefold {

/** Whether a log record takes effect, or why it does not. */
enum class VerdictKind : std::uint8_t {
  Counted,
  /** An earlier record made another change, or claimed all of the keys. */
  LostRace,
  StaleEpoch,
  /** An earlier record or part has the same id. */
  DuplicateId,
  /** Names a move or data centre that is not in effect at the offset of the
   * record. */
  Unknown,
  DigestMismatch,
  /** A part whose commit has not been read yet, or a commit with missing parts.
   */
  Incomplete,
  /** Would leave an undefined reference or exceed a limit of the configuration.
   */
  BrokenReference,
  /** Could not be decoded. Such a record has no id, so its verdict is not
   * stored. */
  Undecodable,
  /** At or below the applied offset; the record was skipped. */
  AlreadyApplied,
};

/** @return the lower-case name of @p kind. Thread-safe. */
std::string_view verdictName(VerdictKind kind);
std::optional<VerdictKind> verdictFromName(std::string_view name);

/** Result of applying one log record. */
struct Verdict {
  Verdict() = default;
  explicit Verdict(VerdictKind kind) : Kind(kind) {}
  Verdict(VerdictKind kind, LogOffset offset, LogOffset winner,
          std::string writer)
      : Kind(kind), Offset(offset), WinnerOffset(winner),
        WinnerWriter(std::move(writer)) {}

  VerdictKind Kind = VerdictKind::Counted;
  LogOffset Offset = LogOffset::None;
  /** For LostRace, the record that won, and its writer (the address of the
   * holder if the record is a claim). */
  LogOffset WinnerOffset = LogOffset::None;
  std::string WinnerWriter;
};

/**
 * Verdicts on the newest record ids, in log order. Above MaxEntries the oldest
 * verdict is dropped, after which a record with the same id is treated as new.
 * Not thread-safe.
 */
class VerdictHistory {
public:
  static constexpr std::size_t MaxEntries = 4096;

  struct Entry {
    RecordId Id;
    Verdict Value;
  };

  /** @return the verdict on the record with @p id, if it is stored. */
  std::optional<Verdict> find(const RecordId &id) const;

  /** Precondition: find(id) is empty. */
  void add(const RecordId &id, Verdict verdict);

  /** @return the entries, oldest first. */
  const std::deque<Entry> &entries() const { return Entries; }

  /** @return a hash of all entries, updated incrementally. */
  std::uint64_t digest() const { return Digest; }

private:
  std::deque<Entry> Entries;
  /** Number of entries dropped so far. Index maps an id to its position counted
   * from the first entry ever added. */
  std::uint64_t Dropped = 0;
  std::unordered_map<RecordId, std::uint64_t> Index;
  std::uint64_t Digest = 0;
};

} // namespace chivefold

#endif
