#include "chivefold/daemon/operator_commands.h"
#include "chivefold/sidecar/explanation.h"

#include "sidecar_lab.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

/** Servers of "s" in two data centres, seen by a daemon without one. */
struct ExplainFixture {
  platform::OperatorRecords Codec;
  OperatorState Orders{Codec};
  VersionPolicy Versions{Orders};
  FleetTable Fleet{1};
  Placement Servers{Fleet, Orders, Versions, {"10.0.0.9", 1}, "a", 1};
  const std::string DataCentre = "a";
  std::vector<Address> Tried;

  void add(const std::string &ip, const std::string &version = "v1",
           ServerPhase phase = ServerPhase::Ready, bool leaving = false) {
    HostState host;
    host.Peer = {ip, 1};
    host.DataCentre = ip.rfind("10.0.", 0) == 0 ? "a" : "b";
    host.BootId = 1;
    host.Leaving = leaving;
    host.Server = {"i-" + ip, "s", version, 4, phase, 1};
    Fleet.update(host, at(0));
    Servers.refresh();
  }

  void configure() {
    Orders.apply({"config",
                  R"({"version":"r3","routes":[{"name":"x",
                      "hostname":"shop.example","pathPrefix":"/x/",
                      "routeType":"unsafe","service":"s","timeoutMs":800,
                      "priority":1,"maxAttempts":3}],
                      "services":[{"name":"s","maxConnections":9}]})",
                  0});
  }

  void startRollout(std::uint32_t share) {
    Orders.apply({"rollout/s", R"({"targetVersion":"v2","durationS":9})", 3});
    RolloutProgress progress;
    progress.Service = "s";
    progress.TargetVersion = "v2";
    progress.OrderOffset = 3;
    progress.ShareBasisPoints = share;
    progress.Offset = 10;
    REQUIRE(Versions.apply(progress));
  }

  PlacementRequest request() const {
    PlacementRequest out;
    out.Service = "s";
    out.Route = "x";
    out.Priority = 1;
    out.TargetLatency = milliseconds(200);
    out.Tried = &Tried;
    return out;
  }

  void answer(const std::string &ip, std::uint32_t inFlight,
              std::int64_t latencyMs) {
    GateState gate;
    gate.Limit = 4;
    gate.InFlight = inFlight;
    Servers.started({ip, 1});
    Servers.answered({ip, 1}, "x", milliseconds(latencyMs), 100, false, gate,
                     at(1));
  }

  CandidateView view(const std::string &ip) const {
    const auto all = Servers.explain(request(), at(1));
    const auto it =
        std::find_if(all.begin(), all.end(), [&ip](const auto &view) {
          return view.Host.Peer.Ip == ip;
        });
    REQUIRE(it != all.end());
    return *it;
  }

  HttpResponse explained(const std::string &host, const std::string &path) {
    return explain({Orders, Versions, Servers, DataCentre, false}, host, path,
                   at(1));
  }
};

/** Answers with the explanation of a fixture. */
class FakeAdmin : public BlockingHttpClient {
public:
  explicit FakeAdmin(ExplainFixture &fixture) : Fixture(fixture) {}
  Result<BlockingHttpResponse> request(const std::string &,
                                       const std::string &url,
                                       const std::string &) override {
    Urls.push_back(url);
    const auto query = url.substr(url.find('?') + 1);
    const auto out =
        Fixture.explained(queryValue(query, "host"), queryValue(query, "path"));
    return BlockingHttpResponse{out.Status, out.Body, {}, {}};
  }
  std::vector<std::string> Urls;

private:
  ExplainFixture &Fixture;
};

} // namespace

