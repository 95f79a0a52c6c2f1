#include "backend_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

using namespace chivefold;

// Guards against sending full load to a cold server whose report arrived before
// the configuration, which states the rate for cold servers.
TEST_CASE("a cold start before the configuration counts", "[backend]") {
  BackendFixture f;
  auto report = f.report("i", 1, 1);
  report.ColdFor = std::chrono::seconds(100);
  REQUIRE(f.Backend.report(report));
  CHECK(f.Backend.gate().Limit == 0);
  f.configure();
  CHECK(f.Backend.gate().Limit > 0);
  CHECK(f.Backend.gate().Cold);
}

// Guards against a late report from an ended server, or from an earlier start
// with the same instance ID, that replaces the current server.
TEST_CASE("late reports of earlier starts are ignored", "[backend]") {
  BackendFixture f;
  f.configure();
  REQUIRE(f.Backend.report(f.report("old", 10, 5)));
  REQUIRE(f.Backend.report(f.report("new", 20, 1)));
  CHECK_FALSE(f.Backend.report(f.report("old", 10, 6)));
  CHECK(f.Backend.server().Instance == "new");
  REQUIRE(f.Backend.report(f.report("new", 30, 1)));
  CHECK_FALSE(f.Backend.report(f.report("new", 20, 9)));
  REQUIRE(f.Backend.report(f.report("new", 30, 3, ServerPhase::Draining)));
  CHECK_FALSE(f.Backend.report(f.report("new", 30, 2)));
  CHECK(f.Backend.server().Phase == ServerPhase::Draining);
  CHECK(f.Backend.gate().Limit == 0);
  REQUIRE(f.Backend.leave("new"));
  CHECK_FALSE(f.Backend.report(f.report("new", 30, 4)));
}

// Guards against an entry of another writer that keeps a server's own reports
// out, so that its shutdown is not noticed.
TEST_CASE("a report without a start does not replace a server that states one",
          "[backend]") {
  BackendFixture f;
  f.configure();
  REQUIRE(f.Backend.report(f.report("i", 10, 5)));
  auto odd = f.report("i", 10, 6);
  odd.StartedAtMs.reset();
  CHECK_FALSE(f.Backend.report(odd));
  odd.State.Instance = "other";
  CHECK_FALSE(f.Backend.report(odd));
  REQUIRE(f.Backend.report(f.report("i", 10, 6, ServerPhase::Draining)));
  CHECK(f.Backend.gate().Limit == 0);
  // A daemon that has restarted may see the odd one first.
  BackendFixture restarted;
  restarted.configure();
  auto first = restarted.report("i", 10, 6);
  first.StartedAtMs.reset();
  REQUIRE(restarted.Backend.report(first));
  CHECK(restarted.Backend.report(restarted.report("i", 10, 6)));
}

// Guards against a late report of a server whose end this daemon acknowledged
// right after its own restart, when it knew nothing of the server.
TEST_CASE("a server that left is not used again, also if it was not known",
          "[backend]") {
  BackendFixture f;
  f.configure();
  const auto nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                         f.Loop.utcNow().time_since_epoch())
                         .count();
  CHECK_FALSE(f.Backend.leave("i"));
  CHECK_FALSE(f.Backend.report(f.report("i", nowMs - 5000, 7)));
  CHECK(f.Backend.server().Instance.empty());
  CHECK(f.Backend.gate().Limit == 0);
  // A server may start again under the same id.
  CHECK(f.Backend.report(f.report("i", nowMs + 1000, 1)));
  CHECK(f.Backend.report(f.report("k", nowMs + 2000, 1)));
}

