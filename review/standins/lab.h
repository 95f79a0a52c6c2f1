// Stand-ins for the platform's store, backend servers and clients, and control
// of the sidecar processes that a script starts. Loopback addresses only.
#ifndef REVIEW_STANDINS_LAB_H
#define REVIEW_STANDINS_LAB_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lab {

using Json = nlohmann::json;

inline std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void sleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** The file record.txt of a case. Thread-safe. */
class Record {
public:
  void open(const std::string &path) {
    File = std::fopen(path.c_str(), "w");
    Start = nowMs();
    if (File == nullptr) {
      std::perror(path.c_str());
      std::exit(2);
    }
  }
  __attribute__((format(printf, 2, 3))) void line(const char *format, ...) {
    char buf[1024];
    va_list args;
    va_start(args, format);
    std::vsnprintf(buf, sizeof(buf), format, args);
    va_end(args);
    const std::lock_guard<std::mutex> lock(Mutex);
    std::fprintf(File, "%8.3f %s\n",
                 static_cast<double>(nowMs() - Start) / 1000, buf);
    std::fflush(File);
  }

private:
  std::mutex Mutex;
  std::FILE *File = nullptr;
  std::int64_t Start = 0;
};

inline Record Log;

struct Endpoint {
  std::string Ip;
  int Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

inline sockaddr_in socketAddress(const Endpoint &e) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(e.Port));
  inet_pton(AF_INET, e.Ip.c_str(), &a.sin_addr);
  return a;
}

