#include "chivefold/sidecar/sidecar_settings.h"

#include "chivefold/daemon/command_line.h"

#include <cstdlib>
#include <map>

namespace chivefold {

namespace {

/** Allowed range of --grace-seconds. */
constexpr double MinGraceSeconds = 0.5;
constexpr double MaxGraceSeconds = 600;
constexpr double MaxExposureSlack = 1e6;
constexpr double MaxRetryRatio = 10;
constexpr double MaxRetrySlack = 1e6;
/** Allowed range of --retry-window-seconds. */
constexpr double MinRetryWindowSeconds = 1;
constexpr double MaxRetryWindowSeconds = 600;
/** Allowed ranges of the limits for connections. */
constexpr std::size_t MinMemoryMb = 1;
constexpr std::size_t MaxMemoryMb = 1000000;
constexpr std::size_t MinDescriptors = 1;
constexpr std::size_t MaxDescriptors = 1000000;
constexpr double MinBodySeconds = 1;
constexpr double MaxBodySeconds = 86400;

void addName(CLI::App &app, const std::string &flag, std::string &to,
             const std::string &help) {
  bindEnvironmentVariable(app.add_option(flag, to, help)->type_name("NAME"))
      ->required();
}

void addListeners(CLI::App &app, SidecarSettings &s) {
  const auto add = [&app](const char *flag, Address &to, const char *help) {
    bindEnvironmentVariable(addAddressOption(app, flag, to, help))->required();
  };
  add("--caller-listen", s.CallerListen, "address for requests of clients");
  add("--readiness-listen", s.ReadinessListen, "address for readiness checks");
  add("--admin-listen", s.AdminListen,
      "address for the backend server's reports and for operators");
  add("--peer-listen", s.PeerListen, "address for other daemons");
  add("--backend-server", s.BackendServer,
      "address of the backend server on this host");
  add("--store", s.Store, "address of the platform's store");
}

/** Values of the options of the retry budget. A ratio and a slack of zero mean
 * that the operator states none. */
struct RetryOptions {
  double Ratio = 0;
  double Slack = 0;
  double WindowSeconds = 10;
};

void addRetryOptions(CLI::App &app, RetryOptions &to) {
  bindEnvironmentVariable(
      app.add_option("--retry-budget-ratio", to.Ratio,
                     "repeated attempts that a service may get from all hosts "
                     "in a window, as a fraction of its requests"))
      ->check(CLI::Range(0.0, MaxRetryRatio))
      ->capture_default_str();
  bindEnvironmentVariable(
      app.add_option("--retry-budget-slack", to.Slack,
                     "repeated attempts that a service may get in addition"))
      ->check(CLI::Range(0.0, MaxRetrySlack))
      ->capture_default_str();
  bindEnvironmentVariable(
      app.add_option("--retry-window-seconds", to.WindowSeconds,
                     "window of the retry budget, in seconds"))
      ->check(CLI::Range(MinRetryWindowSeconds, MaxRetryWindowSeconds))
      ->capture_default_str();
}

std::optional<RetryTerms> retryTerms(const RetryOptions &options) {
  if (options.Ratio <= 0 && options.Slack <= 0) {
    return std::nullopt;
  }
  return RetryTerms{options.Ratio, options.Slack,
                    std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(options.WindowSeconds))};
}

void addPlacementOptions(CLI::App &app, SidecarSettings &s) {
  static const std::map<std::string, PlacementStrategy> names = [] {
    std::map<std::string, PlacementStrategy> out;
    for (const auto it :
         {PlacementStrategy::Latency, PlacementStrategy::ExpectedWork,
          PlacementStrategy::Learned}) {
      out.emplace(placementStrategyName(it), it);
    }
    return out;
  }();
  bindEnvironmentVariable(
      app.add_option("--placement", s.Strategy,
                     "how servers are chosen: latency, expected-work, or "
                     "learned: by expected work where servers prove to differ "
                     "in speed (default)"))
      ->transform(CLI::CheckedTransformer(names));
}

// What connections may take; see EdgeLimits.
void addEdgeOptions(CLI::App &app, EdgeLimits &to) {
  bindEnvironmentVariable(
      app.add_option("--memory-limit-mb", to.MemoryMb,
                     "memory of the host for this process, in MB (10^6 bytes)"))
      ->check(CLI::Range(MinMemoryMb, MaxMemoryMb))
      ->capture_default_str();
  bindEnvironmentVariable(
      app.add_option("--descriptor-limit", to.Descriptors,
                     "descriptors that this process may have open"))
      ->check(CLI::Range(MinDescriptors, MaxDescriptors))
      ->capture_default_str();
  const auto setTimeout = [&to](const double &seconds) {
    to.BodyTimeout = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(seconds));
  };
  bindEnvironmentVariable(
      app.add_option_function<double>(
          "--body-timeout-seconds", setTimeout,
          "longest time from a request's first byte to the end of its body"))
      ->check(CLI::Range(MinBodySeconds, MaxBodySeconds))
      ->default_str("300");
}

