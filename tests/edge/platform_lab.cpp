#include "platform_lab.h"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace edge {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr auto StartLimit = std::chrono::seconds(60);
const std::string JsonHead = "Content-Type: application/json\r\n";

std::string bigEndian(std::uint64_t n, unsigned bytes) {
  std::string out;
  for (unsigned i = bytes; i-- > 0;) {
    out += static_cast<char>(n >> (8 * i) & 0xffU);
  }
  return out;
}

std::string base64(const std::string &in) {
  static const std::string digits =
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

/** @return something else in place of the body of an answer, in turn. */
std::string garbled(const std::string &body, unsigned turn) {
  switch (turn % 6) {
  case 0:
    return body.substr(0, body.size() / 2);
  case 1:
    return body + body;
  case 2:
    return R"({"items":[{"key":7},{"key":"a"},null],"endOffset":1e99})";
  case 3:
    return R"({"items":[],"endOffset":-1,"offset":"x"})";
  case 4:
    return std::string(body.size() + 1, '\xff');
  default:
    return "[]";
  }
}

} // namespace

std::string configuration(const HostLimits &limits,
                          const std::vector<std::string> &services,
                          unsigned version) {
  Json routes = Json::array();
  Json all = Json::array();
  for (const auto &it : services) {
    routes.push_back({{"name", it},
                      {"hostname", "shop.example"},
                      {"pathPrefix", "/" + it + "/"},
                      {"routeType", "unsafe"},
                      {"timeoutMs", 60000},
                      {"targetLatencyMs", 30000},
                      {"priority", 1},
                      {"service", it},
                      {"maxAttempts", 2}});
    all.push_back({{"name", it},
                   {"healthPath", "/healthz"},
                   {"maxConnections", 120},
                   {"protocol", "h1"},
                   {"tls", false},
                   {"warmupS", 0.1},
                   {"warmupRpsS", 100.0}});
  }
  return Json{{"version", "r" + std::to_string(version)},
              {"routes", routes},
              {"services", all},
              {"limits",
               {{"maxHeaderBytes", limits.MaxHeaderBytes},
                {"maxBodyBytes", limits.MaxBodyBytes},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}}}
      .dump();
}

bool eventually(const std::function<bool()> &holds) {
  const auto end = Clock::now() + StartLimit;
  while (!holds()) {
    if (Clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return true;
}

void require(bool holds, const char *what) {
  if (!holds) {
    std::fprintf(stderr, "cannot run the test: %s\n", what);
    std::_Exit(2);
  }
}

std::string Store::start() {
  auto address = freeAddress();
  serveConnections(address, [this](int fd) { serveConnection(fd); });
  return address;
}

void Store::serveConnection(int fd) {
  const linger reset{1, 0};
  HttpReader in(fd);
  HttpMessage request;
  while (in.read(request)) {
    auto out = answer(request);
    const auto fault = drawFault();
    if (fault == StoreFault::Silence) {
      continue;
    }
    if (fault == StoreFault::Garbage) {
      out.Body = garbled(out.Body, Garbled++);
    }
    const auto bytes = encode(out);
    const auto n = fault == StoreFault::ResetBefore   ? 0
                   : fault == StoreFault::ResetWithin ? bytes.size() / 2
                                                      : bytes.size();
    const bool isSent = sendAll(fd, bytes.substr(0, n));
    if (fault == StoreFault::ResetBehind || n < bytes.size()) {
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      return;
    }
    if (!isSent) {
      return;
    }
  }
}

StoreFault Store::drawFault() {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Faults ? Faults() : StoreFault::None;
}

void Store::setFaults(FaultSource faults) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Faults = std::move(faults);
}

void Store::setAway(bool isAway) {
  const std::lock_guard<std::mutex> lock(Mutex);
  IsAway = isAway;
  Changed.notify_all();
}

Store::Records Store::copy() {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Topics;
}

void Store::restore(Records copy) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Topics = std::move(copy);
  ++Era;
  Changed.notify_all();
}

void Store::put(const std::string &topic, const std::string &key,
                const std::string &value) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Topics[topic].emplace_back(key, value);
  Changed.notify_all();
}

HttpMessage Store::answer(const HttpMessage &request) {
  std::unique_lock<std::mutex> lock(Mutex);
  auto out = answerLocked(request, lock);
  out.Headers += "Store-Era: " + std::to_string(Era) + "\r\n";
  return out;
}

