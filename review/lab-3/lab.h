/**
 * @file
 * Stand-ins for the review's scripts: the platform's store, application servers
 * and clients on loopback addresses, and the daemons as separate processes.
 */
#ifndef CHIVEFOLD_REVIEW_LAB3_H
#define CHIVEFOLD_REVIEW_LAB3_H

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** Exit codes of a case. */
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CannotRun = 2;

inline const Clock::time_point Start = Clock::now();

inline double secondsOf(Clock::time_point at) {
  return std::chrono::duration<double>(at - Start).count();
}

inline double now() { return secondsOf(Clock::now()); }

/** The file record.txt of a case. Thread-safe. */
class Record {
public:
  explicit Record(const std::string &file)
      : Out(std::fopen(file.c_str(), "w")) {}
  template <class... Args> void line(const char *format, Args... args) {
    const std::lock_guard<std::mutex> lock(Mutex);
    for (auto *to : {Out, Echoes ? stdout : nullptr}) {
      if (to != nullptr) {
        std::fprintf(to, "%8.3f  ", now());
        std::fprintf(to, format, args...);
        std::fprintf(to, "\n");
        std::fflush(to);
      }
    }
  }
  /** Whether lines also go to standard output. */
  bool Echoes = false;

private:
  std::mutex Mutex;
  std::FILE *Out;
};

