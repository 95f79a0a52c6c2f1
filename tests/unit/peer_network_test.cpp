#include "chivefold/io/peer_network.h"

#include "peer_generated.h"
#include "raw_socket.h"

#include <catch2/catch.hpp>
#include <map>

using namespace chivefold;

namespace {

wire::FrameBodyUnion fetch(std::uint64_t after) {
  wire::FetchRecordsT value;
  value.after = after;
  wire::FrameBodyUnion body;
  body.Set(value);
  return body;
}

struct PeerFixture {
  Reactor Loop;
  std::vector<std::pair<std::uint64_t, PeerResponder>> Waiting;
  std::vector<std::uint64_t> Tokens;
  std::vector<std::uint64_t> Cancelled;
  int OneWay = 0;
  std::unique_ptr<PeerNetwork> Server = std::make_unique<PeerNetwork>(
      Loop, Address{"127.0.0.1", 0},
      [this](const Address & /*from*/, wire::FrameBodyUnion &body,
             PeerResponder respond) {
        if (!respond) {
          ++OneWay;
          return;
        }
        Waiting.emplace_back(body.AsFetchRecords()->after, std::move(respond));
        Tokens.push_back(Server->requestToken());
      });
  std::unique_ptr<PeerNetwork> Client = std::make_unique<PeerNetwork>(
      Loop, Address{"127.0.0.1", 0},
      [](const Address &, wire::FrameBodyUnion &, const PeerResponder &) {});
  std::map<std::uint64_t, PeerOutcome> Outcomes;

  PeerFixture() {
    REQUIRE(Server->start());
    Server->onCancel(
        [this](std::uint64_t token) { Cancelled.push_back(token); });
  }
  PeerRequestId ask(const Address &to, std::uint64_t n,
                    Duration limit = std::chrono::seconds(15)) {
    return Client->request(
        to, fetch(n), Loop.now() + limit,
        [this, n](PeerOutcome o) { Outcomes.emplace(n, std::move(o)); });
  }
  bool waitFor(std::size_t outcomes) {
    return runUntil(Loop, [&] { return Outcomes.size() == outcomes; });
  }
};

} // namespace

// Guards against an answer that reaches another request, or a second answer to
// the same one.
TEST_CASE("crossed answers reach their own requests", "[peer_network]") {
  PeerFixture f;
  constexpr std::uint64_t n = 100;
  for (std::uint64_t i = 0; i < n; ++i) {
    f.ask(f.Server->bound(), i);
  }
  f.Client->send(f.Server->bound(), fetch(0));
  REQUIRE(
      runUntil(f.Loop, [&] { return f.Waiting.size() == n && f.OneWay == 1; }));
  for (auto it = f.Waiting.rbegin(); it != f.Waiting.rend(); ++it) {
    it->second(fetch(it->first + 1000));
    it->second(fetch(it->first + 5000));
  }
  REQUIRE(f.waitFor(n));
  for (const auto &it : f.Outcomes) {
    REQUIRE(it.second.Answer);
    CHECK(it.second.Answer->AsFetchRecords()->after == it.first + 1000);
  }
  CHECK(f.Client->bytesSent() == f.Server->bytesReceived());
  CHECK(f.Cancelled.empty());
}

// Guards against requests that wait until their deadline on a link that went
// silent, and against a late answer that counts for a later request.
TEST_CASE("a silent link fails its requests", "[peer_network]") {
  PeerFixture f;
  const auto silent = RawSocket::listening();
  const auto start = f.Loop.now();
  f.ask(silent.address(), 1, std::chrono::minutes(5));
  REQUIRE(f.waitFor(1));
  CHECK(f.Outcomes.at(1).Failure.Code == ErrorCode::ConnectionFailed);
  CHECK(f.Outcomes.at(1).MayHaveArrived);
  CHECK(f.Loop.now() - start >= PeerLimits::SilenceLimit);

  // A request that takes longer than the limit on a link that answers pings.
  f.ask(f.Server->bound(), 2, PeerLimits::SilenceLimit * 2);
  REQUIRE(f.waitFor(2));
  CHECK(f.Outcomes.at(2).Failure.Code == ErrorCode::DeadlineExceeded);
  REQUIRE(runUntil(f.Loop, [&] { return !f.Cancelled.empty(); }));
  CHECK(f.Cancelled == f.Tokens);
  f.Waiting[0].second(fetch(9));
  f.ask(f.Server->bound(), 3);
  REQUIRE(runUntil(f.Loop, [&] { return f.Waiting.size() == 2; }));
  CHECK(f.Outcomes.size() == 2);
}

