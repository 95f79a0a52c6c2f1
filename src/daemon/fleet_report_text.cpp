#include "chivefold/daemon/fleet_report.h"
#include "chivefold/daemon/text_table.h"

#include "fleet_report_format.h"

#include <nlohmann/json.hpp>

namespace chivefold {
namespace {

using nlohmann::json;

constexpr const char *StateUnknownLine =
    "moves and data centres: not known, no daemon gave its state\n";

json seriesJson(const std::pair<std::string, std::string> &key,
                const FleetSeries &s) {
  return {{"service", key.first},
          {"kind", key.second},
          {"objective", s.Objective},
          {"answered", s.Answered},
          {"not_run", s.NotRun},
          {"unknown", s.Unknown},
          {"good", s.Good},
          {"error_budget_spent", s.burnRate(s.total())},
          {"burn_rate_5m", s.burnRate(s.Last5Minutes)},
          {"burn_rate_1h", s.burnRate(s.LastHour)},
          {"worth_served", s.WorthServed},
          {"worth_offered", s.WorthOffered},
          {"latency_ms_median", s.latencyMs(MedianQuantile)},
          {"latency_ms_99th", s.latencyMs(P99Quantile)}};
}

} // namespace

std::vector<TextRow> seriesRows(const FleetReport &report) {
  std::vector<TextRow> rows = {{"service", "kind", "objective", "answered",
                                "not-run", "unknown", "budget spent",
                                "burn 5 min", "burn 1 h", "worth served",
                                "median ms", "99th ms"}};
  for (const auto &it : report.Series) {
    const auto &s = it.second;
    rows.push_back({it.first.first, it.first.second, formatNumber(s.Objective),
                    std::to_string(s.Answered), std::to_string(s.NotRun),
                    std::to_string(s.Unknown),
                    formatPercent(s.burnRate(s.total())),
                    formatBurnRate(s.burnRate(s.Last5Minutes)),
                    formatBurnRate(s.burnRate(s.LastHour)),
                    std::to_string(s.WorthServed) + " of " +
                        std::to_string(s.WorthOffered),
                    formatMilliseconds(s.latencyMs(MedianQuantile)),
                    formatMilliseconds(s.latencyMs(P99Quantile))});
  }
  return rows;
}

std::vector<TextRow> moveRows(const FleetReport &report) {
  std::vector<TextRow> rows = {
      {"service", "from", "to", "result", "ended", "reason", "evidence"}};
  const auto dashIfEmpty = [](const std::string &s) {
    return s.empty() ? "-" : s;
  };
  for (const auto &it : report.Moves) {
    rows.push_back({it.Service, it.From, it.To, it.Result,
                    it.EndUtc.empty() ? "offset " + std::to_string(it.EndOffset)
                                      : it.EndUtc,
                    dashIfEmpty(it.Reason), dashIfEmpty(it.Evidence)});
  }
  return rows;
}

std::vector<std::string> coverageLines(const FleetReport &report) {
  const auto failed = report.Failed.size();
  std::vector<std::string> lines = {
      std::to_string(report.Answered) + " daemons answered, " +
      std::to_string(failed) + " did not, " + std::to_string(report.NotAsked) +
      " were not asked"};
  for (const auto &it : report.Failed) {
    lines.push_back("no answer from " + it.first + ": " + it.second);
  }
  if (report.SeriesLeftOut > 0) {
    lines.push_back(std::to_string(report.SeriesLeftOut) +
                    " series are left out because of the limit of " +
                    std::to_string(FleetReportLimits::MaxSeries));
  }
  return lines;
}

std::string reportText(const FleetReport &report) {
  std::string text;
  for (const auto &it : coverageLines(report)) {
    text += it + "\n";
  }
  text += "\n" + (report.Series.empty() ? "calls: none\n"
                                        : formatTable(seriesRows(report)));
  if (!report.StateKnown) {
    return text + "\n" + StateUnknownLine;
  }
  text += "\n" + (report.Moves.empty() ? "ended moves: none\n"
                                       : formatTable(moveRows(report)));
  text += "\ndata centres out:";
  for (const auto &it : report.DataCentresOut) {
    text += " " + it;
  }
  return text + (report.DataCentresOut.empty() ? " none\n" : "\n");
}

std::string reportJson(const FleetReport &report) {
  json out = {{"answered", report.Answered},
              {"failed", json::array()},
              {"not_asked", report.NotAsked},
              {"series_left_out", report.SeriesLeftOut},
              {"series", json::array()},
              {"state_known", report.StateKnown},
              {"moves", json::array()},
              {"data_centres_out", report.DataCentresOut}};
  for (const auto &it : report.Failed) {
    out["failed"].push_back({{"daemon", it.first}, {"reason", it.second}});
  }
  for (const auto &it : report.Series) {
    out["series"].push_back(seriesJson(it.first, it.second));
  }
  for (const auto &it : report.Moves) {
    out["moves"].push_back({{"service", it.Service},
                            {"from", it.From},
                            {"to", it.To},
                            {"result", it.Result},
                            {"reason", it.Reason},
                            {"evidence", it.Evidence},
                            {"ended_at", it.EndOffset},
                            {"ended_utc", it.EndUtc}});
  }
  return out.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace chivefold
