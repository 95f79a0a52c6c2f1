/**
 * @file
 * Call counters, latencies and service-level objectives per service and request
 * kind.
 */
#ifndef CHIVEFOLD_CORE_METRICS_H
#define CHIVEFOLD_CORE_METRICS_H

#include "chivefold/core/configuration.h"
#include "chivefold/core/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chivefold {

/** One finished call, as observed by the daemon of its caller. */
struct CallSample {
  std::string_view Service;
  std::string_view Kind;
  Outcome Result = Outcome::Unknown;
  /** Whether the call was answered within its timeout and without a server
   * error. */
  bool Good = false;
  std::uint32_t Worth = 1;
  Duration Latency{};
};

/** Number of all calls and of bad calls in a time window. */
struct WindowCounts {
  std::uint64_t Calls = 0;
  std::uint64_t Bad = 0;
};

/** Metrics of one service and request kind. Counters and latencies cover all
 * calls since the start of the process. */
struct SeriesReport {
  std::string Service;
  std::string Kind;
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Good = 0;
  std::uint64_t WorthOffered = 0;
  /** Worth of the good calls. */
  std::uint64_t WorthServed = 0;
  double LatencyMeanMs = 0;
  double LatencyMaxMs = 0;
  /** Estimated latencies at MetricsSettings::Quantiles. */
  std::array<double, 4> LatencyQuantilesMs{};
  /** Target fraction of good calls. */
  double Objective = 0;
  /** Fraction of the error budget of all calls so far that bad calls have
   * consumed. Above 1, the objective is missed. */
  double ErrorBudgetSpent = 0;
  /** Fraction of bad calls in the window, divided by the fraction that the
   * objective allows. */
  double ShortBurnRate = 0;
  double LongBurnRate = 0;
  /** Counts from which the burn rates are computed. Unlike rates, the counts of
   * several daemons can be added. */
  WindowCounts ShortWindow;
  WindowCounts LongWindow;
  /** Calls by latency, see latencyBucketBoundMs(). Unlike quantiles, these
   * counts can be merged across daemons. */
  std::array<std::uint64_t, 70> LatencyBuckets{};
};

/** @return the upper bound of a latency bucket in milliseconds. Bounds grow by
 * a third of an octave (26%) from 0.125 ms. The last bound, 1,049 s, is above
 * the longest timeout; the last bucket also counts all longer latencies.
 * Thread-safe. */
double latencyBucketBoundMs(std::size_t bucket);

/** Metrics of all series at one instant, ordered by service and kind. */
struct MetricsReport {
  std::vector<SeriesReport> Series;
};

/** Limits, quantiles, time windows and the default objective. */
struct MetricsSettings {
  /** Objective of kinds without their own: 99.9% of calls are answered within
   * their timeout. */
  double DefaultObjective = 0.999;
  static constexpr std::size_t MaxSeries = 1024;
  /** Maximum number of kinds with their own objective. Further kinds use the
   * default. */
  static constexpr std::size_t MaxObjectives = 8192;
  static constexpr std::array<double, 4> Quantiles = {0.5, 0.9, 0.99, 0.999};
  static constexpr std::chrono::minutes ShortWindow{5};
  static constexpr std::chrono::minutes LongWindow{60};
};

/**
 * Aggregates call samples in bounded memory: about 5 KiB per series and at
 * most MaxSeries series. Samples of further services or kinds are counted in
 * the series of kind "other" of service "other". Not thread-safe.
 */
class Metrics {
public:
  explicit Metrics(const MetricsSettings &settings);
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /** Adds one finished call. @param now must not decrease between calls. */
  void record(TimePoint now, const CallSample &sample);

  /**
   * Sets the objective of one kind. It applies to samples recorded before and
   * after the call. Ignored for a new kind if MaxObjectives kinds have one, so
   * that the new kind keeps the default.
   * @param objective target fraction of good calls, in (0, 1).
   */
  void setObjective(std::string_view service, std::string_view kind,
                    double objective);

  /** Replaces all objectives with those of the routes in @p config. If routes
   * of the same kind have different objectives, the highest one applies. */
  void setObjectives(const Configuration &config);

  /** @return the metrics of all series, with time windows that end at @p now.
   */
  MetricsReport report(TimePoint now) const;

private:
  struct Series;
  using SeriesKey = std::pair<std::string, std::string>;
  bool isFull() const {
    return SeriesByKey.size() + 1 >= MetricsSettings::MaxSeries;
  }
  Series &seriesFor(std::string_view service, std::string_view kind);
  double objectiveOf(const SeriesKey &key) const;

  MetricsSettings Settings;
  std::map<SeriesKey, std::unique_ptr<Series>> SeriesByKey;
  std::map<SeriesKey, double> Objectives;
};

/** @return the report in the Prometheus text format 0.0.4. Thread-safe. */
std::string toPrometheus(const MetricsReport &report);

/** @return the report as one JSON object. Thread-safe. */
std::string toJson(const MetricsReport &report);

} // namespace chivefold

#endif
