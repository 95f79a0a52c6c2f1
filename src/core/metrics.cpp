#include "chivefold/core/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace chivefold {

double latencyBucketBoundMs(std::size_t bucket) {
  return 0.125 * std::exp2(static_cast<double>(bucket) / 3);
}

namespace {

namespace acc = boost::accumulators;

using LatencyAccumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                       acc::tag::extended_p_square>>;

/** The P-square estimator needs 2n + 3 samples for n quantiles. */
constexpr std::size_t MinQuantileSamples =
    2 * MetricsSettings::Quantiles.size() + 3;

/** Counts calls in a sliding window of N buckets of equal duration. Buckets
 * older than the window are overwritten. */
template <std::size_t N> class BucketRing {
public:
  explicit BucketRing(Duration window) : BucketLength(window / N) {}

  void add(TimePoint now, bool good) {
    auto &bucket = Buckets[bucketIndexAt(now) % N];
    if (bucket.Index != bucketIndexAt(now)) {
      bucket = {bucketIndexAt(now), {}};
    }
    ++bucket.Counts.Calls;
    bucket.Counts.Bad += good ? 0 : 1;
  }

  WindowCounts sum(TimePoint now) const {
    WindowCounts out;
    for (const auto &it : Buckets) {
      if (it.Index >= 0 &&
          it.Index + static_cast<std::int64_t>(N) > bucketIndexAt(now)) {
        out.Calls += it.Counts.Calls;
        out.Bad += it.Counts.Bad;
      }
    }
    return out;
  }

private:
  struct Bucket {
    std::int64_t Index = -1;
    WindowCounts Counts;
  };
  std::int64_t bucketIndexAt(TimePoint now) const {
    return now.time_since_epoch() / BucketLength;
  }
  Duration BucketLength;
  std::array<Bucket, N> Buckets{};
};

std::size_t latencyBucketIndex(double ms) {
  constexpr auto last =
      std::tuple_size_v<decltype(SeriesReport::LatencyBuckets)> - 1;
  if (ms <= latencyBucketBoundMs(0)) {
    return 0;
  }
  return std::min(last, static_cast<std::size_t>(std::ceil(
                            3 * std::log2(ms / latencyBucketBoundMs(0)))));
}

double burnRate(const WindowCounts &counts, double objective) {
  return counts.Calls == 0
             ? 0
             : static_cast<double>(counts.Bad) /
                   static_cast<double>(counts.Calls) / (1 - objective);
}

std::string escapedLabelValue(const std::string &text) {
  std::string out;
  for (const char c : text) {
    if (c == '\\' || c == '"') {
      out += '\\';
    }
    out += c == '\n' ? ' ' : c;
  }
  return out;
}

/** A metric in the Prometheus text format, and how its value is read from a
 * series. */
struct ExportedMetric {
  const char *Name;
  const char *Type;
  const char *Label;
  double (*Value)(const SeriesReport &);
};

const std::array<ExportedMetric, 16> ExportedMetrics = {{
    {"chivefold_calls_total", "counter", "outcome=\"answered\"",
     [](const SeriesReport &s) { return static_cast<double>(s.Answered); }},
    {"chivefold_calls_total", "counter", "outcome=\"not-run\"",
     [](const SeriesReport &s) { return static_cast<double>(s.NotRun); }},
    {"chivefold_calls_total", "counter", "outcome=\"unknown\"",
     [](const SeriesReport &s) { return static_cast<double>(s.Unknown); }},
    {"chivefold_good_calls_total", "counter", "",
     [](const SeriesReport &s) { return static_cast<double>(s.Good); }},
    {"chivefold_worth_offered_total", "counter", "",
     [](const SeriesReport &s) { return static_cast<double>(s.WorthOffered); }},
    {"chivefold_worth_served_total", "counter", "",
     [](const SeriesReport &s) { return static_cast<double>(s.WorthServed); }},
    {"chivefold_latency_mean_ms", "gauge", "",
     [](const SeriesReport &s) { return s.LatencyMeanMs; }},
    {"chivefold_latency_max_ms", "gauge", "",
     [](const SeriesReport &s) { return s.LatencyMaxMs; }},
    {"chivefold_latency_ms", "gauge", "quantile=\"0.5\"",
     [](const SeriesReport &s) { return s.LatencyQuantilesMs[0]; }},
    {"chivefold_latency_ms", "gauge", "quantile=\"0.9\"",
     [](const SeriesReport &s) { return s.LatencyQuantilesMs[1]; }},
    {"chivefold_latency_ms", "gauge", "quantile=\"0.99\"",
     [](const SeriesReport &s) { return s.LatencyQuantilesMs[2]; }},
    {"chivefold_latency_ms", "gauge", "quantile=\"0.999\"",
     [](const SeriesReport &s) { return s.LatencyQuantilesMs[3]; }},
    {"chivefold_objective", "gauge", "",
     [](const SeriesReport &s) { return s.Objective; }},
    {"chivefold_error_budget_spent", "gauge", "",
     [](const SeriesReport &s) { return s.ErrorBudgetSpent; }},
    {"chivefold_burn_rate", "gauge", "window=\"5m\"",
     [](const SeriesReport &s) { return s.ShortBurnRate; }},
    {"chivefold_burn_rate", "gauge", "window=\"1h\"",
     [](const SeriesReport &s) { return s.LongBurnRate; }},
}};

} // namespace

