#include "chivefold/sidecar/sidecar_settings.h"

#include "chivefold/daemon/command_line.h"

#include <cstdlib>

namespace chivefold {

namespace {

/** Allowed range of --grace-seconds. */
constexpr double MinGraceSeconds = 0.5;
constexpr double MaxGraceSeconds = 600;
constexpr double MaxExposureSlack = 1e6;

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
  addLogLevelOption(app, s.LogLevel);
  if (auto exit = parseCommandLine(app, "chivefold-sidecar", argc, argv)) {
    parsed.Output = std::move(exit->Output);
    parsed.ExitCode = exit->Code;
    return parsed;
  }
  s.GracePeriod = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(graceSeconds));
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
