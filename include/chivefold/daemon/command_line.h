/**
 * @file
 * What the command lines of the daemons have in common.
 */
#ifndef CHIVEFOLD_DAEMON_COMMAND_LINE_H
#define CHIVEFOLD_DAEMON_COMMAND_LINE_H

#include "chivefold/core/types.h"

#include <CLI/CLI.hpp>
#include <optional>
#include <string>

namespace chivefold {

/** @return "" if @p text is IP:PORT, otherwise what is wrong. Thread-safe. */
std::string validateAddress(const std::string &text);

/** Adds an option that sets @p to, which outlives the parsing. */
CLI::Option *addAddressOption(CLI::App &app, const std::string &flag,
                              Address &to, const std::string &help);

/** Lets an environment variable, CHIVEFOLD_ and the flag's name, set the
 * option. @return @p option. */
CLI::Option *bindEnvironmentVariable(CLI::Option *option);

/** Adds the option for the least level that is logged. */
void addLogLevelOption(CLI::App &app, std::string &to);

/** What a program prints before it exits. */
struct CommandLineExit {
  std::string Output;
  int Code = 0;
};

/** Parses the flags and the environment. @param program names the program in
 * an error's line. @return nothing if the program is to run. Not thread-safe,
 * since it reads the environment. */
std::optional<CommandLineExit> parseCommandLine(CLI::App &app,
                                                const std::string &program,
                                                int argc,
                                                const char *const *argv);

} // namespace chivefold

#endif
