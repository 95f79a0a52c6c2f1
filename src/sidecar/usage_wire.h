/**
 * @file
 * Conversion of usage to and from its wire format, which is used in frames and
 * in the store. Internal to src/sidecar. All functions are thread-safe.
 */
#ifndef CHIVEFOLD_SIDECAR_USAGE_WIRE_H
#define CHIVEFOLD_SIDECAR_USAGE_WIRE_H

#include "chivefold/mesh/duty_lease.h"
#include "chivefold/mesh/usage_windows.h"
#include "chivefold/sidecar/ports.h"
#include "peer_generated.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivefold {

using WireCounts = std::vector<std::unique_ptr<wire::UsageCountT>>;

WireCounts countsToWire(const UsageCounts &counts);
UsageCounts countsFromWire(const WireCounts &counts);

/** A record of the usage stream. */
struct UsageRecord {
  DutyTerm Term;
  /** Windows up to this one were reported. */
  WindowNumber Reported = 0;
  /** Absent in a record that only renews the lease. */
  std::optional<ClosedWindow> Closed;
};

std::string encodeUsageRecord(const UsageRecord &record);
/** @return the record, or nothing if it cannot be read. */
std::optional<UsageRecord> decodeUsageRecord(const KeyedRecord &record);

} // namespace chivefold

#endif
