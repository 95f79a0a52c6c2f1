/**
 * @file
 * Settings of the daemon. Each one is a flag that can also be set by an
 * environment variable.
 */
#ifndef CHIVEFOLD_DAEMON_SETTINGS_H
#define CHIVEFOLD_DAEMON_SETTINGS_H

#include "chivefold/core/error.h"
#include "chivefold/core/types.h"

#include <optional>
#include <string>
#include <vector>

namespace chivefold {

/** Start-up parameters of a daemon. They do not change while it runs. */
struct Settings {
  Address CallerListen;
  Address PeerListen;
  Address AdminListen;
  Address BackendServer;
  std::string DataCentre;
  std::string Region;
  std::string Service;
  std::string ServiceVersion;
  /** Base URL of the platform's log, "http://ip:port". */
  std::string LogUrl;
  /** Peer addresses of daemons to fetch the state from at start; may be
   * empty. */
  std::vector<Address> Seeds;
  std::string LogLevel = "info";
  /** Maximum duration of a graceful shutdown, in milliseconds. */
  std::uint32_t DrainMs = 10000;
};

/** Result of parsing the command line: the settings, or what to print before
 * exiting. */
struct ParsedSettings {
  /** Absent if the program should print Output and exit with ExitCode. */
  std::optional<Settings> Value;
  std::string Output;
  int ExitCode = 0;
};

/**
 * Parses flags and environment variables (CHIVEFOLD_ and the flag's name).
 * Any error yields a message of one line, exit code 2 and no settings.
 * Not thread-safe, since it reads the environment.
 */
ParsedSettings parseSettings(int argc, const char *const *argv);

} // namespace chivefold

#endif
