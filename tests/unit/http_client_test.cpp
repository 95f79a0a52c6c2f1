#include "http_client_fixture.h"

#include <algorithm>
#include <atomic>
#include <vector>

using namespace chivefold;

// Guards against a cut-off or unbounded response that is taken as complete,
// and against a redirect that is followed.
TEST_CASE("only complete responses are returned", "[http_client]") {
  ClientFixture f;
  auto out = f.finishWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  CHECK(out.Response.reason().Code == ErrorCode::ConnectionFailed);
  CHECK(out.MayHaveRun);
  out = f.finishWith(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
  CHECK(out.Response.reason().Code == ErrorCode::ConnectionFailed);
  out = f.finishWith("HTTP/1.1 200 OK\r\n\r\npart");
  CHECK(out.Response.reason().Code == ErrorCode::ConnectionFailed);
  out = f.finishWith("HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" +
                     std::string((1U << 20U) + 1, 'x'));
  CHECK(out.Response.reason().Code == ErrorCode::TooLarge);
  out = f.finishWith("HTTP/1.1 302 F\r\nLocation: /y\r\nContent-Length: 0\r\n"
                     "A: b\r\n\r\n");
  REQUIRE(out.Response);
  CHECK(out.Response->Status == 302);
  CHECK(headerValue(out.Response->Headers, "a") == "b");
}

// Guards against "not run" for a request that may have run, and "may have
// run" when nothing listens.
TEST_CASE("a call that was not sent has not run", "[http_client]") {
  ClientFixture f;
  auto bad = f.call();
  bad.Headers = {{"A", "b\r\nC: d"}};
  auto out = f.finish(bad);
  CHECK(out.Response.reason().Code == ErrorCode::InvalidArgument);
  CHECK_FALSE(out.MayHaveRun);

  auto sent = f.call();
  sent.Deadline = f.Loop.now() + std::chrono::milliseconds(300);
  const auto id1 = f.Client->start(f.call(), [](const HttpOutcome &) {});
  std::optional<HttpOutcome> first;
  f.Client->start(sent, [&](HttpOutcome o) { first = std::move(o); });
  // Both connections are in use, so this one stays in the queue.
  out = f.finish(sent);
  CHECK(out.Response.reason().Code == ErrorCode::DeadlineExceeded);
  CHECK_FALSE(out.MayHaveRun);
  REQUIRE(runUntil(f.Loop, [&] { return first.has_value(); }));
  CHECK(first->Response.reason().Code == ErrorCode::DeadlineExceeded);
  CHECK(first->MayHaveRun);
  f.Client->cancel(id1);

  const auto refused = f.call();
  f.Listener.reset();
  out = f.finish(refused);
  CHECK(out.Response.reason().Code == ErrorCode::ConnectionFailed);
  CHECK_FALSE(out.MayHaveRun);
}

// Guards against a client that repeats a request by itself when a reused
// connection turns out to be closed: the work could run twice.
TEST_CASE("a request is sent once", "[http_client]") {
  for (const bool fresh : {true, false}) {
    ClientFixture f;
    std::atomic<int> arrived{0};
    const auto receive = [&](const RawSocket &s) {
      arrived += s.readUntil("work").empty() ? 0 : 1;
    };
    // The first connection answers one request and stays open for reuse; any
    // further request on it or on another connection is read, and the
    // connection is closed without a response.
    std::thread server([&] {
      auto s = f.Listener.accepted();
      receive(s);
      s.write(OkResponse);
      std::thread reused([&] {
        receive(s);
        s.reset();
      });
      for (;;) {
        const auto next = f.Listener.accepted();
        if (!next.isOpen()) {
          break;
        }
        receive(next);
      }
      reused.join();
    });
    REQUIRE(f.finish(f.call()).Response);
    const auto out = f.finish(f.call(fresh));
    CHECK(out.Response.reason().Code == ErrorCode::ConnectionFailed);
    CHECK(out.MayHaveRun);
    f.Client.reset();
    f.Listener.shutDown();
    server.join();
    CHECK(arrived == 2);
  }
}

// Guards against a connection that the server may have closed while it was
// idle, and against one that is used beyond the time that the server states.
TEST_CASE("an idle connection is reused while it is fresh", "[http_client]") {
  ClientFixture f;
  std::atomic<int> connections{0};
  std::vector<std::thread> served;
  std::thread server([&] {
    for (;;) {
      auto s = std::make_shared<RawSocket>(f.Listener.accepted());
      if (!s->isOpen()) {
        return;
      }
      ++connections;
      served.emplace_back([s] {
        while (!s->readUntil("work").empty()) {
          s->write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
                   "Content-Length: 2\r\n\r\nok");
        }
      });
    }
  });
  REQUIRE(f.finish(f.call()).Response);
  REQUIRE(f.finish(f.call()).Response);
  CHECK(connections == 2);
  f.Client.reset();
  f.Listener.shutDown();
  server.join();
  for (auto &it : served) {
    it.join();
  }
}

