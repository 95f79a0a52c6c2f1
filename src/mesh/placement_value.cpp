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
constexpr double DefaultTargetUs = 500'000;

/** Worth of a request by its priority. The platform defines only the order of
 * priorities, not their worth. */
double worthOf(std::uint32_t priority) {
  return priority >= 2 ? Placement::LowestWorth : 3.0 - priority;
}

} // namespace

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

double Placement::expectedValue(const HostState &host,
                                const PlacementRequest &request, TimePoint now,
                                double &expectedUs) const {
  const auto stats = Routes.find(request.Route);
  const bool known = stats != Routes.end();
  double errorRate = 0;
  expectedUs = expectedLatencyUs(
      host, known ? stats->second.LatencyUs : InitialLatencyUs, now, errorRate);
  const double targetUs =
      request.TargetLatency > Duration::zero()
          ? static_cast<double>(request.TargetLatency.count())
          : DefaultTargetUs;
  const double ratio = expectedUs / targetUs;
  const double inTimeProbability =
      1 / (1 + std::pow(ratio, Settings.LatenessExponent));
  const double worth = worthOf(request.Priority);
  double out =
      worth *
      (inTimeProbability + (1 - inTimeProbability) * Settings.LateAnswerValue -
       Settings.LatencyPenalty * ratio - Settings.ErrorPenalty * errorRate);
  if (host.Peer != Self) {
    out -= Settings.RemoteHostPenalty;
  }
  if (host.DataCentre != DataCentre) {
    const double bytes = known ? stats->second.Bytes : InitialBytes;
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
