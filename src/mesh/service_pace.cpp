#include "chivefold/mesh/service_pace.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

namespace {

/** Weight of the newest call in the typical service time of its route. */
constexpr double TypicalWeight = 1.0 / 256;
/** The same in the disturbance, whose memory is a few calls. */
constexpr double DisturbanceWeight = 0.15;
constexpr Duration DisturbanceHalfLife = std::chrono::milliseconds(300);
/** Bounds the effect of a single long request on the disturbance. */
constexpr double MaxLogStep = 1.4;

} // namespace

void ServicePace::record(const std::string &route, Duration serviceTime,
                         TimePoint now) {
  if (Routes.size() >= MaxRoutes && Routes.count(route) == 0) {
    return;
  }
  const double logUs =
      std::log(std::max(1.0, static_cast<double>(serviceTime.count())));
  auto &pace = Routes[route];
  if (pace.Calls >= MinCallsBefore) {
    const double step = std::clamp(logUs - pace.LogUs, -MaxLogStep, MaxLogStep);
    const double known = logDisturbance(now);
    LogDisturbance =
        std::clamp(known + DisturbanceWeight * (step - known),
                   std::log(MinDisturbance), std::log(MaxDisturbance));
    DisturbedAt = std::max(DisturbedAt, now);
  }
  ++pace.Calls;
  // The plain mean at first.
  pace.LogUs +=
      std::max(TypicalWeight, 1.0 / pace.Calls) * (logUs - pace.LogUs);
}

Duration ServicePace::typical(const std::string &route) const {
  const auto it = Routes.find(route);
  if (it == Routes.end() || it->second.Calls < MinCalls) {
    return Duration::zero();
  }
  return Duration(static_cast<Duration::rep>(std::exp(it->second.LogUs)));
}

double ServicePace::logDisturbance(TimePoint now) const {
  const auto age = std::max(now - DisturbedAt, Duration::zero());
  return LogDisturbance *
         std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(DisturbanceHalfLife.count()));
}

double ServicePace::disturbance(TimePoint now) const {
  return std::exp(logDisturbance(now));
}

} // namespace chivefold
