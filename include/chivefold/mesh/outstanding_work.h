/**
 * @file
 * Work that a backend server still has to do, in time.
 */
#ifndef CHIVEFOLD_MESH_OUTSTANDING_WORK_H
#define CHIVEFOLD_MESH_OUTSTANDING_WORK_H

#include "chivefold/core/gate.h"
#include "chivefold/core/types.h"
#include "chivefold/mesh/cost_model.h"
#include "chivefold/mesh/service_pace.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace chivefold {

/**
 * Owned by the gate beside the server: what waits there counts by its expected
 * service time, what runs by the time that it is expected to need still, given
 * how long it has been running. Bounded by the gate, whose requests it holds.
 * Not thread-safe.
 */
class OutstandingWork {
public:
  explicit OutstandingWork(Duration initialServiceTime)
      : Costs(initialServiceTime) {}

  /** Adds a waiting request. */
  void queued(GateRequestId id, const std::string &route);
  /** Adds a running request, which may have been waiting. */
  void started(GateRequestId id, const std::string &route, TimePoint now);
  /** Removes a waiting or running request; an unknown one is ignored. @param
   * serviceTime empty if the request does not measure it. */
  void ended(GateRequestId id, std::optional<Duration> serviceTime);

  /** @return expected time until a server with that many @p slots would start a
   * further request; never negative. */
  Duration backlog(std::uint32_t slots, TimePoint now) const;

  const CostModel &costs() const { return Costs; }
  const ServicePace &pace() const { return Pace; }

private:
  struct RunningRequest {
    std::string Route;
    TimePoint StartedAt;
  };

  CostModel Costs;
  ServicePace Pace;
  /** Expected service time of each waiting request. */
  std::unordered_map<GateRequestId, Duration> Waiting;
  Duration WaitingTime{};
  std::unordered_map<GateRequestId, RunningRequest> Running;
};

} // namespace chivefold

#endif
