/**
 * @file
 * An HTTP client and a listening socket that a test answers by hand.
 */
#ifndef CHIVEFOLD_TESTS_HTTP_CLIENT_FIXTURE_H
#define CHIVEFOLD_TESTS_HTTP_CLIENT_FIXTURE_H

#include "chivefold/io/http_client.h"

#include "raw_socket.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace chivefold {

struct ClientFixture {
  Reactor Loop;
  RawSocket Listener = RawSocket::listening();
  std::unique_ptr<HttpClient> Client = std::make_unique<HttpClient>(Loop, 2);

  HttpCall call(bool fresh = false) {
    HttpCall c;
    c.Method = "POST";
    c.Url = "http://" + toString(Listener.address()) + "/x";
    c.Body = "work";
    c.Deadline = Loop.now() + std::chrono::seconds(20);
    c.FreshConnection = fresh;
    return c;
  }

  HttpOutcome finish(HttpCall c) {
    std::optional<HttpOutcome> out;
    Client->start(std::move(c), [&](HttpOutcome o) { out = std::move(o); });
    CHECK_FALSE(out.has_value());
    REQUIRE(runUntil(Loop, [&] { return out.has_value(); }));
    return std::move(*out);
  }

  // Answers one request on a new connection with raw bytes.
  HttpOutcome finishWith(const std::string &raw) {
    std::thread server([&] {
      const auto s = Listener.accepted();
      s.readUntil("work");
      s.write(raw);
    });
    auto out = finish(call());
    server.join();
    return out;
  }
};

/** A whole response. */
inline const std::string OkResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace chivefold

#endif
