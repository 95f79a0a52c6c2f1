/**
 * @file
 * Parts that the text and the HTML form of a fleet report share.
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

/** @return @p value with up to 6 significant digits, so that an objective such
 * as 0.99999 keeps its last digit. Thread-safe. */
inline std::string formatNumber(double value) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.6g", value);
  return buf.data();
}

/** @return @p value with two decimals; for burn rates. Thread-safe. */
inline std::string formatBurnRate(double value) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.2f", value);
  return buf.data();
}

/** @return @p ms with 3 significant digits, which is finer than the buckets
 * it comes from. Thread-safe. */
inline std::string formatMilliseconds(double ms) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), ms < 100 ? "%.3g" : "%.0f", ms);
  return buf.data();
}

/** @return @p share as a whole percentage. Thread-safe. */
inline std::string formatPercent(double share) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.0f%%", share * 100);
  return buf.data();
}

/** @return a heading and a row for each service and kind. Thread-safe. */
std::vector<TextRow> seriesRows(const FleetReport &report);

/** @return a heading and a row for each ended move. Thread-safe. */
std::vector<TextRow> moveRows(const FleetReport &report);

/** @return how many daemons the report covers and which it does not, one
 * statement a line. Thread-safe. */
std::vector<std::string> coverageLines(const FleetReport &report);

} // namespace chivefold

#endif
