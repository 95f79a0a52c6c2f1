#include "chivefold/mesh/exposure_budget.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

namespace {

constexpr double MinSpreadSeconds = 0.3;

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

} // namespace

ExposureBudget::ExposureBudget(const ExposureLimit &limit) : Limit(limit) {}

void ExposureBudget::update(TimePoint now, double allCalls, double newCalls,
                            double fraction) {
  if (UpdatedAt == TimePoint{}) {
    FirstUpdateAt = now;
    InitialCalls = allCalls;
  } else if (now > UpdatedAt) {
    const double elapsed = seconds(now - UpdatedAt);
    const double currentRate = std::max(0.0, allCalls - AllCalls) / elapsed;
    // Starts as an arithmetic mean, which limits the weight of a short first
    // interval.
    const double measured = seconds(now - FirstUpdateAt);
    const double weight =
        std::max(1 - std::exp(-elapsed / seconds(RateTimeConstant)),
                 std::min(1.0, elapsed / measured));
    Rate += weight * (currentRate - Rate);
    ModelledNewCalls += Fraction * Rate * elapsed;
  }
  UpdatedAt = now;
  AllCalls = std::max(AllCalls, allCalls);
  NewCalls = std::max(NewCalls, newCalls);
  Fraction = fraction;
}

double ExposureBudget::remaining(TimePoint deadline, TimePoint now) const {
  const double timeLeft = std::max(0.0, seconds(deadline - now));
  const double all = AllCalls - InitialCalls + Rate * timeLeft;
  const double spent = std::max(NewCalls, ModelledNewCalls);
  return UsableShareFraction * Limit.Share * all +
         UsableSlackFraction * Limit.Slack - spent;
}

double ExposureBudget::fractionUntil(TimePoint fullTrafficFrom,
                                     TimePoint deadline, TimePoint now) const {
  const double reserved =
      BacklogFactor * Rate * std::max(0.0, seconds(deadline - fullTrafficFrom));
  // The lower bound keeps the fraction finite as the full-traffic period nears.
  const double timeLeft =
      std::max(MinSpreadSeconds, seconds(fullTrafficFrom - now));
  return std::clamp((remaining(deadline, now) - reserved) /
                        std::max(1.0, Rate * timeLeft),
                    0.0, 1.0);
}

bool ExposureBudget::coversFullTraffic(TimePoint deadline,
                                       TimePoint now) const {
  const double timeLeft = std::max(0.0, seconds(deadline - now));
  return Rate > 0 && Rate * timeLeft <= remaining(deadline, now);
}

} // namespace chivefold
