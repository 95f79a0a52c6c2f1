/**
 * @file
 * Settings of the daemon: flags, each with an environment variable.
 */
#ifndef CHIVEFOLD_DAEMON_SETTINGS_H
#define CHIVEFOLD_DAEMON_SETTINGS_H

#include "chivefold/core/error.h"
#include "chivefold/core/types.h"

#include <optional>
#include <string>
#include <vector>

namespace chivefold {

/** Everything that a daemon learns from its start. Immutable afterwards. */
struct Settings {
  Address CallerListen;
  Address PeerListen;
  Address AdminListen;
  Address BackendServer;
  std::string DataCentre;
  std::string Region;
  std::string Service;
  std::string ServiceVersion;
  /** "http://ip:port" of the platform's log. */
  std::string LogUrl;
  /** Daemons to ask for the state at start; may be empty. */
  std::vector<Address> Seeds;
  std::string LogLevel = "info";
  /** Time that a planned stop may take, in milliseconds. */
  std::uint32_t DrainMs = 10000;
};

/** What a command line asks a program to do. */
struct ParsedSettings {
  /** Absent if the program should print Output and exit with ExitCode. */
  std::optional<Settings> Value;
  std::string Output;
  int ExitCode = 0;
};

/**
 * Parses flags and environment variables (CHIVEFOLD_ and the flag's name).
 * Any error gives one line and exit code 2; nothing is applied in part.
 * Not thread-safe, since it reads the environment.
 */
ParsedSettings parseSettings(int argc, const char *const *argv);

} // namespace chivefold

#endif