/** Usage options before their units are converted. */
struct UsageOptions {
  double WindowSeconds = 5;
  double LeaseMs = 3000;
};

void addUsageOptions(CLI::App &app, UsageSettings &s, UsageOptions &o) {
  constexpr double maxWindowSeconds = 3600;
  constexpr double minLeaseMs = 1000;
  constexpr double maxLeaseMs = 60000;
  bindEnvironmentVariable(
      addAddressOption(app, "--usage-reports", s.Reports,
                       "address that takes the reports of customers' usage; "
                       "none are made without it"));
  bindEnvironmentVariable(
      app.add_option("--usage-host", s.Host,
                     "name of this host in usage reports [--peer-listen]")
          ->type_name("NAME"));
  bindEnvironmentVariable(
      app.add_option("--usage-window-seconds", o.WindowSeconds,
                     "length of a window of usage reports, in seconds"))
      ->check(CLI::Range(1.0, maxWindowSeconds))
      ->capture_default_str();
  bindEnvironmentVariable(
      app.add_option("--usage-lease-ms", o.LeaseMs,
                     "time within which the duty of usage reports must not "
                     "return to an earlier holder, in milliseconds"))
      ->check(CLI::Range(minLeaseMs, maxLeaseMs))
      ->capture_default_str();
}

} // namespace

ParsedSidecarSettings parseSidecarSettings(int argc, const char *const *argv) {
  ParsedSidecarSettings parsed;
  SidecarSettings s;
  double graceSeconds = 6;
  CLI::App app("chivefold-sidecar: proxy and gate beside one backend server, "
               "on a platform with a keyed store");
  // CLI11 does not read the path of the settings file from the environment.
  const char *file = std::getenv("CHIVEFOLD_CONFIG");
  auto *config =
      app.set_config("--config", file != nullptr ? file : "",
                     "settings file (environment: CHIVEFOLD_CONFIG)");
  app.allow_config_extras(true);
  addListeners(app, s);
  UsageOptions usage;
  addUsageOptions(app, s.Usage, usage);
  addName(app, "--data-centre", s.DataCentre, "data centre of this host");
  addName(app, "--service", s.Service, "service of the backend server");
  bindEnvironmentVariable(
      app.add_option("--grace-seconds", graceSeconds,
                     "maximum duration of a planned stop, in seconds"))
      ->check(CLI::Range(MinGraceSeconds, MaxGraceSeconds))
      ->capture_default_str();
  bindEnvironmentVariable(
      app.add_option(
          "--exposure-share", s.Exposure.Share,
          "maximum share of a service's requests sent to a bad version"))
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  bindEnvironmentVariable(
      app.add_option("--exposure-slack", s.Exposure.Slack,
                     "requests that a bad version may receive in addition"))
      ->check(CLI::Range(0.0, MaxExposureSlack))
      ->capture_default_str();
  RetryOptions retries;
  addRetryOptions(app, retries);
  addPlacementOptions(app, s);
  addEdgeOptions(app, s.Edge);
  addLogLevelOption(app, s.LogLevel);
  if (auto exit = parseCommandLine(app, "chivefold-sidecar", argc, argv)) {
    parsed.Output = std::move(exit->Output);
    parsed.ExitCode = exit->Code;
    return parsed;
  }
  s.GracePeriod = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(graceSeconds));
  s.Retries = retryTerms(retries);
  s.Usage.WindowLength = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(usage.WindowSeconds));
  s.Usage.LeaseTime = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(usage.LeaseMs));
  if (s.Usage.Host.empty()) {
    s.Usage.Host = toString(s.PeerListen);
  }
  s.File = config->as<std::string>();
  parsed.Value = s;
  return parsed;
}

} // namespace chivefold
