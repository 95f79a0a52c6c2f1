#include "chivefold/io/http_server.h"

#include "raw_socket.h"

#include <catch2/catch.hpp>
#include <future>
#include <list>

using namespace chivefold;

namespace {

constexpr std::size_t MiB = 1U << 20U;

struct EdgeFixture {
  explicit EdgeFixture(std::size_t budgetBytes = 32 * MiB)
      : Budget(std::make_shared<ByteBudget>(budgetBytes)),
        Server(
            Loop, {"127.0.0.1", 0},
            [this](const std::shared_ptr<HttpExchange> &exchange) {
              ++Handled;
              HeldWhileHandled = Budget->held();
              exchange->respond({200, {}, "served"});
            },
            Budget) {
    REQUIRE(Server.start());
  }

  std::uint64_t refusals(EdgeRefusal reason) const {
    return Server.refusals()[static_cast<std::size_t>(reason)];
  }

  /** Sends on a connection that stays open, while the loop runs. */
  RawSocket &send(const std::string &bytes) {
    auto &s = Open.emplace_back(RawSocket::connectTo(Server.bound()));
    await([&s, &bytes] {
      s.tryWrite(bytes);
      return std::string();
    });
    return s;
  }
  std::string answerOn(const RawSocket &s) {
    return await([&s] { return s.readAll(); });
  }
  std::string exchange(const std::string &bytes) {
    return answerOn(send(bytes));
  }

  Reactor Loop;
  std::shared_ptr<ByteBudget> Budget;
  int Handled = 0;
  std::size_t HeldWhileHandled = 0;
  HttpServer Server;
  std::list<RawSocket> Open;

private:
  std::string await(const std::function<std::string()> &task) {
    auto result = std::async(std::launch::async, task);
    runUntil(Loop, [&] {
      return result.wait_for(std::chrono::seconds(0)) ==
             std::future_status::ready;
    });
    return result.get();
  }
};

std::string chunkedPost(const std::string &rest) {
  return "POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
         "Transfer-Encoding: chunked\r\n\r\n" +
         rest;
}

std::string lengthPost(std::size_t length, std::size_t sent) {
  return "POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(length) + "\r\n\r\n" + std::string(sent, 'b');
}

bool hasStatus(const std::string &answer, int status) {
  return answer.rfind("HTTP/1.1 " + std::to_string(status), 0) == 0;
}

std::string fields(std::size_t n) {
  std::string out;
  for (std::size_t i = 0; i < n; ++i) {
    out += "X-Note: " + std::string(90, 'n') + "\r\n";
  }
  return out;
}

} // namespace

TEST_CASE("trailers count against the limit of the headers", "[edge_server]") {
  EdgeFixture f;
  CHECK(hasStatus(
      f.exchange(chunkedPost("1\r\nb\r\n0\r\n" + fields(20) + "\r\n")), 200));
  SECTION("without an end") {
    CHECK(hasStatus(f.exchange(chunkedPost("1\r\nb\r\n0\r\n" + fields(400))),
                    431));
  }
  SECTION("whole") {
    CHECK(hasStatus(
        f.exchange(chunkedPost("1\r\nb\r\n0\r\n" + fields(250) + "\r\n")),
        431));
  }
  CHECK(f.Handled == 1);
  CHECK(f.refusals(EdgeRefusal::Header) == 1);
}

TEST_CASE("chunk extensions count against the limit of the headers",
          "[edge_server]") {
  EdgeFixture f;
  const auto chunk = [](std::size_t n) {
    return "1;note=" + std::string(n, 'e') + "\r\nb\r\n";
  };
  CHECK(hasStatus(f.exchange(chunkedPost(chunk(1000) + "0\r\n\r\n")), 200));
  SECTION("in one chunk") {
    CHECK(hasStatus(
        f.exchange(chunkedPost("1;note=" + std::string(40000, 'e'))), 431));
  }
  SECTION("in many chunks") {
    std::string all;
    for (int i = 0; i < 40; ++i) {
      all += chunk(1000);
    }
    CHECK(hasStatus(f.exchange(chunkedPost(all + "0\r\n\r\n")), 431));
  }
  CHECK(f.Handled == 1);
}

TEST_CASE("a body that stays open too long is refused", "[edge_server]") {
  EdgeFixture f;
  HttpServerLimits limits;
  limits.HeaderTimeout = std::chrono::milliseconds(20);
  limits.BodyTimeout = std::chrono::milliseconds(60);
  f.Server.setLimits(limits);
  CHECK(hasStatus(f.exchange(lengthPost(10, 9)), 408));
  CHECK(f.refusals(EdgeRefusal::Slow) == 1);
}

TEST_CASE("the bytes of all connections stay within the budget",
          "[edge_server]") {
  EdgeFixture f(8 * MiB);
  std::vector<RawSocket *> open;
  open.reserve(12);
  for (int i = 0; i < 12; ++i) {
    open.push_back(&f.send(lengthPost(MiB, MiB - 1)));
  }
  runUntil(f.Loop, [&f] { return f.refusals(EdgeRefusal::Memory) >= 9; });
  CHECK(f.refusals(EdgeRefusal::Memory) == 9);
  CHECK(f.Budget->peak() <= f.Budget->limit());
  CHECK(f.Handled == 0);
  // A refusal promises that the request was not run.
  const auto refused = f.answerOn(*open.front());
  CHECK(hasStatus(refused, 503));
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(hasStatus(f.exchange(lengthPost(4, 4)), 200));
}

TEST_CASE("a body that can never be held is refused by its length",
          "[edge_server]") {
  EdgeFixture f(MiB);
  CHECK(hasStatus(f.exchange(lengthPost(MiB, 0)), 413));
  CHECK(f.refusals(EdgeRefusal::Body) == 1);
}

TEST_CASE("a body counts while its request is handled", "[edge_server]") {
  EdgeFixture f;
  CHECK(hasStatus(f.exchange(lengthPost(MiB, MiB)), 200));
  CHECK(f.HeldWhileHandled >= EdgeLimits::BodyCopies * MiB);
  CHECK(f.HeldWhileHandled <= EdgeLimits::BodyCopies * MiB + MiB / 4);
  f.Open.clear();
  CHECK(runUntil(f.Loop, [&f] { return f.Budget->held() == 0; }));
}

TEST_CASE("a new connection replaces the one that was silent longest",
          "[edge_server]") {
  EdgeFixture f;
  HttpServerLimits limits;
  limits.MaxConnections = 4;
  f.Server.setLimits(limits);
  for (int i = 0; i < 10; ++i) {
    f.send("G");
  }
  CHECK(hasStatus(f.exchange(lengthPost(4, 4)), 200));
  CHECK(f.refusals(EdgeRefusal::Connections) >= 6);
}
