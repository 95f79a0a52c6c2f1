/**
 * @file
 * Formatting shared by the text and the HTML output of a fleet report.
 */
#ifndef CHIVEFOLD_DAEMON_FLEET_REPORT_FORMAT_H
#define CHIVEFOLD_DAEMON_FLEET_REPORT_FORMAT_H

#include "chivefold/daemon/fleet_report.h"
#include "chivefold/daemon/text_table.h"

#include <array>
#include <cstdio>
#include <string>
#include <vector>

namespace chivefold {

constexpr double MedianQuantile = 0.5;
constexpr double P99Quantile = 0.99;

/** @return @p value with up to 6 significant digits, enough for an objective
 * such as 0.99999. Thread-safe. */
inline std::string formatNumber(double value) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.6g", value);
  return buf.data();
}

/** @return burn rate @p value with two decimals. Thread-safe. */
inline std::string formatBurnRate(double value) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.2f", value);
  return buf.data();
}

/** @return @p ms with 3 significant digits below 100 and as a whole number from
 * there on, which is more precise than the latency buckets. Thread-safe. */
inline std::string formatMilliseconds(double ms) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), ms < 100 ? "%.3g" : "%.0f", ms);
  return buf.data();
}

/** @return @p share, where 1 is 100%, as a whole percentage. Thread-safe. */
inline std::string formatPercent(double share) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.0f%%", share * 100);
  return buf.data();
}

/** @return a header row and one row per entry of FleetReport::Series, in the
 * same order. Thread-safe. */
std::vector<TextRow> seriesRows(const FleetReport &report);

/** @return a header row and one row per ended move. Thread-safe. */
std::vector<TextRow> moveRows(const FleetReport &report);

/** @return lines that state how many daemons the report covers, which daemons
 * failed, and how many series were omitted. Thread-safe. */
std::vector<std::string> coverageLines(const FleetReport &report);

} // namespace chivefold

#endif
