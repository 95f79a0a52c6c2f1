/**
 * @file
 * Stand-in for a backend server with slots, cold start and faults.
 */
#include "http_service.h"

#include <CLI/CLI.hpp>
#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <random>
#include <thread>
#include <unistd.h>
#include <unordered_map>

namespace {

using standin::Request;
using standin::Response;

struct Options {
  std::string Listen = "127.0.0.1:0";
  std::string Name = "server";
  std::string VersionName = "v1";
  unsigned Slots = 10;
  unsigned ServiceMs = 20;
  unsigned ColdMs = 0;
  unsigned ErrorPermille = 0;
  std::uint64_t BadAfterCalls = 0;
  /** "http://ip:port/service/path" to call for each request; may be empty. */
  std::string Depends;
};

/** Executions per key, the oldest key is forgotten beyond MaxKeys. */
class Executions {
public:
  static constexpr std::size_t MaxKeys = 200000;
  void add(const std::string &key) {
    const std::lock_guard<std::mutex> lock(Mutex);
    ++Total;
    if (key.empty()) {
      return;
    }
    auto &count = Counts[key];
    if (++count == 1) {
      Order.push_back(key);
      ++Distinct;
    } else {
      Repeated.push_back(key);
    }
    Max = std::max(Max, count);
    if (Order.size() > MaxKeys) {
      Counts.erase(Order.front());
      Order.pop_front();
    }
    if (Repeated.size() > MaxRepeated) {
      Repeated.pop_front();
    }
  }
  std::string json(bool withKeys) {
    const std::lock_guard<std::mutex> lock(Mutex);
    nlohmann::json out = {{"total", Total},
                          {"distinct", Distinct},
                          {"max_per_key", Max},
                          {"repeated_keys", Repeated}};
    if (withKeys) {
      out["keys"] = Counts;
    }
    return out.dump() + "\n";
  }

private:
  static constexpr std::size_t MaxRepeated = 100;
  std::mutex Mutex;
  std::unordered_map<std::string, unsigned> Counts;
  std::deque<std::string> Order;
  std::deque<std::string> Repeated;
  std::uint64_t Total = 0;
  std::uint64_t Distinct = 0;
  unsigned Max = 0;
};

size_t discard(char *, size_t size, size_t n, void *) { return size * n; }

class Backend {
public:
  explicit Backend(const Options &options)
      : Settings(options), Random(std::hash<std::string>()(options.Name)) {}

  Response handle(const Request &request) {
    if (request.Path == "/-/executions") {
      return {200, Runs.json(request.query("keys") == "1"), {}, false};
    }
    if (request.Path == "/-/health") {
      return {200, "ok\n", {}, false};
    }
    if (!request.header("X-Crash").empty()) {
      _exit(70); // As a crash: no drain, no answer.
    }
    const auto timeout = request.header("Chivefold-Timeout-Ms");
    if (!timeout.empty() && std::strtol(timeout.c_str(), nullptr, 10) <= 0) {
      return {504, "deadline passed\n", notRunHeaders(), false};
    }
    const auto inFlight = ++InFlight;
    Response answer = inFlight > Settings.Slots
                          ? Response{503, "no slot\n", notRunHeaders(), false}
                          : run(request, inFlight);
    --InFlight;
    return answer;
  }

