#include "chivefold/core/sequential_test.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace chivefold {

namespace {

/** Weight, in calls, of the floor as the prior of the old version's rate. */
constexpr double PriorCalls = 50;
constexpr double RecentPriorCalls = 10;

/** Window, in calls, of the new version's mean latency and variance. */
constexpr double NewWindowCalls = 200;

/** Limit on the increase of the latency evidence in one update: a constant and
 * an amount for each call. Latencies have long tails, and without the limit a
 * single call of eight times the mean is enough to find a good version bad. */
constexpr double MaxLatencyGrowth = 1.0;
constexpr double MaxLatencyGrowthPerCall = 0.3;

/** Lower bound of the relative variance; avoids a division by zero if the
 * latency is constant. */
constexpr double MinRelativeVariance = 0.01;

constexpr std::array<const char *, 4> MeasureNames = {"errors", "errors",
                                                      "refusals", "latency"};

bool countersReset(const KindCounts &seen, const KindCounts &counts) {
  return counts.Calls < seen.Calls || counts.Errors < seen.Errors ||
         counts.Refusals < seen.Refusals ||
         counts.LatencySumUs < seen.LatencySumUs;
}

} // namespace

void SequentialTest::Window::add(const Window &growth, double maxCalls) {
  const double total = Calls + Refusals + growth.Calls + growth.Refusals;
  const double keep =
      total <= maxCalls
          ? 1.0
          : std::max(0.0, maxCalls - growth.Calls - growth.Refusals) /
                std::max(1.0, Calls + Refusals);
  Calls = Calls * keep + growth.Calls;
  Errors = Errors * keep + growth.Errors;
  Refusals = Refusals * keep + growth.Refusals;
  LatencyMs = LatencyMs * keep + growth.LatencyMs;
  LatencySquareMs2 = LatencySquareMs2 * keep + growth.LatencySquareMs2;
}

double SequentialTest::Window::meanMs() const {
  return Calls > 0 ? LatencyMs / Calls : 0;
}

double SequentialTest::Window::varianceMs2() const {
  const double mean = meanMs();
  return Calls > 0 ? std::max(0.0, LatencySquareMs2 / Calls - mean * mean) : 0;
}

void KindSums::add(const std::vector<KindCounts> &counts) {
  for (const auto &it : counts) {
    auto &sum = Sums[{it.PathPrefix, it.Kind}];
    sum.PathPrefix = it.PathPrefix;
    sum.Kind = it.Kind;
    sum.Calls += it.Calls;
    sum.Errors += it.Errors;
    sum.Refusals += it.Refusals;
    sum.LatencySumUs += it.LatencySumUs;
    sum.LatencySquareSumMs2 += it.LatencySquareSumMs2;
  }
}

std::vector<KindCounts> KindSums::all() const {
  std::vector<KindCounts> out;
  out.reserve(Sums.size());
  for (const auto &it : Sums) {
    out.push_back(it.second);
  }
  return out;
}

SequentialTest::SequentialTest(const SequentialTestSettings &settings)
    : Settings(settings) {
  AllRoutes.Label = "all routes";
}

SequentialTest::Window SequentialTest::takeGrowth(KindCounts &seen,
                                                  const KindCounts &counts) {
  Window growth;
  if (!countersReset(seen, counts)) {
    growth.Calls = static_cast<double>(counts.Calls - seen.Calls);
    growth.Errors = std::min(growth.Calls,
                             static_cast<double>(counts.Errors - seen.Errors));
    growth.Refusals = static_cast<double>(counts.Refusals - seen.Refusals);
    growth.LatencyMs =
        static_cast<double>(counts.LatencySumUs - seen.LatencySumUs) / 1000.0;
    growth.LatencySquareMs2 =
        std::max(0.0, counts.LatencySquareSumMs2 - seen.LatencySquareSumMs2);
  }
  seen = counts;
  return growth;
}

SequentialTest::Series *SequentialTest::seriesFor(const KindCounts &counts) {
  const SeriesKey key(counts.PathPrefix, counts.Kind);
  const auto it = Routes.find(key);
  if (it != Routes.end()) {
    return &it->second;
  }
  if (Routes.size() >= MaxSeries) {
    return nullptr;
  }
  auto &series = Routes[key];
  series.Label = "route " + counts.PathPrefix + " kind " + counts.Kind;
  return &series;
}

void SequentialTest::update(const std::vector<KindCounts> &oldCounts,
                            const std::vector<KindCounts> &newCounts) {
  struct Growth {
    Window Old;
    Window New;
  };
  std::map<Series *, Growth> growths;
  for (const auto &it : oldCounts) {
    if (auto *series = seriesFor(it)) {
      growths[series].Old = takeGrowth(series->OldSeen, it);
    }
  }
  for (const auto &it : newCounts) {
    if (auto *series = seriesFor(it)) {
      growths[series].New = takeGrowth(series->NewSeen, it);
    }
  }
  Window oldAll;
  Window newAll;
  for (auto &[series, growth] : growths) {
    updateSeries(*series, growth.Old, growth.New);
    oldAll.add(growth.Old, HUGE_VAL);
    newAll.add(growth.New, HUGE_VAL);
  }
  updateSeries(AllRoutes, oldAll, newAll);
  NewCallsSinceRestart += newAll.Calls + newAll.Refusals;
}

