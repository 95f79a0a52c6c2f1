#include "chivefold/core/configuration_text.h"

#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

const std::string ValidText = R"([fleet]
data_centres = ["ain-sebaa", "bouskoura"]
taken_out = ["bouskoura"]

[service.client-desk]
depends_on = ["depot-ledger"]
versions = ["v1", "v2"]
current = "v1"
slots = 20
connections = 120
queue = 30
cold_slots = 2

[[service.client-desk.route]]
method = "POST"
path = "/pickups"
kind = "booking"
worth = 5
timeout_ms = 1500

[[service.client-desk.route]]
method = "GET"
path = "/pickups/"
kind = "list"
repeatable = true

[service.client-desk.move]
to = "v2"
deadline = 2026-12-04T17:00:00+01:00

[service.depot-ledger]
versions = ["v1"]
current = "v1"
)";

struct InvalidTextCase {
  const char *Old;
  const char *New;
  int Line;
  int Column;
  const char *Expected;
};

std::string replaced(const InvalidTextCase &invalid) {
  auto text = ValidText;
  const std::string_view old = invalid.Old;
  return old.empty() ? text + invalid.New
                     : text.replace(text.find(old), old.size(), invalid.New);
}

/** Configuration text of services s0, s1, ..., each of which depends on the
 * next. */
std::string dependencyChainText(int services) {
  std::string text = "[fleet]\ndata_centres = ['a']\n";
  for (int n = 0; n < services; ++n) {
    text += "[service.s" + std::to_string(n) +
            "]\nversions = ['v']\ncurrent = 'v'\n";
    if (n + 1 < services) {
      text += "depends_on = ['s" + std::to_string(n + 1) + "']\n";
    }
  }
  return text;
}

const InvalidTextCase InvalidTextCases[] = {
    {"queue = 30", "qeue = 30", 11, 8, "unknown key 'qeue'"},
    {"[fleet]", "[flet]", 1, 1, "unknown key 'flet'"},
    {"taken_out", "taken", 3, 9, "unknown key 'taken' in fleet"},
    {"worth = 5", "wort = 5", 18, 8, "unknown key 'wort'"},
    {"to = \"v2\"", "to = \"v2\"\nby = 1", 29, 6, "unknown key 'by'"},
    {"slots = 20", "slots = \"20\"", 9, 9, "whole number from 1 to"},
    {"slots = 20", "slots = 0", 9, 9, "whole number from 1 to"},
    {"queue = 30", "queue = -1", 11, 9, "whole number from 1 to"},
    {"queue = 30", "queue = 1.5", 11, 9, "whole number from 1 to"},
    {"queue = 30", "queue = 99999999999999999999", 11, 9, "whole number"},
    {"connections = 120", "connections = 0", 10, 15, "whole number"},
    {"cold_slots = 2", "cold_slots = 0", 12, 14, "whole number"},
    {"cold_slots = 2", "cold_slots = 21", 12, 14, "cold_slots to be at most"},
    {"timeout_ms = 1500", "timeout_ms = 0", 19, 14, "from 1 to 600000"},
    {"timeout_ms = 1500", "timeout_ms = 600001", 19, 14, "from 1 to 600000"},
    {"worth = 5", "objective = 1.0", 18, 13, "above 0 and below 1"},
    {"worth = 5", "objective = 0.0", 18, 13, "above 0 and below 1"},
    {"worth = 5", "objective = nan", 18, 13, "above 0 and below 1"},
    {"worth = 5", "objective = 1", 18, 13, "above 0 and below 1"},
    {"[\"depot-ledger\"]", "[\"ledger\"]", 6, 15,
     "a service defined in this text"},
    {"[\"depot-ledger\"]", "\"depot-ledger\"", 6, 14, "array of names"},
    {"[\"depot-ledger\"]", "[\"client-desk\"]", 6, 15, "dependency cycle"},
    {"[\"depot-ledger\"]", "[7]", 6, 15, "expected a string"},
    {"current = \"v1\"", "current = \"v3\"", 8, 11, "service's versions"},
    {"current = \"v1\"\n", "", 5, 1, "expected a key 'current'"},
    {"to = \"v2\"", "to = \"v3\"", 28, 6, "service's versions"},
    {"to = \"v2\"", "to = \"v1\"", 28, 6, "a version other than"},
    {"[\"v1\", \"v2\"]", "[\"v1\", \"v1\"]", 7, 19, "duplicate name 'v1'"},
    {"[\"v1\", \"v2\"]", "[\"v1\", \"v 2\"]", 7, 19, "a name of 1 to 64"},
    {"[\"v1\", \"v2\"]", "[\"v1\", \"\"]", 7, 19, "a name of 1 to 64"},
    {"\"/pickups\"", "\"pickups\"", 16, 8, "starts with '/'"},
    {"\"/pickups\"", "\"/a b\"", 16, 8, "starts with '/'"},
    {"\"POST\"", "\"post\"", 15, 10, "upper-case HTTP method"},
    {"\"POST\"", "\"GET\"", 21, 1, "duplicate route GET '/pickups/'"},
    {"repeatable = true", "repeatable = 1", 25, 14, "true or false"},
    {"[\"bouskoura\"]", "[\"lalitpur\"]", 3, 14, "listed in data_centres"},
    {"[\"ain-sebaa\", \"bouskoura\"]", "[]", 2, 16, "at least one"},
    {"17:00:00+01:00", "17:00:00", 29, 12, "with UTC offset"},
    {"2026-12-04T17", "2026-13-04T17", 29, 22, "RFC3339"},
    {"[service.depot-ledger]", "[service.client-desk]", 31, 1, "exists"},
    {"[service.depot-ledger]", "[service.\"depot ledger\"]", 31, 1, "a name"},
    {"slots = 20", "slots = 20\nslots = 21", 10, 9, "already exists"},
    {"slots = 20", "slots =", 9, 8, "expected value"},
    {"slots = 20", "slots = 20 21", 9, 12, "expected newline"},
    {"", "?", 34, 1, "invalid key"},
    {"", "x = \"\xff\"", 34, 6, "expected UTF-8"},
    {"", "x = \"\xed\xa0\x80\"", 34, 6, "expected UTF-8"},
    {"", "\n\x01", 35, 1, "control characters"},
    {"", "x = '''\n'''", 34, 5, "on a single line"},
    {"", "x = [[[[[[[[[", 34, 13, "levels of brackets"},
};

} // namespace

