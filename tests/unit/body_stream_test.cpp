#include "chivefold/io/body_stream.h"

#include "chivefold/io/peer_network.h"
#include "chivefold/mesh/open_bodies.h"
#include "peer_generated.h"
#include "raw_socket.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

std::string pattern(std::size_t n) {
  std::string out(n, '\0');
  for (std::size_t i = 0; i < n; ++i) {
    out[i] = static_cast<char>('a' + i % 23);
  }
  return out;
}

wire::FrameBodyUnion request() {
  wire::FrameBodyUnion body;
  body.Set(wire::FetchRecordsT{});
  return body;
}

/** Two daemons; the second one receives the body of each request. */
struct PeerBodyFixture {
  Reactor Loop;
  std::shared_ptr<BodyStream> Arriving;
  PeerResponder Respond;
  std::unique_ptr<PeerNetwork> Server = std::make_unique<PeerNetwork>(
      Loop, Address{"127.0.0.1", 0},
      [this](const Address &, wire::FrameBodyUnion &, PeerResponder respond) {
        if (respond) {
          Arriving = Server->receiveRest(Length);
          Respond = std::move(respond);
        }
      });
  PeerNetwork Client{Loop, Address{"127.0.0.1", 0}, [](auto &&...) {}};
  std::optional<std::uint64_t> Length;
  std::optional<PeerOutcome> Outcome;

  PeerBodyFixture() { REQUIRE(Server->start()); }

  std::shared_ptr<BodyStream> send(std::optional<std::uint64_t> length) {
    Length = length;
    auto body = std::make_shared<BodyStream>(length, Loop.now());
    Id = Client.request(
        Server->bound(), request(), Loop.now() + std::chrono::seconds(15),
        [this](PeerOutcome out) { Outcome = std::move(out); }, body);
    REQUIRE(runUntil(Loop, [&] { return Arriving != nullptr; }));
    return body;
  }
  void pass(Duration time) { runFor(Loop, time); }

  PeerRequestId Id = PeerRequestId::None;
};

} // namespace

// Guards against bytes that are lost, doubled or reordered between the two
// sides, and against an end that comes before the bytes.
TEST_CASE("a body stream passes bytes on as they come", "[body_stream]") {
  rc::check("pushes and takes of any size",
            [](std::vector<std::uint8_t> sizes, std::uint8_t takes) {
              BodyStream stream(std::nullopt, at(0));
              std::string sent;
              std::string got;
              for (std::size_t i = 0; i < sizes.size(); ++i) {
                const auto part = pattern(sizes[i]);
                sent += part;
                stream.push(part, i + 1 == sizes.size(), at(0));
                RC_ASSERT(!stream.isAtEnd() || part.empty());
                got += stream.take(takes, at(0));
              }
              while (stream.size() > 0) {
                got += stream.take(std::max<std::size_t>(takes, 1), at(0));
              }
              RC_ASSERT(got == sent);
              RC_ASSERT(stream.isAtEnd() == !sizes.empty());
            });
}

TEST_CASE("a body stream says when to pause and who waits", "[body_stream]") {
  BodyStream stream(10, at(0));
  int arrivals = 0;
  int takes = 0;
  stream.onArrival([&] { ++arrivals; });
  stream.onTaken([&] { ++takes; });
  CHECK_FALSE(stream.isStarted());
  stream.push(std::string(BodyStream::WindowBytes, 'x'), false, at(0));
  CHECK(stream.isFull());
  CHECK(arrivals == 1);
  CHECK(stream.take(1, at(5)).size() == 1);
  CHECK(stream.isStarted());
  CHECK_FALSE(stream.isFull());
  CHECK(takes == 1);
  stream.push("", true, at(6));
  CHECK_FALSE(stream.isAtEnd());
  stream.take(BodyStream::WindowBytes, at(7));
  CHECK(stream.isAtEnd());
  CHECK(stream.endedAt() == at(7));
}

