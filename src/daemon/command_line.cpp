#include "chivefold/daemon/command_line.h"

#include "chivefold/daemon/version.h"

#include <cctype>

namespace chivefold {

namespace {

constexpr int UsageErrorExitCode = 2;

} // namespace

std::string validateAddress(const std::string &text) {
  return parseAddress(text) ? "" : "expected IP:PORT, got '" + text + "'";
}

CLI::Option *addAddressOption(CLI::App &app, const std::string &flag,
                              Address &to, const std::string &help) {
  const auto set = [&to](const std::string &text) { to = *parseAddress(text); };
  return app.add_option_function<std::string>(flag, set, help)
      ->check(validateAddress)
      ->type_name("IP:PORT");
}

CLI::Option *bindEnvironmentVariable(CLI::Option *option) {
  std::string name = "CHIVEFOLD_";
  for (const char c : option->get_lnames().front()) {
    name +=
        c == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return option->envname(name);
}

void addLogLevelOption(CLI::App &app, std::string &to) {
  bindEnvironmentVariable(
      app.add_option("--log-level", to, "minimum level to log"))
      ->check(CLI::IsMember({"trace", "debug", "info", "warn", "error"}))
      ->capture_default_str();
}

std::optional<CommandLineExit> parseCommandLine(CLI::App &app,
                                                const std::string &program,
                                                int argc,
                                                const char *const *argv) {
  app.set_version_flag("--version", std::string(ProgramVersion));
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp &) {
    return CommandLineExit{app.help(), 0};
  } catch (const CLI::CallForVersion &) {
    return CommandLineExit{std::string(ProgramVersion) + "\n", 0};
  } catch (const CLI::ParseError &e) {
    return CommandLineExit{program + ": " + e.what() + "\n",
                           UsageErrorExitCode};
  }
  return std::nullopt;
}

} // namespace chivefold
