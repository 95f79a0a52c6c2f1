#include "backend_fixture.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace chivefold;

namespace {

/** When a faulty server writes an earlier refusal once more. */
enum class Moment {
  /** In one packet with the refusal itself. */
  Behind,
  /** While the connection is idle. */
  Idle,
  /** While the next request is being written. */
  Writing,
  /** While the next request runs. */
  Running
};

const std::vector<std::pair<Moment, const char *>> Moments{
    {Moment::Behind, "behind the refusal"},
    {Moment::Idle, "idle"},
    {Moment::Writing, "while the request is written"},
    {Moment::Running, "while the request runs"}};

struct Refusal {
  const char *Name;
  int Status;
  std::string Id;
  /** Sent in two packets. */
  bool IsSplit = false;
  /** Behind an interim response. */
  bool FollowsInterim = false;
};

const std::vector<Refusal> Refusals{
    {"earlier id", 503, "first"},
    {"no id", 503, ""},
    {"earlier id, split", 503, "first", true},
    {"misdirected, earlier id", 421, "first"},
    {"misdirected, no id", 421, ""},
    {"earlier id, behind an interim response", 503, "first", false, true},
    {"no id, behind an interim response", 429, "", false, true}};

std::string answerText(int status, const std::string &id,
                       const std::string &headers, const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
         (id.empty() ? id : "Chivefold-Request-Id: " + id + "\r\n") + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string refusalText(const Refusal &refusal) {
  return (refusal.FollowsInterim ? "HTTP/1.1 100 Continue\r\n\r\n" : "") +
         answerText(
             refusal.Status, refusal.Id,
             refusal.Status == 421 ? "" : "Chivefold-Not-Executed: 1\r\n", "");
}

void writeCopy(const RawSocket &s, const Refusal &refusal) {
  const auto text = refusalText(refusal);
  const auto n = refusal.IsSplit ? text.size() / 2 : text.size();
  s.write(text.substr(0, n));
  if (refusal.IsSplit) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    s.write(text.substr(n));
  }
}

/** Larger than the buffers of the sockets on both ends. */
constexpr std::size_t LongBytes = 16U << 20U;

struct StaleRefusal : BackendFixture {
  StaleRefusal() {
    configure();
    REQUIRE(Backend.report(report("i", 1, 1)));
  }

  CallMessage callOf(const std::string &id, std::size_t bytes = 0) const {
    auto out = call();
    out.RequestId = id;
    out.Body = std::string(bytes, 'x') + "work";
    out.Deadline = Loop.now() + std::chrono::milliseconds(1500);
    return out;
  }

  CallResult finish(CallMessage message) {
    std::optional<CallResult> result;
    Backend.run(std::move(message),
                [&](CallResult r) { result = std::move(r); });
    REQUIRE(runUntil(Loop, [&] { return result.has_value(); }));
    return std::move(*result);
  }
};

// Serves the request that follows the refused one. @return whether a server ran
// it.
bool serveSecond(const RawSocket &s, Moment moment, const Refusal &refusal) {
  if (moment == Moment::Writing) {
    s.readUntil("\r\n\r\n");
    writeCopy(s, refusal);
  }
  const bool ran = s.readUntil("work").find("work") != std::string::npos;
  if (ran && moment == Moment::Running) {
    writeCopy(s, refusal);
  }
  return ran;
}

} // namespace

// Guards against an earlier refusal that is taken for the refusal of the next
// request on its connection: the client would be told "not run" for a request
// that the server runs, or it would run on a second server.
TEST_CASE("an earlier refusal refuses no other request", "[stale_refusal]") {
  for (const auto &[moment, momentName] : Moments) {
    for (const auto &refusal : Refusals) {
      INFO(momentName << ", " << refusal.Name);
      StaleRefusal f;
      bool ran = false;
      std::atomic<bool> isClosed{false};
      std::thread server([&, moment = moment] {
        auto first = f.Listener.accepted();
        first.readUntil("work");
        first.write(
            answerText(503, "first", "Chivefold-Not-Executed: 1\r\n", ""));
        if (moment == Moment::Behind || moment == Moment::Idle) {
          // The client closes a connection with bytes that nobody asked for.
          writeCopy(first, refusal);
          first.readAll();
          isClosed = true;
          const auto next = f.Listener.accepted();
          ran = next.readUntil("work").find("work") != std::string::npos;
          next.write(answerText(200, "second",
                                "Chivefold-Server-Signature: s\r\n", "ok"));
          return;
        }
        ran = serveSecond(first, moment, refusal);
        first.write(answerText(200, "second",
                               "Chivefold-Server-Signature: s\r\n", "ok"));
        first.readAll();
      });
      const auto refused = f.finish(f.callOf("first"));
      CHECK(refused.Result == Outcome::NotRun);
      if (moment == Moment::Idle || moment == Moment::Behind) {
        CHECK(runUntil(f.Loop, [&] { return isClosed.load(); }));
      }
      const auto result = f.finish(
          f.callOf("second", moment == Moment::Writing ? LongBytes : 0));
      f.Client.closeIdle();
      server.join();
      // The answer of the server itself, or none that is known.
      if (moment == Moment::Writing) {
        CHECK(result.Result == Outcome::Unknown);
      } else {
        CHECK(ran);
        CHECK(result.Result == Outcome::Answered);
        CHECK(result.Body == "ok");
      }
    }
  }
}

// Guards against the reuse of a connection on which a response to another
// request arrived: the server may write further ones.
TEST_CASE("a connection with a foreign response is not used again",
          "[stale_refusal]") {
  StaleRefusal f;
  std::atomic<bool> wasClosed{false};
  std::thread server([&] {
    const auto s = f.Listener.accepted();
    s.readUntil("work");
    s.write(answerText(503, "earlier", "Chivefold-Not-Executed: 1\r\n", "") +
            answerText(200, "q", "Chivefold-Server-Signature: s\r\n", "ok"));
    wasClosed = s.readAll().empty();
  });
  const auto result = f.finish(f.callOf("q"));
  CHECK(result.Result == Outcome::Answered);
  // Long before it would be closed as idle.
  const auto end = f.Loop.now() + HttpClient::MaxIdleTime / 2;
  runUntil(f.Loop, [&] { return wasClosed.load() || f.Loop.now() >= end; });
  CHECK(wasClosed);
  f.Client.closeIdle();
  server.join();
}

// Guards against any response that is taken for the answer to a request whose
// client gave it no id.
TEST_CASE("a request without an id uses a connection of its own",
          "[stale_refusal]") {
  StaleRefusal f;
  std::thread server([&] {
    const auto first = f.Listener.accepted();
    first.readUntil("work");
    first.write(answerText(503, "first", "Chivefold-Not-Executed: 1\r\n", ""));
    const auto second = f.Listener.accepted();
    second.readUntil("work");
    second.write(answerText(503, "first", "Chivefold-Not-Executed: 1\r\n", ""));
    second.write(
        answerText(200, "", "Chivefold-Server-Signature: s\r\n", "ok"));
    second.readAll();
    first.readAll();
  });
  CHECK(f.finish(f.callOf("first")).Result == Outcome::NotRun);
  const auto result = f.finish(f.callOf(""));
  CHECK(result.Result == Outcome::Answered);
  f.Client.closeIdle();
  // After a failure the server may still wait for a connection.
  f.Listener.shutDown();
  server.join();
}
