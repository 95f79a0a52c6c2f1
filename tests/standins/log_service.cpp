/**
 * @file
 * Stand-in for the platform's append-only log, in memory.
 */
#include "http_service.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace {

using Clock = std::chrono::steady_clock;
using standin::Request;
using standin::Response;

struct Options {
  std::string Listen = "127.0.0.1:0";
  std::size_t RetainRecords = 100000;
  unsigned AppendsPerSecond = 500;
};

constexpr std::size_t MaxRecordBytes = 64U << 10U;
constexpr long MaxReadRecords = 4096;
constexpr long MaxWaitMs = 30000;

enum class Mode { Up, Down, Slow, LoseAnswers };

class Log {
public:
  explicit Log(const Options &options) : Settings(options) {}

  Response handle(const Request &request) {
    if (request.Path == "/control" && request.Method == "POST") {
      return control(request);
    }
    if (request.Path == "/stats") {
      return stats();
    }
    if (!available()) {
      return {503, "outage\n", {}, false};
    }
    if (request.Path == "/append" && request.Method == "POST") {
      return append(request);
    }
    if (request.Path == "/read" && request.Method == "GET") {
      return read(request);
    }
    return {404, "no such operation\n", {}, false};
  }

  /** Ends the long polls. */
  void stop() {
    const std::lock_guard<std::mutex> lock(Mutex);
    Stopped = true;
    Changed.notify_all();
  }

private:
  bool available() {
    std::unique_lock<std::mutex> lock(Mutex);
    const auto delay = CurrentMode == Mode::Slow ? DelayMs : 0;
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::milliseconds(delay));
    lock.lock();
    return CurrentMode != Mode::Down;
  }

  Response control(const Request &request) {
    const std::lock_guard<std::mutex> lock(Mutex);
    const auto mode = request.query("mode");
    if (mode == "up") {
      CurrentMode = Mode::Up;
    } else if (mode == "down") {
      CurrentMode = Mode::Down;
    } else if (mode == "slow") {
      CurrentMode = Mode::Slow;
    } else if (mode == "lose-answers") {
      CurrentMode = Mode::LoseAnswers;
    } else {
      return {400, "mode is up, down, slow or lose-answers\n", {}, false};
    }
    DelayMs = std::clamp(request.number("delay_ms", 1000), 0L, MaxWaitMs);
    Changed.notify_all();
    return {200, mode + "\n", {}, false};
  }

  Response stats() {
    const std::lock_guard<std::mutex> lock(Mutex);
    return {200,
            "{\"appends\":" + std::to_string(Next - 1) +
                ",\"rejected\":" + std::to_string(Rejected) +
                ",\"peak_per_second\":" + std::to_string(PeakRate) + "}\n",
            {{"Content-Type", "application/json"}},
            false};
  }

  /** Counts one append in the present second. */
  bool withinRate() {
    const auto now = Clock::now();
    if (now - SecondStart >= std::chrono::seconds(1)) {
      SecondStart = now;
      InSecond = 0;
    }
    if (InSecond >= Settings.AppendsPerSecond) {
      ++Rejected;
      return false;
    }
    PeakRate = std::max(PeakRate, ++InSecond);
    return true;
  }

  Response append(const Request &request) {
    const std::lock_guard<std::mutex> lock(Mutex);
    if (request.Body.size() > MaxRecordBytes) {
      return {413, "record too large\n", {}, false};
    }
    if (!withinRate()) {
      return {429, "too many appends\n", {{"Retry-After", "1"}}, false};
    }
    const auto offset = Next++;
    Records.push_back(request.Body);
    while (Records.size() > Settings.RetainRecords) {
      Records.pop_front();
      ++First;
    }
    Changed.notify_all();
    if (CurrentMode == Mode::LoseAnswers) {
      // Both forms of a lost answer occur: a broken connection and an error.
      LoseByClosing = !LoseByClosing;
      return {503, "lost\n", {}, LoseByClosing};
    }
    return {200, std::to_string(offset), headers(), false};
  }

  Response read(const Request &request) {
    std::unique_lock<std::mutex> lock(Mutex);
    const auto from =
        static_cast<std::uint64_t>(std::max(1L, request.number("from", 1)));
    const auto max = std::clamp(request.number("max", 256), 1L, MaxReadRecords);
    const auto wait = std::clamp(request.number("wait_ms", 0), 0L, MaxWaitMs);
    Changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
      return Stopped || CurrentMode == Mode::Down || from < Next;
    });
    if (CurrentMode == Mode::Down) {
      return {503, "outage\n", {}, false};
    }
    if (from < First) {
      return {410, "trimmed\n", headers(), false};
    }
    Response answer{200, {}, headers(), false};
    for (auto n = from; n < Next && n < from + static_cast<unsigned>(max);
         ++n) {
      const auto &bytes = Records[n - First];
      putNumber(answer.Body, n, 8);
      putNumber(answer.Body, bytes.size(), 4);
      answer.Body += bytes;
    }
    return answer;
  }

  static void putNumber(std::string &out, std::uint64_t value, unsigned bytes) {
    for (unsigned n = 0; n < bytes; ++n) {
      out.push_back(static_cast<char>((value >> (8U * n)) & 0xffU));
    }
  }

  std::vector<std::pair<std::string, std::string>> headers() const {
    return {{"Log-First", std::to_string(First)},
            {"Log-Next", std::to_string(Next)}};
  }

  Options Settings;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<std::string> Records;
  std::uint64_t First = 1;
  std::uint64_t Next = 1;
  Mode CurrentMode = Mode::Up;
  long DelayMs = 0;
  bool LoseByClosing = false;
  bool Stopped = false;
  Clock::time_point SecondStart = Clock::now();
  unsigned InSecond = 0;
  unsigned PeakRate = 0;
  std::uint64_t Rejected = 0;
};

} // namespace

int main(int argc, char **argv) {
  Options options;
  CLI::App app("Stand-in for the platform's log");
  app.add_option("--listen", options.Listen, "IP:PORT, port 0 picks one");
  app.add_option("--retain-records", options.RetainRecords)
      ->check(CLI::PositiveNumber);
  app.add_option("--appends-per-second", options.AppendsPerSecond)
      ->check(CLI::PositiveNumber);
  CLI11_PARSE(app, argc, argv);
  const auto signals = standin::blockStopSignals();
  Log log(options);
  standin::HttpService service(options.Listen, [&](const Request &request) {
    return log.handle(request);
  });
  standin::waitForStop(signals);
  log.stop();
  return 0;
}
