#include "chivefold/daemon/fleet_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace chivefold {
namespace {

using nlohmann::json;
using Limits = FleetReportLimits;

/** A request to a daemon that failed or whose response is malformed. Always
 * caught in this file. */
struct InvalidResponse : std::runtime_error {
  using std::runtime_error::runtime_error;
};

const json &requiredField(const json &object, const char *key) {
  const auto it = object.find(key);
  if (!object.is_object() || it == object.end()) {
    throw InvalidResponse(std::string("missing field ") + key);
  }
  return *it;
}

std::uint64_t toCount(const json &value, const char *key) {
  if (!value.is_number_unsigned()) {
    throw InvalidResponse("field " + std::string(key) +
                          " is not an unsigned integer");
  }
  return value.get<std::uint64_t>();
}

std::uint64_t countField(const json &object, const char *key) {
  return toCount(requiredField(object, key), key);
}

std::string stringField(const json &object, const char *key) {
  const auto &value = requiredField(object, key);
  if (!value.is_string()) {
    throw InvalidResponse("field " + std::string(key) + " is not a string");
  }
  return value.get<std::string>();
}

const json &arrayField(const json &object, const char *key) {
  const auto &value = requiredField(object, key);
  if (!value.is_array()) {
    throw InvalidResponse("field " + std::string(key) + " is not an array");
  }
  return value;
}

WindowCounts windowField(const json &item, const char *calls, const char *bad) {
  return {countField(item, calls), countField(item, bad)};
}

FleetSeries parseSeries(const json &item) {
  FleetSeries s;
  const auto &objective = requiredField(item, "objective");
  s.Objective = objective.is_number() ? objective.get<double>() : 0;
  if (!(s.Objective > 0 && s.Objective < 1)) {
    throw InvalidResponse("objective is not between 0 and 1");
  }
  s.Answered = countField(item, "answered");
  s.NotRun = countField(item, "not_run");
  s.Unknown = countField(item, "unknown");
  s.Good = countField(item, "good");
  s.WorthOffered = countField(item, "worth_offered");
  s.WorthServed = countField(item, "worth_served");
  s.Last5Minutes = windowField(item, "calls_5m", "bad_5m");
  s.LastHour = windowField(item, "calls_1h", "bad_1h");
  const auto &buckets = arrayField(item, "latency_buckets");
  if (buckets.size() > Limits::MaxBuckets) {
    throw InvalidResponse("more than " + std::to_string(Limits::MaxBuckets) +
                          " latency buckets");
  }
  for (const auto &it : buckets) {
    if (!it.is_array() || it.size() != 2 || !it[0].is_number()) {
      throw InvalidResponse(
          "an entry of latency_buckets is not a pair [bound, count]");
    }
    s.Latency[it[0].get<double>()] += toCount(it[1], "latency_buckets");
  }
  return s;
}

void add(WindowCounts &to, const WindowCounts &from) {
  to.Calls += from.Calls;
  to.Bad += from.Bad;
}

void add(FleetSeries &to, const FleetSeries &from) {
  to.Objective = std::max(to.Objective, from.Objective);
  to.Answered += from.Answered;
  to.NotRun += from.NotRun;
  to.Unknown += from.Unknown;
  to.Good += from.Good;
  to.WorthOffered += from.WorthOffered;
  to.WorthServed += from.WorthServed;
  add(to.Last5Minutes, from.Last5Minutes);
  add(to.LastHour, from.LastHour);
  for (const auto &it : from.Latency) {
    to.Latency[it.first] += it.second;
  }
  // Daemons of one version have the same bucket bounds. If mixed versions give
  // too many buckets, the lowest ones are merged into their upper neighbours,
  // which can only overstate latencies.
  for (auto it = to.Latency.begin(); to.Latency.size() > Limits::MaxBuckets;) {
    const auto next = std::next(it);
    next->second += it->second;
    it = to.Latency.erase(it);
  }
}

/** Queries daemons and aggregates their responses. */
class ReportCollector {
public:
  explicit ReportCollector(OperatorContext &context)
      : Context(context), Started(context.Now()) {}

  FleetReport run(const std::vector<Address> &admins, bool wholeFleet) {
    for (const auto &it : admins) {
      fetchReport(it);
    }
    for (const auto &it : admins) {
      Report.StateKnown = Report.StateKnown || fetchState(it, wholeFleet);
    }
    return std::move(Report);
  }

private:
  json get(const Address &admin, const char *path) {
    const auto url = "http://" + toString(admin) + path;
    const auto response = Context.Http.request("GET", url, "");
    if (!response) {
      throw InvalidResponse(response.reason().Message);
    }
    if (response->Status != 200) {
      throw InvalidResponse("status " + std::to_string(response->Status));
    }
    auto value = json::parse(response->Body, nullptr, false);
    if (value.is_discarded()) {
      throw InvalidResponse("the response is not valid JSON");
    }
    return value;
  }