void SequentialTest::updateSeries(Series &series, const Window &oldGrowth,
                                  const Window &newGrowth) {
  series.Old.add(oldGrowth, Settings.BaselineCalls);
  series.OldRecent.add(oldGrowth, Settings.RecentCalls);
  series.New.add(newGrowth, NewWindowCalls);
  updateRate(series, Errors, newGrowth.Errors, newGrowth.Calls);
  updateRate(series, GrossErrors, newGrowth.Errors, newGrowth.Calls);
  updateRate(series, Refusals, newGrowth.Refusals,
             newGrowth.Calls + newGrowth.Refusals);
  updateLatency(series, newGrowth);
}

double SequentialTest::baseRate(const Series &series, Measure measure) const {
  const bool errors = measure != Refusals;
  const double floor = errors ? Settings.ErrorFloor : Settings.RefusalFloor;
  const auto rate = [&](const Window &window, double prior) {
    const double bad = errors ? window.Errors : window.Refusals;
    const double total = window.Calls + (errors ? 0.0 : window.Refusals);
    return (bad + prior * floor) / (total + prior);
  };
  return std::max({floor, rate(series.Old, PriorCalls),
                   rate(series.OldRecent, RecentPriorCalls)});
}

double SequentialTest::margin(Measure measure) const {
  return measure == Errors        ? Settings.ErrorMargin
         : measure == GrossErrors ? Settings.GrossErrorMargin
                                  : Settings.RefusalMargin;
}

void SequentialTest::updateRate(Series &series, Measure measure, double bad,
                                double total) {
  if (total <= 0) {
    return;
  }
  const double p0 = std::min(baseRate(series, measure), 0.98 - margin(measure));
  const double p1 = p0 + margin(measure);
  double &evidence = series.Evidence[measure];
  evidence +=
      bad * std::log(p1 / p0) + (total - bad) * std::log((1 - p1) / (1 - p0));
  evidence = std::max(evidence, lowerBound());
}

void SequentialTest::updateLatency(Series &series, const Window &growth) {
  if (growth.Calls <= 0 || series.Old.Calls < Settings.MinLatencyCalls ||
      series.New.Calls < Settings.MinLatencyCalls) {
    return;
  }
  const double mean = std::max(series.Old.meanMs(), 0.001);
  const double shift = Settings.LatencyFactor - 1;
  // With the larger variance, a single slow call of the new version raises the
  // variance along with the mean and is only weak evidence.
  const double variance =
      std::max({series.Old.varianceMs2() / (mean * mean),
                series.New.varianceMs2() / (mean * mean), MinRelativeVariance});
  double &evidence = series.Evidence[Latency];
  const double growthOfEvidence =
      shift / variance *
      (growth.LatencyMs / mean - growth.Calls * (1 + shift / 2));
  evidence +=
      std::min(growthOfEvidence,
               MaxLatencyGrowth + MaxLatencyGrowthPerCall * growth.Calls);
  evidence = std::max(evidence, lowerBound());
}

double SequentialTest::upperBound() const {
  // Each measure is tested for each route and for all routes together.
  const double tests =
      static_cast<double>(MeasureCount) *
      static_cast<double>(Routes.size() > 1 ? Routes.size() + 1 : 1);
  return std::log((1 - Settings.Beta) * tests / Settings.Alpha);
}

double SequentialTest::lowerBound() const {
  return std::log(Settings.Beta / (1 - Settings.Alpha));
}

void SequentialTest::restart() {
  NewCallsSinceRestart = 0;
  const auto dropFavourable = [](Series &series) {
    for (auto &it : series.Evidence) {
      it = std::max(it, 0.0);
    }
  };
  dropFavourable(AllRoutes);
  for (auto &it : Routes) {
    dropFavourable(it.second);
  }
}

Assessment SequentialTest::assess() const {
  const Series *worst = &AllRoutes;
  Measure measure = Errors;
  const auto consider = [&](const Series &series) {
    for (const auto it : {Errors, GrossErrors, Refusals, Latency}) {
      if (series.Evidence[it] > worst->Evidence[measure]) {
        worst = &series;
        measure = it;
      }
    }
  };
  consider(AllRoutes);
  for (const auto &it : Routes) {
    consider(it.second);
  }
  Assessment out;
  out.Suspicion = worst->Evidence[measure] / upperBound();
  out.Evidence = describe(*worst, measure);
  const double low = lowerBound() * 0.999; // Tolerates rounding errors.
  if (out.Suspicion >= 1) {
    out.Result = TestVerdict::Bad;
  } else if (AllRoutes.Evidence[Errors] <= low &&
             AllRoutes.Evidence[Latency] <= low && out.Suspicion < 0.5) {
    out.Result = TestVerdict::Good;
  }
  return out;
}

std::string SequentialTest::describe(const Series &series,
                                     Measure measure) const {
  std::array<char, 192> text{};
  if (measure == Latency) {
    std::snprintf(text.data(), text.size(),
                  "latency mean %.1f ms, old %.1f ms, recent calls %.0f",
                  series.New.meanMs(), series.Old.meanMs(), series.New.Calls);
  } else {
    const bool errors = measure != Refusals;
    const double bad = errors ? series.New.Errors : series.New.Refusals;
    const double total = series.New.Calls + (errors ? 0 : series.New.Refusals);
    std::snprintf(text.data(), text.size(),
                  "%s %.1f of %.0f recent calls, old rate %.2f%%",
                  MeasureNames[measure], bad, total,
                  100 * baseRate(series, measure));
  }
  std::array<char, 64> ratio{};
  std::snprintf(ratio.data(), ratio.size(),
                "; log likelihood ratio %.1f of %.1f", series.Evidence[measure],
                upperBound());
  return series.Label + ": " + text.data() + ratio.data();
}

} // namespace chivefold
