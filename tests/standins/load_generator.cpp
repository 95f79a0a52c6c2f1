/**
 * @file
 * Sends calls at a fixed rate and reports outcomes and latencies as JSON.
 */
#include <CLI/CLI.hpp>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace {

namespace acc = boost::accumulators;
using Clock = std::chrono::steady_clock;

struct Options {
  std::vector<std::string> Targets;
  std::vector<std::string> Kinds;
  double Rate = 10;
  double Seconds = 10;
  unsigned TimeoutMs = 2000;
  unsigned RepeatPermille = 0;
  bool RepeatUnknown = false;
  bool CheckEcho = false;
  bool ListKeys = false;
  unsigned MaxOutstanding = 500;
  unsigned Seed = 1;
};

/** Bound of each list of keys in the report; further keys are only counted. */
constexpr std::size_t MaxListedKeys = 50000;

struct RequestKind {
  std::string Method;
  std::string Path;
  double Share = 1;
};

/** One attempt in flight. */
struct Attempt {
  const RequestKind *Kind = nullptr;
  std::size_t Target = 0;
  std::string Key;
  bool Repeat = false;
  Clock::time_point Start;
  curl_slist *Fields = nullptr;
  std::string Body;
  std::string OutcomeHeader;
  std::string VersionHeader;
};

constexpr std::array<double, 4> Quantiles = {0.5, 0.9, 0.99, 0.999};
constexpr std::size_t MinSamples = 2 * Quantiles.size() + 3;
using Latency = acc::accumulator_set<
    double, acc::stats<acc::tag::mean, acc::tag::max, acc::tag::count,
                       acc::tag::extended_p_square>>;

/** Everything that the report prints. */
struct Report {
  std::uint64_t Sent = 0;
  std::uint64_t Repeats = 0;
  std::uint64_t Skipped = 0;
  std::uint64_t TransportErrors = 0;
  std::uint64_t WrongBodies = 0;
  std::map<std::string, std::uint64_t> Outcomes;
  std::map<std::string, std::uint64_t> Statuses;
  std::map<std::string, std::uint64_t> Versions;
  std::map<std::string, std::map<std::string, std::uint64_t>> PerKind;
  std::map<std::string, std::vector<std::string>> Keys;
  Latency AnsweredMs{acc::extended_p_square_probabilities = Quantiles};
  double ElapsedSeconds = 0;
};

size_t onBody(char *data, size_t size, size_t n, void *user) {
  auto &body = static_cast<Attempt *>(user)->Body;
  if (body.size() + size * n <= (1U << 20U)) {
    body.append(data, size * n);
  }
  return size * n;
}

size_t onHeader(char *data, size_t size, size_t n, void *user) {
  auto *attempt = static_cast<Attempt *>(user);
  std::string line(data, size * n);
  const auto colon = line.find(':');
  if (colon != std::string::npos) {
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const auto begin = line.find_first_not_of(' ', colon + 1);
    const auto end = line.find_last_not_of("\r\n ");
    const auto value = begin == std::string::npos || end < begin
                           ? std::string()
                           : line.substr(begin, end - begin + 1);
    if (name == "chivefold-outcome") {
      attempt->OutcomeHeader = value;
    } else if (name == "chivefold-served-by-version") {
      attempt->VersionHeader = value;
    }
  }
  return size * n;
}

class Generator {
public:
  Generator(const Options &options, std::vector<RequestKind> kinds)
      : Settings(options), Kinds(std::move(kinds)), Random(options.Seed),
        Multi(curl_multi_init()) {
    std::vector<double> shares;
    for (const auto &it : Kinds) {
      shares.push_back(it.Share);
    }
    Pick =
        std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
  }
  ~Generator() {
    for (auto *easy : Idle) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(Multi);
  }
  Generator(const Generator &) = delete;
  Generator &operator=(const Generator &) = delete;

  Report run() {
    const auto start = Clock::now();
    const auto total =
        static_cast<std::uint64_t>(Settings.Rate * Settings.Seconds);
    std::uint64_t issued = 0;
    while (issued < total || Outstanding > 0) {
      const std::chrono::duration<double> elapsed = Clock::now() - start;
      const auto due = std::min(
          total,
          static_cast<std::uint64_t>(elapsed.count() * Settings.Rate) + 1);
      for (; issued < due; ++issued) {
        issue();
      }
      int running = 0;
      curl_multi_perform(Multi, &running);
      collect();
      curl_multi_poll(Multi, nullptr, 0, pollMs(issued, total), nullptr);
    }
    const std::chrono::duration<double> elapsed = Clock::now() - start;
    Out.ElapsedSeconds = elapsed.count();
    return std::move(Out);
  }

private:
  int pollMs(std::uint64_t issued, std::uint64_t total) const {
    return issued >= total
               ? 50
               : std::clamp(static_cast<int>(500 / Settings.Rate), 1, 50);
  }

