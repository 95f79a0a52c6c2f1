#include "chivefold/daemon/settings.h"

#include "chivefold/daemon/command_line.h"

namespace chivefold {
namespace {

std::string validateName(const std::string &text) {
  const auto bad = text.find_first_not_of(
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.");
  if (!text.empty() && text.size() <= 64 && bad == std::string::npos) {
    return {};
  }
  return "expected 1 to 64 letters, digits, '-', '_' or '.', got '" + text +
         "'";
}

std::string validateLogUrl(const std::string &text) {
  constexpr std::string_view scheme = "http://";
  if (text.rfind(scheme, 0) == 0 &&
      parseAddress(std::string_view(text).substr(scheme.size()))) {
    return {};
  }
  return "expected http://IP:PORT, got '" + text + "'";
}

void addAddressOptions(CLI::App &app, Settings &s) {
  bindEnvironmentVariable(addAddressOption(app, "--caller-listen",
                                           s.CallerListen,
                                           "address for callers (HTTP)"))
      ->required();
  bindEnvironmentVariable(addAddressOption(app, "--peer-listen", s.PeerListen,
                                           "address for other daemons"))
      ->required();
  bindEnvironmentVariable(addAddressOption(app, "--admin-listen", s.AdminListen,
                                           "address for operators (HTTP)"))
      ->required();
  bindEnvironmentVariable(
      addAddressOption(app, "--backend-server", s.BackendServer,
                       "address of the backend server on this host (HTTP)"))
      ->required();
}

void addIdentityOptions(CLI::App &app, Settings &s) {
  const auto name = [&app](const char *flag, std::string &to,
                           const char *help) {
    bindEnvironmentVariable(app.add_option(flag, to, help))
        ->required()
        ->check(validateName)
        ->type_name("NAME");
  };
  name("--data-centre", s.DataCentre, "data centre of this host");
  name("--region", s.Region, "region of this host");
  name("--service", s.Service, "service of the backend server");
  name("--service-version", s.ServiceVersion, "version of the backend server");
}

void addRuntimeOptions(CLI::App &app, Settings &s) {
  bindEnvironmentVariable(
      app.add_option("--log-url", s.LogUrl, "base URL of the platform's log"))
      ->required()
      ->check(validateLogUrl)
      ->type_name("http://IP:PORT");
  const auto seeds = [&s](const std::vector<std::string> &texts) {
    for (const auto &it : texts) {
      s.Seeds.push_back(*parseAddress(it));
    }
  };
  bindEnvironmentVariable(
      app.add_option_function<std::vector<std::string>>(
          "--seeds", seeds, "peer addresses of other daemons, comma-separated"))
      ->delimiter(',')
      ->check(validateAddress)
      ->type_name("IP:PORT,...");
  addLogLevelOption(app, s.LogLevel);
  bindEnvironmentVariable(
      app.add_option("--drain-ms", s.DrainMs,
                     "maximum duration of a graceful shutdown"))
      ->check(CLI::Range(0, 600000))
      ->capture_default_str();
}

} // namespace

ParsedSettings parseSettings(int argc, const char *const *argv) {
  ParsedSettings parsed;
  Settings s;
  CLI::App app("chivefoldd: proxy, gate and member beside one backend server");
  addAddressOptions(app, s);
  addIdentityOptions(app, s);
  addRuntimeOptions(app, s);
  if (auto exit = parseCommandLine(app, "chivefoldd", argc, argv)) {
    parsed.Output = std::move(exit->Output);
    parsed.ExitCode = exit->Code;
    return parsed;
  }
  parsed.Value = s;
  return parsed;
}

} // namespace chivefold
