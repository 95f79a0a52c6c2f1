/**
 * @file
 * Metrics of the sidecar's services in the Prometheus text format. Internal to
 * src/sidecar.
 */
#ifndef CHIVEFOLD_SIDECAR_SIDECAR_METRICS_H
#define CHIVEFOLD_SIDECAR_SIDECAR_METRICS_H

#include "chivefold/io/peer_network.h"
#include "chivefold/mesh/operator_state.h"
#include "chivefold/mesh/store_history.h"
#include "chivefold/sidecar/backend_service.h"
#include "chivefold/sidecar/customer_access.h"
#include "chivefold/sidecar/usage_service.h"

#include <cstdint>
#include <string>

namespace chivefold {

/** Entries that were ignored, by source. */
struct IgnoredCounts {
  std::uint64_t MalformedReports = 0;
  std::uint64_t OutdatedReports = 0;
  std::uint64_t Orders = 0;
  std::uint64_t Hosts = 0;
};

std::string trafficMetrics(const PeerNetwork &network);
std::string limitMetrics(const LimitFigures &figures);
std::string ignoredMetrics(const IgnoredCounts &counts);
std::string revokedMetrics(const BackendService &backend);

/** @return samples of the calls whose bodies are passed on while they arrive.
 */
std::string bodyMetrics(const BodyFigures &figures);
std::string eraMetrics(const StoreEra &era, const OperatorState &orders);
std::string accessMetrics(const AccessCounts &counts);
std::string usageMetrics(const UsageFigures &figures);

} // namespace chivefold

#endif
