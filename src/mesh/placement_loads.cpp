// What the choice of servers learns from requests in progress and their ends.
#include "chivefold/mesh/placement.h"

#include <algorithm>

namespace chivefold {

namespace {

/** Weight of the newest call in the moving averages of a route. */
constexpr double RouteStatsWeight = 0.05;
/** Bounds of the latency ratio of a single call. */
constexpr double MinLatencyRatio = 0.3;
constexpr double MaxLatencyRatio = 20;
/** Weight of the newest report in the mean excess work of a server. */
constexpr double MeanExcessWeight = 0.2;

} // namespace

void Placement::started(const Address &peer) {
  auto &load = Loads[peer];
  ++load.OwnRequests;
  ++load.SentSinceReport;
  recordForSplit(peer, 1);
}

void Placement::updateGateState(ServerLoad &load, const GateState &gate,
                                TimePoint now) {
  load.Limit = gate.Limit;
  load.OtherRequests = std::max(0.0, static_cast<double>(gate.InFlight) +
                                         gate.Queued - load.OwnRequests);
  load.GateStateAt = now;
  load.LimitFreeAt = now + gate.LimitWait;
  load.SentSinceReport = 0;
  const auto &limit = gate.StatedLimit;
  // A daemon that has restarted does not know the limit until its server
  // answers.
  const bool isForgotten = limit.Known == LimitKnowledge::Unknown &&
                           (limit.ServerStart == 0 ||
                            limit.ServerStart == load.StatedLimit.ServerStart);
  if (!isForgotten) {
    load.StatedLimit = limit;
  }
  if (gate.ServerLeaving) {
    load.LeavingStart = limit.ServerStart;
  }
}

// Counts a request of this daemon as ended.
Placement::ServerLoad &Placement::endRequest(const Address &peer) {
  auto &load = Loads[peer];
  load.OwnRequests -= load.OwnRequests > 0 ? 1 : 0;
  return load;
}

void Placement::updateErrorRate(ServerLoad &load, double weight, bool failed,
                                TimePoint now) const {
  const double known = load.ErrorRate * decay(load.ErrorRateAt, now);
  load.ErrorRate = known + weight * ((failed ? 1 : 0) - known);
  load.ErrorRateAt = now;
}

// A server with free slots has room for work; one without has a wait that its
// gate states.
void Placement::updateExcessWork(const Address &peer, const GateState &gate,
                                 const std::string &route, TimePoint now) {
  if (gate.Limit == 0) {
    return;
  }
  auto &load = Loads[peer];
  const double serviceUs =
      std::max(1.0, static_cast<double>(Pace.costs().expected(route).count()) *
                        Pace.slowness(peer, now));
  const double free =
      gate.Queued > 0 || gate.InFlight >= gate.Limit
          ? 0
          : static_cast<double>(gate.Limit - gate.InFlight) / gate.Limit;
  load.ExcessWork =
      free > 0 ? -free : static_cast<double>(gate.Backlog.count()) / serviceUs;
  load.MeanExcessWork =
      load.HasExcessWork
          ? load.MeanExcessWork +
                MeanExcessWeight * (load.ExcessWork - load.MeanExcessWork)
          : load.ExcessWork;
  load.HasExcessWork = true;
}

void Placement::answered(const Address &peer, const std::string &route,
                         Duration latency, std::size_t bytes, bool serverError,
                         const GateState &gate, TimePoint now) {
  auto &load = endRequest(peer);
  updateGateState(load, gate, now);
  updateErrorRate(load, Settings.ErrorWeight, serverError, now);
  updateExcessWork(peer, gate, route, now);
  if (serverError) {
    return;
  }
  Pace.record(peer, route, gate.ServiceTime, gate.TypicalServiceTime, now);
  if (Routes.size() >= MaxRoutes && Routes.count(route) == 0) {
    return;
  }
  const auto us =
      static_cast<double>(std::max<std::int64_t>(latency.count(), 1));
  auto &stats =
      Routes.emplace(route, RouteStats{us, static_cast<double>(bytes)})
          .first->second;
  const double ratio = std::clamp(us / std::max(stats.LatencyUs, 1.0),
                                  MinLatencyRatio, MaxLatencyRatio);
  stats.LatencyUs += RouteStatsWeight * (us - stats.LatencyUs);
  stats.Bytes += RouteStatsWeight * (static_cast<double>(bytes) - stats.Bytes);
  const double latencyRatio =
      1 + (load.LatencyRatio - 1) * decay(load.LatencyRatioAt, now);
  load.LatencyRatio =
      latencyRatio + Settings.LatencyWeight * (ratio - latencyRatio);
  load.LatencyRatioAt = now;
}

void Placement::refused(const Address &peer, const GateState &gate,
                        std::uint32_t priority, Duration retryAfter,
                        TimePoint now) {
  auto &load = endRequest(peer);
  updateGateState(load, gate, now);
  updateExcessWork(peer, gate, {}, now);
  const bool isClosed = gate.Limit == 0;
  const bool isLimited = gate.LimitWait > Duration::zero();
  const auto until = now + std::min(retryAfter, isClosed || isLimited
                                                    ? Settings.MaxClosedBackOff
                                                    : Settings.MaxFullBackOff);
  for (auto i = isClosed ? 0 : priorityLevel(priority); i < PriorityLevels;
       ++i) {
    load.NotBefore[i] = until;
    load.LimitedUntil[i] = now + retryAfter;
  }
}

void Placement::lost(const Address &peer, TimePoint now) {
  updateErrorRate(endRequest(peer), Settings.ErrorWeight * 2, true, now);
}

void Placement::cancelled(const Address &peer) { endRequest(peer); }

} // namespace chivefold
