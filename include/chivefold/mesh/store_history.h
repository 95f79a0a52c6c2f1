/**
 * @file
 * Eras of the store's history.
 *
 * The store may come back from an older copy of itself. Offsets behind the end
 * of the copy are then given out again, so that an offset names a record only
 * together with the era in which it was written.
 */
#ifndef CHIVEFOLD_MESH_STORE_HISTORY_H
#define CHIVEFOLD_MESH_STORE_HISTORY_H

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chivefold {

/** Relation of a stated era to the highest one that was stated before. */
enum class EraObservation : std::uint8_t {
  Current,
  /** The history up to here was replaced by an older copy. */
  Risen,
  /** The answer was made before the store came back. */
  Stale,
  /** The era is absent or not a number, although earlier answers stated one. */
  Missing
};

/** @return "current", "risen", "stale" or "missing". Thread-safe. */
std::string_view eraObservationName(EraObservation observation);

/** Tracks the store's era, as its answers state it. Not thread-safe. */
class StoreEra {
public:
  /** Answers by their observation. */
  struct Counters {
    std::uint64_t Risen = 0;
    std::uint64_t Stale = 0;
    std::uint64_t Missing = 0;
  };

  /** Takes the era of an answer. @param stated absent if the answer states
   * none, which is accepted while no answer has stated one. */
  EraObservation observe(std::optional<std::uint64_t> stated);

  /** @return the highest era; 0 before the first. */
  std::uint64_t current() const { return Current.value_or(0); }
  const Counters &counters() const { return Counts; }

private:
  std::optional<std::uint64_t> Current;
  Counters Counts;
};

/** Place of a record: the era in which it was written and its offset. A record
 * is newer than another one of its key if its place is higher. */
struct StorePosition {
  std::uint64_t Era = 0;
  std::uint64_t Offset = 0;

  friend bool operator==(const StorePosition &a, const StorePosition &b) {
    return a.Era == b.Era && a.Offset == b.Offset;
  }
  friend bool operator!=(const StorePosition &a, const StorePosition &b) {
    return !(a == b);
  }
  friend bool operator<(const StorePosition &a, const StorePosition &b) {
    return a.Era != b.Era ? a.Era < b.Era : a.Offset < b.Offset;
  }
  friend bool operator<=(const StorePosition &a, const StorePosition &b) {
    return !(b < a);
  }
};

/** Bounds of the offset at which an era begins. */
struct EraStart {
  /** Behind all records that were read with the same content in both eras. */
  std::uint64_t AtLeast = 0;
  /** The lowest offset whose records are known to differ, which is stronger
   * evidence, since records can be equal by chance. */
  std::uint64_t AtMost = std::numeric_limits<std::uint64_t>::max();

  std::uint64_t offset() const { return std::min(AtLeast, AtMost); }
};

/** @return "era:offset". Thread-safe. */
std::string toString(const StorePosition &position);

/**
 * Tells in which era a record was written that was read at some offset.
 *
 * An era begins at the offset at which its history departs from the one before
 * it. The store does not state that offset. Digests of the records read before
 * give bounds of it, which hosts exchange. Each restored history having
 * a number of its own follows the timelines of PostgreSQL; finding the offset
 * at which two histories part follows the leader epochs of Kafka. Not
 * thread-safe.
 */
class StoreHistory {
public:
  /** Maximum number of eras whose beginning is kept; the oldest are dropped. */
  static constexpr std::size_t MaxEras = 16;
  /** Maximum number of record digests; those at the lowest offsets are dropped,
   * since a copy is only some seconds old. */
  static constexpr std::size_t MaxDigests = 1024;

  /** Notes that @p era was read; no effect for an earlier one. */
  void enter(std::uint64_t era);
  /** @return the newest era. */
  std::uint64_t era() const { return Newest; }

  /** Notes a record of the newest era. @param digest of its key and value. */
  void recordRead(std::uint64_t offset, std::uint64_t digest);

  /** Takes another host's bounds of a known era's first offset. */
  void narrowStart(std::uint64_t era, const EraStart &bounds);
  /** @return the bounds of the era's first offset. */
  EraStart start(std::uint64_t era) const;

  /** @return where a record was written that was read at @p readAt; era 0 if
   * that was before the eras known to this host. */
  StorePosition place(const StorePosition &readAt) const;

  /** @return whether the store has lost the record written at @p place, as far
   * as this host knows. */
  bool isLost(const StorePosition &place) const;

private:
  struct ReadDigest {
    std::uint64_t Era = 0;
    std::uint64_t Digest = 0;
  };

  bool wasInPreviousEra(const StorePosition &readAt) const;

  std::uint64_t Newest = 0;
  /** By era. */
  std::map<std::uint64_t, EraStart> Starts;
  /** By offset, in the newest history in which the offset was read. */
  std::map<std::uint64_t, ReadDigest> Digests;
};

} // namespace chivefold

#endif
