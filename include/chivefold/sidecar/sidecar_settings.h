/**
 * @file
 * Settings of a sidecar: flags, environment variables and a settings file.
 */
#ifndef CHIVEFOLD_SIDECAR_SIDECAR_SETTINGS_H
#define CHIVEFOLD_SIDECAR_SIDECAR_SETTINGS_H

#include "chivefold/core/types.h"
#include "chivefold/io/edge_limits.h"
#include "chivefold/mesh/exposure_budget.h"
#include "chivefold/mesh/placement.h"
#include "chivefold/mesh/retry_budget.h"
#include "chivefold/sidecar/usage_settings.h"

#include <optional>
#include <string>

namespace chivefold {

struct SidecarSettings {
  /** Address for requests of clients on this host. */
  Address CallerListen;
  /** Address for the platform's readiness checks. */
  Address ReadinessListen;
  /** Address for the backend server's reports and the operators' metrics. */
  Address AdminListen;
  /** Address for other daemons; also identifies this host. */
  Address PeerListen;
  /** Address of the backend server on this host. */
  Address BackendServer;
  /** Address of the platform's store. */
  Address Store;
  std::string DataCentre;
  std::string Service;
  std::string LogLevel = "info";
  /** Limits the requests sent to a new version before its rollout completes. */
  ExposureLimit Exposure;
  /** Repeated attempts that the operator allows; absent if not stated. */
  std::optional<RetryTerms> Retries;
  /** How servers are chosen for requests. */
  PlacementStrategy Strategy = PlacementStrategy::Learned;
  /** What connections from outside may take of this host. */
  EdgeLimits Edge;
  /** Reports of the customers' usage; off without an address. */
  UsageSettings Usage;
  /** Maximum duration of a planned stop. */
  Duration GracePeriod = std::chrono::seconds(6);
  /** Path of the settings file; "" if there is none. */
  std::string File;
};

/** The settings, or the text to print and the exit code. */
struct ParsedSidecarSettings {
  std::optional<SidecarSettings> Value;
  std::string Output;
  int ExitCode = 0;
};

/** Parses flags, environment variables and the settings file. Unknown fields in
 * the file are ignored. Thread-safe if the environment does not change. */
ParsedSidecarSettings parseSidecarSettings(int argc, const char *const *argv);

} // namespace chivefold

#endif
