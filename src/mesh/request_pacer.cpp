#include "chivefold/mesh/request_pacer.h"

#include <algorithm>

namespace chivefold {

Duration RequestPacer::interval() const {
  return Duration(static_cast<Duration::rep>(1e6 / *PerSecond));
}

void RequestPacer::setRate(std::optional<double> perSecond, TimePoint now) {
  if (!perSecond) {
    PerSecond.reset();
    return;
  }
  const auto rate = std::max(*perSecond, MinRate);
  if (!PerSecond) {
    NextAt = now + BurstTime;
    PerSecond = rate;
    return;
  }
  const auto before = *PerSecond;
  PerSecond = rate;
  if (NextAt > now) {
    // The same number of requests is ahead of an even spacing as before, but
    // at most what one more start would leave, so that a limit that falls
    // steeply delays the next request by one interval at most.
    const auto ahead = static_cast<double>((NextAt - now).count());
    const auto scaled =
        Duration(static_cast<Duration::rep>(ahead * before / rate));
    NextAt = now + std::min(scaled, BurstTime + interval());
  }
}

bool RequestPacer::mayStart(TimePoint now) const {
  return wait(0, now) <= Duration::zero();
}

void RequestPacer::started(TimePoint now) {
  if (PerSecond) {
    NextAt = std::min(std::max(NextAt, now), now + BurstTime) + interval();
  }
}

Duration RequestPacer::wait(std::size_t ahead, TimePoint now) const {
  if (!PerSecond) {
    return Duration::zero();
  }
  const auto startAt = std::max(NextAt, now) - BurstTime +
                       static_cast<Duration::rep>(ahead) * interval();
  return std::max(startAt - now, Duration::zero());
}

} // namespace chivefold
