/**
 * @file
 * Sequential statistical test of a new version of a service against the old
 * one.
 */
#ifndef CHIVEFOLD_CORE_SEQUENTIAL_TEST_H
#define CHIVEFOLD_CORE_SEQUENTIAL_TEST_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chivefold {

/** Cumulative counts of one version for one route and kind of call, summed over
 * all gates. */
struct KindCounts {
  std::string PathPrefix;
  std::string Kind;
  /** Calls that ran, including the failed ones. */
  std::uint64_t Calls = 0;
  /** Calls that ran and failed. */
  std::uint64_t Errors = 0;
  /** Calls that a gate refused; not included in Calls. */
  std::uint64_t Refusals = 0;
  std::uint64_t LatencySumUs = 0;
  /** Sum of squared latencies, in square milliseconds. */
  double LatencySquareSumMs2 = 0;
};

/** Sums counts by route and kind. Not thread-safe. */
class KindSums {
public:
  void add(const std::vector<KindCounts> &counts);
  /** @return the sums, one entry for each route and kind. */
  std::vector<KindCounts> all() const;

private:
  std::map<std::pair<std::string, std::string>, KindCounts> Sums;
};

/** Decision of the test on the new version. */
enum class TestVerdict : std::uint8_t { Undecided, Good, Bad };

/** Parameters of the test. */
struct SequentialTestSettings {
  /** Probability of a false positive, a good version that is found bad, over
   * all routes together. */
  double Alpha = 0.01;
  /** Probability of a false negative, a bad version that is found good. */
  double Beta = 0.05;
  /** Lower bound of the old version's error rate in the test. */
  double ErrorFloor = 0.01;
  /** A version is bad if its error rate exceeds the old one by this
   * difference. */
  double ErrorMargin = 0.03;
  /** Margin of a second error test, which needs fewer calls to detect a version
   * with a high error rate. */
  double GrossErrorMargin = 0.3;
  /** Floor and margin of the refusal rate. They are wider than those of errors
   * because servers refuse more calls during a cold start. */
  double RefusalFloor = 0.05;
  double RefusalMargin = 0.15;
  /** A version is bad if its mean latency exceeds the old one by this factor.
   */
  double LatencyFactor = 1.8;
  /** Calls of each version below which latency is not tested. */
  double MinLatencyCalls = 20;
  /** Window, in calls, over which the rates of the old version are
   * estimated. */
  double BaselineCalls = 1000;
  /** Shorter window, in calls. The old version's rate over it is used if it is
   * higher, so that an outage that affects both versions is not attributed to
   * the new one. */
  double RecentCalls = 40;
};

/** A TestVerdict with its supporting evidence. */
struct Assessment {
  TestVerdict Result = TestVerdict::Undecided;
  /**
   * Highest log likelihood ratio of all series, divided by the bound for "bad".
   * 1 or more means that the version is bad; 0 or less is evidence that it is
   * good.
   */
  double Suspicion = 0;
  /** Description of the series behind Suspicion in one line: route, kind, rates
   * and counts. */
  std::string Evidence;
};

/**
 * A sequential probability ratio test for each route and kind and for all
 * routes together, on errors, refusals and latency.
 *
 * Each series accumulates a log likelihood ratio over the increments of the
 * counts between two calls of update(). The ratio is clamped at the bound for
 * "good", so that a version that turns bad later is detected after about as
 * many calls as one that is bad from the start. The bound for "bad" has a
 * Bonferroni correction for the number of series. "Good" requires that the
 * series over all routes together reaches its bound for errors and latency
 * since the last restart().
 *
 * At most MaxSeries routes and kinds have a series of their own; further ones
 * are ignored. Counts that decrease (a gate restarted) become the new baseline
 * and add no evidence. Not thread-safe.
 */
class SequentialTest {
public:
  static constexpr std::size_t MaxSeries = 256;

  /** Precondition: 0 < Alpha, Beta < 0.5, margins > 0, LatencyFactor > 1. */
  explicit SequentialTest(const SequentialTestSettings &settings);

  /**
   * Adds the increments of the counts since the last call.
   * @param oldCounts, newCounts cumulative counts of the old and new version.
   */
  void update(const std::vector<KindCounts> &oldCounts,
              const std::vector<KindCounts> &newCounts);

  /** Discards evidence for the new version but keeps evidence against it. Call
   * when the share changes, since a version may fail only under more load. */
  void restart();

  /** @return the verdict on all counts so far. */
  Assessment assess() const;

  /** @return number of calls and refusals of the new version since
   * restart(). */
  double callsSinceRestart() const { return NewCallsSinceRestart; }

private:
  /** Weighted sums of the recent calls of one version; older calls are scaled
   * down to keep the total within a limit. */
  struct Window {
    double Calls = 0;
    double Errors = 0;
    double Refusals = 0;
    double LatencyMs = 0;
    double LatencySquareMs2 = 0;
    void add(const Window &growth, double maxCalls);
    double meanMs() const;
    double varianceMs2() const;
  };
  enum Measure : std::uint8_t { Errors, GrossErrors, Refusals, Latency };
  static constexpr std::size_t MeasureCount = 4;
  struct Series {
    std::string Label;
    KindCounts OldSeen;
    KindCounts NewSeen;
    Window Old;
    Window OldRecent;
    Window New;
    std::array<double, MeasureCount> Evidence{};
  };
  using SeriesKey = std::pair<std::string, std::string>;

  void updateSeries(Series &series, const Window &oldGrowth,
                    const Window &newGrowth);
  void updateRate(Series &series, Measure measure, double bad, double total);
  void updateLatency(Series &series, const Window &growth);
  double baseRate(const Series &series, Measure measure) const;
  double margin(Measure measure) const;
  double upperBound() const;
  double lowerBound() const;
  std::string describe(const Series &series, Measure measure) const;
  Series *seriesFor(const KindCounts &counts);
  static Window takeGrowth(KindCounts &seen, const KindCounts &counts);

  SequentialTestSettings Settings;
  std::map<SeriesKey, Series> Routes;
  Series AllRoutes;
  double NewCallsSinceRestart = 0;
};

} // namespace chivefold

#endif