struct Metrics::Series {
  SeriesReport Totals;
  LatencyAccumulator LatencyMs{acc::extended_p_square_probabilities =
                                   MetricsSettings::Quantiles};
  BucketRing<30> ShortWindow{MetricsSettings::ShortWindow};
  BucketRing<60> LongWindow{MetricsSettings::LongWindow};
};

Metrics::Metrics(const MetricsSettings &settings) : Settings(settings) {}
Metrics::~Metrics() = default;

Metrics::Series &Metrics::seriesFor(std::string_view service,
                                    std::string_view kind) {
  SeriesKey key(service, kind);
  auto it = SeriesByKey.find(key);
  // The last entry is reserved for the series "other".
  if (it == SeriesByKey.end() && isFull()) {
    key = {"other", "other"};
    it = SeriesByKey.find(key);
  }
  if (it == SeriesByKey.end()) {
    it = SeriesByKey.emplace(key, std::make_unique<Series>()).first;
    it->second->Totals.Service = key.first;
    it->second->Totals.Kind = key.second;
  }
  return *it->second;
}

void Metrics::record(TimePoint now, const CallSample &sample) {
  auto &series = seriesFor(sample.Service, sample.Kind);
  auto &totals = series.Totals;
  totals.Answered += sample.Result == Outcome::Answered ? 1 : 0;
  totals.NotRun += sample.Result == Outcome::NotRun ? 1 : 0;
  totals.Unknown += sample.Result == Outcome::Unknown ? 1 : 0;
  totals.Good += sample.Good ? 1 : 0;
  totals.WorthOffered += sample.Worth;
  totals.WorthServed += sample.Good ? sample.Worth : 0;
  const auto ms =
      std::chrono::duration<double, std::milli>(sample.Latency).count();
  series.LatencyMs(ms);
  ++totals.LatencyBuckets[latencyBucketIndex(ms)];
  series.ShortWindow.add(now, sample.Good);
  series.LongWindow.add(now, sample.Good);
}

void Metrics::setObjective(std::string_view service, std::string_view kind,
                           double objective) {
  const SeriesKey key(service, kind);
  if (Objectives.size() < MetricsSettings::MaxObjectives ||
      Objectives.count(key) > 0) {
    Objectives[key] = objective;
  }
}

void Metrics::setObjectives(const Configuration &config) {
  Objectives.clear();
  for (const auto &service : config.Services) {
    for (const auto &it : service.second.Routes) {
      const auto known = Objectives.find({service.first, it.Kind});
      if (known == Objectives.end() || known->second < it.Objective) {
        setObjective(service.first, it.Kind, it.Objective);
      }
    }
  }
}

