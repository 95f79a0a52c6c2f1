/**
 * @file
 * Settings of a sidecar: flags, environment variables and a settings file.
 */
#ifndef CHIVEFOLD_SIDECAR_SIDECAR_SETTINGS_H
#define CHIVEFOLD_SIDECAR_SIDECAR_SETTINGS_H

#include "chivefold/core/types.h"
#include "chivefold/mesh/exposure_budget.h"

#include <optional>
#include <string>

namespace chivefold {

struct SidecarSettings {
  /** Clients on this host send their requests here. */
  Address CallerListen;
  /** The platform asks here whether the daemon is ready. */
  Address ReadinessListen;
  /** The backend server reports here; operators read figures here. */
  Address AdminListen;
  /** Other daemons. */
  Address PeerListen;
  /** The backend server on this host. */
  Address BackendServer;
  /** The platform's store. */
  Address Store;
  std::string DataCentre;
  std::string Service;
  std::string LogLevel = "info";
  /** Time that a planned stop may take. */
  /** Requests that a version may get before it is completed. */
  ExposureLimit Exposure;
  Duration GracePeriod = std::chrono::seconds(6);
  /** Where the settings file lies; "" if there is none. */
  std::string File;
};

/** Settings, or what to print and the exit code. */
struct ParsedSidecarSettings {
  std::optional<SidecarSettings> Value;
  std::string Output;
  int ExitCode = 0;
};

/** Parses flags, the environment and the settings file; unknown fields of the
 * file are ignored. Thread-safe if the environment does not change. */
ParsedSidecarSettings parseSidecarSettings(int argc, const char *const *argv);

} // namespace chivefold

#endif
