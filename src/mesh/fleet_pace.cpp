#include "chivefold/mesh/fleet_pace.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

namespace {

constexpr Duration InitialServiceTime = std::chrono::milliseconds(50);
/** Weight of the newest answer in the typical service time of a route. */
constexpr double RouteWeight = 0.02;
/** The same in the slowness of a server. High, because each answer states an
 * average over many calls. */
constexpr double SlownessWeight = 0.1;
/** Natural logarithm of the factor from which a server is far from the median.
 */
constexpr double FarFromMedian = 0.45;
constexpr std::size_t MinServers = 4;

double logOf(Duration d) { return std::log(static_cast<double>(d.count())); }

} // namespace

FleetPace::FleetPace() : Costs(InitialServiceTime) {}

void FleetPace::record(const Address &peer, const std::string &route,
                       Duration serviceTime, Duration typical, TimePoint now) {
  const bool hasRoom =
      RouteLogUs.size() < CostModel::MaxRoutes || RouteLogUs.count(route) > 0;
  if (typical > Duration::zero() && hasRoom) {
    const double logUs = logOf(typical);
    auto &routeLogUs = RouteLogUs.emplace(route, logUs).first->second;
    const double known = logSlowness(peer, now);
    auto &server = Servers[peer];
    ++server.Answers;
    const double weight = std::max(SlownessWeight, 1.0 / server.Answers);
    const double next = known + weight * (logUs - routeLogUs - known);
    server.LogSlowness =
        std::clamp(next, std::log(MinSlowness), std::log(MaxSlowness));
    server.At = now;
    routeLogUs += RouteWeight * (logUs - routeLogUs);
  }
  if (serviceTime > Duration::zero()) {
    Costs.record(route, Duration(static_cast<Duration::rep>(
                            static_cast<double>(serviceTime.count()) /
                            slowness(peer, now))));
  }
}

double FleetPace::logSlowness(const Address &peer, TimePoint now) const {
  const auto it = Servers.find(peer);
  if (it == Servers.end()) {
    return 0;
  }
  const auto age = std::max(now - it->second.At, Duration::zero());
  return it->second.LogSlowness *
         std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(HalfLife.count()));
}

double FleetPace::slowness(const Address &peer, TimePoint now) const {
  return std::exp(logSlowness(peer, now));
}

bool FleetPace::isKnown(const Address &peer) const {
  const auto it = Servers.find(peer);
  return it != Servers.end() && it->second.Answers >= MinAnswers;
}

bool FleetPace::isUneven(const std::vector<Address> &peers, bool before,
                         TimePoint now) const {
  std::vector<double> values;
  for (const auto &it : peers) {
    if (isKnown(it)) {
      values.push_back(logSlowness(it, now));
    }
  }
  if (values.size() < MinServers) {
    return before;
  }
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  const double median = *middle;
  const auto far =
      std::count_if(values.begin(), values.end(), [median](double it) {
        return std::abs(it - median) > FarFromMedian;
      });
  return static_cast<std::size_t>(far) * (before ? 8 : 5) >= values.size();
}

} // namespace chivefold
