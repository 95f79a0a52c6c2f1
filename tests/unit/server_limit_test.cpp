#include "backend_fixture.h"
#include "chivefold/io/http_server.h"

#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

/** A backend server that answers at once, with further headers. */
struct LimitedServer {
  BackendFixture Fixture;
  HttpHeaders Headers{{"Chivefold-Server-Signature", "s"}};
  int Status = 200;
  std::size_t Arrivals = 0;
  HttpServer Server{Fixture.Loop,
                    {"127.0.0.1", 0},
                    [this](const std::shared_ptr<HttpExchange> &exchange) {
                      ++Arrivals;
                      auto headers = Headers;
                      headers.push_back({"Chivefold-Request-Id", "q"});
                      exchange->respond({Status, headers, "ok"});
                    }};

  LimitedServer() {
    REQUIRE(Server.start());
    Fixture.configure();
    report("i", 1, 1);
  }

  void report(const std::string &instance, std::int64_t startedAt,
              std::uint64_t sequence) {
    auto report = Fixture.report(instance, startedAt, sequence);
    report.Server = Server.bound();
    REQUIRE(Fixture.Backend.report(report));
  }

  void runFor(Duration time) {
    const auto end = Fixture.Loop.now() + time;
    runUntil(Fixture.Loop, [&] { return Fixture.Loop.now() >= end; });
  }

  /** Sends a call and waits for its result. */
  CallResult call() {
    std::optional<CallResult> out;
    Fixture.Backend.run(Fixture.call(),
                        [&](CallResult r) { out = std::move(r); });
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
