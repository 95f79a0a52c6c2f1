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

} // namespace chivefold
