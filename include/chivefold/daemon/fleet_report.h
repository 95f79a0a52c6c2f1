/**
 * @file
 * Report on service levels, moves and data centres, aggregated over the
 * daemons of a fleet.
 */
#ifndef CHIVEFOLD_DAEMON_FLEET_REPORT_H
#define CHIVEFOLD_DAEMON_FLEET_REPORT_H

#include "chivefold/core/metrics.h"
#include "chivefold/daemon/operator_commands.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chivefold {

/** Metrics of one service and kind of call, summed over the daemons. */
struct FleetSeries {
  /** Highest objective that any daemon reports. Daemons differ while a
   * configuration change propagates. */
  double Objective = 0;
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Good = 0;
  /** Sum of the configured worth of all calls. */
  std::uint64_t WorthOffered = 0;
  /** Worth of the good calls among them. */
  std::uint64_t WorthServed = 0;
  WindowCounts Last5Minutes;
  WindowCounts LastHour;
  /** Number of calls per latency bucket, keyed by the bucket's upper bound in
   * milliseconds. */
  std::map<double, std::uint64_t> Latency;

  /** @return all calls and the bad ones among them, since the daemons
   * started. */
  WindowCounts total() const;
  /** @return the fraction of bad calls divided by the fraction that the
   * objective allows; 0 without calls. */
  double burnRate(const WindowCounts &counts) const;
  /** @return the upper bound of the bucket that contains quantile @p q, in
   * milliseconds; 0 without calls. It exceeds the exact value by at most 26%
   * for latencies of at least 0.125 ms. */
  double latencyMs(double q) const;
};

/** A move of traffic between two versions that has ended. */
struct EndedMove {
  std::string Service;
  std::string From;
  std::string To;
  /** "done" or "taken-back". */
  std::string Result;
  std::string Reason;
  std::string Evidence;
  std::uint64_t EndOffset = 0;
  /** Time at which the queried daemon saw the end; empty if that daemon started
   * later. */
  std::string EndUtc;
};

/** Aggregated result of querying the daemons. */
struct FleetReport {
  /** Keyed by service and kind. */
  std::map<std::pair<std::string, std::string>, FleetSeries> Series;
  std::vector<EndedMove> Moves;
  std::vector<std::string> DataCentresOut;
  /** Whether any daemon returned the moves and data centres. */
  bool StateKnown = false;
  std::size_t Answered = 0;
  /** Address and error of each daemon that returned no valid report. */
  std::vector<std::pair<std::string, std::string>> Failed;
  /** Daemons that were not queried because of MaxDaemons or MaxTime. */
  std::size_t NotAsked = 0;
  /** Series omitted because of MaxSeries. A series that several daemons report
   * counts once for each of them. */
  std::size_t SeriesLeftOut = 0;
};

/** Limits of one report. Daemons and series beyond a limit are counted, and the
 * report shows their number. */
struct FleetReportLimits {
  static constexpr std::size_t MaxDaemons = 256;
  static constexpr std::size_t MaxSeries = 8192;
  /** Latency buckets of a series. A response with more is invalid. */
  static constexpr std::size_t MaxBuckets = 256;
  /** No further daemon is queried for its report after this time. */
  static constexpr std::chrono::seconds MaxTime{60};
};

/**
 * Queries the daemons sequentially and aggregates their reports.
 * @param wholeFleet also query the members listed by the first daemon that
 * returns its state.
 * @return the report, or ConnectionFailed if no daemon returned a valid report.
 */
Result<FleetReport> collectReport(OperatorContext &context,
                                  const std::vector<Address> &admins,
                                  bool wholeFleet);

/** @return the report as plain-text tables. Thread-safe. */
std::string reportText(const FleetReport &report);

/** @return the report as one JSON object. Thread-safe. */
std::string reportJson(const FleetReport &report);

/** @return the report as a self-contained HTML page. @param now time shown in
 * the page. Thread-safe. */
std::string reportHtml(const FleetReport &report, UtcTime now);

} // namespace chivefold

#endif
