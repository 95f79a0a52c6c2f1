/**
 * @file
 * Backend servers that send bytes which are no answer, without end, until their
 * caller closes. The daemon that called must neither keep them nor end, and
 * ordinary requests for other servers are answered meanwhile.
 */
#include "case_main.h"
#include "checks.h"
#include "restarting_server.h"
#include "two_hosts.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <thread>
#include <vector>

namespace {

using namespace edge;

/** Memory of a host that a few unbounded answers would fill. */
constexpr std::size_t HostMb = 64;
constexpr unsigned Slots = 60;
constexpr std::size_t Clients = 60;
constexpr int DeadlineMs = 1500;
/** A server gives up after so many bytes, so that the test ends. */
constexpr std::size_t MaxSentBytes = 256U << 20U;
constexpr auto SlowPause = std::chrono::milliseconds(2);

/** What a server sends after it has read a request. */
struct Shape {
  const char *Name = "";
  std::string Head;
  /** Sent again and again. */
  std::string Unit;
  /** Waits between two units. */
  bool IsSlow = false;
};

std::vector<Shape> shapes() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string text(4096, 'x');
  return {
      {"status line", "HTTP/1.1 200 ", text},
      {"no HTTP", "", text},
      {"header line", ok + "X-Endless: ", text},
      {"headers", ok, "X-Endless: " + std::string(200, 'x') + "\r\n"},
      {"folded lines", ok + "X-Endless: x\r\n", " x\r\n"},
      {"empty lines", "", "\r\n"},
      {"body without a length", ok + "\r\n", text},
      {"body longer than it says", ok + "Content-Length: 4\r\n\r\n", text},
      {"body of a great length", ok + "Content-Length: 999999999999\r\n\r\n",
       text},
      {"small chunks", chunked, "1\r\nx\r\n"},
      {"large chunk", chunked + "fffffff\r\n", text},
      {"chunk extension", chunked + "1;x=", text},
      {"trailers", chunked + "0\r\n", "X-Endless: x\r\n"},
      {"interim answers", "", "HTTP/1.1 103 X\r\nLink: x\r\n\r\n"},
      {"answers of others", "",
       ok + "Chivefold-Request-Id: other\r\nContent-Length: 4\r\n\r\nbody"},
      {"slow head", ok, "X-Endless: x\r\n", true},
      {"slow body", ok + "\r\n", "x", true},
  };
}

/** Answers requests as its shape says, or like any server without one. */
class EndlessServer {
public:
  EndlessServer() : Address(freeAddress()) {
    serveConnections(Address, [this](int fd) { handle(fd); });
  }

  const std::string &address() const { return Address; }
  void set(const Shape *shape) { Current = shape; }
  /** @return the most bytes that were sent on one connection. */
  std::size_t mostSent() const { return MostSent; }

private:
  void handle(int fd) {
    HttpReader in(fd);
    HttpMessage request;
    while (in.read(request)) {
      if (const auto *shape = Current.load()) {
        return send(fd, *shape);
      }
      const auto id = request.header("Chivefold-Request-Id");
      std::string answer = "HTTP/1.1 200 OK\r\nChivefold-Request-Id: ";
      answer.append(id).append("\r\nChivefold-Server-Signature: s.");
      answer.append(id).append("\r\nContent-Length: 2\r\n\r\nok");
      if (!sendAll(fd, answer)) {
        return;
      }
    }
  }

  void send(int fd, const Shape &shape) {
    auto units = shape.Unit;
    while (!shape.IsSlow && units.size() < 4096) {
      units += shape.Unit;
    }
    std::size_t sent = 0;
    bool isOpen = sendAll(fd, shape.Head);
    while (isOpen && sent < MaxSentBytes) {
      isOpen = sendAll(fd, units);
      sent += units.size();
      if (shape.IsSlow) {
        std::this_thread::sleep_for(SlowPause);
      }
    }
    std::size_t most = MostSent;
    while (most < sent && !MostSent.compare_exchange_weak(most, sent)) {
    }
  }

  const std::string Address;
  std::atomic<const Shape *> Current{nullptr};
  std::atomic<std::size_t> MostSent{0};
};

/** Servers whose threads run until the process ends. */
struct Servers {
  EndlessServer Desk;
  EndlessServer Ledger;
};

Servers &servers() {
  static Servers all;
  return all;
}

void checkHosts(Checks &checks, TwoHosts &hosts, const HostLimits &limits) {
  for (const auto *it : {&hosts.own(), &hosts.other()}) {
    checkProcess(checks, *it, limits, HostMb * 1000 * 1000 / 1024);
  }
}

// As many requests at once as the server has slots, all begun at the first
// host.
void runClients(const Host &host, const std::vector<std::string> &services) {
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < Clients; ++i) {
    const auto path =
        "/" + services[i % services.size()] + "/" + std::to_string(i);
    clients.emplace_back([&host, path] { host.post(path, DeadlineMs); });
  }
  for (auto &it : clients) {
    it.join();
  }
}

int run(const std::string &program, const std::vector<std::string> &faulty) {
  TwoHostsSettings settings;
  settings.Limits.MemoryMb = HostMb;
  settings.Slots = Slots;
  settings.OwnBackend = servers().Desk.address();
  settings.OtherBackend = servers().Ledger.address();
  TwoHosts hosts(program, settings);
  hosts.keepReporting();
  Checks checks;
  const auto all = shapes();
  const auto setShape = [&](const Shape *shape) {
    for (const auto &it : faulty) {
      (it == OwnService ? servers().Desk : servers().Ledger).set(shape);
    }
  };
  for (const auto &shape : all) {
    std::printf("%s\n", shape.Name);
    setShape(&shape);
    std::thread crowd([&] { runClients(hosts.own(), faulty); });
    if (faulty.size() == 1) {
      const std::string sound =
          faulty.front() == OwnService ? OtherService : OwnService;
      checks.check(hosts.own().request(4, sound) == 200,
                   "an ordinary request for another service meanwhile");
    }
    crowd.join();
    setShape(nullptr);
    for (const auto *it : {OwnService, OtherService}) {
      checks.check(
          eventually([&] { return hosts.own().request(4, it) == 200; }),
          std::string("an ordinary request for ") + it + " afterwards");
    }
  }
  checkHosts(checks, hosts, settings.Limits);
  std::printf("at most %zu bytes on one connection\n",
              std::max(servers().Desk.mostSent(), servers().Ledger.mostSent()));
  return checks.exitCode();
}

const std::map<std::string, std::vector<std::string>> Cases{
    {"own", {OwnService}},
    {"other", {OtherService}},
    {"both", {OwnService, OtherService}}};

} // namespace

int main(int argc, char **argv) { return runNamedCase(argc, argv, Cases, run); }
