/**
 * @file
 * Planned stops of real sidecar processes in calm. Clients go on using their
 * connections until the process is gone: one request after the other, two at a
 * time, and requests whose rest comes late in the grace. A request that a
 * server ran must have been answered.
 */
#include "case_main.h"
#include "checks.h"
#include "restarting_server.h"
#include "two_hosts.h"

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using namespace edge;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t ClientsOfAKind = 6;
/** When the rest of a request comes, counted from the signal: within the time
 * in which requests are taken, after it, and near the end of the grace. */
constexpr std::array<milliseconds, 4> RestDelays{
    milliseconds(1000), milliseconds(2400), milliseconds(4000),
    milliseconds(5200)};
constexpr auto SlowServerTime = milliseconds(1500);
constexpr auto SecondStopDelay = milliseconds(1000);

/** Servers whose threads run until the process ends. */
struct Servers {
  RestartingServer Desk;
  RestartingServer Ledger;
};

Servers &servers() {
  static Servers all;
  return all;
}

/** What the clients saw. Thread-safe. */
class Seen {
public:
  void sent(const std::string &id) {
    const std::lock_guard<std::mutex> lock(Mutex);
    Sent.insert(id);
  }
  void answered(const std::string &id, int status) {
    const std::lock_guard<std::mutex> lock(Mutex);
    Statuses[id] = status;
  }
  std::size_t countAnswered() {
    const std::lock_guard<std::mutex> lock(Mutex);
    return Statuses.size();
  }
  std::size_t countSent() {
    const std::lock_guard<std::mutex> lock(Mutex);
    return Sent.size();
  }
  /** @return the status of a request of these clients; 0 if it was cut, nothing
   * if it is none of theirs. */
  std::optional<int> status(const std::string &id) {
    const std::lock_guard<std::mutex> lock(Mutex);
    if (Sent.count(id) == 0) {
      return std::nullopt;
    }
    const auto it = Statuses.find(id);
    return it == Statuses.end() ? 0 : it->second;
  }

private:
  std::mutex Mutex;
  std::set<std::string> Sent;
  std::map<std::string, int> Statuses;
};

std::string nextId() {
  static std::atomic<unsigned> count{0};
  return "c-" + std::to_string(++count);
}

std::string head(const std::string &path, const std::string &id,
                 const std::string &framing) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: shop.example\r\nChivefold-Request-Id: " + id +
         "\r\nChivefold-Deadline-Ms: 20000\r\n" + framing + "\r\n\r\n";
}

std::string whole(const std::string &path, const std::string &id) {
  return head(path, id, "Content-Length: 4") + "work";
}

// Sends requests, @p depth at a time, until the connection is closed.
void useConnection(const Host &host, const std::string &path, unsigned depth,
                   Seen &seen) {
  const int fd = connectTo(host.Callers);
  if (fd < 0) {
    return;
  }
  HttpReader in(fd);
  for (bool isOpen = true; isOpen;) {
    std::vector<std::string> ids;
    std::string bytes;
    for (unsigned i = 0; i < depth; ++i) {
      ids.push_back(nextId());
      seen.sent(ids.back());
      bytes += whole(path, ids.back());
    }
    isOpen = sendAll(fd, bytes);
    for (const auto &it : ids) {
      HttpMessage answer;
      isOpen = isOpen && in.read(answer);
      if (isOpen) {
        seen.answered(it, answer.status());
      }
    }
  }
  close(fd);
}

// Uses connections for as long as the process takes them.
void useHost(const Host &host, const std::string &path, unsigned depth,
             Seen &seen, const std::atomic<bool> &isGone) {
  while (!isGone) {
    useConnection(host, path, depth, seen);
    std::this_thread::sleep_for(milliseconds(5));
  }
}