  /** Waits for the requests in flight, at most this long. */
  void drain(std::chrono::milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (InFlight > 0 && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

private:
  Response run(const Request &request, unsigned inFlight) {
    const auto call = ++Calls;
    const double capacity = capacityNow();
    const double load = inFlight / capacity;
    Runs.add(request.header("Idempotency-Key"));
    const auto time =
        static_cast<long>(Settings.ServiceMs * std::max(1.0, load) * 1000.0);
    std::this_thread::sleep_for(std::chrono::microseconds(time));
    WorkedUs += time;
    const bool bad =
        Settings.BadAfterCalls > 0 && call > Settings.BadAfterCalls;
    if (load > 2 || bad || fails()) {
      return {500, "failed\n", headers(), false};
    }
    if (!Settings.Depends.empty()) {
      const long status = callDependency(request, time / 1000);
      if (status < 200 || status >= 300) {
        return {502, "dependency: " + std::to_string(status) + "\n", headers(),
                false};
      }
    }
    return {200, Settings.Name + " " + request.Path + "\n" + request.Body,
            headers(), false};
  }

  /** Grows from one slot to all over ColdMs of time spent working. */
  double capacityNow() const {
    if (Settings.ColdMs == 0) {
      return Settings.Slots;
    }
    const double part =
        std::min(1.0, static_cast<double>(WorkedUs) / 1000.0 / Settings.ColdMs);
    return 1.0 + part * (Settings.Slots - 1.0);
  }

  bool fails() {
    const std::lock_guard<std::mutex> lock(Mutex);
    return Random() % 1000 < Settings.ErrorPermille;
  }

  /** @return the status of the dependency's answer, or 0. */
  long callDependency(const Request &request, long usedMs) const {
    const auto given = request.header("Chivefold-Timeout-Ms");
    const long left =
        given.empty() ? 2000 : std::strtol(given.c_str(), nullptr, 10) - usedMs;
    if (left <= 0) {
      return 504;
    }
    curl_slist *fields = nullptr;
    const auto add = [&](const std::string &name, const std::string &value) {
      if (!value.empty()) {
        fields = curl_slist_append(fields, (name + ": " + value).c_str());
      }
    };
    add("Chivefold-Timeout-Ms", std::to_string(left));
    add("Chivefold-Depth", request.header("Chivefold-Depth"));
    add("Chivefold-Retry-Budget", request.header("Chivefold-Retry-Budget"));
    const auto key = request.header("Idempotency-Key");
    add("Idempotency-Key", key.empty() ? "" : key + "/dependency");
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, Settings.Depends.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, fields);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, left);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard);
    if (request.Method != "GET") {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, 0L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.Method.c_str());
    }
    long status = 0;
    if (curl_easy_perform(easy) == CURLE_OK) {
      curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_easy_cleanup(easy);
    curl_slist_free_all(fields);
    return status;
  }

  /** Says that the request was not run, so that it may be sent elsewhere. */
  std::vector<std::pair<std::string, std::string>> notRunHeaders() const {
    auto all = headers();
    all.emplace_back("Chivefold-Outcome", "not-run");
    return all;
  }

  std::vector<std::pair<std::string, std::string>> headers() const {
    return {{"Chivefold-Served-By", Settings.Name},
            {"Chivefold-Served-By-Version", Settings.VersionName}};
  }

  Options Settings;
  Executions Runs;
  std::mutex Mutex;
  std::mt19937 Random;
  std::atomic<unsigned> InFlight{0};
  std::atomic<std::uint64_t> Calls{0};
  std::atomic<std::int64_t> WorkedUs{0};
};

} // namespace

int main(int argc, char **argv) {
  Options options;
  CLI::App app("Stand-in for a backend server");
  app.add_option("--listen", options.Listen, "IP:PORT, port 0 picks one");
  app.add_option("--name", options.Name);
  app.add_option("--version-name", options.VersionName);
  app.add_option("--slots", options.Slots)->check(CLI::PositiveNumber);
  app.add_option("--service-ms", options.ServiceMs);
  app.add_option("--cold-ms", options.ColdMs);
  app.add_option("--error-permille", options.ErrorPermille);
  app.add_option("--bad-after-calls", options.BadAfterCalls, "0: never");
  app.add_option("--depends", options.Depends,
                 "http://IP:PORT/SERVICE/PATH to call for each request");
  CLI11_PARSE(app, argc, argv);
  const auto signals = standin::blockStopSignals();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  Backend backend(options);
  standin::HttpService service(options.Listen, [&](const Request &request) {
    return backend.handle(request);
  });
  standin::waitForStop(signals);
  service.stopListening();
  backend.drain(std::chrono::seconds(10));
  // The last answers leave the socket after their handlers have returned.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  return 0;
}