/** Kills the processes that are left when the case ends in any way. */
class Children {
public:
  static void add(pid_t pid) {
    const std::lock_guard<std::mutex> lock(mutex());
    all().push_back(pid);
  }
  static void remove(pid_t pid) {
    const std::lock_guard<std::mutex> lock(mutex());
    auto &list = all();
    for (auto it = list.begin(); it != list.end(); ++it) {
      if (*it == pid) {
        list.erase(it);
        return;
      }
    }
  }
  static void killAll() {
    const std::lock_guard<std::mutex> lock(mutex());
    for (const auto pid : all()) {
      ::kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    all().clear();
  }

private:
  static std::mutex &mutex() {
    static std::mutex it;
    return it;
  }
  static std::vector<pid_t> &all() {
    static std::vector<pid_t> it;
    return it;
  }
};

/** Ends the case. Its threads still run, so nothing is torn down. */
[[noreturn]] inline void finish(int code) {
  Children::killAll();
  std::fflush(nullptr);
  std::_Exit(code);
}

inline void require(bool holds, const char *what) {
  if (!holds) {
    std::printf("cannot run the case: %s\n", what);
    finish(CannotRun);
  }
}

inline bool eventually(const std::function<bool()> &holds,
                       milliseconds limit = milliseconds(20000)) {
  const auto end = Clock::now() + limit;
  while (!holds()) {
    if (Clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return true;
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in socketAddress(const std::string &address) {
  const auto colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

inline int tryListenOn(const std::string &address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto a = socketAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr *>(&a), sizeof(a)) != 0 ||
      listen(fd, 1024) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/** @return a free loopback address, below the ports of outgoing connections. */
inline std::string freeAddress() {
  static std::mutex mutex;
  static unsigned next = static_cast<unsigned>(getpid()) * 64U;
  const std::lock_guard<std::mutex> lock(mutex);
  for (unsigned i = 0; i < 18000; ++i) {
    const auto port = 12000U + next++ % 18000U;
    auto address = "127.0.0.1:" + std::to_string(port);
    const int fd = tryListenOn(address);
    if (fd >= 0) {
      close(fd);
      return address;
    }
  }
  require(false, "no free port");
  return {};
}

inline bool sendAll(int fd, const std::string &bytes) {
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

struct Message {
  std::string First;
  std::string Headers;
  std::string Body;

  std::string header(const std::string &name) const {
    for (std::size_t at = 0; at < Headers.size();) {
      const auto end = Headers.find("\r\n", at);
      const auto colon = Headers.find(':', at);
      if (colon < end && colon - at == name.size() &&
          strncasecmp(Headers.c_str() + at, name.c_str(), name.size()) == 0) {
        const auto value = Headers.find_first_not_of(" \t", colon + 1);
        return value < end ? Headers.substr(value, end - value) : "";
      }
      at = end + 2;
    }
    return {};
  }
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const {
    const auto at = First.find(' ') + 1;
    return First.substr(at, First.find(' ', at) - at);
  }
  int status() const {
    return First.size() > 12 ? std::atoi(First.c_str() + 9) : 0;
  }
};

/** Reads messages whose bodies have a length. */
class Reader {
public:
  explicit Reader(int fd) : Fd(fd) {}

  bool read(Message &out) {
    std::size_t end = 0;
    while ((end = Buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!fill()) {
        return false;
      }
    }
    const auto line = Buffer.find("\r\n");
    out.First = Buffer.substr(0, line);
    out.Headers = Buffer.substr(line + 2, end - line);
    Buffer.erase(0, end + 4);
    const auto n = static_cast<std::size_t>(
        std::strtoull(out.header("Content-Length").c_str(), nullptr, 10));
    while (Buffer.size() < n) {
      if (!fill()) {
        return false;
      }
    }
    out.Body = Buffer.substr(0, n);
    Buffer.erase(0, n);
    return true;
  }

  /** Runs before each read of the socket; @return the most bytes to read. */
  std::function<std::size_t()> Pace;
  /** The last read ended by the time limit of its socket. */
  bool HasTimedOut = false;

private:
  bool fill() {
    std::array<char, 65536> buf{};
    const auto most = Pace ? std::min(Pace(), buf.size()) : buf.size();
    const auto n = recv(Fd, buf.data(), most, 0);
    if (n <= 0) {
      HasTimedOut = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
      return false;
    }
    Buffer.append(buf.data(), static_cast<std::size_t>(n));
    return true;
  }

  int Fd;
  std::string Buffer;
};

inline int connectTo(const std::string &address,
                     const std::function<void(int)> &prepare = nullptr) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (prepare) {
    prepare(fd);
  }
  const auto a = socketAddress(address);
  if (connect(fd, reinterpret_cast<const sockaddr *>(&a), sizeof(a)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline void limitReads(int fd, milliseconds most) {
  timeval tv{};
  tv.tv_sec = most.count() / 1000;
  tv.tv_usec = most.count() % 1000 * 1000;
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
}

/** Sends a request on a connection of its own. @return the status of a whole
 * answer; 0 without one. */
inline int exchange(const std::string &address, const std::string &request,
                    Message &answer, milliseconds limit = milliseconds(30000)) {
  const int fd = connectTo(address);
  if (fd < 0) {
    return 0;
  }
  limitReads(fd, limit);
  const bool isWhole = sendAll(fd, request) && Reader(fd).read(answer);
  close(fd);
  return isWhole ? answer.status() : 0;
}

inline void serveConnections(const std::string &address,
                             std::function<void(int)> handler) {
  const int listener = tryListenOn(address);
  require(listener >= 0, "a stand-in cannot listen");
  std::thread([=, handler = std::move(handler)] {
    for (int fd = 0;
         (fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([=] {
        handler(fd);
        close(fd);
      }).detach();
    }
  }).detach();
}

// ------------------------------------------------------------------ store

/** The platform's store: keyed topics of one partition. Thread-safe. */
class Store {
public:
  Store() : Address(freeAddress()) {
    serveConnections(Address, [this](int fd) {
      Reader in(fd);
      Message request;
      while (in.read(request)) {
        const auto out = answer(request);
        if (!sendAll(fd, "HTTP/1.1 " + std::to_string(out.Status) +
                             " X\r\nContent-Type: " + out.Type +
                             "\r\nStore-Era: " + std::to_string(Era) +
                             "\r\nContent-Length: " +
                             std::to_string(out.Body.size()) + "\r\n\r\n" +
                             out.Body)) {
          return;
        }
        if (ResetsConnections) {
          const linger hard{1, 0};
          setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
          return;
        }
      }
    });
  }

  void put(const std::string &topic, const std::string &key,
           const std::string &value) {
    const std::lock_guard<std::mutex> lock(Mutex);
    Topics[topic].emplace_back(key, value);
    Changed.notify_all();
  }

  /** The store is away: each call gets 503. */
  void goAway() {
    const std::lock_guard<std::mutex> lock(Mutex);
    IsAway = true;
    Changed.notify_all();
  }

  /** The store is back, from a copy to which nothing is missing. */
  void comeBack() {
    const std::lock_guard<std::mutex> lock(Mutex);
    IsAway = false;
    ++Era;
  }

  /** @return the newest value of each key of a topic. */
  std::map<std::string, std::string> values(const std::string &topic) {
    const std::lock_guard<std::mutex> lock(Mutex);
    std::map<std::string, std::string> out;
    for (const auto &[key, value] : Topics[topic]) {
      out[key] = value;
    }
    return out;
  }

  /** Connections are reset as soon as an answer is out. */
  std::atomic<bool> ResetsConnections{false};
  const std::string Address;

private:
  struct Answer {
    int Status = 200;
    std::string Type = "application/json";
    std::string Body;
  };
  using Items = std::vector<std::pair<std::string, std::string>>;

  static std::string query(const std::string &target, const std::string &name) {
    auto at = target.find("?" + name + "=");
    at = at == std::string::npos ? target.find("&" + name + "=") : at;
    if (at == std::string::npos) {
      return {};
    }
    at += name.size() + 2;
    std::string out;
    for (; at < target.size() && target[at] != '&'; ++at) {
      if (target[at] == '%' && at + 2 < target.size()) {
        out += static_cast<char>(
            std::strtoul(target.substr(at + 1, 2).c_str(), nullptr, 16));
        at += 2;
      } else {
        out += target[at];
      }
    }
    return out;
  }

  static std::string bigEndian(std::uint64_t n, unsigned bytes) {
    std::string out;
    while (bytes-- > 0) {
      out += static_cast<char>(n >> (8 * bytes) & 0xffU);
    }
    return out;
  }

  static std::string base64(const std::string &in) {
    static const char *digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
      std::uint32_t n = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        n = n << 8U |
            (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        out += i + j <= in.size() ? digits[n >> (18 - 6 * j) & 63U] : '=';
      }
    }
    return out;
  }

  Answer answer(const Message &request) {
    const auto target = request.target();
    const auto path = target.substr(0, target.find('?'));
    std::unique_lock<std::mutex> lock(Mutex);
    if (IsAway) {
      return {503, "application/json", "{}"};
    }
    auto &items = Topics[query(target, "topic")];
    if (path == "/-/log-append") {
      return append(items, target, request.Body);
    }
    if (path == "/-/log-read") {
      return read(items, target, lock);
    }
    return path == "/-/log-newest" ? newest(items, query(target, "after"))
                                   : Answer{404, "application/json", "{}"};
  }

  Answer append(Items &items, const std::string &target,
                const std::string &body) {
    const auto at = query(target, "at");
    if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != items.size()) {
      return {412, "application/json",
              Json{{"endOffset", items.size()}}.dump()};
    }
    const auto offset = items.size();
    for (std::size_t i = 0; i + 4 < body.size();) {
      std::size_t n = 0;
      for (std::size_t j = 0; j < 4; ++j) {
        n = n << 8U | static_cast<unsigned char>(body[i + j]);
      }
      const auto key = static_cast<unsigned char>(body[i + 4]);
      items.emplace_back(body.substr(i + 5, key),
                         body.substr(i + 5 + key, n - 1 - key));
      i += 4 + n;
    }
    Changed.notify_all();
    return {200, "application/json",
            Json{{"offset", offset}, {"endOffset", items.size()}}.dump()};
  }

  Answer read(Items &items, const std::string &target,
              std::unique_lock<std::mutex> &lock) {
    const auto from = std::strtoull(query(target, "from").c_str(), nullptr, 10);
    const auto wait = std::atoi(query(target, "waitMs").c_str());
    Changed.wait_for(lock, milliseconds(wait),
                     [&] { return IsAway || items.size() > from; });
    if (IsAway) {
      return {503, "application/json", "{}"};
    }
    auto out = bigEndian(items.size(), 8) + bigEndian(0, 8);
    for (auto i = from; i < items.size(); ++i) {
      const auto &[key, value] = items[i];
      out += bigEndian(1 + key.size() + value.size(), 4);
      out += static_cast<char>(key.size());
      out += key + value;
    }
    return {200, "application/octet-stream", out};
  }

  static Answer newest(const Items &items, const std::string &after) {
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < items.size(); ++i) {
      last[items[i].first] = i;
    }
    Json out{{"items", Json::array()},
             {"hasMore", false},
             {"endOffset", items.size()}};
    for (const auto &[key, i] : last) {
      if (key > after && !items[i].second.empty()) {
        out["items"].push_back(
            {{"key", key}, {"value", base64(items[i].second)}, {"offset", i}});
      }
    }
    return {200, "application/json", out.dump()};
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Items> Topics;
  bool IsAway = false;
  std::atomic<unsigned> Era{0};
};

/** A route "/NAME/" to a service. */
inline Json route(const std::string &name, const std::string &service,
                  bool isSafe, int timeoutMs, int targetMs) {
  return {{"name", name},
          {"hostname", "shop.example"},
          {"pathPrefix", "/" + name + "/"},
          {"routeType", isSafe ? "safe" : "unsafe"},
          {"timeoutMs", timeoutMs},
          {"targetLatencyMs", targetMs},
          {"priority", 1},
          {"service", service},
          {"maxAttempts", 2}};
}

/** A configuration with the limits that the pages' examples have. */
inline std::string configuration(const Json &routes,
                                 const std::vector<std::string> &services) {
  Json all = Json::array();
  for (const auto &it : services) {
    all.push_back({{"name", it},
                   {"healthPath", "/healthz"},
                   {"maxConnections", 120},
                   {"protocol", "h1"},
                   {"tls", false},
                   {"warmupS", 3.0},
                   {"warmupRpsS", 19.0}});
  }
  return Json{{"version", "r1"},
              {"routes", routes},
              {"services", all},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 67108864},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}}}
      .dump();
}

/** Most bytes of a request's head by that configuration. */
constexpr std::size_t MaxHeaderBytes = 16384;

// ----------------------------------------------------------------- server

/** An application server: a bounded number of requests at once, a bounded
 * queue, 421 for another instance, 503 when it is full. It drops a request when
 * its connection closes. Thread-safe. */
class Server {
public:
  struct Run {
    std::string Id;
    double BegunAt = 0;
    double EndedAt = 0;
    /** The connection closed before the end. */
    bool IsDropped = false;
  };

  Server(std::string service, unsigned slots, milliseconds work,
         std::size_t bodyBytes)
      : Service(std::move(service)), Instance("i-" + Service), Slots(slots),
        Work(work), Body(bodyBytes, 'b'), Address(freeAddress()) {
    serveConnections(Address, [this](int fd) {
      Reader in(fd);
      Message request;
      while (in.read(request)) {
        const auto out = answer(fd, request);
        if (out.empty() || !sendAll(fd, out)) {
          return;
        }
      }
    });
  }

  std::vector<Run> runs() {
    const std::lock_guard<std::mutex> lock(Mutex);
    std::vector<Run> out;
    for (const auto &it : Runs) {
      out.push_back(*it);
    }
    return out;
  }

  /** Reports the server to the daemon beside it each 1.5 s. */
  void reportTo(const std::string &admin) {
    std::thread([this, admin] {
      const auto born = std::chrono::duration_cast<milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
      for (unsigned n = 1;; ++n) {
        const auto body =
            Json{{"address", Address},
                 {"born", born},
                 {"info",
                  {{"service", Service},
                   {"version", "v1"},
                   {"zone", "east"},
                   {"slots", Slots}}},
                 {"status",
                  {{"state", "ready"}, {"seqNo", n}, {"warmupLeftMs", 0}}}}
                .dump();
        Message out;
        exchange(admin,
                 "PUT /-/instances/" + Instance +
                     " HTTP/1.1\r\nHost: x\r\nContent-Type: "
                     "application/json\r\nConnection: close\r\n"
                     "Content-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body,
                 out, milliseconds(1000));
        std::this_thread::sleep_for(milliseconds(1500));
      }
    }).detach();
  }

  const std::string Service;
  const std::string Instance;
  const unsigned Slots;
  const milliseconds Work;
  const std::string Body;
  const std::string Address;

private:
  static std::string head(int status, const std::string &id,
                          const std::string &headers, std::size_t bytes) {
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nChivefold-Request-Id: " + id + "\r\n" + headers +
           "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
  }

  static bool hasClosed(int fd) {
    pollfd it{fd, POLLRDHUP, 0};
    return ::poll(&it, 1, 0) > 0 &&
           (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  std::string answer(int fd, const Message &request) {
    const auto id = request.header("Chivefold-Request-Id");
    if (request.header("Chivefold-Expected-Instance") != Instance) {
      return head(421, id, "Chivefold-Not-Executed: 1\r\n", 0);
    }
    auto run = std::make_shared<Run>();
    run->Id = id;
    const auto until =
        Clock::now() + milliseconds(std::atoll(
                           request.header("Chivefold-Deadline-Ms").c_str()));
    {
      std::unique_lock<std::mutex> lock(Mutex);
      const auto isFree = [this] { return Busy < Slots; };
      const bool isQueued = isFree() || Queued < 4 * Slots;
      Queued += isQueued ? 1 : 0;
      if (!isQueued || !Freed.wait_until(lock, until, isFree)) {
        Queued -= isQueued ? 1 : 0;
        return head(503, id, "Chivefold-Not-Executed: 1\r\n", 0);
      }
      --Queued;
      ++Busy;
      run->BegunAt = now();
      Runs.push_back(run);
    }
    const auto end = Clock::now() + Work;
    while (Clock::now() < end && !run->IsDropped) {
      std::this_thread::sleep_for(
          std::min<Clock::duration>(milliseconds(10), end - Clock::now()));
      run->IsDropped = hasClosed(fd);
    }
    const std::lock_guard<std::mutex> lock(Mutex);
    --Busy;
    Freed.notify_one();
    run->EndedAt = now();
    if (run->IsDropped) {
      return {};
    }
    return head(200, id, "Chivefold-Server-Signature: s." + id + "\r\n",
                Body.size()) +
           Body;
  }

  std::mutex Mutex;
  std::condition_variable Freed;
  unsigned Busy = 0;
  unsigned Queued = 0;
  std::vector<std::shared_ptr<Run>> Runs;
};

// ----------------------------------------------------------------- daemon

struct DaemonLimits {
  unsigned MemoryMb = 110;
  unsigned Descriptors = 4100;
};

/** A daemon as a process of its own, with the command of the deploy file and
 * the settings of its template. */
class Daemon {
public:
  Daemon(const std::string &folder, const Store &store, const Server &server,
         DaemonLimits limits = {}, const std::string &peers = "")
      : Callers(freeAddress()), Readiness(freeAddress()), Admin(freeAddress()),
        Peers(peers.empty() ? freeAddress() : peers),
        Settings(folder + "/" + server.Service + ".toml"),
        LogFile(folder + "/" + server.Service + ".log") {
    std::ofstream out(Settings);
    out << "caller-listen=\"" << Callers << "\"\nreadiness-listen=\""
        << Readiness << "\"\nadmin-listen=\"" << Admin << "\"\npeer-listen=\""
        << Peers << "\"\nbackend-server=\"" << server.Address << "\"\nstore=\""
        << store.Address << "\"\ndata-centre=\"east\"\nservice=\""
        << server.Service
        << "\"\ngrace-seconds=6\nexposure-share=0.1\nexposure-slack=50\n"
           "retry-budget-ratio=0.2\nretry-budget-slack=62\n"
           "retry-window-seconds=10\nmemory-limit-mb="
        << limits.MemoryMb << "\ndescriptor-limit=" << limits.Descriptors
        << "\n";
  }

  void start() {
    const auto file = "CHIVEFOLD_CONFIG=" + Settings;
    const pid_t pid = fork();
    if (pid == 0) {
      const int log =
          open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      std::array<char *, 3> env{const_cast<char *>(file.c_str()),
                                const_cast<char *>("PATH=/usr/bin:/bin"),
                                nullptr};
      execle(Program, Program, nullptr, env.data());
      _exit(127);
    }
    Children::add(pid);
    Pid = pid;
  }

  void kill() {
    ::kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    Children::remove(Pid);
    Pid = -1;
  }

  /** @return whether the process has ended by itself. */
  bool hasEnded() {
    const pid_t pid = Pid;
    if (pid <= 0 || waitpid(pid, nullptr, WNOHANG) != pid) {
      return false;
    }
    Children::remove(pid);
    Pid = -1;
    return true;
  }

  bool isReady() const {
    Message out;
    return exchange(Readiness,
                    "GET /-/readyz HTTP/1.1\r\nHost: x\r\n"
                    "Connection: close\r\n\r\n",
                    out, milliseconds(1000)) == 200;
  }

  /** @return the resident bytes of the process; 0 if there is none. */
  std::size_t residentBytes() const {
    std::ifstream in("/proc/" + std::to_string(Pid) + "/statm");
    std::size_t all = 0;
    std::size_t resident = 0;
    in >> all >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  }

  /** @return the last line that the process wrote, and that before it. */
  std::string lastLines() const {
    std::ifstream in(LogFile);
    std::string before;
    std::string last;
    for (std::string line; std::getline(in, line);) {
      before = std::exchange(last, line);
    }
    return before + " / " + last;
  }

  static constexpr const char *Program = "target/platform/chivefold-sidecar";
  const std::string Callers, Readiness, Admin, Peers;

private:
  const std::string Settings;
  const std::string LogFile;
  std::atomic<pid_t> Pid{-1};
};

/** A request without a body. @p headers are whole lines. */
inline std::string get(const std::string &path, const std::string &id,
                       int deadlineMs, const std::string &headers = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n" +
         "Chivefold-Request-Id: " + id +
         "\r\nChivefold-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" +
         headers + "\r\n";
}

inline std::string post(const std::string &path, const std::string &id,
                        int deadlineMs, const std::string &body) {
  return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\n" +
         "Chivefold-Request-Id: " + id +
         "\r\nChivefold-Deadline-Ms: " + std::to_string(deadlineMs) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/** A request whose connection was closed by the daemon without an answer. */
struct Cut {
  std::string Id;
  double SentAt = 0;
  double ClosedAt = 0;
};

/** Requests, not the first of their connections, that were cut. Thread-safe. */
class Cuts {
public:
  void add(Cut it) {
    const std::lock_guard<std::mutex> lock(Mutex);
    All.push_back(std::move(it));
  }

  /** @return those that one of the servers began to run, which it records. */
  std::vector<Cut> reached(const std::vector<Server *> &servers) {
    std::map<std::string, bool> ran;
    for (auto *server : servers) {
      for (const auto &it : server->runs()) {
        ran[it.Id] = true;
      }
    }
    const std::lock_guard<std::mutex> lock(Mutex);
    std::vector<Cut> out;
    std::copy_if(All.begin(), All.end(), std::back_inserter(out),
                 [&](const Cut &it) { return ran.count(it.Id) > 0; });
    return out;
  }

private:
  std::mutex Mutex;
  std::vector<Cut> All;
};

/** Ordinary clients: each sends one unsafe request after the other on a kept
 * connection, until the end of the case. */
class OrdinaryClients {
public:
  OrdinaryClients(std::string callers, std::string name, unsigned count,
                  int deadlineMs, Cuts &cuts)
      : Callers(std::move(callers)), DeadlineMs(deadlineMs), Seen(cuts) {
    for (unsigned i = 0; i < count; ++i) {
      std::thread([this, i, id = name + std::to_string(i)] {
        for (unsigned n = 0;;) {
          useConnection(i % 2 == 0 ? "/book/" : "/pay/", id, n);
          std::this_thread::sleep_for(milliseconds(20));
        }
      }).detach();
    }
  }

  std::atomic<unsigned> Served{0};
  std::atomic<unsigned> Other{0};

private:
  void useConnection(const std::string &path, const std::string &name,
                     unsigned &n) {
    const int fd = connectTo(Callers);
    if (fd < 0) {
      return;
    }
    limitReads(fd, milliseconds(DeadlineMs));
    Reader in(fd);
    for (bool isFirst = true;; isFirst = false) {
      const auto id = name + "-" + std::to_string(++n);
      const auto sentAt = now();
      Message out;
      if (!sendAll(fd, post(path + id, id, DeadlineMs, "work")) ||
          !in.read(out)) {
        if (!isFirst && !in.HasTimedOut) {
          Seen.add({id, sentAt, now()});
        }
        break;
      }
      ++(out.status() == 200 ? Served : Other);
      if (strcasecmp(out.header("Connection").c_str(), "close") == 0) {
        break;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    close(fd);
  }

  const std::string Callers;
  const int DeadlineMs;
  Cuts &Seen;
};

/** The rule LOST allows so many. */
constexpr std::size_t MaxCut = 3;

/** Two hosts of two services, and the store. */
struct Deployment {
  Deployment(const std::string &folder, unsigned slots, milliseconds work,
             std::size_t bodyBytes, int timeoutMs, int targetMs,
             DaemonLimits limits = {})
      : Desk("desk", slots, work, bodyBytes),
        Ledger("ledger", slots, work, bodyBytes),
        First(folder, Platform, Desk, limits),
        Second(folder, Platform, Ledger, limits) {
    Platform.put(
        "keyed.op", "config",
        configuration({route("desk", "desk", true, timeoutMs, targetMs),
                       route("ledger", "ledger", true, timeoutMs, targetMs),
                       route("book", "desk", false, timeoutMs, targetMs),
                       route("pay", "ledger", false, timeoutMs, targetMs)},
                      {"desk", "ledger"}));
    First.start();
    Second.start();
    Desk.reportTo(First.Admin);
    Ledger.reportTo(Second.Admin);
    awaitService();
  }

  /** Waits until both daemons are ready and reach both services. */
  void awaitService() {
    for (const auto *daemon : {&First, &Second}) {
      require(eventually([&] { return daemon->isReady(); }),
              "a daemon is not ready");
      for (const auto *path : {"/desk/warm", "/ledger/warm"}) {
        require(eventually([&] {
                  static std::atomic<unsigned> n{0};
                  Message out;
                  return exchange(
                             daemon->Callers,
                             get(path, "warm-" + std::to_string(++n), 4000),
                             out) == 200;
                }),
                "an ordinary request is not served in calm");
      }
    }
  }

  Store Platform;
  Server Desk;
  Server Ledger;
  Daemon First;
  Daemon Second;
};

/** What each case gets: the folder of its record and a temporary one. */
struct Arguments {
  std::string Folder;
  std::string Temporary;
  bool HasTrouble = true;
};

inline Arguments arguments(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    std::signal(number, [](int) { finish(CannotRun); });
  }
  if (argc != 3) {
    std::fprintf(stderr, "usage: CASE FOLDER TEMPORARY-FOLDER\n");
    std::exit(CannotRun);
  }
  const char *trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], trouble == nullptr || std::string(trouble) != "0"};
}

} // namespace lab

#endif
