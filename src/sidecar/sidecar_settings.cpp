#include "chivefold/sidecar/sidecar_settings.h"

#include "chivefold/daemon/version.h"

#include <CLI/CLI.hpp>
#include <cctype>
#include <cstdlib>

namespace chivefold {

namespace {

constexpr int BadSettingsExitCode = 2;
/** Time that a planned stop may take, in seconds. */
constexpr double MinGraceSeconds = 0.5;
constexpr double MaxGraceSeconds = 600;

std::string checkAddress(const std::string &text) {
  return parseAddress(text) ? "" : "expected IP:PORT, got '" + text + "'";
}

std::string environmentName(const std::string &flag) {
  std::string out = "CHIVEFOLD_";
  for (const char c : flag) {
    out += c == '-'
               ? '_'
               : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return out;
}

void addAddress(CLI::App &app, const std::string &flag, Address &to,
                const std::string &help) {
  app.add_option_function<std::string>(
         "--" + flag,
         [&to](const std::string &text) { to = *parseAddress(text); }, help)
      ->check(checkAddress)
      ->type_name("IP:PORT")
      ->envname(environmentName(flag))
      ->required();
}

void addName(CLI::App &app, const std::string &flag, std::string &to,
             const std::string &help) {
  app.add_option("--" + flag, to, help)
      ->type_name("NAME")
      ->envname(environmentName(flag))
      ->required();
}

} // namespace

ParsedSidecarSettings parseSidecarSettings(int argc, const char *const *argv) {
  ParsedSidecarSettings parsed;
  SidecarSettings s;
  double graceSeconds = 6;
  CLI::App app("chivefold-sidecar: proxy and gate beside one backend server, "
               "on a platform with a keyed store");
  app.set_version_flag("--version", std::string(ProgramVersion));
  // CLI11 does not look at the environment for the file itself.
  const char *file = std::getenv("CHIVEFOLD_CONFIG");
  auto *config =
      app.set_config("--config", file != nullptr ? file : "",
                     "settings file (environment: CHIVEFOLD_CONFIG)");
  app.allow_config_extras(true);
  addAddress(app, "caller-listen", s.CallerListen, "address for clients");
  addAddress(app, "readiness-listen", s.ReadinessListen,
             "address for readiness checks");
  addAddress(app, "admin-listen", s.AdminListen,
             "address for the backend server's reports and for operators");
  addAddress(app, "peer-listen", s.PeerListen, "address for other daemons");
  addAddress(app, "backend-server", s.BackendServer,
             "the backend server on this host");
  addAddress(app, "store", s.Store, "the platform's store");
  addName(app, "data-centre", s.DataCentre, "data centre of this host");
  addName(app, "service", s.Service, "service of the backend server");
  app.add_option("--grace-seconds", graceSeconds,
                 "time that a planned stop may take")
      ->check(CLI::Range(MinGraceSeconds, MaxGraceSeconds))
      ->envname(environmentName("grace-seconds"))
      ->capture_default_str();
  app.add_option("--log-level", s.LogLevel, "least level that is logged")
      ->check(CLI::IsMember({"trace", "debug", "info", "warn", "error"}))
      ->envname(environmentName("log-level"))
      ->capture_default_str();
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp &) {
    parsed.Output = app.help();
    return parsed;
  } catch (const CLI::CallForVersion &) {
    parsed.Output = std::string(ProgramVersion) + "\n";
    return parsed;
  } catch (const CLI::ParseError &e) {
    parsed.Output = std::string("chivefold-sidecar: ") + e.what() + "\n";
    parsed.ExitCode = BadSettingsExitCode;
    return parsed;
  }
  s.GracePeriod = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(graceSeconds));
  s.File = config->as<std::string>();
  parsed.Value = s;
  return parsed;
}

} // namespace chivefold
