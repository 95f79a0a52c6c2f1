#include "backend_fixture.h"
#include "sidecar_lab.h"

#include "chivefold/daemon/wire_convert.h"

#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

constexpr const char *ServicesText =
    R"("services":[{"name":"s"},{"name":"t"}]})";

std::string routeText(const std::string &prefix, const std::string &services) {
  return R"({"name":"x","hostname":"shop.example","pathPrefix":")" + prefix +
         R"(","timeoutMs":5000,)" + services + "}";
}

std::string configText(std::uint64_t version, const std::string &routes) {
  return R"({"version":"r)" + std::to_string(version) + R"(","routes":[)" +
         routes + "]," + ServicesText;
}

const std::string ToS = R"("service":"s")";

/** A gate before a server with one slot, and a call that is admitted there. */
struct AdmittedCall : BackendFixture {
  enum class Stage {
    /** The call waits for the slot, which another call occupies. */
    Waiting,
    /** The call has the slot, and the connection to the server is being
     * established. */
    Connecting
  };

  explicit AdmittedCall(Stage stage) {
    orders(configText(1, routeText("/x/", ToS)));
    REQUIRE(Backend.report(reportOf("i", 10, "s", "v1")));
    if (stage == Stage::Waiting) {
      Backend.run(routedCall(), [](const CallResult &) {});
    }
    Id = Backend.run(routedCall(),
                     [this](CallResult r) { Result = std::move(r); });
    REQUIRE(Backend.isOpen(Id));
  }

  void orders(const std::string &config) {
    Orders.apply({"config", config, ++Offset});
    Backend.ordersChanged();
  }

  ServerReport reportOf(const std::string &instance, std::int64_t startedAt,
                        const std::string &service,
                        const std::string &version) const {
    auto out = report(instance, startedAt, 1);
    out.State.Service = service;
    out.State.Version = version;
    out.State.Slots = 1;
    return out;
  }

  CallMessage routedCall() const {
    auto out = call();
    out.Target = "/x/1";
    out.Headers = {{"Host", "shop.example"}};
    out.Instance = "i";
    out.ConfigurationVersion = 1;
    return out;
  }

  /** A rollout of "s" to v2 that is in progress, or rolled back. */
  void rollout(RolloutPhase phase, std::uint32_t share) {
    Orders.apply(
        {"rollout/s", R"({"targetVersion":"v2","durationS":9})", ++Offset});
    RolloutProgress progress;
    progress.Service = "s";
    progress.TargetVersion = "v2";
    progress.OrderOffset = Offset;
    progress.OrderDigest = Orders.rollouts().at("s").Digest;
    progress.Phase = phase;
    progress.ShareBasisPoints = share;
    progress.Offset = ++Offset;
    REQUIRE(Versions.apply(progress));
    Backend.ordersChanged();
  }

  std::uint64_t Offset = 0;
  BackendCallId Id{};
  std::optional<CallResult> Result;
};

/** Something that takes away what a call was admitted for. */
struct Change {
  const char *Name;
  void (*Apply)(AdmittedCall &);
  ErrorCode Code;
};