  void issue() {
    const auto &kind = Kinds[Pick(Random)];
    const auto target = Random() % Settings.Targets.size();
    std::string key;
    if (kind.Method != "GET") {
      key =
          "k" + std::to_string(Settings.Seed) + "-" + std::to_string(++LastKey);
    }
    send(kind, target, key, false);
    if (!key.empty() && Random() % 1000 < Settings.RepeatPermille) {
      send(kind, (target + 1) % Settings.Targets.size(), key, true);
    }
  }

  void send(const RequestKind &kind, std::size_t target, const std::string &key,
            bool repeat) {
    if (Outstanding >= Settings.MaxOutstanding) {
      ++Out.Skipped;
      return;
    }
    auto *attempt = new Attempt;
    attempt->Kind = &kind;
    attempt->Target = target;
    attempt->Key = key;
    attempt->Repeat = repeat;
    attempt->Start = Clock::now();
    CURL *easy = takeHandle();
    prepare(easy, attempt);
    curl_multi_add_handle(Multi, easy);
    ++Outstanding;
    ++(repeat ? Out.Repeats : Out.Sent);
  }

  CURL *takeHandle() {
    if (Idle.empty()) {
      return curl_easy_init();
    }
    auto *easy = Idle.back();
    Idle.pop_back();
    curl_easy_reset(easy);
    return easy;
  }

  void prepare(CURL *easy, Attempt *attempt) const {
    const auto url =
        "http://" + Settings.Targets[attempt->Target] + attempt->Kind->Path;
    const auto timeout =
        "Chivefold-Timeout-Ms: " + std::to_string(Settings.TimeoutMs);
    attempt->Fields = curl_slist_append(nullptr, timeout.c_str());
    if (!attempt->Key.empty()) {
      const auto field = "Idempotency-Key: " + attempt->Key;
      attempt->Fields = curl_slist_append(attempt->Fields, field.c_str());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                       static_cast<long>(attempt->Key.size()));
      curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, attempt->Key.c_str());
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST,
                       attempt->Kind->Method.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, attempt->Fields);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, attempt);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    // The daemon answers by the deadline; the rest is for the way back.
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(Settings.TimeoutMs) + 1000L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, attempt);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, attempt);
  }

  void collect() {
    int left = 0;
    while (const auto *message = curl_multi_info_read(Multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL *easy = message->easy_handle;
      const bool failed = message->data.result != CURLE_OK;
      Attempt *raw = nullptr;
      curl_easy_getinfo(easy, CURLINFO_PRIVATE, &raw);
      const std::unique_ptr<Attempt> attempt(raw);
      long status = 0;
      curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
      curl_multi_remove_handle(Multi, easy);
      Idle.push_back(easy);
      --Outstanding;
      finish(*attempt, failed, status);
      curl_slist_free_all(attempt->Fields);
    }
  }

  void finish(const Attempt &attempt, bool failed, long status) {
    const std::string outcome = failed ? "transport"
                                : attempt.OutcomeHeader.empty()
                                    ? "none"
                                    : attempt.OutcomeHeader;
    ++Out.Outcomes[outcome];
    ++Out.PerKind[attempt.Kind->Method + " " + attempt.Kind->Path][outcome];
    Out.TransportErrors += failed ? 1 : 0;
    if (!failed) {
      ++Out.Statuses[std::to_string(status)];
    }
    if (!attempt.VersionHeader.empty()) {
      ++Out.Versions[attempt.VersionHeader];
    }
    // A backend server that is called directly names no outcome.
    if (outcome == "answered" || (outcome == "none" && status == 200)) {
      const std::chrono::duration<double, std::milli> time =
          Clock::now() - attempt.Start;
      Out.AnsweredMs(time.count());
    }
    if (Settings.CheckEcho && !failed && status == 200 &&
        !attempt.Key.empty() && !endsWith(attempt.Body, "\n" + attempt.Key)) {
      ++Out.WrongBodies;
    }
    noteKey(attempt, outcome, status);
    const bool unknown = failed || outcome == "unknown";
    if (Settings.RepeatUnknown && unknown && !attempt.Repeat &&
        !attempt.Key.empty()) {
      send(*attempt.Kind, (attempt.Target + 1) % Settings.Targets.size(),
           attempt.Key, true);
    }
  }

  void noteKey(const Attempt &attempt, const std::string &outcome,
               long status) {
    if (!Settings.ListKeys || attempt.Key.empty()) {
      return;
    }
    auto &list =
        Out.Keys[status >= 200 && status < 300 ? "succeeded" : outcome];
    if (list.size() < MaxListedKeys) {
      list.push_back(attempt.Key);
    }
  }

  static bool endsWith(const std::string &text, const std::string &end) {
    return text.size() >= end.size() &&
           text.compare(text.size() - end.size(), end.size(), end) == 0;
  }

  Options Settings;
  std::vector<RequestKind> Kinds;
  std::mt19937_64 Random;
  std::discrete_distribution<std::size_t> Pick;
  CURLM *Multi;
  std::vector<CURL *> Idle;
  std::size_t Outstanding = 0;
  std::uint64_t LastKey = 0;
  Report Out;
};

