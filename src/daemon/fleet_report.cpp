#include "chivefold/daemon/fleet_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace chivefold {
namespace {

using nlohmann::json;
using Limits = FleetReportLimits;

/** An answer that is not as expected; does not leave this file. */
struct FaultyAnswer : std::runtime_error {
  using std::runtime_error::runtime_error;
};

const json &member(const json &object, const char *key) {
  const auto it = object.find(key);
  if (!object.is_object() || it == object.end()) {
    throw FaultyAnswer(std::string("no field ") + key);
  }
  return *it;
}

std::uint64_t count(const json &value, const char *key) {
  if (!value.is_number_unsigned()) {
    throw FaultyAnswer(std::string("no count in ") + key);
  }
  return value.get<std::uint64_t>();
}

std::uint64_t countOf(const json &object, const char *key) {
  return count(member(object, key), key);
}

std::string textOf(const json &object, const char *key) {
  const auto &value = member(object, key);
  if (!value.is_string()) {
    throw FaultyAnswer(std::string("no text in ") + key);
  }
  return value.get<std::string>();
}

const json &listOf(const json &object, const char *key) {
  const auto &value = member(object, key);
  if (!value.is_array()) {
    throw FaultyAnswer(std::string("no list in ") + key);
  }
  return value;
}

WindowCounts windowOf(const json &item, const char *calls, const char *bad) {
  return {countOf(item, calls), countOf(item, bad)};
}

FleetSeries seriesOf(const json &item) {
  FleetSeries s;
  const auto &objective = member(item, "objective");
  s.Objective = objective.is_number() ? objective.get<double>() : 0;
  if (!(s.Objective > 0 && s.Objective < 1)) {
    throw FaultyAnswer("objective outside of 0 to 1");
  }
  s.Answered = countOf(item, "answered");
  s.NotRun = countOf(item, "not_run");
  s.Unknown = countOf(item, "unknown");
  s.Good = countOf(item, "good");
  s.WorthOffered = countOf(item, "worth_offered");
  s.WorthServed = countOf(item, "worth_served");
  s.Short = windowOf(item, "calls_5m", "bad_5m");
  s.Long = windowOf(item, "calls_1h", "bad_1h");
  const auto &buckets = listOf(item, "latency_buckets");
  if (buckets.size() > Limits::MaxBuckets) {
    throw FaultyAnswer("too many latency buckets");
  }
  for (const auto &it : buckets) {
    if (!it.is_array() || it.size() != 2 || !it[0].is_number()) {
      throw FaultyAnswer("no pair in latency_buckets");
    }
    s.Latency[it[0].get<double>()] += count(it[1], "latency_buckets");
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
  add(to.Short, from.Short);
  add(to.Long, from.Long);
  for (const auto &it : from.Latency) {
    to.Latency[it.first] += it.second;
  }
  // Daemons of one version have the same bounds; with others, neighbouring
  // buckets are joined from below, which only rounds latencies up.
  for (auto it = to.Latency.begin(); to.Latency.size() > Limits::MaxBuckets;) {
    const auto next = std::next(it);
    next->second += it->second;
    it = to.Latency.erase(it);
  }
}

/** Asks daemons and adds up their answers. */
class Collector {
public:
  explicit Collector(OperatorContext &context)
      : Context(context), Started(context.Now()) {}

  FleetReport run(const std::vector<Address> &admins, bool wholeFleet) {
    for (const auto &it : admins) {
      askReport(it);
    }
    for (const auto &it : admins) {
      Out.StateKnown = Out.StateKnown || askState(it, wholeFleet);
    }
    return std::move(Out);
  }

private:
  json get(const Address &admin, const char *path) {
    const auto url = "http://" + toString(admin) + path;
    const auto response = Context.Http.request("GET", url, "");
    if (!response) {
      throw FaultyAnswer(response.reason().Message);
    }
    if (response->Status != 200) {
      throw FaultyAnswer("status " + std::to_string(response->Status));
    }
    auto value = json::parse(response->Body, nullptr, false);
    if (value.is_discarded()) {
      throw FaultyAnswer("the answer is not JSON");
    }
    return value;
  }

  void askReport(const Address &admin) {
    if (!Asked.insert(admin).second) {
      return;
    }
    if (Asked.size() > Limits::MaxDaemons ||
        Context.Now() - Started > Limits::MaxTime) {
      ++Out.NotAsked;
      return;
    }
    try {
      // Nothing is added before the whole answer is known to be good.
      std::map<std::pair<std::string, std::string>, FleetSeries> all;
      const auto answer = get(admin, "/-/report");
      for (const auto &it : listOf(answer, "series")) {
        add(all[{textOf(it, "service"), textOf(it, "kind")}], seriesOf(it));
      }
      for (const auto &it : all) {
        addSeries(it.first, it.second);
      }
      ++Out.Answered;
    } catch (const FaultyAnswer &e) {
      Out.Failed.emplace_back(toString(admin), e.what());
    }
  }

  void addSeries(const std::pair<std::string, std::string> &key,
                 const FleetSeries &series) {
    if (Out.Series.size() >= Limits::MaxSeries && Out.Series.count(key) == 0) {
      ++Out.SeriesLeftOut;
      return;
    }
    add(Out.Series[key], series);
  }

  bool askState(const Address &admin, bool wholeFleet) {
    try {
      const auto state = get(admin, "/-/state");
      auto moves = movesOf(state);
      auto out = outOf(state);
      const auto &members = listOf(state, "members");
      Out.Moves = std::move(moves);
      Out.DataCentresOut = std::move(out);
      for (const auto &it : members) {
        if (wholeFleet) {
          askMember(it);
        }
      }
      return true;
    } catch (const FaultyAnswer &) {
      return false;
    }
  }

  static std::vector<EndedMove> movesOf(const json &state) {
    std::vector<EndedMove> moves;
    for (const auto &it : listOf(state, "moves")) {
      if (textOf(it, "state") != "running") {
        moves.push_back({textOf(it, "service"), textOf(it, "from"),
                         textOf(it, "to"), textOf(it, "state"),
                         textOf(it, "reason"), textOf(it, "evidence"),
                         countOf(it, "ended_at"), textOf(it, "ended_utc")});
      }
    }
    return moves;
  }

  static std::vector<std::string> outOf(const json &state) {
    std::vector<std::string> out;
    for (const auto &it : listOf(state, "data_centres")) {
      if (member(it, "taken_out") == true) {
        out.push_back(textOf(it, "name"));
      }
    }
    return out;
  }

  /** Members that left are no longer part of the fleet; unreachable ones are
   * counted without waiting for their time-outs. */
  void askMember(const json &item) {
    std::string name = "a member";
    try {
      name = textOf(item, "address");
      const auto state = textOf(item, "state");
      if (state == "left") {
        return;
      }
      auto address = parseAddress(name);
      const auto port = countOf(item, "admin_port");
      if (!address || port == 0 || port > UINT16_MAX) {
        throw FaultyAnswer("its admin address is not known");
      }
      address->Port = static_cast<std::uint16_t>(port);
      if (state != "unreachable") {
        askReport(*address);
      } else if (Asked.insert(*address).second) {
        Out.Failed.emplace_back(name, "unreachable, not asked");
      }
    } catch (const FaultyAnswer &e) {
      Out.Failed.emplace_back(name, e.what());
    }
  }

  OperatorContext &Context;
  UtcTime Started;
  std::set<Address> Asked;
  FleetReport Out;
};

} // namespace

WindowCounts FleetSeries::total() const {
  const auto calls = Answered + NotRun + Unknown;
  return {calls, calls - std::min(calls, Good)};
}

double FleetSeries::burn(const WindowCounts &counts) const {
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
  auto report = Collector(context).run(admins, wholeFleet);
  if (report.Answered == 0) {
    return Reason{
        ErrorCode::ConnectionFailed,
        "no daemon gave a usable answer: " + report.Failed.front().first +
            ": " + report.Failed.front().second};
  }
  return report;
}

} // namespace chivefold