const std::vector<Change> Changes{
    {"another service has the address",
     [](AdmittedCall &f) {
       REQUIRE(f.Backend.report(f.reportOf("j", 20, "t", "v1")));
     },
     ErrorCode::NotFound},
    {"another service has the address, under the same id",
     [](AdmittedCall &f) {
       REQUIRE(f.Backend.report(f.reportOf("i", 20, "t", "v1")));
     },
     ErrorCode::NotFound},
    {"another instance of the service",
     [](AdmittedCall &f) {
       REQUIRE(f.Backend.report(f.reportOf("j", 20, "s", "v1")));
     },
     ErrorCode::NotFound},
    {"another start under the same id",
     [](AdmittedCall &f) {
       REQUIRE(f.Backend.report(f.reportOf("i", 20, "s", "v1")));
     },
     ErrorCode::NotFound},
    {"a version within its exposure",
     [](AdmittedCall &f) {
       f.rollout(RolloutPhase::Running, 500);
       REQUIRE(f.Backend.report(f.reportOf("i", 20, "s", "v2")));
     },
     ErrorCode::NotFound},
    {"a version without exposure",
     [](AdmittedCall &f) {
       f.rollout(RolloutPhase::Running, 0);
       REQUIRE(f.Backend.report(f.reportOf("j", 20, "s", "v2")));
     },
     ErrorCode::NotFound},
    {"two servers report in turn for one address",
     [](AdmittedCall &f) {
       REQUIRE(f.Backend.report(f.reportOf("j", 20, "t", "v1")));
       CHECK_FALSE(f.Backend.report(f.reportOf("i", 10, "s", "v1")));
     },
     ErrorCode::NotFound},
    {"the server leaves",
     [](AdmittedCall &f) { REQUIRE(f.Backend.leave("i")); },
     ErrorCode::NotFound},
    {"the route is removed",
     [](AdmittedCall &f) { f.orders(configText(2, routeText("/y/", ToS))); },
     ErrorCode::RouteChanged},
    {"the route moves to another service",
     [](AdmittedCall &f) {
       f.orders(configText(2, routeText("/x/", R"("service":"t")")));
     },
     ErrorCode::RouteChanged},
    {"a longer prefix takes the path",
     [](AdmittedCall &f) {
       f.orders(configText(2, routeText("/", ToS) + "," +
                                  routeText("/x/", R"("service":"t")")));
     },
     ErrorCode::RouteChanged},
    {"the weight of the service becomes zero",
     [](AdmittedCall &f) {
       f.orders(configText(2, routeText("/x/", R"("weightedClusters":[
               {"service":"s","weight":0},{"service":"t","weight":1}])")));
     },
     ErrorCode::RouteChanged},
    {"the version is completed away",
     [](AdmittedCall &f) { f.rollout(RolloutPhase::Completed, FullShare); },
     ErrorCode::NotReady},
    {"the data centre is taken out",
     [](AdmittedCall &f) {
       f.Orders.apply({"evacuate/z", "{}", ++f.Offset});
       f.Backend.ordersChanged();
     },
     ErrorCode::NotReady}};

} // namespace

// Guards against running a request that was admitted for one server, version
// or route on what has taken its place while the request waited (review/1).
TEST_CASE("a call runs only at what it was admitted for", "[route_change]") {
  for (const auto stage :
       {AdmittedCall::Stage::Waiting, AdmittedCall::Stage::Connecting}) {
    for (const auto &change : Changes) {
      INFO(change.Name << (stage == AdmittedCall::Stage::Waiting
                               ? ", waiting"
                               : ", connecting"));
      AdmittedCall f(stage);
      change.Apply(f);
      // Refused at once, since its caller may place it elsewhere.
      REQUIRE(f.Result.has_value());
      CHECK(f.Result->Result == Outcome::NotRun);
      const bool isQueueDrop =
          stage == AdmittedCall::Stage::Waiting && f.Backend.gate().Limit == 0;
      CHECK(f.Result->Code ==
            (isQueueDrop ? ErrorCode::NotReady : change.Code));
      CHECK_FALSE(f.Backend.isOpen(f.Id));
    }
  }
}

