/**
 * @file
 * Verdicts of the replay on log records, kept for the newest record ids.
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

/** Whether a record counts, or why not. */
enum class VerdictKind : std::uint8_t {
  Counted,
  /** Another change, or another claim of every key, came first. */
  LostRace,
  StaleEpoch,
  /** A record or part with the same id came first. */
  DuplicateId,
  /** Names a move or data centre that is not in force at its place. */
  Unknown,
  DigestMismatch,
  /** A part that waits for its commit, or a commit that lacks parts. */
  Incomplete,
  /** Would break a reference or a limit of the configuration. */
  BrokenReference,
  /** Could not be decoded; has no id, so that no verdict is kept. */
  Undecodable,
  /** At or below the applied offset; nothing was judged. */
  AlreadyApplied,
};

/** @return the lower-case name of @p kind. Thread-safe. */
std::string_view verdictName(VerdictKind kind);
std::optional<VerdictKind> verdictFromName(std::string_view name);

/** What became of one record. */
struct Verdict {
  Verdict() = default;
  explicit Verdict(VerdictKind kind) : Kind(kind) {}
  Verdict(VerdictKind kind, LogOffset offset, LogOffset winner,
          std::string writer)
      : Kind(kind), Offset(offset), WinnerOffset(winner),
        WinnerWriter(std::move(writer)) {}

  VerdictKind Kind = VerdictKind::Counted;
  /** Place of the record. */
  LogOffset Offset = LogOffset::None;
  /** Record that won a lost race, and its writer (the holder's address if it
   * is a claim). */
  LogOffset WinnerOffset = LogOffset::None;
  std::string WinnerWriter;
};

/**
 * The verdicts on the newest record ids in log order; the oldest is dropped on
 * overflow, after which a repeat of its id is judged as a new record. Not
 * thread-safe.
 */
class VerdictHistory {
public:
  static constexpr std::size_t MaxEntries = 4096;

  struct Entry {
    RecordId Id;
    Verdict Value;
  };

  std::optional<Verdict> find(const RecordId &id) const;

  /** Precondition: find(id) is empty. */
  void add(const RecordId &id, Verdict verdict);

  /** @return the entries, oldest first. */
  const std::deque<Entry> &entries() const { return Entries; }

  /** @return a hash of all entries, maintained incrementally. */
  std::uint64_t digest() const { return Digest; }

private:
  std::deque<Entry> Entries;
  /** Number of entries dropped so far; Index holds positions counted from the
   * first entry ever. */
  std::uint64_t Dropped = 0;
  std::unordered_map<RecordId, std::uint64_t> Index;
  std::uint64_t Digest = 0;
};

} // namespace chivefold

#endif
