#include "fleet_report_format.h"

#include "chivefold/core/configuration_text.h"

#include <algorithm>

namespace chivefold {
namespace {

/** Burn rate that fills the whole bar. At 14.4, one hour spends 2% of an error
 * budget of 30 days, a common threshold for paging the on-call engineer. */
constexpr double FullScaleBurnRate = 14.4;

constexpr const char *PageHeader = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>chivefold report</title>
<style>
body { font-family: sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin-bottom: 2em; }
th, td { border: 1px solid #ccc; padding: 0.3em 0.6em; text-align: left; }
th { background: #eee; }
svg { display: block; }
.missing { color: #a00; }
</style></head><body>
<h1>chivefold report</h1>
)";

/** Escapes @p text for element content and quoted attribute values. */
std::string escapeHtml(const std::string &text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
    case '&':
      out += "&amp;";
      break;
    case '<':
      out += "&lt;";
      break;
    case '>':
      out += "&gt;";
      break;
    case '"':
      out += "&quot;";
      break;
    case '\'':
      out += "&#39;";
      break;
    default:
      out += c;
    }
  }
  return out;
}

std::string tableCells(const TextRow &row, const char *tag) {
  std::string out;
  for (const auto &it : row) {
    out += std::string("<") + tag + ">" + escapeHtml(it) + "</" + tag + ">";
  }
  return out;
}

/** @return an SVG bar for a burn rate. It is red above 1, the rate at which the
 * error budget would be spent before its period ends. */
std::string burnRateBar(double burnRate) {
  constexpr double full = 120;
  const auto width =
      full * std::min(burnRate, FullScaleBurnRate) / FullScaleBurnRate;
  return "<svg width=\"120\" height=\"10\" role=\"img\"><rect width=\"120\" "
         "height=\"10\" fill=\"#eee\"/><rect width=\"" +
         formatNumber(width) + "\" height=\"10\" fill=\"" +
         (burnRate > 1 ? "#c33" : "#393") + "\"/></svg>";
}

std::string seriesTable(const FleetReport &report) {
  const auto rows = seriesRows(report);
  std::string out = "<table>\n<tr>" + tableCells(rows.front(), "th") +
                    "<th>burn 1 h, full bar " +
                    formatNumber(FullScaleBurnRate) + "</th></tr>\n";
  // seriesRows() keeps the order of report.Series; row 0 is the header.
  std::size_t n = 1;
  for (const auto &it : report.Series) {
    out += "<tr>" + tableCells(rows[n++], "td") + "<td>" +
           burnRateBar(it.second.burnRate(it.second.LastHour)) + "</td></tr>\n";
  }
  return out + "</table>\n";
}

std::string moveTable(const FleetReport &report) {
  const auto rows = moveRows(report);
  std::string out =
      "<table>\n<tr>" + tableCells(rows.front(), "th") + "</tr>\n";
  for (std::size_t n = 1; n < rows.size(); ++n) {
    out += "<tr>" + tableCells(rows[n], "td") + "</tr>\n";
  }
  return out + "</table>\n";
}

std::string stateSections(const FleetReport &report) {
  if (!report.StateKnown) {
    return "<p class=\"missing\">Moves and data centres are not known: no "
           "daemon gave its state.</p>\n";
  }
  std::string out = "<h2>Moves that ended</h2>\n" + moveTable(report) +
                    "<h2>Data centres out</h2>\n<ul>\n";
  for (const auto &it : report.DataCentresOut) {
    out += "<li>" + escapeHtml(it) + "</li>\n";
  }
  return out + (report.DataCentresOut.empty() ? "<li>none</li>\n" : "") +
         "</ul>\n";
}

} // namespace

std::string reportHtml(const FleetReport &report, UtcTime now) {
  std::string out = PageHeader;
  out += "<p>As of " + escapeHtml(toString(now)) + "</p>\n";
  const bool complete = report.Failed.empty() && report.NotAsked == 0;
  for (const auto &it : coverageLines(report)) {
    out += std::string(complete ? "<p>" : "<p class=\"missing\">") +
           escapeHtml(it) + "</p>\n";
  }
  out += "<h2>Service levels</h2>\n" + seriesTable(report);
  return out + stateSections(report) + "</body></html>\n";
}

} // namespace chivefold
