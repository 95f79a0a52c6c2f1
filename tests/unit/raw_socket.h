/**
 * @file
 * Blocking loopback sockets for tests.
 */
#ifndef CHIVEFOLD_TESTS_RAW_SOCKET_H
#define CHIVEFOLD_TESTS_RAW_SOCKET_H

#include "chivefold/core/types.h"
#include "chivefold/io/reactor.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace chivefold {

/** A descriptor that is closed at the end. */
class RawSocket {
public:
  /** More than the connections that a test opens before it accepts them. */
  static constexpr int Backlog = 64;

  explicit RawSocket(int fd) : Fd(fd) {}
  RawSocket(RawSocket &&o) noexcept : Fd(o.Fd) { o.Fd = -1; }
  ~RawSocket() { reset(); }
  RawSocket(const RawSocket &) = delete;
  RawSocket &operator=(const RawSocket &) = delete;
  RawSocket &operator=(RawSocket &&) = delete;

  static RawSocket connectTo(const Address &a) {
    RawSocket s(socket(AF_INET, SOCK_STREAM, 0));
    const auto name = nameOf(a.Port);
    if (connect(s.Fd, reinterpret_cast<const sockaddr *>(&name),
                sizeof(name)) != 0) {
      throw std::runtime_error("connect failed");
    }
    return s;
  }
  static RawSocket listening() {
    RawSocket s(socket(AF_INET, SOCK_STREAM, 0));
    const auto name = nameOf(0);
    if (bind(s.Fd, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) !=
            0 ||
        listen(s.Fd, Backlog) != 0) {
      throw std::runtime_error("listen failed");
    }
    return s;
  }
  RawSocket accepted() const { return RawSocket(accept(Fd, nullptr, nullptr)); }
  /** @return the next connection that carries bytes: a daemon also connects to
   * see whether a server listens. */
  RawSocket acceptedInUse() const {
    for (;;) {
      auto out = accepted();
      char byte = 0;
      if (!out.isOpen() || recv(out.Fd, &byte, 1, MSG_PEEK) > 0) {
        return out;
      }
    }
  }
  Address address() const {
    sockaddr_in name{};
    socklen_t n = sizeof(name);
    getsockname(Fd, reinterpret_cast<sockaddr *>(&name), &n);
    return {"127.0.0.1", ntohs(name.sin_port)};
  }
  /** @return false once the other end has closed. */
  bool tryWrite(std::string_view data) const {
    while (!data.empty()) {
      const auto n = send(Fd, data.data(), data.size(), MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }
  void write(std::string_view data) const { tryWrite(data); }
  /** Reads until @p text was seen or the peer closed the connection. */
  std::string readUntil(std::string_view text) const {
    std::string all;
    std::array<char, 65536> buf{};
    while (text.empty() || all.find(text) == std::string::npos) {
      const auto n = recv(Fd, buf.data(), buf.size(), 0);
      if (n <= 0) {
        break;
      }
      all.append(buf.data(), static_cast<std::size_t>(n));
    }
    return all;
  }
  std::string readAll() const { return readUntil(""); }
  /** Bounds what the system receives before it is read. */
  void setReceiveBuffer(int bytes) const {
    setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  }
  void setReceiveTimeout(timeval limit) const {
    setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }
  /** @return whether the peer closed the connection. */
  bool atEnd() const {
    char byte = 0;
    const auto n = recv(Fd, &byte, 1, MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno == ECONNRESET);
  }
  bool isOpen() const { return Fd >= 0; }
  /** @return the number of the descriptor. */
  int number() const { return Fd; }
  /** @return whether there are bytes to read. */
  bool hasInput() const {
    char byte = 0;
    return recv(Fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) > 0;
  }
  /** @return whether the peer closed the connection and all was read. Takes
   * nothing from another reader. */
  bool peerClosed() const {
    char byte = 0;
    return recv(Fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
  }
  /** Ends a blocking accept in another thread. */
  void shutDown() const { shutdown(Fd, SHUT_RDWR); }
  /** Ends the sending direction; the other one stays open. */
  void endOutput() const { shutdown(Fd, SHUT_WR); }
  /** Closes with a reset in place of an orderly end. */
  void abort() {
    const linger hard{1, 0};
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    reset();
  }
  void reset() {
    if (Fd >= 0) {
      close(Fd);
    }
    Fd = -1;
  }

private:
  static sockaddr_in nameOf(std::uint16_t port) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(port);
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return name;
  }
  int Fd;
};

/** Runs the loop until @p done holds; a watchdog ends it. */
template <class Condition> bool runUntil(Reactor &reactor, Condition done) {
  const auto end = reactor.now() + std::chrono::seconds(20);
  std::function<void()> check = [&] {
    if (done() || reactor.now() > end) {
      reactor.stop();
    } else {
      reactor.schedule(reactor.now() + std::chrono::milliseconds(1), check);
    }
  };
  reactor.schedule(reactor.now(), check);
  reactor.run();
  return done();
}

/** Runs the loop for a time. */
inline void runFor(Reactor &reactor, Duration time) {
  const auto end = reactor.now() + time;
  runUntil(reactor, [&] { return reactor.now() >= end; });
}

} // namespace chivefold

#endif
