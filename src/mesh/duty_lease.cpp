#include "chivefold/mesh/duty_lease.h"

#include <algorithm>

namespace chivefold {

namespace {

/** Bits of a fence for the offset; those above are the era. */
constexpr unsigned OffsetBits = 32;

std::uint64_t eraOf(const DutyTerm &term) { return term.Fence >> OffsetBits; }

} // namespace

DutyLease::DutyLease(DutyLeaseSettings settings, std::string host,
                     std::uint64_t boot)
    : Settings(settings), Host(std::move(host)), Boot(boot) {}

void DutyLease::recordRead(const std::optional<DutyTerm> &newest,
                           const StorePosition &end, TimePoint now) {
  if (End && end <= *End) {
    // Nothing new, or an answer that another one has overtaken.
    return;
  }
  const bool isSameEra = End && End->Era == end.Era;
  End = end;
  Newest = newest.value_or(DutyTerm());
  HighestFence = std::max(HighestFence, Newest.Fence);
  const bool isHost = newest && Newest.Holder == Host;
  if (!isHost || Newest.Boot != Boot || !isSameEra) {
    HeldUntil = TimePoint();
  }
  // A former process of this host has ended and cannot act any more. A later
  // era may have lost the record of another host.
  const bool isFree = isOfEra(end.Era) && (isHost || !newest);
  FreeAt = isFree ? now : now + Settings.Lifetime + Settings.Margin;
}

void DutyLease::recordWritten(const DutyTerm &term, const StorePosition &end,
                              TimePoint begun) {
  if (End && end <= *End) {
    return;
  }
  End = end;
  Newest = term;
  HighestFence = std::max(HighestFence, term.Fence);
  HeldUntil = begun + Settings.Lifetime;
  FreeAt = HeldUntil;
}

void DutyLease::recordEra(std::uint64_t era, TimePoint now) {
  if (End && era > End->Era) {
    // Its records may be lost, and a host that read the older copy may hold the
    // duty soon.
    End.reset();
    HeldUntil = TimePoint();
    FreeAt = now + Settings.Lifetime + Settings.Margin;
  }
}

bool DutyLease::isOfEra(std::uint64_t era) const {
  return era == 0 || eraOf(Newest) == era;
}

bool DutyLease::mayTake(TimePoint now) const {
  return End && now >= FreeAt && !isHeld(now);
}

DutyTerm DutyLease::nextTerm() const {
  const auto place = (End->Era << OffsetBits) + End->Offset + 1;
  return {std::max(HighestFence + 1, place), Host, Boot};
}

} // namespace chivefold