TEST_CASE("the pace of a body falls while nothing arrives", "[body_stream]") {
  BodyStream stream(std::nullopt, at(0));
  for (int i = 0; i < 5000; i += 10) {
    stream.push(std::string(10'000, 'x'), false, at(i));
  }
  CHECK(stream.pace(at(5000)) == Approx(1'000'000).epsilon(0.05));
  CHECK(stream.pace(at(15'000)) < 100);
}

// The load: clients that stop in mid-body on many connections at once.
TEST_CASE("open bodies get a part of the slots", "[open_bodies]") {
  CHECK(OpenBodyPolicy::limit(0) == 1);
  CHECK(OpenBodyPolicy::limit(4) == 1);
  CHECK(OpenBodyPolicy::limit(9) == 2);
  CHECK(OpenBodyPolicy::limit(40) == 10);
}

TEST_CASE("the slowest body gives way, once it had time to start",
          "[open_bodies]") {
  const auto call = [](std::uint64_t id) { return GateRequestId{id}; };
  const std::vector<OpenBody> bodies{{call(1), at(0), 1e6},
                                     {call(2), at(0), 200},
                                     {call(3), at(0), 100},
                                     {call(4), at(900), 0}};
  CHECK_FALSE(OpenBodyPolicy::slowest({}, at(5000)));
  CHECK_FALSE(OpenBodyPolicy::slowest(bodies, at(999)));
  CHECK(OpenBodyPolicy::slowest(bodies, at(1000)) == call(3));
  CHECK(OpenBodyPolicy::slowest(bodies, at(1900)) == call(4));
  CHECK_FALSE(OpenBodyPolicy::slowest({bodies[0]}, at(5000)));
}

// Guards against a body that is changed between two daemons, and against one
// that is held whole at either of them.
TEST_CASE("a body passes between daemons in parts", "[peer_body]") {
  const bool isKnown = GENERATE(false, true);
  PeerBodyFixture f;
  const auto bytes = pattern(600'000);
  const auto body = f.send(isKnown ? std::optional<std::uint64_t>(bytes.size())
                                   : std::nullopt);
  std::string got;
  std::size_t largest = 0;
  f.Arriving->onArrival([&] {
    largest = std::max(largest, f.Arriving->size());
    got += f.Arriving->take(5000, f.Loop.now());
  });
  f.Arriving->take(1, f.Loop.now());
  std::size_t sent = 0;
  REQUIRE(runUntil(f.Loop, [&] {
    if (sent < bytes.size() && !body->isFull()) {
      const auto n = std::min<std::size_t>(30'000, bytes.size() - sent);
      body->push(std::string_view(bytes).substr(sent, n),
                 sent + n == bytes.size(), f.Loop.now());
      sent += n;
    }
    got += f.Arriving->take(5000, f.Loop.now());
    return f.Arriving->isAtEnd();
  }));
  CHECK(got == bytes);
  CHECK(largest <= BodyStream::WindowBytes);
}

// Guards against a refused request whose body has started on its way, which
// could not be sent to another server.
TEST_CASE("no part of a body is sent before its receiver asks", "[peer_body]") {
  PeerBodyFixture f;
  const auto body = f.send(std::nullopt);
  body->push("work", true, f.Loop.now());
  f.pass(milliseconds(50));
  CHECK_FALSE(body->isStarted());
  wire::FrameBodyUnion answer;
  answer.Set(wire::RecordsT{});
  f.Respond(std::move(answer));
  REQUIRE(runUntil(f.Loop, [&] { return f.Outcome.has_value(); }));
  CHECK_FALSE(body->isStarted());
}

TEST_CASE("a receiver that takes nothing stops the sender", "[peer_body]") {
  PeerBodyFixture f;
  const auto body = f.send(std::nullopt);
  f.Arriving->take(1, f.Loop.now());
  for (int i = 0; i < 10; ++i) {
    body->push(pattern(BodyStream::WindowBytes / 4), false, f.Loop.now());
    f.pass(milliseconds(10));
  }
  CHECK(f.Arriving->size() == BodyStream::WindowBytes);
  CHECK(body->isFull());
}

// Guards against parts that reach a call that is gone, or tasks of it that run.
TEST_CASE("a cancelled call takes no further part", "[peer_body]") {
  PeerBodyFixture f;
  const auto body = f.send(std::nullopt);
  f.Arriving->take(1, f.Loop.now());
  f.pass(milliseconds(20));
  const auto arriving = f.Arriving;
  f.Client.cancel(f.Id);
  f.pass(milliseconds(20));
  body->push("late", true, f.Loop.now());
  f.pass(milliseconds(20));
  CHECK(arriving->size() == 0);
  arriving->take(1, f.Loop.now());
}

// A peer that sends more than it was credited would decide about the memory of
// this process.
TEST_CASE("a part beyond its credit breaks the link", "[peer_body]") {
  PeerBodyFixture f;
  const auto frame = [](std::uint64_t id, auto message) {
    wire::FrameT out;
    out.request_id = id;
    out.body.Set(std::move(message));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Frame::Pack(builder, &out));
    const auto n = builder.GetSize();
    std::string text;
    for (unsigned i = 0; i < 4; ++i) {
      text += static_cast<char>(n >> (8 * i) & 0xffU);
    }
    return text.append(
        reinterpret_cast<const char *>(builder.GetBufferPointer()), n);
  };
  const auto peer = RawSocket::connectTo(f.Server->bound());
  peer.write(frame(7, wire::FetchRecordsT{}));
  REQUIRE(runUntil(f.Loop, [&] { return f.Arriving != nullptr; }));
  wire::CallBodyT part;
  part.call_id = 7;
  part.bytes.assign(10, 'x');
  peer.write(frame(0, part));
  CHECK(runUntil(f.Loop, [&] { return peer.peerClosed(); }));
  CHECK(f.Arriving->size() == 0);
}
