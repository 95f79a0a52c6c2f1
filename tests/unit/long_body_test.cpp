#include "backend_fixture.h"
#include "chivefold/io/http_server.h"
#include "sidecar_lab.h"
#include "unwatchable_descriptors.h"

#include <catch2/catch.hpp>
#include <map>
#include <thread>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Part = BodyStream::HeldBytes;

/** A server that hands requests over before their bodies are whole. */
struct StreamingServer {
  Reactor Loop;
  std::vector<std::shared_ptr<HttpExchange>> Open;
  int Abandoned = 0;
  HttpServer Server{Loop,
                    {"127.0.0.1", 0},
                    [this](const std::shared_ptr<HttpExchange> &exchange) {
                      exchange->onAbandoned([this] { ++Abandoned; });
                      Open.push_back(exchange);
                    }};
  HttpServerLimits Limits;

  StreamingServer() {
    Limits.StreamsBodies = true;
    Limits.MaxBodyBytes = 64 * Part;
    Limits.IdleTimeout = milliseconds(300);
    Limits.HeaderTimeout = milliseconds(100);
    Server.setLimits(Limits);
    REQUIRE(Server.start());
  }
  RawSocket post(std::size_t length) {
    auto out = RawSocket::connectTo(Server.bound());
    out.write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
              std::to_string(length) + "\r\n\r\n" + std::string(Part, 'b'));
    REQUIRE(runUntil(Loop, [&] { return !Open.empty(); }));
    return out;
  }
  std::string answerOn(const RawSocket &client) {
    runUntil(Loop, [&] { return client.peerClosed() || client.hasInput(); });
    client.setReceiveTimeout({0, 50'000});
    return client.readUntil("\r\n\r\n");
  }
  void pass(Duration time) { runFor(Loop, time); }
};

/** A client's connection to a sidecar of a lab, with a long body. */
struct LongPost {
  LongPost(const LabHost &host, const std::string &path, std::size_t length)
      : Socket(RawSocket::connectTo(host.Settings.CallerListen)) {
    Socket.write("POST " + path +
                 " HTTP/1.1\r\nHost: shop.example\r\nChivefold-Request-Id: "
                 "long\r\nChivefold-Deadline-Ms: 6000\r\nContent-Length: " +
                 std::to_string(length) + "\r\n\r\n");
  }
  void send(std::size_t bytes) const { Socket.write(std::string(bytes, 'w')); }
  std::string status(SidecarLab &lab) const {
    lab.reached([&] { return Socket.hasInput(); });
    Socket.setReceiveTimeout({0, 50'000});
    return Socket.readUntil("\r\n\r\n").substr(9, 3);
  }

  RawSocket Socket;
};

CallMessage longCall(const BackendFixture &f, const std::string &id) {
  auto out = f.call();
  out.RequestId = id;
  out.Body = std::string(Part, 'b');
  out.Rest = std::make_shared<BodyStream>(std::nullopt, f.Loop.now());
  return out;
}

} // namespace

// Guards against a client whose body is read although nobody takes it.
TEST_CASE("a long body is read at the pace at which it is taken",
          "[long_body]") {
  StreamingServer f;
  const auto client = f.post(10 * Part);
  const auto rest = f.Open[0]->request().Rest;
  REQUIRE(rest);
  CHECK(f.Open[0]->request().Body.size() >= Part);
  CHECK(*rest->length() + f.Open[0]->request().Body.size() == 10 * Part);
  client.write(std::string(3 * Part, 'b'));
  f.pass(milliseconds(100));
  CHECK(rest->isFull());
  CHECK(rest->size() <= 2 * Part);
  std::size_t got = f.Open[0]->request().Body.size();
  client.write(std::string(6 * Part, 'b'));
  REQUIRE(runUntil(f.Loop, [&] {
    got += rest->take(Part, f.Loop.now()).size();
    return rest->isAtEnd();
  }));
  CHECK(got == 10 * Part);
  f.Open[0]->respond({200, {}, "done"});
  CHECK(f.answerOn(client).rfind("HTTP/1.1 200", 0) == 0);
  // The connection goes on.
  client.write("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(runUntil(f.Loop, [&] { return f.Open.size() == 2; }));
}

// Guards against the rest of a body that is taken for a request.
TEST_CASE("an answer before the end of a body closes the connection",
          "[long_body]") {
  StreamingServer f;
  const auto client = f.post(10 * Part);
  f.Open[0]->respond({404, {}, ""});
  const auto answer = f.answerOn(client);
  CHECK(answer.rfind("HTTP/1.1 404", 0) == 0);
  CHECK(answer.find("Connection: close") != std::string::npos);
  client.write("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
  f.pass(milliseconds(50));
  CHECK(f.Open.size() == 1);
}

// Guards against "not run" for a request of which a server may have a part.
TEST_CASE("a body that stops ends its request without a promise",
          "[long_body]") {
  StreamingServer f;
  const auto client = f.post(10 * Part);
  const auto answer = f.answerOn(client);
  CHECK(answer.rfind("HTTP/1.1 502", 0) == 0);
  CHECK(f.Abandoned == 1);
}

TEST_CASE("malformed chunks in mid-body end their request", "[long_body]") {
  StreamingServer f;
  const auto client = RawSocket::connectTo(f.Server.bound());
  client.write("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
               "\r\n20000\r\n" +
               std::string(0x20000, 'b') + "\r\nzz\r\n");
  CHECK(f.answerOn(client).rfind("HTTP/1.1 400", 0) == 0);
  CHECK(f.Abandoned == static_cast<int>(f.Open.size()));
}

// Guards against a server that works for a client that has left while its body
// was not read.
TEST_CASE("a client that leaves while its body waits is noticed",
          "[long_body]") {
  StreamingServer f;
  f.Limits.IdleTimeout = seconds(30);
  f.Limits.HeaderTimeout = seconds(30);
  f.Server.setLimits(f.Limits);
  auto client = f.post(10 * Part);
  client.write(std::string(2 * Part, 'b'));
  f.pass(milliseconds(50));
  CHECK(f.Open[0]->request().Rest->isFull());
  client.reset();
  CHECK(runUntil(f.Loop, [&] { return f.Abandoned == 1; }));
}

// Guards against a request that ends inside the call that takes its body, whose
// consumer then went on with what it had freed: the reactor could not watch the
// client's connection again.
TEST_CASE("a connection that cannot be watched again ends in the next turn",
          "[long_body]") {
  StreamingServer f;
  f.Limits.IdleTimeout = seconds(30);
  f.Limits.HeaderTimeout = seconds(30);
  f.Server.setLimits(f.Limits);
  const auto client = f.post(10 * Part);
  client.write(std::string(2 * Part, 'b'));
  f.pass(milliseconds(50));
  const auto rest = f.Open[0]->request().Rest;
  REQUIRE(rest->isFull());
  makeUnwatchable(client);
  rest->take(2 * Part, f.Loop.now());
  CHECK(f.Abandoned == 0);
  CHECK(runUntil(f.Loop, [&] { return f.Abandoned == 1; }));
  CHECK(client.atEnd());
}

// The load: a client stops in mid-body at a server with few slots.
TEST_CASE("a body that does not get on loses its slot to a waiting call",
          "[long_body]") {
  BackendFixture f;
  f.configure();
  auto report = f.report("a", 1, 1);
  report.State.Slots = 1;
  REQUIRE(f.Backend.report(report));
  std::map<std::string, CallResult> results;
  const auto run = [&](CallMessage call) {
    const auto id = call.RequestId;
    f.Backend.run(std::move(call), [&results, id](CallResult result) {
      results[id] = std::move(result);
    });
  };
  run(longCall(f, "long"));
  runUntil(f.Loop, [&] { return f.Backend.bodyFigures().Open == 1; });
  const auto server = f.Listener.accepted();
  run(longCall(f, "second"));
  REQUIRE(results.count("second") == 1);
  CHECK(results["second"].Result == Outcome::NotRun);
  CHECK(results["second"].Code == ErrorCode::TooLarge);
  run(f.call());
  CHECK(results.count("q") == 0);
  REQUIRE(runUntil(f.Loop, [&] { return results.count("long") == 1; }));
  // The server has a part of it.
  CHECK(results["long"].Result == Outcome::Unknown);
  CHECK(f.Backend.bodyFigures().GivenUp == 1);
  CHECK(f.Backend.gate().InFlight == 1);
  CHECK(f.Backend.gate().Queued == 0);
}

// Guards against clients that stop in mid-body and take a live server out.
TEST_CASE("bodies that stop do not make their server unresponsive",
          "[long_body]") {
  BackendFixture f;
  f.configure();
  REQUIRE(f.Backend.report(f.report("a", 1, 1)));
  for (int i = 0; i < 5; ++i) {
    auto call = longCall(f, "long");
    call.Deadline = f.Loop.now() + milliseconds(150);
    bool ended = false;
    f.Backend.run(std::move(call), [&](const CallResult &result) {
      ended = true;
      CHECK(result.Result == Outcome::Unknown);
    });
    REQUIRE(runUntil(f.Loop, [&] { return ended; }));
  }
  CHECK(f.Backend.gate().Limit == 4);
}

// Guards against a quarantine that misses a request since its body arrived in
// another way.
TEST_CASE("the digest of a request does not depend on how much has arrived",
          "[long_body]") {
  CallMessage whole;
  whole.Body = std::string(3 * Part, 'b');
  CallMessage begun;
  begun.Body = std::string(Part + 100, 'b');
  begun.Rest = std::make_shared<BodyStream>(2 * Part - 100, TimePoint{});
  CHECK(digestOf(whole) == digestOf(begun));
  begun.Body = std::string(Part, 'c');
  CHECK(digestOf(whole) != digestOf(begun));
}

// A daemon that does not know streamed bodies must not run the first part.
TEST_CASE("a streamed call names no service to an earlier version",
          "[long_body]") {
  CallMessage call;
  call.Service = "s";
  CHECK(toWire(call, {}).service == "s");
  CHECK(toWire(call, {}).body_left == 0);
  call.Rest = std::make_shared<BodyStream>(5, TimePoint{});
  auto frame = toWire(call, {});
  CHECK(frame.service.empty());
  CHECK(restLength(frame) == 5);
  CHECK(fromWire(frame, {}).Service == "s");
  call.Rest = std::make_shared<BodyStream>(std::nullopt, TimePoint{});
  CHECK(hasRest(toWire(call, {})));
  CHECK_FALSE(restLength(toWire(call, {})));
}

// Guards against a repeat without the bytes that have gone to the first server,
// also of a request that may run twice.
TEST_CASE("a request is not sent again once its body has started",
          "[long_body]") {
  SidecarLab lab;
  lab.configure(1, "s", "safe");
  auto &caller = lab.addHost("t", "east");
  auto &first = lab.addHost("s", "east");
  RawSocket broken = RawSocket::listening();
  first.RawServer = broken.address();
  caller.report();
  first.report();
  lab.awaitService(caller, "/t/1");
  LongPost post(caller, "/x/1", 8 * Part);
  post.send(4 * Part);
  std::thread server([&] {
    auto s = broken.accepted();
    s.readUntil(std::string(2 * Part, 'w'));
    s.abort();
  });
  const auto status = post.status(lab);
  broken.shutDown();
  server.join();
  CHECK(status == "502");
}

// Guards against a refusal of a request that another server could run: nothing
// of its body has gone to the one that refused.
TEST_CASE("a long request goes to another server after a refusal",
          "[long_body]") {
  SidecarLab lab;
  lab.configure(1, "s");
  auto &caller = lab.addHost("t", "east");
  auto &first = lab.addHost("s", "east");
  first.Slots = 4;
  caller.report();
  first.report();
  lab.awaitService(caller, "/x/1");
  // The only open body that the first server may have; it gets on.
  LongPost open(caller, "/x/1", 15 * Part);
  open.send(2 * Part);
  lab.pass(milliseconds(100));
  LongPost refused(caller, "/x/1", 8 * Part);
  refused.send(2 * Part);
  CHECK(refused.status(lab) == "503");
  auto &second = lab.addHost("s", "east");
  second.report();
  lab.awaitRunAt(caller, second, "/x/1");
  constexpr int posts = 4;
  for (int n = 0; n < posts; ++n) {
    LongPost served(caller, "/x/1", 8 * Part);
    for (int i = 0; i < 8; ++i) {
      open.send(Part / 4);
      served.send(Part);
      lab.pass(milliseconds(5));
    }
    CHECK(served.status(lab) == "200");
  }
  const auto isLong = [](const ServerRun &it) { return it.Id == "long"; };
  CHECK(std::count_if(second.Runs.begin(), second.Runs.end(), isLong) == posts);
  CHECK(std::none_of(first.Runs.begin(), first.Runs.end(), isLong));
}
