#include "chivefold/mesh/store_history.h"

#include <array>

namespace chivefold {

namespace {

constexpr std::array<std::string_view, 4> ObservationNames{"current", "risen",
                                                           "stale", "missing"};

} // namespace

std::string_view eraObservationName(EraObservation observation) {
  return ObservationNames[static_cast<std::size_t>(observation)];
}

std::string toString(const StorePosition &position) {
  return std::to_string(position.Era) + ":" + std::to_string(position.Offset);
}

EraObservation StoreEra::observe(std::optional<std::uint64_t> stated) {
  if (!stated) {
    Counts.Missing += Current ? 1 : 0;
    return Current ? EraObservation::Missing : EraObservation::Current;
  }
  if (Current && *stated < *Current) {
    ++Counts.Stale;
    return EraObservation::Stale;
  }
  const bool risen = Current && *stated > *Current;
  Current = stated;
  Counts.Risen += risen ? 1 : 0;
  return risen ? EraObservation::Risen : EraObservation::Current;
}

void StoreHistory::enter(std::uint64_t era) {
  if (era < Newest) {
    return;
  }
  Newest = era;
  Starts.emplace(era, EraStart());
  if (Starts.size() > MaxEras) {
    Starts.erase(Starts.begin());
  }
}

void StoreHistory::recordRead(std::uint64_t offset, std::uint64_t digest) {
  const auto known = Digests.find(offset);
  if (known != Digests.end() && known->second.Era < Newest) {
    if (known->second.Digest == digest) {
      narrowStart(Newest, {offset + 1});
    } else {
      if (wasInPreviousEra({known->second.Era, offset})) {
        narrowStart(Newest, {0, offset});
      }
      // The histories have parted here, so that nothing behind is common.
      Digests.erase(known, Digests.end());
    }
  }
  Digests[offset] = {Newest, digest};
  if (Digests.size() > MaxDigests) {
    Digests.erase(Digests.begin());
  }
}

// Whether a record read at @p readAt was part of the history before the newest,
// so that a difference there is the newest era's.
bool StoreHistory::wasInPreviousEra(const StorePosition &readAt) const {
  for (auto era = readAt.Era + 1; era < Newest; ++era) {
    const auto it = Starts.find(era);
    if (it == Starts.end() || readAt.Offset >= it->second.offset()) {
      return false;
    }
  }
  return true;
}

void StoreHistory::narrowStart(std::uint64_t era, const EraStart &bounds) {
  const auto known = Starts.find(era);
  if (known != Starts.end()) {
    auto &start = known->second;
    start.AtLeast = std::max(start.AtLeast, bounds.AtLeast);
    start.AtMost = std::min(start.AtMost, bounds.AtMost);
  }
}

EraStart StoreHistory::start(std::uint64_t era) const {
  const auto known = Starts.find(era);
  return known == Starts.end() ? EraStart() : known->second;
}

StorePosition StoreHistory::place(const StorePosition &readAt) const {
  auto it = Starts.find(readAt.Era);
  if (it == Starts.end()) {
    return readAt;
  }
  while (readAt.Offset < it->second.offset()) {
    if (it == Starts.begin()) {
      return {0, readAt.Offset};
    }
    --it;
  }
  return {it->first, readAt.Offset};
}

bool StoreHistory::isLost(const StorePosition &place) const {
  return std::any_of(
      Starts.upper_bound(place.Era), Starts.end(),
      [&](const auto &it) { return place.Offset >= it.second.offset(); });
}

} // namespace chivefold
