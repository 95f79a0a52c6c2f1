#include "chivefold/mesh/class_pace.h"

#include <algorithm>

namespace chivefold {

void ClassPace::queued(std::uint64_t cls, bool wasEmpty, TimePoint now) {
  if (!wasEmpty || (Classes.size() >= MaxClasses && Classes.count(cls) == 0)) {
    return;
  }
  auto &pace = Classes[cls];
  if (now - pace.Since > MaxIdle) {
    pace.Starts = 0;
  }
  pace.Since = now;
}

void ClassPace::started(std::uint64_t cls, TimePoint now) {
  const auto it = Classes.find(cls);
  if (it == Classes.end()) {
    return;
  }
  auto &pace = it->second;
  const auto us = static_cast<double>((now - pace.Since).count());
  pace.IntervalUs =
      pace.Starts == 0 ? us : pace.IntervalUs + Weight * (us - pace.IntervalUs);
  pace.Starts = std::min(pace.Starts + 1, MinStarts);
  pace.Since = now;
}

Duration ClassPace::wait(std::uint64_t cls, std::size_t queued,
                         TimePoint now) const {
  const auto it = Classes.find(cls);
  if (it == Classes.end() || it == Classes.begin() ||
      it->second.Starts < MinStarts ||
      (queued == 0 && now - it->second.Since > MaxIdle)) {
    return Duration::zero();
  }
  return Duration(static_cast<Duration::rep>(it->second.IntervalUs *
                                             static_cast<double>(queued + 1)));
}

} // namespace chivefold
