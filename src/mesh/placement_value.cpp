// Value that a server is expected to have for a request.
#include "chivefold/mesh/placement.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

namespace {

/** Averages of a route before its first answered call. */
constexpr double InitialLatencyUs = 50'000;
constexpr double InitialBytes = 1'000;
/** Target latency of a route that states none. */
constexpr Duration DefaultTarget = std::chrono::milliseconds(500);

} // namespace

double Placement::worthOf(std::uint32_t priority) {
  return priority >= 2 ? LowestWorth : 3.0 - priority;
}

double Placement::decay(TimePoint since, TimePoint now) const {
  return std::exp2(-static_cast<double>((now - since).count()) /
                   static_cast<double>(Settings.HalfLife.count()));
}

// Requests running, queued or on their way to a server: those of this daemon,
// and those of others as the gate last reported, with decay.
double Placement::outstandingRequests(const ServerLoad &load,
                                      TimePoint now) const {
  return load.OwnRequests + load.OtherRequests * decay(load.GateStateAt, now);
}

// Returns the expected latency in microseconds and sets the error rate.
double Placement::expectedLatencyUs(const HostState &host,
                                    double routeLatencyUs, TimePoint now,
                                    double &errorRate) const {
  double latencyRatio = 1;
  double outstanding = 0;
  double slots = std::max<double>(host.Server.Slots, 1);
  const auto it = Loads.find(host.Peer);
  if (it != Loads.end()) {
    const auto &load = it->second;
    latencyRatio =
        1 + (load.LatencyRatio - 1) * decay(load.LatencyRatioAt, now);
    errorRate = load.ErrorRate * decay(load.ErrorRateAt, now);
    outstanding = outstandingRequests(load, now);
    if (load.Limit > 0 && load.Limit < slots) {
      slots = load.Limit;
    }
  }
  // A server runs requests at full speed up to its slots; further ones wait.
  // The occupancy term makes the emptier of two otherwise equal servers win.
  const double waitFactor = std::max(0.0, outstanding + 1 - slots) / slots;
  constexpr double occupancyWeight = 0.15;
  return static_cast<double>(limitWait(host, now).count()) +
         routeLatencyUs * latencyRatio *
             (1 + waitFactor +
              occupancyWeight * std::min(1.0, outstanding / slots));
}

Duration Placement::targetLatency(const PlacementRequest &request) {
  return request.TargetLatency > Duration::zero() ? request.TargetLatency
                                                  : DefaultTarget;
}

double Placement::inTimeProbabilityByMean(Duration finish,
                                          Duration left) const {
  const double ratio = static_cast<double>(finish.count()) /
                       std::max(1.0, static_cast<double>(left.count()));
  return 1 / (1 + std::pow(ratio, Settings.LatenessExponent));
}

Placement::Candidate Placement::rateByLatency(const HostState &host,
                                              const PlacementRequest &request,
                                              TimePoint now) const {
  const auto stats = Routes.find(request.Route);
  double errorRate = 0;
  Candidate out;
  out.Host = &host;
  out.ExpectedUs = expectedLatencyUs(
      host, stats == Routes.end() ? InitialLatencyUs : stats->second.LatencyUs,
      now, errorRate);
  const double ratio =
      out.ExpectedUs / static_cast<double>(targetLatency(request).count());
  const double inTimeProbability =
      1 / (1 + std::pow(ratio, Settings.LatenessExponent));
  out.Value = valueOf(host, request, inTimeProbability,
                      Settings.LatencyPenalty * ratio, errorRate);
  return out;
}

double Placement::valueOf(const HostState &host,
                          const PlacementRequest &request,
                          double inTimeProbability, double latencyPenalty,
                          double errorRate) const {
  const double worth = worthOf(request.Priority);
  double out = worth * (inTimeProbability +
                        (1 - inTimeProbability) * Settings.LateAnswerValue -
                        latencyPenalty - Settings.ErrorPenalty * errorRate);
  if (host.Peer != Self) {
    out -= Settings.RemoteHostPenalty;
  }
  if (host.DataCentre != DataCentre) {
    const auto stats = Routes.find(request.Route);
    const double bytes =
        stats == Routes.end() ? InitialBytes : stats->second.Bytes;
    out -=
        (bytes + Settings.OverheadBytes) / 1000 * Settings.RemoteKilobyteCost;
  }
  return out;
}

Duration Placement::expectedLatency(const std::string &route) const {
  const auto it = Routes.find(route);
  return Duration(static_cast<std::int64_t>(
      it == Routes.end() ? InitialLatencyUs : it->second.LatencyUs));
}

} // namespace chivefold
