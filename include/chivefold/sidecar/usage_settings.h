/**
 * @file
 * Settings of usage reports.
 */
#ifndef CHIVEFOLD_SIDECAR_USAGE_SETTINGS_H
#define CHIVEFOLD_SIDECAR_USAGE_SETTINGS_H

#include "chivefold/core/types.h"

#include <string>

namespace chivefold {

/** Settings of usage reports. */
struct UsageSettings {
  /** Address that takes the reports; they are off without a port. */
  Address Reports;
  /** Name of this host in its reports. */
  std::string Host;
  Duration WindowLength = std::chrono::seconds(5);
  /** The duty must not return to an earlier holder within this time. */
  Duration LeaseTime = std::chrono::seconds(3);
};

} // namespace chivefold

#endif