HttpMessage Store::answerLocked(const HttpMessage &request,
                                std::unique_lock<std::mutex> &lock) {
  const auto target = request.target();
  const auto topic = queryValue(target, "topic");
  if (IsAway) {
    return {"HTTP/1.1 503 X", JsonHead, "{}"};
  }
  auto &items = Topics[topic];
  if (target.rfind("/-/log-append", 0) == 0) {
    return append(topic, request);
  }
  if (target.rfind("/-/log-read", 0) == 0) {
    return read(target, items, lock);
  }
  std::map<std::string, std::size_t> newest;
  for (std::size_t i = 0; i < items.size(); ++i) {
    newest[items[i].first] = i;
  }
  Json out{{"items", Json::array()},
           {"hasMore", false},
           {"endOffset", items.size()}};
  for (const auto &it : newest) {
    out["items"].push_back({{"key", it.first},
                            {"value", base64(items[it.second].second)},
                            {"offset", it.second}});
  }
  return {"HTTP/1.1 200 OK", JsonHead, out.dump()};
}

HttpMessage Store::append(const std::string &topic,
                          const HttpMessage &request) {
  auto &items = Topics[topic];
  const auto at = queryValue(request.target(), "at");
  if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != items.size()) {
    return {"HTTP/1.1 412 X", JsonHead,
            Json{{"endOffset", items.size()}}.dump()};
  }
  const auto offset = items.size();
  const auto &body = request.Body;
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
  return {"HTTP/1.1 200 OK", JsonHead,
          Json{{"offset", offset}, {"endOffset", items.size()}}.dump()};
}

HttpMessage Store::read(const std::string &target, std::vector<Item> &items,
                        std::unique_lock<std::mutex> &lock) {
  const auto from =
      std::strtoull(queryValue(target, "from").c_str(), nullptr, 10);
  const auto wait = std::atoi(queryValue(target, "waitMs").c_str());
  const auto era = Era;
  Changed.wait_for(lock, std::chrono::milliseconds(wait),
                   [&] { return IsAway || Era != era || items.size() > from; });
  if (IsAway || Era != era) {
    return {"HTTP/1.1 503 X", JsonHead, "{}"};
  }
  auto out = bigEndian(items.size(), 8) + bigEndian(0, 8);
  for (auto i = from; i < items.size(); ++i) {
    const auto &[key, value] = items[i];
    out += bigEndian(1 + key.size() + value.size(), 4);
    out += static_cast<char>(key.size());
    out += key;
    out += value;
  }
  return {"HTTP/1.1 200 OK", "Content-Type: application/octet-stream\r\n", out};
}

Host::Host(std::string program, HostLimits limits, HostRole role)
    : Callers(freeAddress()), Readiness(freeAddress()), Admin(freeAddress()),
      Peers(freeAddress()), Program(std::move(program)), Limits(limits),
      Role(std::move(role)) {
  std::array<char, 32> name{"/tmp/chivefold-edge-XXXXXX"};
  require(mkdtemp(name.data()) != nullptr, "no temporary folder");
  Folder = name.data();
}

Host::~Host() {
  if (Pid > 0) {
    kill();
  }
  for (const auto *it : {"/settings.toml", "/sidecar.log"}) {
    std::remove((Folder + it).c_str());
  }
  rmdir(Folder.c_str());
}

void Host::writeSettings() const {
  std::ofstream out(Folder + "/settings.toml");
  out << "caller-listen=\"" << Callers << "\"\nreadiness-listen=\"" << Readiness
      << "\"\nadmin-listen=\"" << Admin << "\"\npeer-listen=\"" << Peers
      << "\"\nbackend-server=\"" << Role.Backend << "\"\nstore=\""
      << Role.StoreAddress << "\"\ndata-centre=\"east\"\nservice=\""
      << Role.Service
      << "\"\ngrace-seconds=6\nexposure-share=0.1\nexposure-slack=50\n"
      << "memory-limit-mb=" << Limits.MemoryMb
      << "\ndescriptor-limit=" << Limits.Descriptors << "\n";
}

void Host::spawn() {
  const auto log = Folder + "/sidecar.log";
  const auto settings = Folder + "/settings.toml";
  Pid = fork();
  if (Pid == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    execl(Program.c_str(), Program.c_str(), "--config", settings.c_str(),
          nullptr);
    _exit(127);
  }
}

