#include "chivefold/core/metrics.h"

#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

TimePoint at(int second) { return TimePoint(std::chrono::seconds(second)); }

CallSample sample(std::string_view kind, bool good) {
  return {"desk", kind, good ? Outcome::Answered : Outcome::Unknown,
          good,   3,    std::chrono::milliseconds(good ? 10 : 100)};
}

} // namespace

// Guards against burn rates that include calls older than their window.
TEST_CASE("burn rates exclude calls older than their window", "[metrics]") {
  Metrics metrics{MetricsSettings()};
  metrics.setObjective("desk", "book", 0.9);
  for (int n = 0; n < 100; ++n) {
    metrics.record(at(1000 + n), sample("book", n >= 20));
  }
  const auto first = metrics.report(at(1100)).Series.at(0);
  CHECK(first.ShortBurnRate == Approx(2));
  CHECK(first.LongBurnRate == Approx(2));
  CHECK(first.ErrorBudgetSpent == Approx(2));
  CHECK(first.WorthOffered == 300);
  CHECK(first.WorthServed == 240);
  CHECK(first.LatencyMeanMs == Approx(28));
  CHECK(first.LatencyQuantilesMs[0] == Approx(10).margin(5));
  const auto later = metrics.report(at(1500)).Series.at(0);
  CHECK(later.ShortBurnRate == 0);
  CHECK(later.LongBurnRate == Approx(2));
  CHECK(metrics.report(at(6000)).Series.at(0).LongBurnRate == 0);
}

// Guards against memory usage that grows with the number of request kinds.
TEST_CASE("calls beyond the series limit are counted in one series",
          "[metrics]") {
  Metrics metrics{MetricsSettings()};
  for (int n = 0; n < 3000; ++n) {
    metrics.record(at(1), sample("kind" + std::to_string(n), true));
  }
  const auto report = metrics.report(at(1));
  REQUIRE(report.Series.size() == MetricsSettings::MaxSeries);
  CHECK(report.Series.back().Kind == "other");
  CHECK(report.Series.back().Answered ==
        3000 - (MetricsSettings::MaxSeries - 1));
}

// Guards against applying the lower of two objectives of one kind, and against
// keeping objectives that the configuration no longer contains.
TEST_CASE("objectives follow the configuration", "[metrics]") {
  Metrics metrics{MetricsSettings()};
  Configuration config;
  config.Services["desk"].Routes = {{"GET", "/a", "book", true, 1, 100, 0.9},
                                    {"GET", "/b", "book", true, 1, 100, 0.95}};
  metrics.setObjectives(config);
  metrics.record(at(1), sample("book", true));
  CHECK(metrics.report(at(1)).Series.at(0).Objective == 0.95);
  metrics.setObjectives(Configuration());
  CHECK(metrics.report(at(1)).Series.at(0).Objective == 0.999);
}

// Guards against calls that are counted in no latency bucket or in a wrong one.
TEST_CASE("each call is in the bucket of its latency", "[metrics]") {
  Metrics metrics{MetricsSettings()};
  const std::chrono::microseconds latencies[] = {{},
                                                 std::chrono::microseconds(125),
                                                 std::chrono::microseconds(126),
                                                 std::chrono::hours(1)};
  for (const auto &it : latencies) {
    metrics.record(at(1), {"desk", "book", Outcome::Answered, true, 1, it});
  }
  const auto buckets = metrics.report(at(1)).Series.at(0).LatencyBuckets;
  CHECK(buckets.front() == 2);
  CHECK(buckets[1] == 1);
  CHECK(buckets.back() == 1);
}

// Guards against invalid output for names with quotes or invalid UTF-8.
TEST_CASE("exports escape names", "[metrics]") {
  Metrics metrics{MetricsSettings()};
  metrics.record(at(1), sample("a\"b\xff", true));
  const auto report = metrics.report(at(1));
  CHECK(toPrometheus(report).find("kind=\"a\\\"b") != std::string::npos);
  CHECK(toJson(report).find("\"kind\":\"a\\\"b") != std::string::npos);
}