// Guards against values that are lost or changed during compilation.
TEST_CASE("a valid text compiles to its configuration", "[text]") {
  const auto config = compileConfiguration(ValidText);
  INFO(toString(config.reason()));
  REQUIRE(config.hasValue());
  CHECK(config->FleetSettings ==
        Fleet{{"ain-sebaa", "bouskoura"}, {"bouskoura"}});
  const auto *s = config->service("client-desk");
  REQUIRE(s != nullptr);
  CHECK(s->DependsOn == std::vector<std::string>{"depot-ledger"});
  CHECK(s->Limits == ServerLimits{20, 120, 30, 2});
  REQUIRE(s->Routes.size() == 2);
  CHECK(s->Routes[0] == Route{"POST", "/pickups", "booking", false, 5, 1500});
  CHECK(s->Routes[1] == Route{"GET", "/pickups/", "list", true, 1, 2000});
  CHECK(s->Routes[0].Objective == 0.999);
  const auto own = compileConfiguration(
      replaced({"worth = 5", "objective = 0.95", 0, 0, ""}));
  REQUIRE(own.hasValue());
  CHECK(own->service("client-desk")->Routes[0].Objective == 0.95);
  REQUIRE(s->Move.has_value());
  CHECK(s->Move->ToVersion == "v2");
  CHECK(toString(s->Move->Deadline) == "2026-12-04T16:00:00Z");
}

// Guards against accepting an invalid text, and against a wrong position in the
// error message, which would send operators to the wrong line.
TEST_CASE("invalid texts are rejected with their position", "[text]") {
  for (const auto &it : InvalidTextCases) {
    INFO(it.New);
    const auto config = compileConfiguration(replaced(it));
    REQUIRE_FALSE(config.hasValue());
    INFO(toString(config.reason()));
    CHECK(config.reason().Code == ErrorCode::InvalidText);
    CHECK(config.reason().Line == it.Line);
    CHECK(config.reason().Column == it.Column);
    CHECK_THAT(config.reason().Message, Catch::Contains(it.Expected));
    CHECK(config.reason().Message.find('\n') == std::string::npos);
  }
}

// Guards against dependency chains that exceed the maximum call depth, which is
// propagated with each request.
TEST_CASE("dependency chains are bounded", "[text]") {
  CHECK(compileConfiguration(dependencyChainText(8)).hasValue());
  const auto deep = compileConfiguration(dependencyChainText(9));
  REQUIRE_FALSE(deep.hasValue());
  CHECK_THAT(deep.reason().Message, Catch::Contains("at most 8 services"));
  CHECK(deep.reason().Line > 0);
}