void Host::start() {
  if (Role.StoreAddress.empty()) {
    Role.StoreAddress = Platform.start();
    Platform.put("keyed.op", "config", configuration(Limits, {Role.Service}));
  }
  if (Role.Backend.empty()) {
    Role.Backend = freeAddress();
    serve(Role.Backend, false, [](const HttpMessage &request) -> HttpMessage {
      const auto id = request.header("Chivefold-Request-Id");
      return {"HTTP/1.1 200 OK",
              "Chivefold-Request-Id: " + id +
                  "\r\nChivefold-Server-Signature: s." + id + "\r\n",
              "ok"};
    });
  }
  writeSettings();
  spawn();
  require(eventually([this] { return isReady(); }), "the sidecar is not ready");
  require(eventually([this] { return report() && request() == 200; }),
          "no request is served before the crowd");
}

bool Host::isReady() const {
  HttpMessage answer;
  return exchange(Readiness,
                  "GET /-/readyz HTTP/1.1\r\nHost: x\r\n"
                  "Connection: close\r\n\r\n",
                  answer) == 200;
}

bool Host::report() const {
  const auto text =
      Json{{"address", Role.Backend},
           {"born", 1},
           {"info",
            {{"service", Role.Service},
             {"version", "v1"},
             {"zone", "east"},
             {"slots", Role.Slots}}},
           {"status",
            {{"state", "ready"}, {"seqNo", ++Sequence}, {"warmupLeftMs", 0}}}}
          .dump();
  return tell(Role.Instance, text) == 200;
}

int Host::request(std::size_t bodyBytes, const std::string &service) const {
  HttpMessage answer;
  return exchange(Callers,
                  "POST /" + (service.empty() ? Role.Service : service) +
                      "/1 HTTP/1.1\r\nHost: shop.example\r\n"
                      "Chivefold-Request-Id: q-" +
                      std::to_string(++Sequence) +
                      "\r\nChivefold-Deadline-Ms: 60000\r\nContent-Length: " +
                      std::to_string(bodyBytes) + "\r\n\r\n" +
                      bodyPart(0, bodyBytes),
                  answer);
}

int Host::post(const std::string &path, int deadlineMs) const {
  HttpMessage answer;
  return exchange(
      Callers,
      "POST " + path +
          " HTTP/1.1\r\nHost: shop.example\r\n"
          "Chivefold-Request-Id: q-" +
          std::to_string(++Sequence) + "\r\nChivefold-Deadline-Ms: " +
          std::to_string(deadlineMs) + "\r\nContent-Length: 4\r\n\r\nwork",
      answer);
}

std::string Host::metric(const std::string &name) const {
  HttpMessage answer;
  if (exchange(Admin,
               "GET /-/metrics HTTP/1.1\r\nHost: x\r\n"
               "Connection: close\r\n\r\n",
               answer) != 200) {
    return {};
  }
  std::istringstream lines(answer.Body);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(name + " ", 0) == 0) {
      return line.substr(name.size() + 1);
    }
  }
  return {};
}

void Host::terminate() const {
  // To signal process -1 is to signal all.
  if (Pid > 0) {
    ::kill(Pid, SIGTERM);
  }
}

void Host::kill() {
  const std::lock_guard<std::mutex> lock(Mutex);
  if (Pid > 0) {
    ::kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    Pid = -1;
  }
}

void Host::respawn() {
  const std::lock_guard<std::mutex> lock(Mutex);
  spawn();
}

int Host::tell(const std::string &instance, const std::string &text) const {
  HttpMessage answer;
  const auto head = (text.empty() ? "DELETE" : "PUT") +
                    std::string(" /-/instances/") + instance +
                    " HTTP/1.1\r\nHost: x\r\n";
  return exchange(Admin,
                  text.empty()
                      ? head + "\r\n"
                      : head +
                            "Content-Type: application/json\r\n"
                            "Content-Length: " +
                            std::to_string(text.size()) + "\r\n\r\n" + text,
                  answer);
}

bool Host::hasEnded() {
  int status = 0;
  if (Pid <= 0 || waitpid(Pid, &status, WNOHANG) != Pid) {
    return false;
  }
  Pid = -1;
  return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

ProcessFigures Host::figures() const {
  ProcessFigures out;
  const auto folder = "/proc/" + std::to_string(Pid);
  out.IsAlive = waitpid(Pid, nullptr, WNOHANG) == 0;
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) {
      out.PeakKb = std::strtoul(line.c_str() + 6, nullptr, 10);
    } else if (line.rfind("VmRSS:", 0) == 0) {
      out.ResidentKb = std::strtoul(line.c_str() + 6, nullptr, 10);
    }
  }
  if (auto *list = opendir((folder + "/fd").c_str())) {
    while (const auto *it = readdir(list)) {
      out.Descriptors += it->d_name[0] != '.' ? 1 : 0;
    }
    closedir(list);
  }
  return out;
}

} // namespace edge
