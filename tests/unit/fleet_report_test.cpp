#include "chivefold/daemon/fleet_report.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace chivefold;
using nlohmann::json;

namespace {

/** Serves fixed bodies, keyed by URL without "http://". Requests to any other
 * URL fail to connect. */
class FakeDaemons : public BlockingHttpClient {
public:
  std::map<std::string, std::string> Bodies;
  std::vector<std::string> Requests;

  Result<BlockingHttpResponse> request(const std::string &method,
                                       const std::string &url,
                                       const std::string & /*body*/) override {
    Requests.push_back(method + " " + url.substr(7));
    const auto it = Bodies.find(url.substr(7));
    if (it == Bodies.end()) {
      return Reason{ErrorCode::ConnectionFailed, "refused"};
    }
    return BlockingHttpResponse{200, it->second, {}, {}};
  }
};

/** @return the report of a daemon, produced by Metrics, with @p good calls of
 * 1 ms and @p bad ones of 100 ms. */
std::string daemonReport(int good, int bad, const std::string &kind = "book") {
  Metrics metrics{MetricsSettings()};
  metrics.setObjective("desk", kind, 0.9);
  for (int n = 0; n < good + bad; ++n) {
    metrics.record(TimePoint(std::chrono::seconds(1000)),
                   {"desk", kind,
                    n < good ? Outcome::Answered : Outcome::NotRun, n < good, 2,
                    std::chrono::milliseconds(n < good ? 1 : 100)});
  }
  return toJson(metrics.report(TimePoint(std::chrono::seconds(1001))));
}

json member(const char *address, int port, const char *state) {
  return {{"address", address}, {"admin_port", port}, {"state", state}};
}

struct Fixture {
  FakeDaemons Daemons;
  OperatorContext Context{Daemons, [] { return RecordId(); },
                          [] { return UtcTime(); },
                          [](std::chrono::milliseconds) {}, "asha"};

  Fixture() {
    Daemons.Bodies["127.0.0.1:1/-/report"] = daemonReport(90, 10);
    Daemons.Bodies["127.0.0.1:2/-/report"] = daemonReport(270, 30);
    json state = {{"members",
                   {member("127.0.0.1:91", 1, "alive"),
                    member("127.0.0.1:92", 2, "alive"),
                    member("127.0.0.1:93", 3, "suspect"),
                    member("127.0.0.1:94", 4, "unreachable"),
                    member("127.0.0.1:95", 5, "left")}},
                  {"moves",
                   {{{"service", "desk"},
                     {"from", "v1"},
                     {"to", "v2"},
                     {"state", "taken-back"},
                     {"reason", "<b>errors</b>"},
                     {"evidence", "9 of 10"},
                     {"ended_at", 7},
                     {"ended_utc", "noon"},
                     {"deadline", "night"},
                     {"share_basis_points", 0}}}},
                  {"data_centres",
                   {{{"name", "east"}, {"taken_out", true}},
                    {{"name", "west"}, {"taken_out", false}}}}};
    Daemons.Bodies["127.0.0.1:1/-/state"] = state.dump();
  }

  OperatorResult run(std::vector<const char *> args) {
    args.insert(args.begin(), "chivefold");
    return runOperator(static_cast<int>(args.size()), args.data(), Context);
  }
};

} // namespace

// Guards against aggregating by averaging rates or quantiles instead of adding
// counts, and against counting a daemon twice or omitting one without notice.
TEST_CASE("report adds up the whole fleet", "[report]") {
  Fixture f;
  const auto result = f.run({"report", "--admin", "127.0.0.1:1", "--admin",
                             "127.0.0.1:1", "--fleet", "--json"});
  REQUIRE(result.Exit == OperatorExitCode::Ok);
  const auto out = json::parse(result.Output);
  CHECK(out["answered"] == 2);
  CHECK(out["failed"].size() == 2);
  CHECK(out["failed"][0]["daemon"] == "127.0.0.1:3");
  const auto &s = out["series"].at(0);
  CHECK(s["answered"] == 360);
  CHECK(s["not_run"] == 40);
  CHECK(s["worth_served"] == 720);
  CHECK(s["worth_offered"] == 800);
  for (const auto *key :
       {"error_budget_spent", "burn_rate_5m", "burn_rate_1h"}) {
    CHECK(s[key].get<double>() == Approx(1));
  }
  CHECK(s["latency_ms_median"].get<double>() == Approx(1));
  CHECK(s["latency_ms_99th"].get<double>() == Approx(101.6).margin(26));
  CHECK(out["moves"].at(0)["reason"] == "<b>errors</b>");
  CHECK(out["data_centres_out"] == json{"east"});
}

