#include "chivefold/core/snapshot_schedule.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chivefold {
namespace {

/** Makes this order independent of that of the log readers within a data
 * centre. */
constexpr std::uint64_t SnapshotRankSeed = 0x736e617073686f74;

} // namespace

std::string_view snapshotCauseName(SnapshotCause cause) {
  switch (cause) {
  case SnapshotCause::RetentionUsed:
    return "half of the retention is used";
  case SnapshotCause::Age:
    return "the newest snapshot is old";
  case SnapshotCause::NotRecoverable:
    return "the state cannot be rebuilt from the retained log";
  }
  return "unknown";
}

SnapshotRank snapshotRank(const MemberTable &members) {
  std::set<std::string> dataCentres;
  for (const auto &it : members.members()) {
    dataCentres.insert(it.DataCentre);
  }
  const auto rankKey = [](const Address &a) {
    return std::make_tuple(hash64(toString(a), SnapshotRankSeed), a);
  };
  const auto own = rankKey(members.self().Peer);
  SnapshotRank result;
  std::size_t before = 0;
  bool candidate = false;
  for (const auto &dataCentre : dataCentres) {
    for (const auto &it : members.readers(dataCentre)) {
      ++result.Candidates;
      before += rankKey(it) < own ? 1 : 0;
      candidate = candidate || it == members.self().Peer;
    }
  }
  if (candidate) {
    result.Rank = before;
  }
  return result;
}

void SnapshotSchedule::applied(const LogEntry &entry, TimePoint now) {
  const auto record = decodeRecord(entry.Bytes);
  const auto *part =
      record ? std::get_if<SnapshotPartRecord>(&record->Body) : nullptr;
  if (part == nullptr || part->Index >= part->PartCount ||
      part->PartCount > SnapshotLimits::MaxParts || part->AsOf <= Newest.AsOf) {
    return;
  }
  auto it =
      std::find_if(Partials.begin(), Partials.end(),
                   [&](const Partial &p) { return p.Id == part->SnapshotId; });
  if (it == Partials.end()) {
    if (Partials.size() == SnapshotLimits::MaxAssembled) {
      Partials.pop_front();
    }
    Partials.push_back({part->SnapshotId, {}});
    it = std::prev(Partials.end());
  }
  it->Seen.insert(part->Index);
  PartSeenAt = now;
  if (it->Seen.size() == part->PartCount) {
    Partials.erase(it);
    setNewest({part->AsOf, entry.Offset, part->PartCount}, now);
  }
}

void SnapshotSchedule::scanned(const SnapshotLocation &newest, TimePoint now) {
  Skipped = false;
  setNewest(newest, now);
}

void SnapshotSchedule::setNewest(const SnapshotLocation &location,
                                 TimePoint now) {
  if (location.AsOf <= Newest.AsOf) {
    return;
  }
  Newest = location;
  NewestAt = now;
  FirstAtNewest = First;
  Skipped = false;
  DueSince.reset();
  PartSeenAt.reset();
  NotBefore.reset();
}

void SnapshotSchedule::logRead(LogOffset first, LogOffset next, TimePoint now) {
  First = first;
  Next = next;
  if (!NewestAt) {
    NewestAt = now;
  }
}

void SnapshotSchedule::attemptEnded(TimePoint now) {
  NotBefore = now + SnapshotScheduleLimits::TakeoverDelay;
}

bool SnapshotSchedule::retentionUsed(TimePoint now) const {
  const auto span = raw(Next) - raw(First);
  const auto tail = raw(Next) - 1;
  // The retention is unknown until records are trimmed. Until then, this rule
  // makes snapshots due at doubling offsets, so that one exists when trimming
  // begins.
  if (tail <= raw(Newest.AsOf) || 2 * (tail - raw(Newest.AsOf)) < span) {
    return false;
  }
  const auto least =
      std::max<std::uint64_t>(SnapshotScheduleLimits::MinRecords, Newest.Parts);
  return tail >= raw(Newest.End) + least ||
         (First > FirstAtNewest && raw(First) > 1 &&
          now - *NewestAt >= SnapshotScheduleLimits::MinRenewalAge);
}

std::optional<SnapshotCause> SnapshotSchedule::dueCause(LogOffset applied,
                                                        TimePoint now) const {
  // Records between an older snapshot and the first retained one would be lost.
  if (First == LogOffset::None || applied <= Newest.AsOf ||
      raw(applied) + 1 < raw(First)) {
    return std::nullopt;
  }
  if (raw(Newest.AsOf) + 1 < raw(First)) {
    return SnapshotCause::NotRecoverable;
  }
  if (retentionUsed(now)) {
    return SnapshotCause::RetentionUsed;
  }
  if (now - *NewestAt >= SnapshotScheduleLimits::MaxAge) {
    return SnapshotCause::Age;
  }
  return std::nullopt;
}

std::optional<SnapshotCause>
SnapshotSchedule::due(LogOffset applied,
                      const std::function<SnapshotRank()> &rank,
                      TimePoint now) {
  const auto why = dueCause(applied, now);
  const auto position = why && !Skipped ? rank() : SnapshotRank();
  if (!position.Rank) {
    DueSince.reset();
    return std::nullopt;
  }
  if (!DueSince) {
    DueSince = now;
  }
  auto from = *DueSince;
  auto delays = *position.Rank;
  if (PartSeenAt) {
    // Another writer is still appending, or failed before the last part.
    from = std::max(from, *PartSeenAt);
    delays = std::max<std::size_t>(delays, 1);
  }
  from += delays * SnapshotScheduleLimits::TakeoverDelay;
  if (now < from || (NotBefore && now < *NotBefore)) {
    return std::nullopt;
  }
  return why;
}

} // namespace chivefold