// Guards against the late answer to an earlier request that is taken for the
// answer to this one, and against an unframed answer that is refused or taken
// although it was reset.
TEST_CASE("answers are matched and may be unframed", "[http_client]") {
  ClientFixture f;
  auto call = f.call();
  call.AcceptUnframed = true;
  call.Accepts = [](const HttpResponse &r, bool /*isFirst*/) {
    return headerValue(r.Headers, "Id") != "other";
  };
  std::optional<HttpOutcome> out;
  std::thread server([&] {
    const auto s = f.Listener.accepted();
    s.readUntil("work");
    s.write("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nlate"
            "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nwhole");
  });
  f.Client->start(std::move(call), [&](HttpOutcome o) { out = std::move(o); });
  REQUIRE(runUntil(f.Loop, [&] { return out.has_value(); }));
  server.join();
  REQUIRE(out->Response);
  CHECK(out->Response->Body == "whole");
}

// Guards against bytes without end, which hold a call until its deadline and
// fill the memory: each interim or foreign response began its limits anew.
TEST_CASE("a response without end is given up", "[http_client]") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string filler(4000, 'x');
  struct Flood {
    const char *Name;
    std::string Start;
    std::string Repeated;
  };
  const std::vector<Flood> floods{
      {"head", head, "A: " + filler + "\r\n"},
      {"head without an end of line", head + "A: ", filler},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"interim responses with heads", "",
       "HTTP/1.1 103 Early Hints\r\nA: " + filler + "\r\n\r\n"},
      {"foreign responses", "",
       head + "Id: other\r\nContent-Length: 4\r\n\r\nlate"},
      {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n",
       "fa0\r\n" + filler + "\r\n"},
      {"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;",
       filler},
      {"body up to the end of the connection", head + "\r\n", filler},
      {"no response", "", filler}};
  for (const auto &flood : floods) {
    INFO(flood.Name);
    ClientFixture f;
    auto call = f.call();
    call.AcceptUnframed = true;
    call.Accepts = [](const HttpResponse &r, bool /*isFirst*/) {
      return headerValue(r.Headers, "Id") != "other";
    };
    const auto deadline = call.Deadline;
    std::size_t written = 0;
    std::thread server([&] {
      const auto s = f.Listener.accepted();
      s.readUntil("work");
      s.write(flood.Start);
      while (s.tryWrite(flood.Repeated)) {
        written += flood.Repeated.size();
      }
    });
    const auto out = f.finish(std::move(call));
    CHECK_FALSE(out.Response);
    CHECK(out.MayHaveRun);
    CHECK(out.Response.reason().Code != ErrorCode::DeadlineExceeded);
    CHECK(f.Loop.now() < deadline);
    f.Client.reset();
    server.join();
    // The rest lay in the buffers of the sockets.
    CHECK(written < HttpLimits::MaxBodyBytes + (16U << 20U));
  }
}

// Guards against many large responses at once that take more memory than the
// process may have.
TEST_CASE("unfinished responses are bounded together", "[http_client]") {
  ClientFixture f;
  constexpr std::size_t calls = 20;
  constexpr std::size_t size = 900U << 10U;
  f.Client->setMaxConnections(calls);
  std::vector<RawSocket> open;
  std::thread server([&] {
    for (std::size_t i = 0; i < calls; ++i) {
      open.push_back(f.Listener.accepted());
    }
    for (const auto &s : open) {
      s.readUntil("work");
      s.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" +
              std::string(size, 'x'));
    }
  });
  std::size_t givenUp = 0;
  for (std::size_t i = 0; i < calls; ++i) {
    f.Client->start(f.call(), [&](const HttpOutcome &o) {
      CHECK(o.Response.reason().Code == ErrorCode::TooLarge);
      ++givenUp;
    });
  }
  constexpr std::size_t fit = HttpLimits::MaxHeldBytes / size;
  CHECK(runUntil(f.Loop, [&] { return givenUp >= calls - fit - 1; }));
  CHECK(givenUp < calls);
  // After a failure the server may still wait for a connection.
  f.Listener.shutDown();
  server.join();
}

// Guards against more connections to a backend server than it bears: idle ones
// count too, also beside calls that need a fresh connection.
TEST_CASE("idle connections count against the bound", "[http_client]") {
  ClientFixture f;
  f.Client->setMaxConnections(3);
  std::atomic<int> served{0};
  std::ptrdiff_t most = 0;
  std::vector<std::shared_ptr<RawSocket>> sockets;
  std::vector<std::thread> connections;
  std::thread server([&] {
    for (;;) {
      auto s = std::make_shared<RawSocket>(f.Listener.accepted());
      if (!s->isOpen()) {
        return;
      }
      sockets.push_back(s);
      // A close arrives before the connection that takes its place.
      most = std::max(
          most, std::count_if(sockets.begin(), sockets.end(),
                              [](auto &it) { return !it->peerClosed(); }));
      connections.emplace_back([&, s] {
        while (!s->readUntil("work").empty()) {
          ++served;
          s->write(OkResponse);
        }
      });
    }
  });
  int done = 0;
  for (int n = 0; n < 40; ++n) {
    f.Client->start(f.call(n % 2 == 0),
                    [&](const HttpOutcome &o) { done += o.Response ? 1 : 0; });
  }
  REQUIRE(runUntil(f.Loop, [&] { return done == 40; }));
  f.Client.reset();
  f.Listener.shutDown();
  server.join();
  for (auto &it : connections) {
    it.join();
  }
  CHECK(served == 40);
  CHECK(most == 3);
}
