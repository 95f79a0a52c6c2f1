/**
 * @file
 * Lease by which one host at a time performs a duty of the whole fleet.
 */
#ifndef CHIVEFOLD_MESH_DUTY_LEASE_H
#define CHIVEFOLD_MESH_DUTY_LEASE_H

#include "chivefold/core/types.h"
#include "chivefold/mesh/store_history.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chivefold {

/** One term of a holder, as its records in the store state it. */
struct DutyTerm {
  /** Greater than those of all terms before. 0 means none. */
  std::uint64_t Fence = 0;
  /** Host that holds the duty. */
  std::string Holder;
  /** Identifies the start of its daemon. */
  std::uint64_t Boot = 0;

  friend bool operator==(const DutyTerm &a, const DutyTerm &b) {
    return a.Fence == b.Fence && a.Holder == b.Holder && a.Boot == b.Boot;
  }
};

/** Durations of a lease. */
struct DutyLeaseSettings {
  /** From the moment at which the holder begins to write a record. Longer than
   * the time within which a duty must not return to an earlier holder. */
  Duration Lifetime = std::chrono::seconds(4);
  /** Added by other hosts, whose clocks may run differently. */
  Duration Margin = std::chrono::milliseconds(500);
  /** The holder acts only while so much is left, for the way of its calls. */
  Duration Reserve = std::chrono::milliseconds(1000);
};

/**
 * What one host knows of the lease. All records of a duty are in one stream,
 * which is written at its expected end only, so that a record of an earlier
 * term is refused once there is a later one, however late it arrives. Each
 * record of the holder renews its lease. Others take the duty once they have
 * seen no new record for a lifetime by their own clock; what they do not know
 * the age of counts as new. In a later era of the store, all that is read is
 * new, and fences are greater than those of the eras before. Times must come
 * from a clock that runs on while the host is suspended. Not thread-safe.
 */
class DutyLease {
public:
  DutyLease(DutyLeaseSettings settings, std::string host, std::uint64_t boot);

  /** Takes the newest record of the stream, or nothing if there is none.
   * @param end end of the stream as read. @param now when it was read. */
  void recordRead(const std::optional<DutyTerm> &newest,
                  const StorePosition &end, TimePoint now);

  /** Takes that a record of this host, with @p term, was written as the last
   * one before @p end. @param begun when its writing began. */
  void recordWritten(const DutyTerm &term, const StorePosition &end,
                     TimePoint begun);

  /** Takes that the era has risen, as far as any answer tells. */
  void recordEra(std::uint64_t era, TimePoint now);

  /** @return whether this host may write the first record of a term of its own
   * at end(). */
  bool mayTake(TimePoint now) const;
  /** @return the term that would begin with a record at end(). Precondition:
   * the stream was read. */
  DutyTerm nextTerm() const;

  /** @return whether the lease is held; a record at end() renews it. */
  bool isHeld(TimePoint now) const { return now < HeldUntil; }
  /** @return whether the holder may act now, until actUntil(). */
  bool mayAct(TimePoint now) const { return now < actUntil(); }
  TimePoint actUntil() const { return HeldUntil - Settings.Reserve; }
  /** @return the term of this host, if it is held. */
  const DutyTerm &term() const { return Newest; }

  /** @return whether the newest record that was read is of @p era, so that no
   * record of another host is lost behind it. */
  bool isOfEra(std::uint64_t era) const;

  /** @return the end of the stream; absent before it was read. */
  const std::optional<StorePosition> &end() const { return End; }

private:
  DutyLeaseSettings Settings;
  std::string Host;
  std::uint64_t Boot;
  std::optional<StorePosition> End;
  /** Term of the newest record. */
  DutyTerm Newest;
  std::uint64_t HighestFence = 0;
  TimePoint HeldUntil{};
  /** When the lease of another host has lapsed for certain. */
  TimePoint FreeAt{};
};

} // namespace chivefold

#endif