  void fetchReport(const Address &admin) {
    if (!Queried.insert(admin).second) {
      return;
    }
    if (Queried.size() > Limits::MaxDaemons ||
        Context.Now() - Started > Limits::MaxTime) {
      ++Report.NotAsked;
      return;
    }
    try {
      // Parse the whole response first, so that an invalid one adds nothing.
      std::map<std::pair<std::string, std::string>, FleetSeries> all;
      const auto answer = get(admin, "/-/report");
      for (const auto &it : arrayField(answer, "series")) {
        add(all[{stringField(it, "service"), stringField(it, "kind")}],
            parseSeries(it));
      }
      for (const auto &it : all) {
        addSeries(it.first, it.second);
      }
      ++Report.Answered;
    } catch (const InvalidResponse &e) {
      Report.Failed.emplace_back(toString(admin), e.what());
    }
  }

  void addSeries(const std::pair<std::string, std::string> &key,
                 const FleetSeries &series) {
    if (Report.Series.size() >= Limits::MaxSeries &&
        Report.Series.count(key) == 0) {
      ++Report.SeriesLeftOut;
      return;
    }
    add(Report.Series[key], series);
  }

  bool fetchState(const Address &admin, bool wholeFleet) {
    try {
      const auto state = get(admin, "/-/state");
      auto moves = parseEndedMoves(state);
      auto out = parseDataCentresOut(state);
      const auto &members = arrayField(state, "members");
      Report.Moves = std::move(moves);
      Report.DataCentresOut = std::move(out);
      for (const auto &it : members) {
        if (wholeFleet) {
          fetchMemberReport(it);
        }
      }
      return true;
    } catch (const InvalidResponse &) {
      return false;
    }
  }

  static std::vector<EndedMove> parseEndedMoves(const json &state) {
    std::vector<EndedMove> moves;
    for (const auto &it : arrayField(state, "moves")) {
      if (stringField(it, "state") != "running") {
        moves.push_back({stringField(it, "service"), stringField(it, "from"),
                         stringField(it, "to"), stringField(it, "state"),
                         stringField(it, "reason"), stringField(it, "evidence"),
                         countField(it, "ended_at"),
                         stringField(it, "ended_utc")});
      }
    }
    return moves;
  }

  static std::vector<std::string> parseDataCentresOut(const json &state) {
    std::vector<std::string> out;
    for (const auto &it : arrayField(state, "data_centres")) {
      if (requiredField(it, "taken_out") == true) {
        out.push_back(stringField(it, "name"));
      }
    }
    return out;
  }

  /** Queries a listed member. Skips members that left the fleet. Unreachable
   * ones are counted as failed without a request, which would only time out. */
  void fetchMemberReport(const json &item) {
    std::string name = "member without an address";
    try {
      name = stringField(item, "address");
      const auto state = stringField(item, "state");
      if (state == "left") {
        return;
      }
      auto address = parseAddress(name);
      const auto port = countField(item, "admin_port");
      if (!address || port == 0 || port > UINT16_MAX) {
        throw InvalidResponse("its admin address is unknown");
      }
      address->Port = static_cast<std::uint16_t>(port);
      if (state != "unreachable") {
        fetchReport(*address);
      } else if (Queried.insert(*address).second) {
        Report.Failed.emplace_back(name, "unreachable, not queried");
      }
    } catch (const InvalidResponse &e) {
      Report.Failed.emplace_back(name, e.what());
    }
  }

  OperatorContext &Context;
  UtcTime Started;
  std::set<Address> Queried;
  FleetReport Report;
};

} // namespace

WindowCounts FleetSeries::total() const {
  const auto calls = Answered + NotRun + Unknown;
  return {calls, calls - std::min(calls, Good)};
}

double FleetSeries::burnRate(const WindowCounts &counts) const {
  return counts.Calls == 0
             ? 0
             : static_cast<double>(counts.Bad) /
                   static_cast<double>(counts.Calls) / (1 - Objective);
}

double FleetSeries::latencyMs(double q) const {
  std::uint64_t all = 0;
  for (const auto &it : Latency) {
    all += it.second;
  }
  std::uint64_t below = 0;
  for (const auto &it : Latency) {
    below += it.second;
    if (static_cast<double>(below) >= q * static_cast<double>(all)) {
      return it.first;
    }
  }
  return 0;
}

Result<FleetReport> collectReport(OperatorContext &context,
                                  const std::vector<Address> &admins,
                                  bool wholeFleet) {
  auto report = ReportCollector(context).run(admins, wholeFleet);
  if (report.Answered == 0) {
    return Reason{
        ErrorCode::ConnectionFailed,
        "no daemon returned a valid report: " + report.Failed.front().first +
            ": " + report.Failed.front().second};
  }
  return report;
}

} // namespace chivefold
