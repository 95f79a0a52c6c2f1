#include "chivefold/mesh/cost_model.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

namespace {

constexpr double MinUs = 250;
constexpr double BinsPerDoubling = 4;

Duration toDuration(double us) {
  return Duration(static_cast<Duration::rep>(us));
}

} // namespace

// Returns the position of a value in units of bins.
double DurationDistribution::binOf(double us) {
  const double bin = BinsPerDoubling * std::log2(std::max(us, MinUs) / MinUs);
  return std::min(bin, static_cast<double>(Bins) - 1);
}

double DurationDistribution::lowerBound(double bin) {
  return MinUs * std::exp2(bin / BinsPerDoubling);
}

void DurationDistribution::record(Duration value) {
  if (Total >= MaxSamples) {
    for (auto &it : Weights) {
      it /= 2;
    }
  }
  Weights[static_cast<std::size_t>(
      binOf(static_cast<double>(value.count())))] += 1;
  rebuildSums();
}

void DurationDistribution::rebuildSums() {
  for (std::size_t i = 0; i < Bins; ++i) {
    Below[i + 1] = Below[i] + Weights[i];
  }
  Total = Below[Bins];
  for (std::size_t i = Bins; i-- > 0;) {
    const auto centre = lowerBound(static_cast<double>(i) + 0.5);
    ValueAbove[i] = ValueAbove[i + 1] + Weights[i] * centre;
  }
}

Duration DurationDistribution::mean() const {
  return Total > 0 ? toDuration(ValueAbove[0] / Total) : Duration::zero();
}

double DurationDistribution::probabilityWithin(Duration limit) const {
  if (Total <= 0 || limit <= Duration::zero()) {
    return 0;
  }
  const double position = binOf(static_cast<double>(limit.count()));
  const auto bin = static_cast<std::size_t>(position);
  const double fraction = position - static_cast<double>(bin);
  return std::min(1.0, (Below[bin] + fraction * Weights[bin]) / Total);
}

Duration DurationDistribution::quantile(double p) const {
  if (Total <= 0) {
    return Duration::zero();
  }
  const double rank = std::clamp(p, 0.0, 1.0) * Total;
  const auto it = std::lower_bound(Below.begin() + 1, Below.end() - 1, rank);
  const auto bin = static_cast<std::size_t>(it - Below.begin()) - 1;
  const double fraction =
      Weights[bin] > 0 ? (rank - Below[bin]) / Weights[bin] : 0;
  return toDuration(
      lowerBound(static_cast<double>(bin) + std::clamp(fraction, 0.0, 1.0)));
}

Duration DurationDistribution::expectedExcess(Duration age) const {
  if (Total <= 0) {
    return Duration::zero();
  }
  const auto us = static_cast<double>(std::max(age, Duration::zero()).count());
  const double position = us < MinUs ? 0 : binOf(us);
  const auto bin = static_cast<std::size_t>(position);
  // The part of the bin that lies above the age.
  const double left = 1 - (position - static_cast<double>(bin));
  const double above = Total - Below[bin + 1] + left * Weights[bin];
  // Fewer samples than a half after rounding and decay are no evidence.
  if (above < 0.5 || bin + 1 >= Bins) {
    return toDuration(std::max(us / 2, MinUs));
  }
  const double centre = lowerBound(static_cast<double>(bin) + 1 - left / 2);
  const double value = ValueAbove[bin + 1] + left * Weights[bin] * centre;
  return toDuration(std::max(0.0, value / above - us));
}

void CostModel::record(const std::string &route, Duration serviceTime) {
  All.record(serviceTime);
  if (Routes.size() < MaxRoutes || Routes.count(route) > 0) {
    Routes[route].record(serviceTime);
  }
}

const DurationDistribution *CostModel::find(const std::string &route) const {
  const auto it = Routes.find(route);
  if (it != Routes.end() && it->second.samples() >= MinSamples) {
    return &it->second;
  }
  return All.samples() >= MinSamples ? &All : nullptr;
}

Duration CostModel::expected(const std::string &route) const {
  const auto *found = find(route);
  return found == nullptr ? Initial : found->mean();
}

Duration CostModel::remaining(const std::string &route, Duration age) const {
  const auto *found = find(route);
  return found == nullptr ? std::max(Initial - age, Initial / 2)
                          : found->expectedExcess(age);
}

} // namespace chivefold