double Metrics::objectiveOf(const SeriesKey &key) const {
  const auto it = Objectives.find(key);
  return it == Objectives.end() ? Settings.DefaultObjective : it->second;
}

MetricsReport Metrics::report(TimePoint now) const {
  MetricsReport out;
  for (const auto &it : SeriesByKey) {
    const auto &series = *it.second;
    auto entry = series.Totals;
    entry.Objective = objectiveOf(it.first);
    const auto count = acc::count(series.LatencyMs);
    if (count > 0) {
      entry.LatencyMeanMs = acc::mean(series.LatencyMs);
      entry.LatencyMaxMs = acc::max(series.LatencyMs);
      entry.LatencyQuantilesMs.fill(entry.LatencyMaxMs);
    }
    if (count >= MinQuantileSamples) {
      const auto quantiles = acc::extended_p_square(series.LatencyMs);
      std::copy(quantiles.begin(), quantiles.end(),
                entry.LatencyQuantilesMs.begin());
    }
    entry.ErrorBudgetSpent =
        burnRate({count, count - entry.Good}, entry.Objective);
    entry.ShortWindow = series.ShortWindow.sum(now);
    entry.LongWindow = series.LongWindow.sum(now);
    entry.ShortBurnRate = burnRate(entry.ShortWindow, entry.Objective);
    entry.LongBurnRate = burnRate(entry.LongWindow, entry.Objective);
    out.Series.push_back(std::move(entry));
  }
  return out;
}

std::string toPrometheus(const MetricsReport &report) {
  std::string out;
  const char *lastName = "";
  for (const auto &metric : ExportedMetrics) {
    if (std::string_view(lastName) != metric.Name) {
      out += std::string("# TYPE ") + metric.Name + " " + metric.Type + "\n";
      lastName = metric.Name;
    }
    for (const auto &it : report.Series) {
      std::array<char, 32> value{};
      std::snprintf(value.data(), value.size(), "%.10g", metric.Value(it));
      out += std::string(metric.Name) + "{service=\"" +
             escapedLabelValue(it.Service) + "\",kind=\"" +
             escapedLabelValue(it.Kind) + "\"" +
             (*metric.Label == '\0' ? "" : ",") + metric.Label + "} " +
             value.data() + "\n";
    }
  }
  return out;
}

namespace {

/** @return [upper bound in ms, number of calls] for each non-empty bucket. */
nlohmann::json bucketsJson(const SeriesReport &series) {
  auto list = nlohmann::json::array();
  for (std::size_t n = 0; n < series.LatencyBuckets.size(); ++n) {
    if (series.LatencyBuckets[n] > 0) {
      list.push_back({latencyBucketBoundMs(n), series.LatencyBuckets[n]});
    }
  }
  return list;
}

} // namespace

std::string toJson(const MetricsReport &report) {
  auto all = nlohmann::json::array();
  for (const auto &it : report.Series) {
    all.push_back({{"service", it.Service},
                   {"kind", it.Kind},
                   {"answered", it.Answered},
                   {"not_run", it.NotRun},
                   {"unknown", it.Unknown},
                   {"good", it.Good},
                   {"worth_offered", it.WorthOffered},
                   {"worth_served", it.WorthServed},
                   {"latency_mean_ms", it.LatencyMeanMs},
                   {"latency_max_ms", it.LatencyMaxMs},
                   {"latency_quantiles_ms", it.LatencyQuantilesMs},
                   {"objective", it.Objective},
                   {"error_budget_spent", it.ErrorBudgetSpent},
                   {"burn_rate_5m", it.ShortBurnRate},
                   {"burn_rate_1h", it.LongBurnRate},
                   {"calls_5m", it.ShortWindow.Calls},
                   {"bad_5m", it.ShortWindow.Bad},
                   {"calls_1h", it.LongWindow.Calls},
                   {"bad_1h", it.LongWindow.Bad},
                   {"latency_buckets", bucketsJson(it)}});
  }
  // Names come from request paths and may contain invalid UTF-8.
  return nlohmann::json{{"series", all}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace chivefold
