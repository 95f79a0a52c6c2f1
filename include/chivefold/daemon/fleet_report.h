/**
 * @file
 * The report on service levels, moves and data centres over many daemons.
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

/** Figures of one service and kind, added up over the daemons. */
struct FleetSeries {
  /** The highest that a daemon states; they differ while a change spreads. */
  double Objective = 0;
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Good = 0;
  std::uint64_t WorthOffered = 0;
  std::uint64_t WorthServed = 0;
  WindowCounts Last5Minutes;
  WindowCounts LastHour;
  /** Calls by upper bound of their latency in milliseconds. */
  std::map<double, std::uint64_t> Latency;

  WindowCounts total() const;
  /** @return rate of bad calls, divided by the rate that the objective allows;
   * 0 without calls. */
  double burnRate(const WindowCounts &counts) const;
  /** @return upper bound of the bucket that holds quantile @p q, in
   * milliseconds; 0 without calls. At most 26% above the exact value for
   * latencies of at least 0.125 ms. */
  double latencyMs(double q) const;
};

/** A move that ended. */
struct EndedMove {
  std::string Service;
  std::string From;
  std::string To;
  /** "done" or "taken-back". */
  std::string Result;
  std::string Reason;
  std::string Evidence;
  std::uint64_t EndOffset = 0;
  /** When the daemon asked saw the end; empty if it started later. */
  std::string EndUtc;
};

/** What the daemons asked together report. */
struct FleetReport {
  /** By service and kind. */
  std::map<std::pair<std::string, std::string>, FleetSeries> Series;
  std::vector<EndedMove> Moves;
  std::vector<std::string> DataCentresOut;
  /** Whether a daemon gave the moves and data centres. */
  bool StateKnown = false;
  std::size_t Answered = 0;
  /** Address and reason of each daemon without a usable answer. */
  std::vector<std::pair<std::string, std::string>> Failed;
  /** Members that were not asked because of a bound. */
  std::size_t NotAsked = 0;
  /** Series left out because of MaxSeries. */
  std::size_t SeriesLeftOut = 0;
};

/** Bounds of one report. What exceeds them is counted and printed. */
struct FleetReportLimits {
  static constexpr std::size_t MaxDaemons = 256;
  static constexpr std::size_t MaxSeries = 8192;
  static constexpr std::size_t MaxBuckets = 256;
  /** No further daemon is asked after this time. */
  static constexpr std::chrono::seconds MaxTime{60};
};

/**
 * Asks the daemons one after the other.
 * @param wholeFleet also ask the members that the first daemon to answer lists.
 * @return the report, or ConnectionFailed if no daemon gave a usable answer.
 */
Result<FleetReport> collectReport(OperatorContext &context,
                                  const std::vector<Address> &admins,
                                  bool wholeFleet);

/** @return the report as aligned text. Thread-safe. */
std::string reportText(const FleetReport &report);

/** @return the report as one JSON object. Thread-safe. */
std::string reportJson(const FleetReport &report);

/** @return the report as one HTML page that refers to nothing outside of it.
 * Thread-safe. */
std::string reportHtml(const FleetReport &report, UtcTime now);

} // namespace chivefold

#endif
