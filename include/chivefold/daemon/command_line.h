/**
 * @file
 * Command-line options and parsing shared by chivefoldd and
 * chivefold-sidecar.
 */
#ifndef CHIVEFOLD_DAEMON_COMMAND_LINE_H
#define CHIVEFOLD_DAEMON_COMMAND_LINE_H

#include "chivefold/core/types.h"

#include <CLI/CLI.hpp>
#include <optional>
#include <string>

namespace chivefold {

/** CLI11 validator. @return an empty string if @p text is IP:PORT, otherwise an
 * error message. Thread-safe. */
std::string validateAddress(const std::string &text);

/** Adds an option that parses IP:PORT into @p to. @p to must remain valid until
 * @p app has parsed the command line. */
CLI::Option *addAddressOption(CLI::App &app, const std::string &flag,
                              Address &to, const std::string &help);

/** Lets an environment variable set @p option. Its name is CHIVEFOLD_ and the
 * flag in upper case with underscores: CHIVEFOLD_LOG_URL for --log-url.
 * @return @p option. */
CLI::Option *bindEnvironmentVariable(CLI::Option *option);

/** Adds --log-level, the minimum level to log. @p to holds the default and must
 * remain valid until @p app has parsed the command line. */
void addLogLevelOption(CLI::App &app, std::string &to);

/** Output and exit code of a program that ends after parsing its command line:
 * for --help, --version or an error. */
struct CommandLineExit {
  std::string Output;
  int Code = 0;
};

/** Parses flags and environment variables into the options of @p app.
 * @param program prefix of error messages.
 * @return std::nullopt if the program should run. Not thread-safe, since it
 * reads the environment. */
std::optional<CommandLineExit> parseCommandLine(CLI::App &app,
                                                const std::string &program,
                                                int argc,
                                                const char *const *argv);

} // namespace chivefold

#endif
