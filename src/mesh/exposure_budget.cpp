#include "chivefold/mesh/exposure_budget.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

namespace {

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

} // namespace

ExposureBudget::ExposureBudget(const ExposureTerms &terms) : Terms(terms) {}

void ExposureBudget::note(TimePoint now, double allCalls, double newCalls,
                          double part) {
  if (At == TimePoint{}) {
    FirstAt = now;
    FirstCalls = allCalls;
  } else if (now > At) {
    const double passed = seconds(now - At);
    const double present = std::max(0.0, allCalls - AllCalls) / passed;
    // The plain mean at first, so that one short interval does not count much.
    const double known = seconds(now - FirstAt);
    const double weight = std::max(1 - std::exp(-passed / seconds(RateTime)),
                                   std::min(1.0, passed / known));
    Rate += weight * (present - Rate);
    Modelled += Part * Rate * passed;
  }
  At = now;
  AllCalls = std::max(AllCalls, allCalls);
  NewCalls = std::max(NewCalls, newCalls);
  Part = part;
}

// Requests that the new version may still get.
double ExposureBudget::left(TimePoint deadline, TimePoint now) const {
  const double ahead = std::max(0.0, seconds(deadline - now));
  const double all = AllCalls - FirstCalls + Rate * ahead;
  const double spent = std::max(NewCalls, Modelled);
  return SharePart * Terms.Share * all + SlackPart * Terms.Slack - spent;
}

double ExposureBudget::partUntil(TimePoint fullFrom, TimePoint deadline,
                                 TimePoint now) const {
  const double needed =
      Surge * Rate * std::max(0.0, seconds(deadline - fullFrom));
  // A moment at least, so that the part stays finite as that time comes.
  const double ahead = std::max(0.3, seconds(fullFrom - now));
  return std::clamp(
      (left(deadline, now) - needed) / std::max(1.0, Rate * ahead), 0.0, 1.0);
}

bool ExposureBudget::coversAll(TimePoint deadline, TimePoint now) const {
  const double ahead = std::max(0.0, seconds(deadline - now));
  return Rate > 0 && Rate * ahead <= left(deadline, now);
}

} // namespace chivefold