// Guards against "not arrived" for a request that was sent, and the reverse
// where nothing listens, and against work that goes on for a caller that left.
TEST_CASE("broken links end their requests", "[peer_network]") {
  PeerFixture f;
  auto closed = RawSocket::listening();
  const auto nobody = closed.address();
  closed.reset();
  f.ask(nobody, 1);
  REQUIRE(f.waitFor(1));
  CHECK(f.Outcomes.at(1).Failure.Code == ErrorCode::ConnectionFailed);
  CHECK_FALSE(f.Outcomes.at(1).MayHaveArrived);

  f.ask(f.Server->bound(), 2);
  const auto id = f.ask(f.Server->bound(), 3);
  REQUIRE(runUntil(f.Loop, [&] { return f.Waiting.size() == 2; }));
  f.Client->cancel(id);
  REQUIRE(runUntil(f.Loop, [&] { return f.Cancelled.size() == 1; }));
  CHECK(f.Cancelled[0] == f.Tokens[1]);
  f.Client.reset();
  REQUIRE(runUntil(f.Loop, [&] { return f.Cancelled.size() == 2; }));
  CHECK(f.Cancelled[1] == f.Tokens[0]);
  f.Waiting[0].second(fetch(1));

  f.Client = std::make_unique<PeerNetwork>(f.Loop, Address{"127.0.0.1", 0},
                                           PeerHandler{});
  f.ask(f.Server->bound(), 4);
  REQUIRE(runUntil(f.Loop, [&] { return f.Waiting.size() == 3; }));
  f.Server.reset();
  REQUIRE(f.waitFor(2));
  CHECK(f.Outcomes.at(4).MayHaveArrived);
}

// Guards against a hostile or damaged frame that is read outside its bytes or
// allocated for in advance.
TEST_CASE("an invalid frame closes its link", "[peer_network]") {
  PeerFixture f;
  std::string damaged("\x20\x00\x00\x00", 4);
  damaged += std::string(32, '\xff');
  for (const auto &bytes : {std::string(4, '\0'), std::string(4, '\xff'),
                            damaged, std::string("\x04\0\0\0\0\0\0\0", 8)}) {
    const auto s = RawSocket::connectTo(f.Server->bound());
    s.write(bytes);
    bool ended = false;
    f.Loop.schedule(f.Loop.now() + std::chrono::milliseconds(50), [&] {
      timeval limit{0, 1};
      s.setReceiveTimeout(limit);
      ended = s.readAll().empty() && s.atEnd();
      f.Loop.stop();
    });
    f.Loop.run();
    CHECK(ended);
  }
}

// Guards against work that is started for a caller whose link has ended, though
// the end was not read yet.
TEST_CASE("the end of a link is read before its work starts",
          "[peer_network]") {
  PeerFixture f;
  f.ask(f.Server->bound(), 1);
  REQUIRE(runUntil(f.Loop, [&] { return f.Waiting.size() == 1; }));
  const auto token = f.Tokens.front();
  CHECK(f.Server->isWanted(token));
  f.Client.reset();
  CHECK_FALSE(f.Server->isWanted(token));
  CHECK(f.Cancelled == f.Tokens);
}

// Guards against links without bound: the oldest idle ones are closed, and a
// request fails as not sent when all are in use.
TEST_CASE("links are bounded", "[peer_network]") {
  PeerFixture f;
  std::vector<RawSocket> idle;
  for (std::size_t i = 0; i < PeerLimits::MaxLinks + 20; ++i) {
    idle.push_back(RawSocket::connectTo(f.Server->bound()));
    // The queue of connections that wait to be accepted is shorter.
    if (i % 8 == 0) {
      f.Loop.schedule(f.Loop.now() + std::chrono::milliseconds(1),
                      [&f] { f.Loop.stop(); });
      f.Loop.run();
    }
  }
  f.ask(f.Server->bound(), 1);
  REQUIRE(runUntil(f.Loop, [&] { return f.Waiting.size() == 1; }));
  std::size_t open = 0;
  for (const auto &s : idle) {
    s.setReceiveTimeout({0, 1});
    s.readAll();
    open += s.atEnd() ? 0 : 1;
  }
  CHECK(open == PeerLimits::MaxLinks - 1);
}