/** Parses METHOD:/service/path:share. */
bool parseKind(const std::string &text, RequestKind &kind) {
  const auto first = text.find(':');
  const auto last = text.rfind(':');
  if (first == std::string::npos || last <= first + 1 ||
      text[first + 1] != '/') {
    return false;
  }
  kind.Method = text.substr(0, first);
  kind.Path = text.substr(first + 1, last - first - 1);
  kind.Share = std::strtod(text.c_str() + last + 1, nullptr);
  return !kind.Method.empty() && kind.Share > 0;
}

void print(Report report) {
  nlohmann::json latency = {{"count", acc::count(report.AnsweredMs)}};
  if (acc::count(report.AnsweredMs) > 0) {
    latency["mean"] = acc::mean(report.AnsweredMs);
    latency["max"] = acc::max(report.AnsweredMs);
    const std::array<const char *, 4> names = {"p50", "p90", "p99", "p99.9"};
    for (std::size_t n = 0; n < Quantiles.size(); ++n) {
      // The estimator needs 2n + 3 samples for n quantiles.
      latency[names[n]] =
          acc::count(report.AnsweredMs) < MinSamples
              ? acc::max(report.AnsweredMs)
              : acc::extended_p_square(
                    report.AnsweredMs)[static_cast<std::ptrdiff_t>(n)];
    }
  }
  nlohmann::json out = {{"sent", report.Sent},
                        {"repeats", report.Repeats},
                        {"skipped", report.Skipped},
                        {"transport_errors", report.TransportErrors},
                        {"wrong_bodies", report.WrongBodies},
                        {"outcomes", report.Outcomes},
                        {"statuses", report.Statuses},
                        {"versions", report.Versions},
                        {"kinds", report.PerKind},
                        {"latency_ms", latency},
                        {"elapsed_s", report.ElapsedSeconds}};
  if (!report.Keys.empty()) {
    out["keys"] = report.Keys;
  }
  std::printf("%s\n", out.dump(2).c_str());
}

} // namespace

int main(int argc, char **argv) {
  Options options;
  CLI::App app("Sends calls at a fixed rate and reports what became of them");
  app.add_option("--target", options.Targets, "IP:PORT of a daemon's callers")
      ->required();
  app.add_option("--kind", options.Kinds, "METHOD:/service/path:share")
      ->required();
  app.add_option("--rate", options.Rate, "calls per second")
      ->check(CLI::PositiveNumber);
  app.add_option("--seconds", options.Seconds)->check(CLI::PositiveNumber);
  app.add_option("--timeout-ms", options.TimeoutMs);
  app.add_option("--repeat-permille", options.RepeatPermille,
                 "share of keys sent to another target at once");
  app.add_flag("--repeat-unknown", options.RepeatUnknown,
               "repeat a key elsewhere after an unknown outcome");
  app.add_flag("--check-echo", options.CheckEcho,
               "check that a response holds the request's own key");
  app.add_flag("--list-keys", options.ListKeys, "list keys by outcome");
  app.add_option("--max-outstanding", options.MaxOutstanding);
  app.add_option("--seed", options.Seed);
  CLI11_PARSE(app, argc, argv);
  std::vector<RequestKind> kinds;
  for (const auto &it : options.Kinds) {
    RequestKind kind;
    if (!parseKind(it, kind)) {
      std::fprintf(stderr, "not METHOD:/service/path:share: %s\n", it.c_str());
      return 2;
    }
    kinds.push_back(kind);
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  print(Generator(options, std::move(kinds)).run());
  return 0;
}