// Guards against texts that exceed a fixed-size table of the daemons or exhaust
// the parser's stack.
TEST_CASE("limits of a text are enforced", "[text]") {
  const auto refused = [](const std::string &text) {
    const auto config = compileConfiguration(text);
    return !config && config.reason().Line > 0;
  };
  const std::string fleet = "[fleet]\ndata_centres = ['a'";
  std::string centres;
  std::string versions;
  for (std::size_t n = 1; n <= ConfigurationLimits::MaxDataCentres; ++n) {
    centres += ",'c" + std::to_string(n) + "'";
  }
  for (std::size_t n = 0; n <= ConfigurationLimits::MaxVersionsPerService;
       ++n) {
    versions += "'v" + std::to_string(n) + "',";
  }
  const auto service = fleet + "]\n[service.s]\ncurrent = 'v0'\nversions = [";
  std::string routes;
  for (std::size_t n = 0; n <= ConfigurationLimits::MaxRoutesPerService; ++n) {
    routes += "[[service.s.route]]\nmethod = 'GET'\nkind = 'k'\npath = '/" +
              std::to_string(n) + "'\n";
  }
  std::string services = fleet + "]\n";
  for (std::size_t n = 0; n <= ConfigurationLimits::MaxServices; ++n) {
    services += "[service.s" + std::to_string(n) +
                "]\nversions = ['v']\ncurrent = 'v'\n";
  }
  CHECK_FALSE(refused(fleet + "]\n"));
  CHECK(refused(fleet + centres + "]\n"));
  CHECK(refused(service + versions + "]\n"));
  CHECK(refused(service + "'v0']\n" + routes));
  CHECK(refused(services));
  CHECK(refused(service + "'" + std::string(65, 'v') + "']\n"));
  CHECK(refused(std::string(ConfigurationLimits::MaxTextBytes + 1, '\n')));
  CHECK(refused(std::string(100'000, '[')));
  std::string dotted = "a";
  for (int n = 0; n < 100'000; ++n) {
    dotted += ".a";
  }
  CHECK(refused(dotted + " = 1"));
}

// Guards against accepting a move whose deadline has passed.
TEST_CASE("move deadlines must be in the future", "[text]") {
  const auto deadline =
      compileConfiguration(ValidText)->service("client-desk")->Move->Deadline;
  const auto before = deadline - std::chrono::milliseconds(1);
  CHECK(compileConfiguration(ValidText, before).hasValue());
  CHECK(checkDeadlines(*compileConfiguration(ValidText), before).hasValue());
  CHECK_FALSE(
      checkDeadlines(*compileConfiguration(ValidText), deadline).hasValue());
  const auto late = compileConfiguration(ValidText, deadline);
  REQUIRE_FALSE(late.hasValue());
  CHECK(late.reason().Line == 29);
  CHECK(late.reason().Column == 12);
}

// Guards against a change that does not produce the configuration that the
// operator requested.
TEST_CASE("applying a difference gives the target", "[text]") {
  const Configuration empty;
  const auto from = *compileConfiguration(ValidText);
  auto text = dependencyChainText(3);
  const auto to = *compileConfiguration(
      text + "[service.client-desk]\nversions = ['v1']\ncurrent = 'v1'\n");
  for (const auto *a : {&empty, &from, &to}) {
    for (const auto *b : {&empty, &from, &to}) {
      auto config = *a;
      const auto sections = difference(*a, *b);
      CHECK(sections.empty() == (a == b));
      applySections(config, sections);
      CHECK(config.FleetSettings == b->FleetSettings);
      CHECK(config.Services == b->Services);
    }
  }
  CHECK_THAT(describe(difference(to, from)),
             Catch::Contains("service s0: removed\n") &&
                 Catch::Contains("move to v2 by 2026-12-04T16:00:00Z"));
}

// Guards against selecting the wrong route, which would give a request the kind
// and timeout of another one.
TEST_CASE("routes match whole segments, longest first", "[text]") {
  Service s;
  s.Routes = {{"GET", "/", "root"},
              {"GET", "/a", "a"},
              {"GET", "/a/b/", "ab"},
              {"POST", "/a/b/c", "post"}};
  const auto kind = [&](const char *method, const char *path) {
    const auto *r = findRoute(s, method, path);
    return r == nullptr ? std::string("none") : r->Kind;
  };
  CHECK(kind("GET", "/") == "root");
  CHECK(kind("GET", "/ab") == "root");
  CHECK(kind("GET", "/a?x=/a/b") == "a");
  CHECK(kind("GET", "/a/b") == "ab");
  CHECK(kind("GET", "/a/b/c") == "ab");
  CHECK(kind("POST", "/a/b") == "none");
  CHECK(kind("POST", "/a/b/c/d") == "post");
}