/** @return a listening socket; a port of 0 is replaced by a free one. */
inline int listenOn(Endpoint &e, int receiveBuffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (receiveBuffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer,
               sizeof(receiveBuffer));
  }
  auto a = socketAddress(e);
  socklen_t n = sizeof(a);
  if (bind(fd, reinterpret_cast<sockaddr *>(&a), sizeof(a)) != 0 ||
      listen(fd, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  getsockname(fd, reinterpret_cast<sockaddr *>(&a), &n);
  e.Port = ntohs(a.sin_port);
  return fd;
}

/** @return a port of @p ip that is free now. */
inline Endpoint freeEndpoint(const std::string &ip) {
  Endpoint e{ip, 0};
  close(listenOn(e));
  return e;
}

struct ConnectOptions {
  int ReceiveBuffer = 0;
  int MaxSegment = 0;
};

inline int connectTo(const Endpoint &e, const ConnectOptions &options = {}) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (options.ReceiveBuffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.ReceiveBuffer,
               sizeof(options.ReceiveBuffer));
  }
  if (options.MaxSegment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.MaxSegment,
               sizeof(options.MaxSegment));
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const auto a = socketAddress(e);
  if (connect(fd, reinterpret_cast<const sockaddr *>(&a), sizeof(a)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
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

/** An HTTP message of either kind. */
struct Message {
  std::string Start;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /** The body ended as its framing says. */
  bool Complete = false;

  std::string header(const char *name) const {
    for (const auto &it : Headers) {
      if (strcasecmp(it.first.c_str(), name) == 0) {
        return it.second;
      }
    }
    return {};
  }
  bool has(const char *name) const {
    for (const auto &it : Headers) {
      if (strcasecmp(it.first.c_str(), name) == 0) {
        return true;
      }
    }
    return false;
  }
  std::string method() const { return Start.substr(0, Start.find(' ')); }
  std::string target() const {
    const auto a = Start.find(' ');
    return Start.substr(a + 1, Start.find(' ', a + 1) - a - 1);
  }
  int status() const {
    return Start.size() > 12 ? std::atoi(Start.c_str() + 9) : 0;
  }
};

/** Reads HTTP messages from a connection. */
class Reader {
public:
  explicit Reader(int fd) : Fd(fd) {}

  /** Reads start line and headers. @return false at the end. */
  bool head(Message &m) {
    std::size_t end = 0;
    while ((end = Buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!fill()) {
        return false;
      }
    }
    auto text = Buffer.substr(0, end + 2);
    Buffer.erase(0, end + 4);
    auto n = text.find("\r\n");
    m = Message();
    m.Start = text.substr(0, n);
    text.erase(0, n + 2);
    while ((n = text.find("\r\n")) != std::string::npos) {
      const auto field = text.substr(0, n);
      text.erase(0, n + 2);
      const auto colon = field.find(':');
      if (colon != std::string::npos) {
        auto value = field.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        m.Headers.emplace_back(field.substr(0, colon), value);
      }
    }
    return true;
  }

  /** Reads the body by its length. Chunks are not used by these stand-ins. */
  void body(Message &m) {
    const auto length = m.header("Content-Length");
    const auto n =
        length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    while (Buffer.size() < n) {
      if (!fill()) {
        m.Body = std::move(Buffer);
        Buffer.clear();
        return;
      }
    }
    m.Body = Buffer.substr(0, n);
    Buffer.erase(0, n);
    m.Complete = true;
  }

  bool message(Message &m) {
    if (!head(m)) {
      return false;
    }
    body(m);
    return m.Complete;
  }

  /** Bytes that were received and not used yet. */
  std::string Buffer;
  /** Pause after each read, for a client that reads slowly. */
  std::int64_t PauseMs = 0;
  std::size_t ReadBytes = 65536;
  /** errno of the last failed read; 0 for an orderly end. */
  int Error = 0;

private:
  bool fill() {
    std::string buf(ReadBytes, '\0');
    const auto n = recv(Fd, &buf[0], buf.size(), 0);
    if (n <= 0) {
      Error = n < 0 ? errno : 0;
      return false;
    }
    Buffer.append(buf, 0, static_cast<std::size_t>(n));
    if (PauseMs > 0) {
      sleepMs(PauseMs);
    }
    return true;
  }

  int Fd;
};

inline std::string queryValue(const std::string &target,
                              const std::string &name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos) {
    return {};
  }
  const auto from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

inline std::string unescape(const std::string &text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

inline std::string base64(const std::string &in) {
  static const char *digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t n = 0;
    const auto have = std::min<std::size_t>(3, in.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      n = n << 8U | (j < have ? static_cast<unsigned char>(in[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += j <= have ? digits[n >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return out;
}

inline std::string bigEndian(std::uint64_t n, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) {
    out += static_cast<char>(n >> (8 * i) & 0xffU);
  }
  return out;
}

/** Accepts connections on a thread; each connection has a thread of its own. */
class Server {
public:
  using Handler = std::function<void(int fd)>;

  void start(Endpoint &at, Handler handler, int receiveBuffer = 0) {
    Fd = listenOn(at, receiveBuffer);
    std::thread([this, handler = std::move(handler)] {
      for (;;) {
        const int fd = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          return;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([handler, fd] { handler(fd); }).detach();
      }
    }).detach();
  }

private:
  int Fd = -1;
};

/** The platform's store: keyed topics with one partition, without expiry. */
class Store {
public:
  Endpoint At{"127.0.0.1", 0};
  /** Runs before each call is answered, with its target; for delays. */
  std::function<void(const std::string &target)> BeforeAnswer;
  /** Runs after a call was answered; @return true to reset the connection. */
  std::function<bool(const std::string &target)> ResetAfter;

  void start() {
    Listener.start(At, [this](int fd) { serve(fd); });
  }

  /** Writes an operator's record, as the operator does. */
  void put(const std::string &topic, const std::string &key,
           const std::string &value) {
    const std::lock_guard<std::mutex> lock(Mutex);
    Topics[topic].push_back({key, value});
    Changed.notify_all();
  }

  /** @return the newest value of @p key, or "". */
  std::string newest(const std::string &topic, const std::string &key) {
    const std::lock_guard<std::mutex> lock(Mutex);
    std::string out;
    for (const auto &it : Topics[topic]) {
      if (it.Key == key) {
        out = it.Value;
      }
    }
    return out;
  }

private:
  struct Item {
    std::string Key;
    std::string Value;
  };

  void serve(int fd) {
    Reader in(fd);
    Message m;
    while (in.message(m)) {
      const auto target = m.target();
      std::string type = "application/json";
      int status = 200;
      std::string body = answer(m, target, status, type);
      if (BeforeAnswer) {
        BeforeAnswer(target);
      }
      if (!sendAll(fd, "HTTP/1.1 " + std::to_string(status) +
                           " X\r\nStore-Era: 0\r\nContent-Type: " + type +
                           "\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body)) {
        break;
      }
      if (ResetAfter && ResetAfter(target)) {
        const linger hard{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        break;
      }
    }
    close(fd);
  }

  std::string answer(const Message &m, const std::string &target, int &status,
                     std::string &type) {
    const auto topic = unescape(queryValue(target, "topic"));
    std::unique_lock<std::mutex> lock(Mutex);
    auto &items = Topics[topic];
    if (target.rfind("/-/log-append", 0) == 0) {
      return append(m, target, topic, items, status);
    }
    if (target.rfind("/-/log-read", 0) == 0) {
      type = "application/octet-stream";
      const auto from =
          std::strtoull(queryValue(target, "from").c_str(), nullptr, 10);
      const auto wait = std::atoi(queryValue(target, "waitMs").c_str());
      Changed.wait_for(lock, std::chrono::milliseconds(wait),
                       [&] { return items.size() > from; });
      std::string out = bigEndian(items.size(), 8) + bigEndian(0, 8);
      for (auto i = from; i < items.size(); ++i) {
        const auto &it = items[i];
        out += bigEndian(1 + it.Key.size() + it.Value.size(), 4);
        out += static_cast<char>(it.Key.size());
        out += it.Key + it.Value;
      }
      return out;
    }
    if (target.rfind("/-/log-newest", 0) == 0) {
      std::map<std::string, std::size_t> newest;
      for (std::size_t i = 0; i < items.size(); ++i) {
        newest[items[i].Key] = i;
      }
      Json out{{"items", Json::array()},
               {"hasMore", false},
               {"endOffset", items.size()}};
      for (const auto &it : newest) {
        const auto &item = items[it.second];
        if (!item.Value.empty()) {
          out["items"].push_back({{"key", item.Key},
                                  {"value", base64(item.Value)},
                                  {"offset", it.second}});
        }
      }
      return out.dump();
    }
    status = 404;
    return "{}";
  }

  std::string append(const Message &m, const std::string &target,
                     const std::string &topic, std::vector<Item> &items,
                     int &status) {
    const auto at = queryValue(target, "at");
    if (topic == "keyed.op") {
      status = 403;
      return "{}";
    }
    if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != items.size()) {
      status = 412;
      return Json{{"endOffset", items.size()}}.dump();
    }
    const auto offset = items.size();
    for (std::size_t i = 0; i + 4 < m.Body.size();) {
      std::size_t n = 0;
      for (int j = 0; j < 4; ++j) {
        n = n << 8U |
            static_cast<unsigned char>(m.Body[i + static_cast<std::size_t>(j)]);
      }
      const auto k = static_cast<unsigned char>(m.Body[i + 4]);
      items.push_back(
          {m.Body.substr(i + 5, k), m.Body.substr(i + 5 + k, n - 1 - k)});
      i += 4 + n;
    }
    Changed.notify_all();
    return Json{{"offset", offset}, {"endOffset", items.size()}}.dump();
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::vector<Item>> Topics;
  Server Listener;
};

struct RouteSpec {
  std::string Name;
  std::string Prefix;
  std::string Type;
  std::string Service;
  int TimeoutMs = 4000;
  int TargetMs = 800;
  int Priority = 1;
  int MaxAttempts = 2;
};

/** @return a configuration for the host name shop.example. */
inline std::string configuration(int version,
                                 const std::vector<RouteSpec> &routes,
                                 const std::vector<std::string> &services) {
  Json out{{"version", "r" + std::to_string(version)},
           {"routes", Json::array()},
           {"services", Json::array()},
           {"limits",
            {{"maxHeaderBytes", 16384},
             {"maxBodyBytes", 67108864},
             {"headerTimeoutMs", 3000},
             {"idleTimeoutMs", 15000}}}};
  for (const auto &it : routes) {
    out["routes"].push_back({{"name", it.Name},
                             {"hostname", "shop.example"},
                             {"pathPrefix", it.Prefix},
                             {"routeType", it.Type},
                             {"timeoutMs", it.TimeoutMs},
                             {"targetLatencyMs", it.TargetMs},
                             {"priority", it.Priority},
                             {"service", it.Service},
                             {"maxAttempts", it.MaxAttempts}});
  }
  for (const auto &it : services) {
    out["services"].push_back({{"name", it},
                               {"healthPath", "/healthz"},
                               {"maxConnections", 120},
                               {"protocol", "h1"},
                               {"tls", false},
                               {"warmupS", 3.0},
                               {"warmupRpsS", 19.0}});
  }
  return out.dump();
}

/** One machine: a sidecar process and the addresses of its machine. */
class Machine {
public:
  Endpoint Outbound, Readiness, Admin, Peer, Upstream;
  std::string Zone = "ain-sebaa";
  std::string Service;
  int GraceS = 6;
  pid_t Pid = -1;
  std::string Name;

  /** Draws free ports on the loopback address @p ip. */
  Machine(std::string name, const std::string &ip, std::string service)
      : Service(std::move(service)), Name(std::move(name)) {
    Outbound = freeEndpoint(ip);
    Readiness = freeEndpoint(ip);
    Admin = freeEndpoint(ip);
    Peer = freeEndpoint(ip);
    Upstream = freeEndpoint(ip);
  }

  void writeSettings(const std::string &folder, const Endpoint &store) {
    Folder = folder;
    StoreAt = store;
    const auto path = folder + "/" + Name + ".toml";
    const auto next = path + ".next";
    std::FILE *f = std::fopen(next.c_str(), "w");
    std::fprintf(f,
                 "caller-listen=\"%s\"\nreadiness-listen=\"%s\"\n"
                 "admin-listen=\"%s\"\npeer-listen=\"%s\"\n"
                 "backend-server=\"%s\"\nstore=\"%s\"\ndata-centre=\"%s\"\n"
                 "service=\"%s\"\ngrace-seconds=%d\nexposure-share=0.1\n"
                 "exposure-slack=50\n",
                 Outbound.text().c_str(), Readiness.text().c_str(),
                 Admin.text().c_str(), Peer.text().c_str(),
                 Upstream.text().c_str(), store.text().c_str(), Zone.c_str(),
                 Service.c_str(), GraceS);
    std::fclose(f);
    std::rename(next.c_str(), path.c_str());
  }

  /** Starts the program of deploy/system.toml in the repository's root. */
  void start(const std::string &root) {
    const auto log = Folder + "/" + Name + ".log";
    const auto settings = "CHIVEFOLD_CONFIG=" + Folder + "/" + Name + ".toml";
    Pid = fork();
    if (Pid == 0) {
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      if (chdir(root.c_str()) != 0) {
        _exit(127);
      }
      const char *program = std::getenv("SIDECAR");
      const char *path =
          program != nullptr ? program : "target/platform/chivefold-sidecar";
      const char *argv[] = {path, nullptr};
      const char *asan = std::getenv("ASAN_OPTIONS");
      const auto kept = std::string("ASAN_OPTIONS=") + (asan ? asan : "");
      const char *env[] = {settings.c_str(), "PATH=/usr/bin:/bin", kept.c_str(),
                           nullptr};
      execve(path, const_cast<char **>(argv), const_cast<char **>(env));
      _exit(127);
    }
    Log.line("%s: sidecar started, service %s, outbound %s", Name.c_str(),
             Service.c_str(), Outbound.text().c_str());
  }

  void signal(int number, const char *word) const {
    Log.line("%s: %s", Name.c_str(), word);
    kill(Pid, number);
  }

  /** @return whether the process has ended; then how, in @p status. */
  bool ended(int &status) const {
    return waitpid(Pid, &status, WNOHANG) == Pid;
  }

  bool ready() const {
    const int fd = connectTo(Readiness);
    if (fd < 0) {
      return false;
    }
    sendAll(fd,
            "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    Reader in(fd);
    Message m;
    const bool ok = in.head(m) && m.status() == 200;
    close(fd);
    return ok;
  }

  /** Kills the process, if it runs, and collects it. */
  void stop() {
    if (Pid > 0) {
      kill(Pid, SIGKILL);
      int status = 0;
      waitpid(Pid, &status, 0);
      Pid = -1;
    }
  }

private:
  std::string Folder;
  Endpoint StoreAt;
};

/** One heartbeat. @return whether it was acknowledged. */
struct Beat {
  std::string Instance;
  std::string Service;
  std::string Address{};
  std::string State = "ready";
  std::string Version = "v1";
  std::string Zone = "ain-sebaa";

  int Slots = 18;
  std::int64_t Born = 0;
  int Sequence = 0;

  bool send(const Endpoint &admin) {
    const Json body{
        {"address", Address},
        {"born", Born},
        {"info",
         {{"service", Service},
          {"version", Version},
          {"zone", Zone},
          {"slots", Slots}}},
        {"status",
         {{"state", State}, {"seqNo", ++Sequence}, {"warmupLeftMs", 0}}}};
    const auto text = body.dump();
    const int fd = connectTo(admin);
    if (fd < 0) {
      return false;
    }
    sendAll(fd, "PUT /-/instances/" + Instance +
                    " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json"
                    "\r\nContent-Length: " +
                    std::to_string(text.size()) + "\r\n\r\n" + text);
    Reader in(fd);
    Message m;
    const bool ok = in.message(m) && m.status() == 200;
    close(fd);
    return ok;
  }
};

/** Waits until all sidecars are ready. @return false after 15 s. */
inline bool awaitReady(const std::vector<Machine *> &machines) {
  const auto until = nowMs() + 15000;
  for (auto *it : machines) {
    while (!it->ready()) {
      if (nowMs() > until) {
        return false;
      }
      sleepMs(50);
    }
  }
  return true;
}

/** Head of a client's request. */
inline std::string requestHead(const std::string &method,
                               const std::string &target, const std::string &id,
                               int deadlineMs, std::size_t body = 0) {
  auto out = method + " " + target +
             " HTTP/1.1\r\nHost: shop.example\r\nChivefold-Request-Id: " + id +
             "\r\nChivefold-Deadline-Ms: " + std::to_string(deadlineMs) +
             "\r\n";
  if (body > 0 || method == "POST" || method == "PUT") {
    out += "Content-Length: " + std::to_string(body) + "\r\n";
  }
  return out + "\r\n";
}

/** @return the head of a server's signed success. @param length of the body;
 * without one, the answer ends with its connection. */
inline std::string okHead(const std::string &id,
                          std::optional<std::size_t> length) {
  std::string out = "HTTP/1.1 200 OK\r\nChivefold-Request-Id: ";
  out.append(id).append("\r\nChivefold-Server-Signature: s.").append(id);
  if (length) {
    out.append("\r\nContent-Length: ").append(std::to_string(*length));
  }
  return out.append("\r\n\r\n");
}

inline std::string misdirected(const std::string &self) {
  std::string out = "HTTP/1.1 421 Misdirected Request\r\n";
  out.append("Chivefold-Instance-Id: ").append(self);
  return out.append("\r\nContent-Length: 0\r\n\r\n");
}

/** Arguments of a case: its folder, the repository, a temporary folder and
 * whether the disruption is played. */
struct Case {
  std::string Folder, Root, Temp;
  bool Trouble = true;

  Case(int argc, char **argv) {
    if (argc != 5) {
      std::fprintf(stderr, "usage: %s CASE-FOLDER ROOT TEMP yes|no\n", argv[0]);
      std::exit(2);
    }
    Folder = argv[1];
    Root = argv[2];
    Temp = argv[3];
    Trouble = std::string(argv[4]) == "yes";
    ::signal(SIGPIPE, SIG_IGN);
    Log.open(Folder + "/record.txt");
    Log.line("case with%s the disruption", Trouble ? "" : "out");
  }
};

/** @return the resident memory of a process. */
inline std::size_t memoryMb(pid_t pid) {
  const auto path = "/proc/" + std::to_string(pid) + "/statm";
  std::FILE *f = std::fopen(path.c_str(), "r");
  std::size_t pages = 0;
  if (f != nullptr) {
    if (std::fscanf(f, "%*u %zu", &pages) != 1) {
      pages = 0;
    }
    std::fclose(f);
  }
  return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) >> 20U;
}

/** The platform's watch over the memory of a process and its restart. */
class MemoryWatch {
public:
  MemoryWatch(Machine &machine, std::size_t limitMb, std::string root)
      : Target(machine), LimitMb(limitMb), Root(std::move(root)) {}

  void run() {
    while (!Stopped) {
      const auto mb = memoryMb(Target.Pid);
      Peak = std::max(Peak, mb);
      if (mb > LimitMb) {
        Log.line("%s: the process uses %zu MB of %zu MB and is killed",
                 Target.Name.c_str(), mb, LimitMb);
        ++Ends;
        Target.stop();
        sleepMs(300);
        Target.start(Root);
      }
      std::this_thread::sleep_for(std::chrono::microseconds(500));
    }
  }

  std::atomic<bool> Stopped{false};
  std::atomic<int> Ends{0};
  std::size_t Peak = 0;

private:
  Machine &Target;
  std::size_t LimitMb;
  std::string Root;
};

/** Keeps the heartbeats of a server going. */
inline void keepBeating(Beat server, const Machine &machine,
                        const std::atomic<bool> &stopped) {
  for (int i = 0; !stopped; ++i) {
    if (i % 10 == 0) {
      server.send(machine.Admin);
    }
    sleepMs(150);
  }
}

/** The store and the machines of a case. */
struct Deployment {
  const Case &Of;
  Store Platform;
  std::vector<Machine *> Machines;

  /** Writes the configuration, starts the sidecars and waits until they are
   * ready; ends the case if they are not. */
  void start(const std::string &config) {
    Platform.start();
    Platform.put("keyed.op", "config", config);
    for (auto *it : Machines) {
      it->writeSettings(Of.Temp, Platform.At);
      it->start(Of.Root);
    }
    if (!awaitReady(Machines)) {
      Log.line("the sidecars are not ready");
      finish(2);
    }
  }

  /** Ends all processes and the case. */
  [[noreturn]] void finish(int code) {
    for (auto *it : Machines) {
      it->stop();
    }
    Log.line("exit %d", code);
    std::_Exit(code);
  }
};

} // namespace lab

#endif