// Guards against a server that receives no calls until its daemon restarts.
// This happened if the host's clock stepped back before the server started.
TEST_CASE("a start after the clock went back replaces a silent one",
          "[backend]") {
  BackendFixture f;
  f.configure();
  REQUIRE(f.Backend.report(f.report("old", 100'000, 9)));
  const auto began = f.Loop.now();
  std::uint64_t sequence = 0;
  while (f.Backend.server().Instance == "old" &&
         f.Loop.now() < began + std::chrono::seconds(8)) {
    const auto wait = f.Loop.now() + std::chrono::milliseconds(500);
    runUntil(f.Loop, [&] { return f.Loop.now() >= wait; });
    // The old server keeps reporting for two seconds.
    if (f.Loop.now() < began + std::chrono::seconds(2)) {
      REQUIRE(f.Backend.report(f.report("old", 100'000, 10 + sequence)));
    }
    const auto taken = f.Backend.report(f.report("new", 90'000, ++sequence));
    CHECK(static_cast<bool>(taken) == (f.Backend.server().Instance == "new"));
  }
  CHECK(f.Backend.server().Instance == "new");
  CHECK(f.Loop.now() >= began + std::chrono::milliseconds(5000));
  CHECK_FALSE(f.Backend.report(f.report("old", 100'000, 99)));
}

// Guards against reporting "not run" for a call that reached the server, and
// against sending a call to an instance other than the chosen one.
TEST_CASE("a lost answer is unknown", "[backend]") {
  BackendFixture f;
  f.configure();
  REQUIRE(f.Backend.report(f.report("i", 1, 1)));
  std::optional<CallResult> result;
  auto other = f.call();
  other.Instance = "gone";
  f.Backend.run(other, [&](CallResult r) { result = std::move(r); });
  REQUIRE(result.has_value());
  CHECK(result->Result == Outcome::NotRun);

  result.reset();
  std::thread server([&] {
    const auto s = f.Listener.accepted();
    s.readUntil("\r\n\r\n");
  });
  f.Backend.run(f.call(), [&](CallResult r) { result = std::move(r); });
  REQUIRE(runUntil(f.Loop, [&] { return result.has_value(); }));
  server.join();
  CHECK(result->Result == Outcome::Unknown);
}

// Guards against a request that crashes one server after another, and against
// quarantining a request whose answers were merely lost.
TEST_CASE("a request that crashes servers is refused", "[backend]") {
  BackendFixture f;
  f.configure();
  REQUIRE(f.Backend.report(f.report("i", 1, 1)));
  // Reports that the request crashed a server on another host.
  f.Poison.serverDied({"10.0.0.2", 1}, digestOf(f.call()));
  const auto lose = [&f] {
    std::optional<CallResult> result;
    std::thread server([&] {
      const auto s = f.Listener.accepted();
      s.readUntil("\r\n\r\n");
    });
    f.Backend.run(f.call(), [&](CallResult r) { result = std::move(r); });
    REQUIRE(runUntil(f.Loop, [&] { return result.has_value(); }));
    server.join();
    CHECK(result->Result == Outcome::Unknown);
  };
  lose();
  CHECK_FALSE(f.Poison.quarantined(digestOf(f.call())));
  // A new instance reports, which shows that the previous one crashed.
  REQUIRE(f.Backend.report(f.report("j", 2, 1)));
  CHECK(f.Poison.quarantined(digestOf(f.call())));
  std::optional<CallResult> refused;
  f.Backend.run(f.call(), [&](CallResult r) { refused = std::move(r); });
  REQUIRE(refused.has_value());
  CHECK(refused->Result == Outcome::NotRun);
  CHECK(refused->Code == ErrorCode::Quarantined);
}

// Guards against a crash that is noticed by the next call alone: the daemon may
// end before that.
TEST_CASE("a crash is noticed without another call", "[backend]") {
  BackendFixture f;
  f.configure();
  REQUIRE(f.Backend.report(f.report("i", 1, 1)));
  const bool isDown = GENERATE(true, false);
  std::optional<CallResult> result;
  std::thread server([&] {
    const auto s = f.Listener.accepted();
    s.readUntil("\r\n\r\n");
    if (isDown) {
      f.Listener.reset();
    }
  });
  f.Backend.run(f.call(), [&](CallResult r) { result = std::move(r); });
  REQUIRE(runUntil(f.Loop, [&] { return result.has_value(); }));
  server.join();
  CHECK(result->Result == Outcome::Unknown);
  const auto end = f.Loop.now() + std::chrono::milliseconds(300);
  runUntil(f.Loop, [&] {
    return f.Loop.now() >= end || (isDown && !f.Poison.isEmpty());
  });
  CHECK(f.Poison.isEmpty() != isDown);
}

// Guards against running a queued call after the daemon that sent it has
// disconnected and its client was told that the outcome is unknown.
TEST_CASE("a call that waited is not run for a caller that left", "[backend]") {
  BackendFixture f;
  f.configure();
  REQUIRE(f.Backend.report(f.report("i", 1, 1)));
  std::optional<CallResult> first;
  std::thread server([&f] {
    std::vector<RawSocket> open;
    for (int i = 0; i < 4; ++i) {
      open.push_back(f.Listener.accepted());
      open.back().readUntil("\r\n\r\n");
    }
    for (const auto &s : open) {
      s.write("HTTP/1.1 500 Error\r\nChivefold-Request-Id: q\r\n"
              "Content-Length: 0\r\n\r\n");
    }
    // A fifth request would arrive on one of these connections.
    for (const auto &s : open) {
      s.setReceiveTimeout({0, 200'000});
      CHECK(s.readAll().empty());
    }
  });
  for (int i = 0; i < 4; ++i) {
    f.Backend.run(f.call(), [&](CallResult r) { first = std::move(r); });
  }
  bool answered = false;
  int asked = 0;
  const auto waiting = f.Backend.run(
      f.call(), [&](const CallResult &) { answered = true; },
      [&] {
        ++asked;
        return false;
      });
  REQUIRE(f.Backend.isOpen(waiting));
  REQUIRE(runUntil(f.Loop, [&] { return f.Backend.openCalls() == 0; }));
  server.join();
  CHECK(asked == 1);
  CHECK_FALSE(answered);
  CHECK(f.Backend.gate().InFlight == 0);
}

// Guards against taking a late duplicate answer without a request ID for the
// answer to the next request on the same connection.
TEST_CASE("a late copy without a name reaches no other request", "[backend]") {
  BackendFixture f;
  f.configure();
  REQUIRE(f.Backend.report(f.report("i", 1, 1)));
  const auto answer = [](const std::string &id, const std::string &body) {
    return "HTTP/1.1 500 Error\r\n" +
           (id.empty() ? id : "Chivefold-Request-Id: " + id + "\r\n") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  std::thread server([&] {
    const auto s = f.Listener.accepted();
    s.readUntil("\r\n\r\n");
    s.write(answer("first", "first"));
    s.readUntil("\r\n\r\n");
    s.write(answer("", "copy") + answer("second", "second"));
  });
  for (const std::string id : {"first", "second"}) {
    auto call = f.call();
    call.RequestId = id;
    call.Repeatable = true;
    std::optional<CallResult> result;
    f.Backend.run(std::move(call),
                  [&](CallResult r) { result = std::move(r); });
    REQUIRE(runUntil(f.Loop, [&] { return result.has_value(); }));
    CHECK(result->Body == id);
  }
  server.join();
}

// Guards against sending no calls to a live server until its next report
// because several consecutive answers were lost.
TEST_CASE("lost answers do not take a server out", "[backend]") {
  BackendFixture f;
  f.configure();
  REQUIRE(f.Backend.report(f.report("i", 1, 1)));
  const auto call = [&f](bool answers) {
    std::optional<CallResult> result;
    std::thread server([&f, answers] {
      const auto s = f.Listener.acceptedInUse();
      s.readUntil("\r\n\r\n");
      if (answers) {
        s.write("HTTP/1.1 500 Error\r\nConnection: close\r\n"
                "Content-Length: 0\r\n\r\n");
      }
    });
    f.Backend.run(f.call(), [&](CallResult r) { result = std::move(r); });
    REQUIRE(runUntil(f.Loop, [&] { return result.has_value(); }));
    server.join();
  };
  call(true);
  for (int i = 0; i < 4; ++i) {
    call(false);
  }
  CHECK(f.Backend.gate().Limit > 0);
  const auto later = f.Loop.now() + BackendService::RecentAnswerWindow;
  runUntil(f.Loop, [&] { return f.Loop.now() >= later; });
  call(false);
  CHECK(f.Backend.gate().Limit == 0);
}

// Guards against one report of another writer, for a service that no
// configuration names, that takes a live server out until its daemon restarts
// (review/5).
TEST_CASE("a report for an unknown service replaces no server", "[backend]") {
  BackendFixture f;
  f.configure();
  auto foreign = f.report("other", 20, 1);
  foreign.State.Service = "no-such-service";
  // Nor does it take the place of a server that has not reported yet.
  CHECK_FALSE(f.Backend.report(foreign));
  REQUIRE(f.Backend.report(f.report("i", 10, 1)));
  for (std::uint64_t n = 2; n < 6; ++n) {
    foreign.Sequence = n;
    CHECK_FALSE(f.Backend.report(foreign));
    CHECK(f.Backend.server().Instance == "i");
    CHECK(f.Backend.gate().Limit > 0);
    CHECK(f.Backend.report(f.report("i", 10, n)));
  }
}

// Guards against a live server that is ignored for good after one report of
// another writer in the name of its service, and against a server that has
// announced its end and is used again.
TEST_CASE("a replaced server that goes on reporting returns", "[backend]") {
  BackendFixture f;
  f.configure();
  REQUIRE(f.Backend.report(f.report("i", 10, 1)));
  REQUIRE(f.Backend.report(f.report("foreign", 20, 1)));
  REQUIRE(f.Backend.report(f.report("foreign", 20, 2)));
  const auto began = f.Loop.now();
  std::uint64_t sequence = 1;
  while (f.Backend.server().Instance != "i" &&
         f.Loop.now() < began + std::chrono::seconds(8)) {
    const auto wait = f.Loop.now() + std::chrono::milliseconds(500);
    runUntil(f.Loop, [&] { return f.Loop.now() >= wait; });
    const auto taken = f.Backend.report(f.report("i", 10, ++sequence));
    CHECK(static_cast<bool>(taken) == (f.Backend.server().Instance == "i"));
  }
  CHECK(f.Backend.server().Instance == "i");
  CHECK(f.Loop.now() >= began + BackendService::ReplaceAfterSilence);

  REQUIRE(
      f.Backend.report(f.report("i", 10, ++sequence, ServerPhase::Draining)));
  REQUIRE(f.Backend.report(f.report("next", 30, 1)));
  const auto ended = f.Backend.report(f.report("i", 10, ++sequence));
  CHECK(ended.reason().Message == "the reported instance has ended");
}

// Guards against a server that gets no calls until its next report because it
// reported before the configuration contained its service.
TEST_CASE("a report before its configuration counts", "[backend]") {
  BackendFixture f;
  f.configure();
  auto report = f.report("i", 10, 1);
  report.State.Service = "later";
  CHECK_FALSE(f.Backend.report(report));
  CHECK(f.Backend.server().Instance.empty());
  f.Orders.apply({"config",
                  R"({"version":"r2","routes":[],"services":[{"name":"s"},
                      {"name":"later"}]})",
                  1});
  f.Backend.ordersChanged();
  CHECK(f.Backend.server().Instance == "i");
  CHECK(f.Backend.gate().Limit > 0);
}

// Guards against a stack that grows with the queue: each call whose caller had
// left was dropped inside the call that dropped the one before it.
TEST_CASE("queued calls whose callers left are dropped one after another",
          "[backend]") {
  constexpr std::uint32_t slots = 64;
  constexpr std::size_t queued = 200;
  constexpr std::ptrdiff_t maxDepthBytes = 1024;
  BackendFixture f;
  f.configure();
  auto report = f.report("i", 10, 1);
  report.State.Slots = slots;
  REQUIRE(f.Backend.report(report));
  std::vector<BackendCallId> running;
  for (std::uint32_t i = 0; i < slots; ++i) {
    running.push_back(f.Backend.run(f.call(), [](const CallResult &) {}));
  }
  std::vector<const char *> frames;
  for (std::size_t i = 0; i < queued; ++i) {
    f.Backend.run(
        f.call(), [](const CallResult &) {},
        [&] {
          frames.push_back(static_cast<char *>(__builtin_frame_address(0)));
          return false;
        });
  }
  REQUIRE(f.Backend.openCalls() == slots + queued);
  f.Backend.cancel(running.front());
  CHECK(f.Backend.openCalls() == slots - 1);
  REQUIRE(frames.size() == queued);
  const auto span = std::minmax_element(frames.begin(), frames.end());
  CHECK(*span.second - *span.first < maxDepthBytes);
}
