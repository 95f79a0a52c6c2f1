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

#include <cstdint>
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

/** @return "era:offset". Thread-safe. */
std::string toString(const StorePosition &position);

} // namespace chivefold

#endif
