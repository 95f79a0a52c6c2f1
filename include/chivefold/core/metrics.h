/**
 * @file
 * Counters, latencies and service-level objectives per service and kind.
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

/** One finished call as its caller's daemon saw it. */
struct CallSample {
  std::string_view Service;
  std::string_view Kind;
  Outcome Result = Outcome::Unknown;
  /** Whether it was answered without a server error within its timeout. */
  bool Good = false;
  std::uint32_t Worth = 1;
  Duration Latency{};
};

/** Good and all calls over a window. */
struct WindowCounts {
  std::uint64_t Calls = 0;
  std::uint64_t Bad = 0;
};

/** Figures of one service and kind. Latencies in milliseconds. */
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
  /** Estimates at MetricsSettings::Quantiles. */
  std::array<double, 4> LatencyQuantilesMs{};
  /** Share of calls that are to be good. */
  double Objective = 0;
  /** Part of the error budget of all calls so far that is spent; above 1 the
   * objective is missed. */
  double ErrorBudgetSpent = 0;
  /** Rate of bad calls over the window, divided by the rate that the objective
   * allows. */
  double ShortBurnRate = 0;
  double LongBurnRate = 0;
  /** Counts behind the burn rates; unlike rates, those of several daemons can
   * be added. */
  WindowCounts ShortWindow;
  WindowCounts LongWindow;
  /** Calls by latency, see latencyBucketMs(). Quantiles of several daemons can
   * not be merged, these counts can. */
  std::array<std::uint64_t, 70> LatencyBuckets{};
};

/** @return upper bound in milliseconds of a latency bucket. Bounds grow by a
 * third of an octave (26%) from 0.125 ms; the last one, 1,049 s, is above the
 * longest timeout and takes everything beyond it. Thread-safe. */
double latencyBucketBoundMs(std::size_t bucket);

/** All figures at one instant, ordered by service and kind. */
struct MetricsReport {
  std::vector<SeriesReport> Series;
};

/** Fixed sizes and the default objective. */
struct MetricsSettings {
  /** 99.9% of calls answered within their timeout. */
  double DefaultObjective = 0.999;
  static constexpr std::size_t MaxSeries = 1024;
  /** Kinds with an own objective; further ones get the default. */
  static constexpr std::size_t MaxObjectives = 8192;
  static constexpr std::array<double, 4> Quantiles = {0.5, 0.9, 0.99, 0.999};
  static constexpr std::chrono::minutes ShortWindow{5};
  static constexpr std::chrono::minutes LongWindow{60};
};

/**
 * Collects samples with bounded memory: about 5 KiB a series and at most
 * MaxSeries series; samples of further services or kinds are counted in the
 * series "other" of service "other". Not thread-safe.
 */
class Metrics {
public:
  explicit Metrics(const MetricsSettings &settings);
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /** Adds one finished call. @param now never goes back. */
  void record(TimePoint now, const CallSample &sample);

  /**
   * States the objective of one kind, for samples before and after. Ignored
   * for a new kind when MaxObjectives are known, which keeps the default.
   * @param objective share of good calls, in (0, 1).
   */
  void setObjective(std::string_view service, std::string_view kind,
                    double objective);

  /** Replaces all objectives by those of the routes of @p config; of routes of
   * one kind the highest counts. */
  void setObjectives(const Configuration &config);

  /** @return the figures of all series; windows end at @p now. */
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
