// Choice by the expected finish of a request.
#include "chivefold/mesh/placement.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

namespace {

constexpr double Pi = 3.14159265358979323846;
/** Time for which the evidence that servers are unlike is kept. */
constexpr Duration EvidenceTime = std::chrono::milliseconds(500);

// Returns the mean of the positive part of a normally distributed value.
double expectedPositivePart(double mean, double deviation) {
  const double z = mean / deviation;
  const double density = std::exp(-z * z / 2) / std::sqrt(2 * Pi);
  const double probability = std::erfc(-z / std::sqrt(2.0)) / 2;
  return mean * probability + deviation * density;
}

} // namespace

bool Placement::choosesByWork(const std::string &service,
                              const std::vector<Address> &hosts,
                              TimePoint now) {
  switch (Settings.Strategy) {
  case PlacementStrategy::Latency:
    return false;
  case PlacementStrategy::ExpectedWork:
    return true;
  case PlacementStrategy::Learned:
    break;
  }
  auto &evidence = Evidence[service];
  if (now >= evidence.Until) {
    evidence.IsUneven = Pace.isUneven(hosts, evidence.IsUneven, now);
    evidence.Until = now + EvidenceTime;
  }
  return evidence.IsUneven;
}

// Whether the last choice for the service was by expected work.
bool Placement::lastChoseByWork(const std::string &service) const {
  if (Settings.Strategy != PlacementStrategy::Learned) {
    return Settings.Strategy == PlacementStrategy::ExpectedWork;
  }
  const auto it = Evidence.find(service);
  return it != Evidence.end() && it->second.IsUneven;
}

// Estimates how long a request would wait for a slot. What was reported loses
// its meaning within the time in which a server renews its work; then the mean
// of the reports counts, and what the server has to do is uncertain. Requests
// that this daemon has sent since add to it.
Duration Placement::workWait(const HostState &host, const ServerLoad &load,
                             Duration cost, TimePoint now) const {
  const double slots =
      load.Limit > 0 ? load.Limit : std::max(host.Server.Slots, 1U);
  const auto costUs = std::max(1.0, static_cast<double>(cost.count()));
  const auto age = static_cast<double>(
      std::max(now - load.GateStateAt, Duration::zero()).count());
  const double freshness = std::exp(-age / costUs);
  // Without reports a queue is taken to end soon, and the server to be idle
  // after a while, so that it is tried again.
  const double known = load.MeanExcessWork > 0
                           ? load.MeanExcessWork * decay(load.GateStateAt, now)
                           : load.MeanExcessWork;
  const double mean =
      (known + 1) *
          std::exp2(-age / static_cast<double>(FleetPace::HalfLife.count())) -
      1;
  const auto sent = std::min(load.SentSinceReport, load.OwnRequests);
  const double excess =
      mean + freshness * (load.ExcessWork - mean) + (sent + 1) / slots;
  const double deviation =
      std::sqrt((1 - freshness * freshness) / slots) + 1e-3;
  const double wait = expectedPositivePart(excess, deviation) * costUs;
  return Duration(static_cast<Duration::rep>(wait)) + limitWait(host, now);
}

Placement::RequestCost Placement::costOf(const PlacementRequest &request,
                                         TimePoint now) const {
  const auto &costs = Pace.costs();
  const auto left = request.InTimeUntil == TimePoint::max()
                        ? targetLatency(request)
                        : request.InTimeUntil - now;
  return {costs.find(request.Route), costs.expected(request.Route), left};
}

Placement::Candidate Placement::rateByWork(const HostState &host,
                                           const PlacementRequest &request,
                                           const RequestCost &costs,
                                           TimePoint now) const {
  const double slowness = Pace.slowness(host.Peer, now);
  const auto cost = Duration(static_cast<Duration::rep>(
      static_cast<double>(costs.Expected.count()) * slowness));
  const auto load = Loads.find(host.Peer);
  const bool isKnown = load != Loads.end();
  const auto wait =
      isKnown ? workWait(host, load->second, cost, now) : Duration::zero();
  const double errorRate =
      isKnown ? load->second.ErrorRate * decay(load->second.ErrorRateAt, now)
              : 0;
  const auto finish = wait + cost;
  const auto forService = static_cast<double>(
      std::max(costs.Left - wait, Duration::zero()).count());
  const double inTimeProbability =
      costs.Times == nullptr
          ? inTimeProbabilityByMean(finish, costs.Left)
          : costs.Times->probabilityWithin(
                Duration(static_cast<Duration::rep>(forService / slowness)));
  Candidate out;
  out.Host = &host;
  out.ExpectedUs = static_cast<double>(finish.count());
  const double penalty =
      (Settings.WaitPenalty * static_cast<double>(wait.count()) +
       Settings.ServicePenalty * static_cast<double>(cost.count())) /
      static_cast<double>(targetLatency(request).count());
  out.Value = valueOf(host, request, inTimeProbability, penalty, errorRate);
  return out;
}

} // namespace chivefold
