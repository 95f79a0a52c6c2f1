// When callbacks run, and when waiting calls get a connection.
#include "http_client_fixture.h"
#include "unwatchable_descriptors.h"

#include <algorithm>
#include <atomic>
#include <vector>

using namespace chivefold;

namespace {

/** Counts the ends of calls, whose callbacks must not run inside each other. */
class EndCounter {
public:
  explicit EndCounter(std::size_t calls) : Ends(calls) {}

  HttpClient::Callback callback(std::size_t call) {
    return [this, call](const HttpOutcome &outcome) {
      CHECK(++Depth == 1);
      ++Ends[call];
      Answered += outcome.Response ? 1 : 0;
      Uncertain += !outcome.Response && outcome.MayHaveRun ? 1 : 0;
      --Depth;
    };
  }
  bool anyEnded() const { return count(0) < Ends.size(); }
  bool allEnded() const { return count(0) == 0; }
  /** @return whether so many calls have ended once, and the others have not. */
  bool endedOnce(std::size_t calls) const {
    return count(1) == calls && count(0) == Ends.size() - calls;
  }

  std::size_t Answered = 0;
  /** Calls without a response that may have run. */
  std::size_t Uncertain = 0;

private:
  std::size_t count(int times) const {
    return static_cast<std::size_t>(
        std::count(Ends.begin(), Ends.end(), times));
  }

  std::vector<int> Ends;
  int Depth = 0;
};

/** Starts so many calls and answers each. @return their connections, which are
 * idle. */
std::vector<RawSocket> serveEach(ClientFixture &f, std::size_t connections,
                                 EndCounter &ends) {
  std::vector<RawSocket> out;
  for (std::size_t i = 0; i < connections; ++i) {
    f.Client->start(f.call(), ends.callback(i));
    out.push_back(f.Listener.accepted());
  }
  std::thread server([&] {
    for (const auto &it : out) {
      it.readUntil("work");
      it.write(OkResponse);
    }
  });
  CHECK(runUntil(f.Loop, [&] { return ends.allEnded(); }));
  server.join();
  return out;
}

} // namespace

// Guards against a call that ends while it is given a connection, and is given
// one again: the process ended by std::out_of_range when the store reset
// connections behind its answers.
TEST_CASE("waiting calls end once when connections are reset behind responses",
          "[http_client]") {
  constexpr std::size_t connections = 4;
  constexpr std::size_t calls = 64;
  ClientFixture f;
  f.Client->setMaxConnections(connections);
  EndCounter ends(calls);
  for (std::size_t i = 0; i < calls; ++i) {
    f.Client->start(f.call(), ends.callback(i));
  }
  std::vector<RawSocket> open;
  for (std::size_t i = 0; i < connections; ++i) {
    open.push_back(f.Listener.accepted());
  }
  REQUIRE(runUntil(f.Loop, [&] {
    return std::all_of(open.begin(), open.end(),
                       [](const auto &it) { return it.hasInput(); });
  }));
  // Further connections are refused.
  f.Listener.reset();
  for (auto &it : open) {
    it.readUntil("work");
    it.write(OkResponse);
    it.abort();
  }
  REQUIRE(runUntil(f.Loop, [&] { return ends.allEnded(); }));
  CHECK(ends.endedOnce(calls));
  CHECK(ends.Answered == connections);
  // No byte of the others was sent.
  CHECK(ends.Uncertain == 0);
}

// Guards against callbacks inside start(), and against "may have run" for calls
// of which no byte was sent.
TEST_CASE("calls on connections that died while idle end later and once",
          "[http_client]") {
  constexpr std::size_t connections = 8;
  ClientFixture f;
  f.Client->setMaxConnections(connections);
  EndCounter first(connections);
  auto open = serveEach(f, connections, first);
  for (auto &it : open) {
    it.abort();
  }
  EndCounter ends(connections);
  auto last = HttpCallId::None;
  for (std::size_t i = 0; i < connections; ++i) {
    last = f.Client->start(f.call(), ends.callback(i));
  }
  CHECK_FALSE(ends.anyEnded());
  CHECK(f.Client->cancelUnsent(last));
  runFor(f.Loop, std::chrono::milliseconds(20));
  CHECK(ends.endedOnce(connections - 1));
  CHECK(ends.Answered + ends.Uncertain == 0);
}