// Guards against an explanation that names another reason than the one by which
// the choice passes a server over.
TEST_CASE("an explanation names what rules a server out", "[explain]") {
  ExplainFixture f;
  for (const auto *ip : {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.1.0.1"}) {
    f.add(ip);
  }
  f.add("10.0.0.4", "v1", ServerPhase::Draining);
  f.add("10.0.0.5", "v1", ServerPhase::Ready, true);
  f.add("10.0.0.6");
  f.Fleet.recordFailure({"10.0.0.6", 1}, at(0));
  f.add("10.2.0.1");
  GateState full;
  full.Limit = 4;
  full.InFlight = 4;
  f.Servers.started({"10.0.0.3", 1});
  f.Servers.refused({"10.0.0.3", 1}, full, 1, milliseconds(100), at(0));
  f.answer("10.1.0.1", 8, 50);
  f.Tried = {{"10.0.0.2", 1}};
  CHECK(f.view("10.0.0.1").RuledOutBy == Obstacle::None);
  CHECK(f.view("10.0.0.2").RuledOutBy == Obstacle::Tried);
  CHECK(f.view("10.0.0.3").RuledOutBy == Obstacle::BackOff);
  CHECK(f.view("10.0.0.3").BackOff == milliseconds(99));
  CHECK(f.view("10.0.0.4").RuledOutBy == Obstacle::NotReady);
  CHECK(f.view("10.0.0.5").RuledOutBy == Obstacle::HostLeaving);
  CHECK(f.view("10.0.0.6").RuledOutBy == Obstacle::Unreachable);
  CHECK(f.view("10.1.0.1").RuledOutBy == Obstacle::FullElsewhere);
  CHECK(f.view("10.1.0.1").Outstanding > 7.9);
  CHECK(f.view("10.2.0.1").RuledOutBy == Obstacle::None);
  f.Orders.apply({"evacuate/b", "{}", 4});
  CHECK(f.view("10.2.0.1").RuledOutBy == Obstacle::Evacuated);
}

// Guards against an explanation that differs from the choice, and against one
// that changes what is chosen later: its random numbers, shares or loads.
TEST_CASE("an explanation agrees with the choices and changes none",
          "[explain]") {
  ExplainFixture plain;
  ExplainFixture watched;
  for (auto *f : {&plain, &watched}) {
    f->add("10.0.0.1");
    f->add("10.0.0.2");
    f->add("10.1.0.1", "v2");
    f->add("10.1.0.2", "v2");
    f->startRollout(3000);
    f->answer("10.0.0.1", 0, 20);
    f->answer("10.0.0.2", 4, 150);
  }
  std::size_t targets = 0;
  for (int n = 0; n < 400; ++n) {
    const auto views = watched.Servers.explain(watched.request(), at(1));
    const auto chosen = watched.Servers.choose(watched.request(), at(1));
    REQUIRE(chosen.Peer);
    CHECK(chosen.Peer == plain.Servers.choose(plain.request(), at(1)).Peer);
    const auto it =
        std::find_if(views.begin(), views.end(), [&](const auto &view) {
          return view.Host.Peer == *chosen.Peer;
        });
    REQUIRE(it != views.end());
    CHECK(it->RuledOutBy == Obstacle::None);
    // The random part of a value is at most 0.01.
    CHECK(views.front().IsBest);
    CHECK(it->Value >= views.front().Value - 0.01);
    targets += chosen.Version == "v2" ? 1 : 0;
    for (auto *f : {&plain, &watched}) {
      f->Servers.started(*chosen.Peer);
      f->Servers.cancelled(*chosen.Peer);
    }
  }
  CHECK(targets == 120);
}

// Guards against an explanation without the route or its servers, and against
// one for a request that cannot exist.
TEST_CASE("a request is explained by its route", "[explain]") {
  ExplainFixture f;
  f.add("10.0.0.1");
  CHECK(f.explained("shop.example", "/x/1").Status == 503);
  f.configure();
  CHECK(f.explained("", "/x/1").Status == 400);
  CHECK(f.explained("shop.example", "x").Status == 400);
  CHECK(f.explained("shop.example", "/y/1").Status == 404);
  const auto out = f.explained("SHOP.example:80", "/x/1?q=2");
  REQUIRE(out.Status == 200);
  const auto json = Json::parse(out.Body);
  CHECK(json["configuration"] == 3);
  CHECK(json["route"]["name"] == "x");
  CHECK(json["route"]["kind"] == "at-most-once");
  CHECK(json["route"]["max_runs"] == 1);
  REQUIRE(json["services"].size() == 1);
  const auto &service = json["services"][0];
  CHECK(service["service"] == "s");
  REQUIRE(service["candidates"].size() == 1);
  CHECK(service["candidates"][0]["host"] == "10.0.0.1:1");
  CHECK(service["candidates"][0]["best"] == true);
  CHECK(service["candidates"][0]["ruled_out_by"] == "none");
}

// Guards against output that grows with the fleet.
TEST_CASE("an explanation lists a bounded number of servers", "[explain]") {
  ExplainFixture f;
  f.configure();
  for (std::size_t n = 0; n < MaxExplainedServers + 50; ++n) {
    f.add("10.0.1." + std::to_string(n));
  }
  const auto json = Json::parse(f.explained("shop.example", "/x/1").Body);
  CHECK(json["services"][0]["servers"] == MaxExplainedServers + 50);
  CHECK(json["services"][0]["candidates"].size() == MaxExplainedServers);
}

// Guards against a command that accepts bad input, and against output that a
// script or an operator cannot read.
TEST_CASE("the command explains a request", "[explain]") {
  ExplainFixture f;
  f.configure();
  f.add("10.0.0.1");
  f.add("10.0.0.2", "v1", ServerPhase::Draining);
  FakeAdmin admin(f);
  OperatorContext context{admin, [] { return RecordId{}; },
                          [] { return UtcTime(); },
                          [](std::chrono::milliseconds) {}, "asha"};
  const auto run = [&](std::vector<const char *> args) {
    args.insert(args.begin(), {"chivefold", "explain"});
    return runOperator(static_cast<int>(args.size()), args.data(), context);
  };
  const auto text = run({"--admin", "127.0.0.1:3", "--host", "shop.example",
                         "--path", "/x/a b&c"});
  CHECK(text.Exit == OperatorExitCode::Ok);
  CHECK(admin.Urls.back() ==
        "http://127.0.0.1:3/-/explain?host=shop.example&path=/x/a%20b%26c");
  CHECK_THAT(text.Output, Catch::Contains("route x (at-most-once") &&
                              Catch::Contains("best") &&
                              Catch::Contains("no: not-ready"));
  const auto json = run({"--admin", "127.0.0.1:3", "--host", "shop.example",
                         "--path", "/x/1", "--json"});
  CHECK(json.Exit == OperatorExitCode::Ok);
  CHECK(Json::parse(json.Output)["route"]["name"] == "x");
  CHECK(run({"--admin", "127.0.0.1:3", "--host", "shop.example", "--path",
             "/y/1"})
            .Exit == OperatorExitCode::Refused);
  CHECK(run({"--admin", "127.0.0.1:3", "--host", "shop.example", "--path", "x"})
            .Exit == OperatorExitCode::BadInput);
  CHECK(run({"--admin", "127.0.0.1:3", "--host", "", "--path", "/x"}).Exit ==
        OperatorExitCode::BadInput);
  CHECK(run({"--admin", "127.0.0.1:3", "--path", "/x"}).Exit ==
        OperatorExitCode::BadInput);
  CHECK(run({"--admin", "localhost", "--host", "h", "--path", "/x"}).Exit ==
        OperatorExitCode::BadInput);
}

// Guards against a daemon that does not answer the question, or sends the
// request.
TEST_CASE("the admin address explains a request", "[explain]") {
  SidecarLab lab;
  lab.configure(1, "s");
  auto &caller = lab.addHost("t", "a");
  auto &server = lab.addHost("s", "a");
  caller.report();
  server.report();
  lab.awaitService(caller, "/x/1");
  const auto runs = server.Runs.size();
  HttpCall call;
  call.Method = "GET";
  call.Url = "http://" + toString(caller.Settings.AdminListen) +
             "/-/explain?host=shop.example&path=/x/2";
  call.Deadline = lab.Loop.now() + std::chrono::seconds(5);
  std::optional<HttpOutcome> out;
  lab.Http.start(std::move(call),
                 [&out](HttpOutcome o) { out = std::move(o); });
  REQUIRE(lab.reached([&] { return out.has_value(); }));
  REQUIRE(out->Response);
  REQUIRE(out->Response->Status == 200);
  const auto json = Json::parse(out->Response->Body);
  CHECK(json["route"]["name"] == "/x/");
  CHECK(json["services"][0]["candidates"][0]["host"] ==
        toString(server.Settings.PeerListen));
  CHECK(server.Runs.size() == runs);
}