// Guards against text output that lacks metrics or failed daemons, and against
// HTML injection through names.
TEST_CASE("report prints text and an escaped page", "[report]") {
  Fixture f;
  f.Daemons.Bodies["127.0.0.1:2/-/report"] = daemonReport(1, 0, "<script>\n'");
  const std::string path = "fleet_report_test.html";
  const auto result =
      f.run({"report", "--admin", "127.0.0.1:1", "--admin", "127.0.0.1:2",
             "--admin", "127.0.0.1:3", "--html", path.c_str()});
  REQUIRE(result.Exit == OperatorExitCode::Ok);
  for (const auto *part :
       {"2 daemons answered, 1 did not", "no answer from 127.0.0.1:3: refused",
        "book", "100%", "180 of 200", "taken-back", "noon", "east",
        "<script>?"}) {
    CHECK_THAT(result.Output, Catch::Contains(part));
  }
  std::ostringstream page;
  page << std::ifstream(path).rdbuf();
  std::remove(path.c_str());
  CHECK_THAT(page.str(), Catch::Contains("&lt;script&gt;"));
  CHECK_THAT(page.str(), Catch::Contains("&lt;b&gt;errors"));
  CHECK_THAT(page.str(),
             !Catch::Contains("<script") && !Catch::Contains("<b>"));
  CHECK_THAT(page.str(), Catch::Contains("<svg"));
}

// Guards against adding part of an invalid response, or treating it as a report
// without calls.
TEST_CASE("faulty answers are counted as failed", "[report]") {
  const std::string good = daemonReport(90, 10);
  auto negative = json::parse(good);
  negative["series"].push_back(negative["series"][0]);
  negative["series"][1]["answered"] = -1;
  auto objective = json::parse(good);
  objective["series"][0]["objective"] = 1;
  for (const auto &body :
       {std::string("no JSON"), std::string("[]"),
        std::string("{\"series\":[7]}"), negative.dump(), objective.dump()}) {
    INFO(body);
    Fixture f;
    f.Daemons.Bodies["127.0.0.1:2/-/report"] = body;
    const auto report =
        collectReport(f.Context, {{"127.0.0.1", 1}, {"127.0.0.1", 2}}, false);
    REQUIRE(report.hasValue());
    CHECK(report->Failed.size() == 1);
    CHECK(report->Series.at({"desk", "book"}).Answered == 90);
    f.Daemons.Bodies.erase("127.0.0.1:1/-/report");
    CHECK(f.run({"report", "--admin", "127.0.0.1:2"}).Exit ==
          OperatorExitCode::Refused);
  }
}

// Guards against an unbounded number of requests in a large fleet.
TEST_CASE("at most 256 daemons are asked", "[report]") {
  Fixture f;
  auto state = json::parse(f.Daemons.Bodies["127.0.0.1:1/-/state"]);
  state["members"].clear();
  for (int n = 1; n <= 300; ++n) {
    state["members"].push_back(member("127.0.0.1:9", n, "alive"));
  }
  f.Daemons.Bodies["127.0.0.1:1/-/state"] = state.dump();
  const auto report = collectReport(f.Context, {{"127.0.0.1", 1}}, true);
  REQUIRE(report.hasValue());
  CHECK(report->Answered + report->Failed.size() == 256);
  CHECK(report->NotAsked == 44);
}

// Guards against views that omit the state, and against exit code 0 for an
// invalid response.
TEST_CASE("status and moves show a daemon's state", "[operator]") {
  Fixture f;
  CHECK_THAT(f.run({"status", "--admin", "127.0.0.1:1"}).Output,
             Catch::Contains("127.0.0.1:93") && Catch::Contains("suspect") &&
                 Catch::Contains("east"));
  CHECK_THAT(f.run({"moves", "--admin", "127.0.0.1:1"}).Output,
             Catch::Contains("taken-back") && Catch::Contains("9 of 10"));
  for (const auto *view : {"status", "moves"}) {
    const auto asJson = f.run({view, "--admin", "127.0.0.1:1", "--json"});
    CHECK(json::parse(asJson.Output)["moves"].size() == 1);
    CHECK(f.run({view, "--admin", "127.0.0.1:2"}).Exit ==
          OperatorExitCode::Refused);
    f.Daemons.Bodies["127.0.0.1:3/-/state"] = "<html>";
    CHECK(f.run({view, "--admin", "127.0.0.1:3", "--json"}).Exit ==
          OperatorExitCode::Refused);
  }
}
