#include "sidecar_lab.h"
#include "store_client.h"

#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

std::string nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

/** Values of a field that no sound writer sends. */
const std::vector<std::pair<const char *, std::string>> OddValues{
    {"nested deeply", nested(100'000)},
    {"400 digits", std::string(400, '9')},
    {"negative", "-1"},
    {"a fraction", "2.5"},
    {"infinite", "1e999"},
    {"large", "1e300"},
    {"beyond 64 bits", "18446744073709551616"},
    {"a list", "[1]"},
    {"an object", "{}"},
    {"null", "null"},
    {"a string", "\"12\""},
    {"true", "true"}};

const std::vector<std::pair<const char *, std::string>> OddAddresses{
    {"port 0", "\"127.0.0.1:0\""},
    {"port 65536", "\"127.0.0.1:65536\""},
    {"port 70000", "\"127.0.0.1:70000\""},
    {"port -1", "\"127.0.0.1:-1\""},
    {"no port", "\"127.0.0.1\""},
    {"no address", "\"somewhere\""},
    {"empty", "\"\""},
    {"a number", "80"}};

const std::vector<std::pair<const char *, std::string>> OddNames{
    {"a megabyte", "\"" + std::string(1U << 20U, 'x') + "\""},
    {"256 bytes", "\"" + std::string(256, 'x') + "\""},
    {"not UTF-8", "\"\xff\xfe\""},
    {"empty", "\"\""},
    {"a list", "[]"}};

/** Fields of a report as JSON texts. */
struct ReportFields {
  std::string Address = R"("127.0.0.1:80")";
  std::string Born = "17";
  std::string Service = R"("s")";
  std::string Version = R"("v1")";
  std::string Slots = "12";
  std::string State = R"("ready")";
  std::string Sequence = "4";
  std::string ColdMs = "0";

  std::string text() const {
    return R"({"address":)" + Address + R"(,"born":)" + Born +
           R"(,"info":{"service":)" + Service + R"(,"version":)" + Version +
           R"(,"zone":"z","slots":)" + Slots + R"(},"status":{"state":)" +
           State + R"(,"seqNo":)" + Sequence + R"(,"warmupLeftMs":)" + ColdMs +
           "}}";
  }
};

/** @return reports of which one field each is odd, with a name. */
std::vector<std::pair<std::string, std::string>> oddReports() {
  std::vector<std::pair<std::string, std::string>> out;
  const auto add = [&out](const char *name, std::string ReportFields::*field,
                          const auto &values) {
    for (const auto &it : values) {
      ReportFields fields;
      fields.*field = it.second;
      out.emplace_back(std::string(name) + ": " + it.first, fields.text());
    }
  };
  add("slots", &ReportFields::Slots, OddValues);
  add("born", &ReportFields::Born, OddValues);
  add("seqNo", &ReportFields::Sequence, OddValues);
  add("address", &ReportFields::Address, OddAddresses);
  add("service", &ReportFields::Service, OddNames);
  add("version", &ReportFields::Version, OddNames);
  add("state", &ReportFields::State, OddNames);
  for (const auto *it : {"-1", "1e300", "[1]", "\"1\"", "null"}) {
    ReportFields fields;
    fields.ColdMs = it;
    out.emplace_back(std::string("warmupLeftMs: ") + it, fields.text());
  }
  ReportFields zero;
  zero.Slots = "0";
  out.emplace_back("no slots", zero.text());
  out.emplace_back("empty", "");
  out.emplace_back("not an object", "[]");
  out.emplace_back("nested deeply", nested(100'000));
  out.emplace_back("objects nested deeply", [] {
    std::string text;
    for (int i = 0; i < 100'000; ++i) {
      text += "{\"a\":";
    }
    return text;
  }());
  out.emplace_back("not UTF-8", "{\"\xff\":1}");
  out.emplace_back("info is a list",
                   R"({"address":"127.0.0.1:80","info":[],"status":{}})");
  return out;
}

HttpRequest put(const std::string &body) {
  HttpRequest out;
  out.Method = "PUT";
  out.Path = "/-/instances/i-odd";
  out.Body = body;
  return out;
}

/** Operator records that no sound writer writes. */
const std::vector<std::pair<std::string, std::string>> OddRecords{
    {"config", nested(100'000)},
    {"config", "{\"version\":\"r9\",\"routes\":[],\"services\":7}"},
    {"config", R"({"version":9,"routes":[],"services":[]})"},
    {"config", "\xff\xfe"},
    {"config", ""},
    {"rollout/s", R"({"targetVersion":"v2","durationS":1e999})"},
    {"rollout/s", R"({"targetVersion":7,"durationS":5})"},
    {"rollout/s", nested(100'000)},
    {std::string("odd\xff"), "x"},
    {"unknown/" + std::string(200, 'k'), std::string(200'000, 'v')},
    {"", "x"}};

} // namespace

// Guards against a report of another writer that is used as a server, or that
// ends the process.
TEST_CASE("odd reports name no server", "[odd_entry]") {
  const platform::ServerReports codec;
  REQUIRE(codec.report(put(ReportFields().text())));
  for (const auto &it : oddReports()) {
    INFO(it.first);
    CHECK_FALSE(codec.report(put(it.second)));
  }
  auto request = put(ReportFields().text());
  request.Path = "/-/instances/" + std::string(256, 'i');
  CHECK_FALSE(codec.report(request));
}

// Guards against numbers of a configuration or rollout that do not fit the
// types they are kept in.
TEST_CASE("large numbers of orders are bounded", "[odd_entry]") {
  const platform::OperatorRecords codec;
  const auto order = codec.decode(
      "config",
      R"({"version":"r1","services":[{"name":"s","maxConnections":1e300,
          "warmupRpsS":1e300}],"routes":[{"name":"x","hostname":"h",
          "pathPrefix":"/","timeoutMs":1e300,"priority":1e300,"maxAttempts":-1,
          "weightedClusters":[{"service":"s","weight":1e300}]}],
          "limits":{"maxBodyBytes":1e300,"idleTimeoutMs":1e300}})");
  REQUIRE(order);
  const auto &config = std::get<MeshConfiguration>(*order);
  CHECK(config.Routes[0].Timeout > Duration::zero());
  CHECK(config.Routes[0].Services[0].Weight > 0);
  CHECK(config.Routes[0].MaxAttempts == 1);
  CHECK(config.Limits.MaxBodyBytes > 0);
  CHECK(config.Limits.IdleTimeout > Duration::zero());
  CHECK_FALSE(
      codec.decode("rollout/s", R"({"targetVersion":"v2","durationS":-1})"));
}

// Guards against one entry of a listing that hides all others, or that counts
// as deleted because its value cannot be read.
TEST_CASE("an odd entry hides no other one", "[odd_entry]") {
  const std::vector<std::string> odd{
      R"({"key":"odd","value":"?","offset":7})",
      R"({"key":"odd","value":7,"offset":7})",
      R"({"key":"odd","offset":7})",
      R"({"key":7,"value":"YQ==","offset":7})",
      R"({"key":"odd","value":"YQ==","offset":-7})",
      R"({"key":"odd","value":"YQ==","offset":1e300})",
      R"([])",
      "null",
      nested(100'000),
      "{\"key\":\"odd\xff\",\"value\":\"YQ==\",\"offset\":7}"};
  for (const auto &it : odd) {
    INFO(it.substr(0, 60));
    std::string listing = R"({"items":[)";
    for (int i = 0; i < 100; ++i) {
      const auto n = std::to_string(i);
      listing.append(R"({"key":"evacuate/z)").append(n);
      listing.append(R"(é","value":"YQ==","offset":)").append(n).append("},");
    }
    listing.append(it).append(R"(],"hasMore":"odd","endOffset":200})");
    const auto batch = platform::parseListing(listing);
    REQUIRE(batch);
    CHECK(batch->Records.size() >= 100);
    CHECK(batch->Records[99].Key == "evacuate/z99é");
    CHECK(batch->Records[99].Value == "a");
    CHECK_FALSE(batch->HasMore);
  }
}

// Guards against odd entries in the store and odd reports that end a process,
// take a live server out, or stop a host from following later entries, also
// after a restart that reads them first.
TEST_CASE("sound entries stay in use beside odd ones", "[odd_entry]") {
  SidecarLab lab;
  lab.configure(1, "s");
  auto &first = lab.addHost("s", "z");
  first.report();
  lab.awaitService(first, "/x/1");
  for (const auto &it : OddRecords) {
    lab.Store.write(KeyedStream::Orders, it.first, it.second);
  }
  for (const auto *it : {"127.0.0.1:0", "127.0.0.1:70000", "x", "\xff"}) {
    lab.Store.write(KeyedStream::Hosts, it, "z");
    lab.Store.write(KeyedStream::Rollouts, it, nested(100'000));
  }
  std::size_t refused = 0;
  const auto reports = oddReports();
  for (const auto &it : reports) {
    HttpCall call;
    call.Method = "PUT";
    call.Url =
        "http://" + toString(first.Settings.AdminListen) + "/-/instances/i-odd";
    call.Body = it.second;
    call.Deadline = lab.Loop.now() + std::chrono::seconds(5);
    std::optional<int> status;
    lab.Http.start(std::move(call), [&](const HttpOutcome &out) {
      status = out.Response ? out.Response->Status : 0;
    });
    REQUIRE(lab.reached([&] { return status.has_value(); }));
    refused += *status == 400 || *status == 413 ? 1 : 0;
  }
  CHECK(refused == reports.size());
  lab.awaitService(first, "/x/1");
  // A host that reads the odd entries first.
  auto &second = lab.addHost("s", "z");
  second.report();
  lab.awaitService(second, "/x/1");
  // Mending an entry and further orders are followed.
  lab.configure(2, "t");
  const auto moved = [&] {
    const auto call = lab.call(second);
    REQUIRE(lab.reached([&] { return call->done(); }));
    return call->status() == 503 && lab.runsOf(*call).empty();
  };
  CHECK(lab.reached(moved));
  lab.configure(3, "s");
  lab.awaitService(first, "/x/1");
  lab.awaitService(second, "/x/1");
  first.report("draining");
  second.report();
  const auto before = first.Runs.size();
  lab.awaitService(first, "/x/1");
  CHECK(first.Runs.size() == before);
  CHECK(second.Runs.back().Instance == second.Instance);
}
