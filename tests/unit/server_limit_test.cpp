#include "backend_fixture.h"
#include "chivefold/io/http_server.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace chivefold;

namespace {

/** A backend server that answers at once, with further headers. */
struct LimitedServer {
  BackendFixture Fixture;
  HttpHeaders Headers{{"Chivefold-Server-Signature", "s"}};
  int Status = 200;
  /** Requests are kept in Held and not answered. */
  bool Hold = false;
  std::vector<std::shared_ptr<HttpExchange>> Held;
  std::size_t Arrivals = 0;
  HttpServer Server{Fixture.Loop,
                    {"127.0.0.1", 0},
                    [this](const std::shared_ptr<HttpExchange> &exchange) {
                      ++Arrivals;
                      if (Hold) {
                        Held.push_back(exchange);
                        return;
                      }
                      exchange->respond(response());
                    }};

  LimitedServer() {
    REQUIRE(Server.start());
    Fixture.configure();
    report("i", 1, 1);
  }

  HttpResponse response() const {
    auto headers = Headers;
    headers.push_back({"Chivefold-Request-Id", "q"});
    return {Status, headers, Status == 204 ? "" : "ok"};
  }

  void report(const std::string &instance, std::int64_t startedAt,
              std::uint64_t sequence) {
    auto report = Fixture.report(instance, startedAt, sequence);
    report.Server = Server.bound();
    REQUIRE(Fixture.Backend.report(report));
  }

  RequestLimit limit() const { return Fixture.Backend.gate().StatedLimit; }

  void runFor(Duration time) { chivefold::runFor(Fixture.Loop, time); }

  /** Sends a call and waits for its result. */
  CallResult call() { return call(Fixture.call()); }
  CallResult call(const CallMessage &message) {
    std::optional<CallResult> out;
    Fixture.Backend.run(message, [&](CallResult r) { out = std::move(r); });
    REQUIRE(runUntil(Fixture.Loop, [&] { return out.has_value(); }));
    return *out;
  }
};

/** Requests that a server with this limit may get in any 4 s. */
std::size_t allowedIn4s(double perSecond) {
  return static_cast<std::size_t>(1.5 * perSecond * 4) + 5;
}

} // namespace

// Guards against sending a server more requests than the limit that it states
// in its answers.
TEST_CASE("a server gets no more than the limit that it states",
          "[server_limit]") {
  LimitedServer s;
  s.Headers.push_back({"Server-Limit", "2"});
  s.call();
  for (int round = 0; round < 15; ++round) {
    for (int i = 0; i < 20; ++i) {
      s.Fixture.Backend.run(s.Fixture.call(), [](const CallResult &) {});
    }
    s.runFor(std::chrono::milliseconds(100));
  }
  CHECK(s.Arrivals > 1);
  CHECK(s.Arrivals <= allowedIn4s(2));
}

// Guards against a limit that is lost when the daemon beside the server
// restarts: until the server answers, the callers' copies hold.
TEST_CASE("a limit survives a restart of the daemon beside the server",
          "[server_limit]") {
  LimitedServer s;
  s.Hold = true;
  auto report = s.Fixture.report("i", 1, 2);
  report.Server = s.Server.bound();
  report.State.Slots = 40;
  REQUIRE(s.Fixture.Backend.report(report));
  RequestLimit copy;
  copy.Known = LimitKnowledge::Stated;
  copy.PerSecond = 2;
  copy.ServerStart = s.Fixture.Backend.gate().StatedLimit.ServerStart;
  REQUIRE(copy.ServerStart != 0);
  for (int i = 0; i < 40; ++i) {
    auto call = s.Fixture.call();
    call.KnownLimit = copy;
    s.Fixture.Backend.run(call, [](const CallResult &) {});
  }
  s.runFor(std::chrono::milliseconds(1500));
  CHECK(s.Arrivals >= 1);
  CHECK(s.Arrivals <= allowedIn4s(2));
  // An answer without a limit ends it, and a copy does not bring it back.
  s.Hold = false;
  s.Held.front()->respond(s.response());
  REQUIRE(runUntil(s.Fixture.Loop,
                   [&] { return s.limit().Known == LimitKnowledge::None; }));
  auto call = s.Fixture.call();
  call.KnownLimit = copy;
  s.Fixture.Backend.run(call, [](const CallResult &) {});
  CHECK(s.limit().Known == LimitKnowledge::None);
}