// Sends the rest of a request late.
void sendLate(const Host &host, const std::string &path, bool isChunked,
              Clock::time_point restAt, Seen &seen) {
  const auto id = nextId();
  const int fd = connectTo(host.Callers);
  if (fd < 0) {
    return;
  }
  seen.sent(id);
  sendAll(fd, isChunked
                  ? head(path, id, "Transfer-Encoding: chunked") + "2\r\nwo\r\n"
                  : head(path, id, "Content-Length: 4") + "wo");
  std::this_thread::sleep_until(restAt);
  sendAll(fd, isChunked ? "2\r\nrk\r\n0\r\n\r\n" : "rk");
  HttpMessage answer;
  if (HttpReader(fd).read(answer)) {
    seen.answered(id, answer.status());
  }
  close(fd);
}

struct StopCase {
  bool StopsBoth = false;
  milliseconds ServerTime{100};
};

void startClients(std::vector<std::thread> &clients, const Host &host,
                  Seen &seen, const std::atomic<bool> &isGone,
                  Clock::time_point stopAt) {
  for (const std::string service : {OwnService, OtherService}) {
    const auto path = "/" + service + "/slow";
    for (std::size_t i = 0; i < ClientsOfAKind; ++i) {
      for (const unsigned depth : {1U, 2U}) {
        clients.emplace_back([&host, path, depth, &seen, &isGone] {
          useHost(host, path, depth, seen, isGone);
        });
      }
    }
    for (const auto delay : RestDelays) {
      for (const bool isChunked : {false, true}) {
        clients.emplace_back([&host, path, isChunked, &seen, stopAt, delay] {
          sendLate(host, path, isChunked, stopAt + delay, seen);
        });
      }
    }
  }
}

int run(const std::string &program, const StopCase &test) {
  servers().Desk.SlowTime = test.ServerTime;
  servers().Ledger.SlowTime = test.ServerTime;
  servers().Desk.start(std::string("i-") + OwnService);
  servers().Ledger.start(std::string("i-") + OtherService);
  TwoHostsSettings settings;
  settings.Slots = 24;
  settings.OwnBackend = servers().Desk.address();
  settings.OtherBackend = servers().Ledger.address();
  TwoHosts hosts(program, settings);
  hosts.keepReporting();
  Checks checks;
  Seen seen;
  std::atomic<bool> isGone{false};
  const auto stopAt = Clock::now() + milliseconds(500);
  std::vector<std::thread> clients;
  startClients(clients, hosts.own(), seen, isGone, stopAt);
  if (test.StopsBoth) {
    startClients(clients, hosts.other(), seen, isGone,
                 stopAt + SecondStopDelay);
  }
  std::this_thread::sleep_until(stopAt);
  hosts.own().terminate();
  if (test.StopsBoth) {
    std::this_thread::sleep_for(SecondStopDelay);
    hosts.other().terminate();
  }
  checks.check(eventually([&] { return hosts.own().hasEnded(); }),
               "the process ends by itself");
  if (test.StopsBoth) {
    checks.check(eventually([&] { return hosts.other().hasEnded(); }),
                 "the second process ends by itself");
  }
  isGone = true;
  for (auto &it : clients) {
    it.join();
  }
  std::size_t cut = 0;
  std::size_t ran = 0;
  for (auto *server : {&servers().Desk, &servers().Ledger}) {
    for (const auto &id : server->runs()) {
      const auto status = seen.status(id);
      ran += status ? 1 : 0;
      if (status && *status != 200) {
        ++cut;
        std::printf("%s ran and was answered with %d\n", id.c_str(), *status);
      }
    }
  }
  std::printf("%zu sent, %zu answered, %zu ran\n", seen.countSent(),
              seen.countAnswered(), ran);
  checks.check(ran > 0, "requests ran");
  checks.check(cut == 0,
               std::to_string(cut) + " requests that ran were not answered so");
  return checks.exitCode();
}

const std::map<std::string, StopCase> Cases{
    {"one", {}}, {"both", {true}}, {"slow_server", {false, SlowServerTime}}};

} // namespace

int main(int argc, char **argv) { return runNamedCase(argc, argv, Cases, run); }