// Guards against a callback that runs after its client was destroyed: the end
// of a call that failed at once was scheduled beyond the life of the client.
TEST_CASE("no callback runs after the client is destroyed", "[http_client]") {
  constexpr std::size_t connections = 2;
  ClientFixture f;
  EndCounter first(connections);
  auto open = serveEach(f, connections, first);
  for (auto &it : open) {
    it.abort();
  }
  EndCounter ends(connections);
  for (std::size_t i = 0; i < connections; ++i) {
    f.Client->start(f.call(), ends.callback(i));
  }
  f.Client.reset();
  runFor(f.Loop, std::chrono::milliseconds(20));
  CHECK_FALSE(ends.anyEnded());
}

// Guards against a client that is used after a callback has destroyed it.
TEST_CASE("a callback may destroy the client", "[http_client]") {
  ClientFixture f;
  const auto refused = f.call();
  f.Listener.reset();
  f.Client->setMaxConnections(1);
  int ended = 0;
  for (int i = 0; i < 8; ++i) {
    f.Client->start(refused, [&](const HttpOutcome &) {
      ++ended;
      f.Client.reset();
    });
  }
  REQUIRE(runUntil(f.Loop, [&] { return ended > 0; }));
  runFor(f.Loop, std::chrono::milliseconds(20));
  CHECK(ended == 1);
}

// Guards against a call that waits on until another one ends, although a raised
// bound allows it a connection.
TEST_CASE("a raised bound starts the calls that wait", "[http_client]") {
  ClientFixture f;
  f.Client->setMaxConnections(1);
  std::atomic<bool> isSecondOpen{false};
  std::thread server([&] {
    const auto first = f.Listener.accepted();
    const auto second = f.Listener.accepted();
    isSecondOpen = second.isOpen();
    for (const auto *it : {&first, &second}) {
      it->readUntil("work");
      it->write(OkResponse);
    }
  });
  EndCounter ends(2);
  auto call = f.call();
  call.Deadline = f.Loop.now() + std::chrono::seconds(5);
  f.Client->start(call, ends.callback(0));
  f.Client->start(call, ends.callback(1));
  f.Client->setMaxConnections(2);
  CHECK(runUntil(f.Loop, [&] { return ends.allEnded(); }));
  f.Client.reset();
  f.Listener.shutDown();
  server.join();
  CHECK(isSecondOpen);
  CHECK(ends.Answered == 2);
}

// Guards against idle connections over a lowered bound, of which only one was
// closed: a backend server gets more connections than it bears.
TEST_CASE("a lowered bound closes all idle connections over it",
          "[http_client]") {
  constexpr std::size_t connections = 4;
  ClientFixture f;
  f.Client->setMaxConnections(connections);
  EndCounter ends(connections);
  const auto open = serveEach(f, connections, ends);
  f.Client->setMaxConnections(1);
  CHECK(std::count_if(open.begin(), open.end(), [](const auto &it) {
          return it.peerClosed();
        }) == connections - 1);
}

// Guards against a call that holds a connection until its deadline although the
// reactor cannot watch its descriptor, and then counts as timed out.
TEST_CASE("a connection that cannot be watched fails its call at once",
          "[http_client]") {
  ClientFixture f;
  {
    const UnwatchableDescriptors taken;
    auto call = f.call();
    call.Deadline = f.Loop.now() + std::chrono::seconds(2);
    const auto out = f.finish(call);
    CHECK(out.Response.reason().Code == ErrorCode::ConnectionFailed);
    CHECK_FALSE(out.MayHaveRun);
  }
  // Closed by the client.
  const auto dead = f.Listener.accepted();
  CHECK(f.finishWith(OkResponse).Response);
}
