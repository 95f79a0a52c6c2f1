#include "loopback.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <netinet/in.h>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace edge {

namespace {

sockaddr_in socketAddress(const std::string &address) {
  const auto colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(
      std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

// @return a listening socket, or -1.
int tryListenOn(const std::string &address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto a = socketAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr *>(&a), sizeof(a)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/** Ports below those that the system gives to outgoing connections. */
constexpr unsigned FirstPort = 12000;
constexpr unsigned PortCount = 18000;
/** Distance of the first ports of processes with successive ids. */
constexpr unsigned PortsPerProcess = 64;

} // namespace

int listenOn(const std::string &address) {
  const int fd = tryListenOn(address);
  if (fd < 0) {
    std::perror("listen");
    std::exit(2);
  }
  return fd;
}

std::string HttpMessage::header(const std::string &name) const {
  std::size_t at = 0;
  while (at < Headers.size()) {
    const auto end = Headers.find("\r\n", at);
    const auto line = Headers.substr(at, end - at);
    const auto colon = line.find(':');
    if (colon == name.size() &&
        strncasecmp(line.c_str(), name.c_str(), colon) == 0) {
      const auto value = line.find_first_not_of(" \t", colon + 1);
      return value == std::string::npos ? "" : line.substr(value);
    }
    at = end + 2;
  }
  return {};
}

std::string HttpMessage::target() const {
  const auto first = Start.find(' ');
  return Start.substr(first + 1, Start.find(' ', first + 1) - first - 1);
}

int HttpMessage::status() const {
  return Start.size() > 12 ? std::atoi(Start.c_str() + 9) : 0;
}

const std::string BodyText = "abcdefghijklmnopqrstuvwxyz";

std::string bodyPart(std::size_t at, std::size_t bytes) {
  std::string out;
  out.reserve(bytes + BodyText.size());
  out.append(BodyText, at % BodyText.size());
  while (out.size() < bytes) {
    out += BodyText;
  }
  out.resize(bytes);
  return out;
}

int connectTo(const std::string &address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto a = socketAddress(address);
  if (connect(fd, reinterpret_cast<const sockaddr *>(&a), sizeof(a)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// The system may give out the port of a closed listener at once again, also to
// an outgoing connection, so that ports are counted here.
std::string freeAddress() {
  static unsigned next = static_cast<unsigned>(getpid()) * PortsPerProcess;
  for (unsigned i = 0; i < PortCount; ++i) {
    const auto port = FirstPort + next++ % PortCount;
    auto address = "127.0.0.1:" + std::to_string(port);
    const int fd = tryListenOn(address);
    if (fd >= 0) {
      close(fd);
      return address;
    }
  }
  std::fprintf(stderr, "no free port\n");
  std::exit(2);
}

bool sendAll(int fd, const std::string &bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto n = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    at += static_cast<std::size_t>(n);
  }
  return true;
}

std::string encode(const HttpMessage &message) {
  return message.Start + "\r\n" + message.Headers +
         "Content-Length: " + std::to_string(message.Body.size()) + "\r\n\r\n" +
         message.Body;
}

bool HttpReader::fill() {
  std::array<char, 65536> buf{};
  const auto n = recv(Fd, buf.data(), buf.size(), 0);
  if (n <= 0) {
    return false;
  }
  Buffer.append(buf.data(), static_cast<std::size_t>(n));
  return true;
}

bool HttpReader::read(HttpMessage &message, bool keepBody) {
  std::size_t end = 0;
  while ((end = Buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) {
      return false;
    }
  }
  const auto line = Buffer.find("\r\n");
  message = {Buffer.substr(0, line), Buffer.substr(line + 2, end - line), ""};
  Buffer.erase(0, end + 4);
  auto left =
      std::strtoull(message.header("Content-Length").c_str(), nullptr, 10);
  while (left > 0) {
    if (Buffer.empty() && !fill()) {
      return false;
    }
    const auto n = std::min<std::size_t>(left, Buffer.size());
    if (keepBody) {
      message.Body.append(Buffer, 0, n);
    }
    Buffer.erase(0, n);
    left -= n;
  }
  return true;
}

int exchange(const std::string &address, const std::string &request,
             HttpMessage &answer) {
  const int fd = connectTo(address);
  if (fd < 0) {
    return 0;
  }
  // A refusal may come before the end of the request.
  sendAll(fd, request);
  const bool isWhole = HttpReader(fd).read(answer);
  close(fd);
  return isWhole ? answer.status() : 0;
}

void serveConnections(const std::string &address,
                      std::function<void(int fd)> handler) {
  const int listener = listenOn(address);
  std::thread([=, handler = std::move(handler)] {
    for (int fd = 0;
         (fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
      std::thread([=] {
        handler(fd);
        close(fd);
      }).detach();
    }
  }).detach();
}

void serve(const std::string &address, bool keepBodies,
           std::function<HttpMessage(const HttpMessage &)> handler) {
  serveConnections(address, [=, handler = std::move(handler)](int fd) {
    HttpReader in(fd);
    HttpMessage request;
    while (in.read(request, keepBodies)) {
      if (!sendAll(fd, encode(handler(request)))) {
        break;
      }
    }
  });
}

std::string queryValue(const std::string &target, const std::string &name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos) {
    return {};
  }
  const auto from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

} // namespace edge