// Guards against refusing calls that a change does not concern, which would
// send them elsewhere for nothing.
TEST_CASE("a change leaves other calls in place", "[route_change]") {
  const std::vector<Change> changes{
      {"the next report",
       [](AdmittedCall &f) {
         auto report = f.reportOf("i", 10, "s", "v1");
         report.Sequence = 2;
         REQUIRE(f.Backend.report(report));
       },
       ErrorCode::Ok},
      {"a configuration that keeps the route",
       [](AdmittedCall &f) { f.orders(configText(2, routeText("/x/", ToS))); },
       ErrorCode::Ok},
      {"a split that keeps the service",
       [](AdmittedCall &f) {
         f.orders(configText(2, routeText("/x/", R"("weightedClusters":[
                 {"service":"s","weight":1},{"service":"t","weight":9}])")));
       },
       ErrorCode::Ok},
      {"a late report of an earlier start",
       [](AdmittedCall &f) {
         CHECK_FALSE(f.Backend.report(f.reportOf("old", 5, "t", "v1")));
       },
       ErrorCode::Ok},
      {"another data centre is taken out",
       [](AdmittedCall &f) {
         f.Orders.apply({"evacuate/other", "{}", ++f.Offset});
         f.Backend.ordersChanged();
       },
       ErrorCode::Ok}};
  for (const auto &change : changes) {
    INFO(change.Name);
    AdmittedCall f(AdmittedCall::Stage::Waiting);
    change.Apply(f);
    CHECK_FALSE(f.Result.has_value());
    CHECK(f.Backend.isOpen(f.Id));
  }
}

// Guards against refusing a call of a daemon with a later configuration, by
// which it was routed, and against accepting one that the configuration here
// no longer allows.
TEST_CASE("the later configuration decides on a call", "[route_change]") {
  AdmittedCall f(AdmittedCall::Stage::Waiting);
  f.orders(configText(3, routeText("/x/", R"("service":"t")")));
  const auto arrives = [&f](std::uint64_t version) {
    std::optional<CallResult> result;
    auto call = f.routedCall();
    call.ConfigurationVersion = version;
    f.Backend.run(std::move(call),
                  [&result](CallResult r) { result = std::move(r); });
    return result;
  };
  const auto older = arrives(2);
  REQUIRE(older);
  CHECK(older->Code == ErrorCode::RouteChanged);
  CHECK(older->Result == Outcome::NotRun);
  CHECK_FALSE(arrives(3));
  CHECK_FALSE(arrives(4));
}

// Guards against the same on the whole path: the waiting requests of clients
// are lost, told late, or run by the server of another service that got the
// address (review/1). The settings change before or after the new server
// reports.
TEST_CASE("waiting requests are placed again when their server is replaced",
          "[route_change]") {
  for (const bool isReloadedFirst : {true, false}) {
    INFO(isReloadedFirst);
    SidecarLab lab;
    lab.configure(1, "s");
    auto &first = lab.addHost("s", "z");
    auto &other = lab.addHost("s", "z");
    auto &caller = lab.addHost("t", "z");
    first.Slots = 1;
    first.report();
    lab.awaitService(first, "/x/1");
    lab.awaitService(caller, "/x/1");
    first.IsSilent = true;
    const auto ran = lab.call(first);
    REQUIRE(lab.reached([&] { return first.Running.size() == 1; }));
    // Wait at the gate of their own host and of another one.
    std::vector<std::shared_ptr<LabCall>> waiting{
        lab.call(first), lab.call(caller), lab.call(first), lab.call(caller)};
    lab.pass(std::chrono::milliseconds(200));
    other.report();
    lab.awaitRunAt(first, other, "/x/1");
    lab.awaitRunAt(caller, other, "/x/1");
    first.replaceServer("i-new", "t", 2);
    auto settings = first.Settings;
    settings.Service = "t";
    if (isReloadedFirst) {
      first.Daemon->reload(settings);
    }
    first.report();
    if (!isReloadedFirst) {
      first.Daemon->reload(settings);
    }
    const auto isDone = [](const auto &it) { return it->done(); };
    CHECK(lab.reached(
        [&] { return std::all_of(waiting.begin(), waiting.end(), isDone); },
        std::chrono::seconds(2)));
    for (const auto &it : waiting) {
      CHECK(it->status() == 200);
      const auto runs = lab.runsOf(*it);
      REQUIRE(runs.size() == 1);
      CHECK(runs.front().Service == "s");
    }
    CHECK(lab.runsOf(*ran).size() == 1);
    CHECK(ran->status() != 503);
  }
}

// Guards against requests that are lost, or run by the service that a route
// led to when they arrived, if the configuration changes while they wait.
TEST_CASE("waiting requests follow a changed configuration", "[route_change]") {
  struct Case {
    const char *Name;
    void (*Apply)(SidecarLab &);
    int Status;
    const char *Service;
  };
  const std::vector<Case> cases{
      {"moved", [](SidecarLab &lab) { lab.configure(2, "t"); }, 200, "t"},
      {"removed", [](SidecarLab &lab) { lab.configure(2, ""); }, 404, ""},
      {"taken out",
       [](SidecarLab &lab) {
         lab.Store.write(KeyedStream::Orders, "evacuate/z", "{}");
       },
       200, "s"}};
  for (const auto &it : cases) {
    INFO(it.Name);
    SidecarLab lab;
    lab.configure(1, "s");
    auto &server = lab.addHost("s", "z");
    auto &target = lab.addHost("t", "y");
    auto &later = lab.addHost("s", "y");
    server.Slots = 1;
    server.report();
    target.report();
    lab.awaitService(server, "/x/1");
    lab.awaitService(target, "/x/1");
    lab.awaitService(server, "/t/1");
    server.IsSilent = true;
    const auto ran = lab.call(server);
    REQUIRE(lab.reached([&] { return server.Running.size() == 1; }));
    const std::vector<std::shared_ptr<LabCall>> waiting{lab.call(server),
                                                        lab.call(target)};
    lab.pass(std::chrono::milliseconds(200));
    later.report();
    lab.awaitRunAt(server, later, "/x/1");
    lab.awaitRunAt(target, later, "/x/1");
    it.Apply(lab);
    for (const auto &call : waiting) {
      REQUIRE(
          lab.reached([&] { return call->done(); }, std::chrono::seconds(3)));
      CHECK(call->status() == it.Status);
      CHECK(call->body() == it.Service);
      CHECK(lab.runsOf(*call).size() == (it.Status == 200 ? 1 : 0));
    }
    CHECK_FALSE(ran->done());
  }
}

namespace {

/** A daemon of service "s" that refuses each call since its configuration
 * routes it elsewhere. */
struct AheadHost {
  AheadHost(SidecarLab &lab)
      : Network(lab.Loop, {"127.0.0.1", 0},
                [this, &lab](const Address &, wire::FrameBodyUnion &body,
                             const PeerResponder &respond) {
                  onFrame(body, respond, lab.Loop.now());
                }) {
    REQUIRE(Network.start());
    lab.Store.write(KeyedStream::Hosts, toString(Network.bound()), "z");
  }

  void onFrame(wire::FrameBodyUnion &body, const PeerResponder &respond,
               TimePoint now) {
    if (!respond) {
      return;
    }
    if (body.AsCallRequest() != nullptr) {
      ++Refused;
      auto result = failedCall(Outcome::NotRun, ErrorCode::RouteChanged, 503,
                               std::chrono::seconds(1));
      result.Gate.Limit = 8;
      return respond(frameBody(toWire(result, now)));
    }
    if (auto *hello = body.AsHello()) {
      wire::HelloT out;
      out.address = addressToWire(Network.bound());
      out.data_centre = "z";
      out.boot_id = 7;
      out.sequence = 1;
      out.address_digest = hello->address_digest;
      out.operator_end = hello->operator_end;
      out.operator_era = hello->operator_era;
      out.operator_digest = hello->operator_digest;
      out.server = std::make_unique<wire::ServerStateT>();
      out.server->instance = "i-ahead";
      out.server->service = "s";
      out.server->version = "v1";
      out.server->slots = 8;
      out.server->phase = static_cast<std::uint8_t>(ServerPhase::Ready);
      out.server->start = 1;
      respond(frameBody(std::move(out)));
    }
  }

  int Refused = 0;
  PeerNetwork Network;
};

} // namespace

// Guards against turning a client away, or sending its request round, while
// this daemon lacks a configuration that another one has already.
TEST_CASE("a request waits for the configuration of the refusing daemon",
          "[route_change]") {
  SidecarLab lab;
  lab.configure(1, "s");
  AheadHost ahead(lab);
  auto &host = lab.addHost("t", "z");
  host.report();
  lab.awaitService(host, "/t/1");
  const auto call = lab.call(host);
  REQUIRE(lab.reached([&] { return ahead.Refused == 1; }));
  lab.pass(std::chrono::milliseconds(100));
  CHECK_FALSE(call->done());
  lab.configure(2, "t");
  REQUIRE(lab.reached([&] { return call->done(); },
                      std::chrono::milliseconds(300)));
  CHECK(call->status() == 200);
  CHECK(call->body() == "t");

  // Without the configuration, the client is told soon that it has not run.
  lab.configure(3, "s");
  lab.pass(std::chrono::milliseconds(200));
  const auto refused = lab.call(host);
  REQUIRE(
      lab.reached([&] { return refused->done(); }, std::chrono::seconds(2)));
  CHECK(refused->status() == 503);
  CHECK_FALSE(
      headerValue(refused->Outcome->Response->Headers, "Retry-After").empty());
  CHECK(lab.runsOf(*refused).empty());
}