// Guards against a limit that outlives its server process or comes from another
// one: a late answer of an earlier start, a copy of it, or another server at
// the address.
TEST_CASE("a limit belongs to one start of a server", "[server_limit]") {
  LimitedServer s;
  s.Headers.push_back({"Server-Limit", "2"});
  s.call();
  const auto old = s.limit();
  CHECK(old.Known == LimitKnowledge::Stated);
  s.Hold = true;
  s.Fixture.Backend.run(s.Fixture.call(), [](const CallResult &) {});
  REQUIRE(runUntil(s.Fixture.Loop, [&] { return !s.Held.empty(); }));
  // The same instance ID is used again.
  s.report("i", 2, 1);
  CHECK(s.limit().Known == LimitKnowledge::Unknown);
  CHECK(s.limit().ServerStart != old.ServerStart);
  s.Held.front()->respond(s.response());
  REQUIRE(runUntil(s.Fixture.Loop,
                   [&] { return s.Fixture.Backend.openCalls() == 0; }));
  CHECK(s.limit().Known == LimitKnowledge::Unknown);
  s.Hold = false;
  s.Status = 421;
  auto call = s.Fixture.call();
  call.KnownLimit = old;
  s.call(call);
  CHECK(s.limit().Known == LimitKnowledge::Unknown);
}

// Guards against a limit that an answer changes by accident. Each row states
// the effect of an answer on a limit of 5 a second.
TEST_CASE("only a complete answer of the server changes its limit",
          "[server_limit]") {
  struct Row {
    std::string Name;
    int Status;
    HttpHeaders Headers;
    std::optional<double> Expected;
  };
  const HttpHeaders::value_type authentic{"Chivefold-Server-Signature", "s"};
  const HttpHeaders::value_type notRun{"Chivefold-Not-Executed", "1"};
  const auto limit = [](const std::string &value) {
    return HttpHeaders::value_type{"Server-Limit", value};
  };
  const std::vector<Row> rows{
      {"another limit", 200, {authentic, limit("7.25")}, 7.25},
      {"no limit", 200, {authentic}, std::nullopt},
      {"no limit, failed", 500, {authentic}, std::nullopt},
      {"without a body", 204, {authentic, limit("0.5")}, 0.5},
      {"without a signature", 200, {limit("7")}, 5},
      {"no limit, without a signature", 500, {}, 5},
      {"refused with a limit", 503, {notRun, limit("3")}, 3},
      {"refused without a limit", 503, {notRun}, 5},
      {"other instance", 421, {authentic, limit("1")}, 5},
      {"negative", 200, {authentic, limit("-1")}, 5},
      {"empty", 200, {authentic, limit("")}, 5},
      {"not a number", 200, {authentic, limit("many")}, 5},
      {"infinite", 200, {authentic, limit("inf")}, 5},
      {"exponent", 200, {authentic, limit("1e3")}, 5},
      {"long", 200, {authentic, limit(std::string(400, '9'))}, 5},
      {"list", 200, {authentic, limit("6, 4.5")}, 4.5},
      {"malformed list", 200, {authentic, limit("6,")}, 5},
      {"repeated", 200, {authentic, limit("6"), limit("4")}, 4},
  };
  for (const auto &row : rows) {
    INFO(row.Name);
    LimitedServer s;
    s.Headers = {authentic, limit("5")};
    s.call();
    REQUIRE(s.limit().PerSecond == 5);
    s.Status = row.Status;
    s.Headers = row.Headers;
    s.call();
    const bool isStated = s.limit().Known == LimitKnowledge::Stated;
    CHECK(isStated == row.Expected.has_value());
    if (isStated) {
      CHECK(s.limit().PerSecond == row.Expected);
    }
  }
}

// Guards against a cut-off answer that sets or ends a limit.
TEST_CASE("a cut-off answer does not change the limit", "[server_limit]") {
  BackendFixture f;
  f.configure();
  REQUIRE(f.Backend.report(f.report("i", 1, 1)));
  for (const std::string limit : {"", "Server-Limit: 1\r\n"}) {
    std::thread server([&] {
      const auto s = f.Listener.accepted();
      s.readUntil("\r\n\r\n");
      s.write("HTTP/1.1 200 OK\r\nChivefold-Server-Signature: s\r\n" + limit +
              "Content-Length: 9\r\n\r\npart");
    });
    std::optional<CallResult> result;
    f.Backend.run(f.call(), [&](CallResult r) { result = std::move(r); });
    REQUIRE(runUntil(f.Loop, [&] { return result.has_value(); }));
    server.join();
    CHECK(result->Result == Outcome::Unknown);
    CHECK(f.Backend.gate().StatedLimit.Known == LimitKnowledge::Unknown);
  }
}

// Guards against requests to a server that states in its answers that it shuts
// down, while its report is delayed or still says that it is ready.
TEST_CASE("a server that states that it leaves gets no requests",
          "[server_limit]") {
  LimitedServer s;
  s.Headers.push_back({"Server-Leaving", "1"});
  CHECK(s.call().Gate.ServerLeaving);
  CHECK(s.Fixture.Backend.server().Phase == ServerPhase::Draining);
  s.Headers.pop_back();
  s.report("i", 1, 2);
  CHECK(s.Fixture.Backend.server().Phase == ServerPhase::Draining);
  CHECK(s.call().Result == Outcome::NotRun);
  CHECK(s.Arrivals == 1);
  s.report("j", 2, 1);
  CHECK(s.Fixture.Backend.server().Phase == ServerPhase::Ready);
  CHECK(s.call().Result == Outcome::Answered);
}
