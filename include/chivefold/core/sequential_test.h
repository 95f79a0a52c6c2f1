/**
 * @file
 * Sequential comparison of a new version of a service with the old one.
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

/** Cumulative counts of one version on one route and kind, summed over gates.
 */
struct KindCounts {
  std::string PathPrefix;
  std::string Kind;
  /** Calls that ran, including the failed ones. */
  std::uint64_t Calls = 0;
  /** Calls that ran and failed. */
  std::uint64_t Errors = 0;
  /** Calls that a gate refused; not part of Calls. */
  std::uint64_t Refusals = 0;
  std::uint64_t LatencySumUs = 0;
  /** Sum of squared latencies, in square milliseconds. */
  double LatencySquareSumMs2 = 0;
};

/** Sums of counts by route and kind. Not thread-safe. */
class KindSums {
public:
  void add(const std::vector<KindCounts> &counts);
  /** @return one entry for each route and kind. */
  std::vector<KindCounts> all() const;

private:
  std::map<std::pair<std::string, std::string>, KindCounts> Sums;
};

/** What the test says about the new version. */
enum class TestVerdict : std::uint8_t { Undecided, Good, Bad };

/** Weights of the test. Each deployment states its own. */
struct SequentialTestSettings {
  /** Accepted probability of calling a good version bad, over all routes. */
  double Alpha = 0.01;
  /** Accepted probability of calling a bad version good. */
  double Beta = 0.05;
  /** An old error rate below this floor counts as the floor. */
  double ErrorFloor = 0.01;
  /** A version is bad if its error rate exceeds the old one by this much. */
  double ErrorMargin = 0.03;
  /** A second error test with this margin finds a version that fails often
   * after fewer calls. */
  double GrossErrorMargin = 0.3;
  /** Servers in cold start refuse more, so floor and margin are wider. */
  double RefusalFloor = 0.05;
  double RefusalMargin = 0.15;
  /** A version is bad if its mean latency exceeds the old one by this factor.
   */
  double LatencyFactor = 1.8;
  /** Latency below this many calls of a version is not judged. */
  double MinLatencyCalls = 20;
  /** Calls of the old version that its recent rates are taken over. */
  double BaselineCalls = 1000;
  /** The old rate over this many calls counts if it is higher, so that an
   * outage that affects both versions is not held against the new one. */
  double RecentCalls = 40;
};

/** TestVerdict with the figures that support it. */
struct Assessment {
  TestVerdict Result = TestVerdict::Undecided;
  /**
   * Strongest evidence against the new version as a part of the evidence that
   * is needed to call it bad; 1 or more means bad, 0 or less speaks for it.
   */
  double Suspicion = 0;
  /** One line that names route, kind, rates and counts. */
  std::string Evidence;
};

/**
 * A sequential probability ratio test for each route and kind and for all
 * routes together, on errors, refusals and latency.
 *
 * Each series accumulates a log likelihood ratio over the growth of the counts
 * between two calls of update(). It is held at the bound for "good", so that a
 * version that turns bad later is found after about as many calls as one that
 * is bad from the start. The bound for "bad" is corrected for the number of
 * series (Bonferroni). "Good" needs the series over all routes together to
 * reach its bound for errors and latency since the last restart().
 *
 * At most MaxSeries series are kept; further routes count only in the series
 * over all routes. Counts that shrink (a restarted gate) rebase the series.
 * Not thread-safe.
 */
class SequentialTest {
public:
  static constexpr std::size_t MaxSeries = 256;

  /** Precondition: 0 < Alpha, Beta < 0.5, margins > 0, LatencyFactor > 1. */
  explicit SequentialTest(const SequentialTestSettings &settings);

  /**
   * Adds the growth of the counts since the last call.
   * @param oldCounts, newCounts cumulative counts of either version.
   */
  void update(const std::vector<KindCounts> &oldCounts,
              const std::vector<KindCounts> &newCounts);

  /** Forgets evidence for the version, keeps evidence against it; used when
   * the share rises, since a version may fail only under more load. */
  void restart();

  /** @return the verdict on everything seen so far. */
  Assessment assess() const;

  /** @return calls and refusals of the new version since restart(). */
  double callsSinceRestart() const { return NewCallsSinceRestart; }

private:
  /** Recent sums of one version; older calls are scaled down. */
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
