#include "chivefold/mesh/outstanding_work.h"

#include <algorithm>

namespace chivefold {

void OutstandingWork::queued(GateRequestId id, const std::string &route) {
  const auto cost = Costs.expected(route);
  if (Waiting.emplace(id, cost).second) {
    WaitingTime += cost;
  }
}

void OutstandingWork::started(GateRequestId id, const std::string &route,
                              TimePoint now) {
  ended(id, std::nullopt);
  Running[id] = {route, now};
}

void OutstandingWork::ended(GateRequestId id,
                            std::optional<Duration> serviceTime) {
  const auto waiting = Waiting.find(id);
  if (waiting != Waiting.end()) {
    WaitingTime -= waiting->second;
    Waiting.erase(waiting);
  }
  const auto it = Running.find(id);
  if (it == Running.end()) {
    return;
  }
  if (serviceTime) {
    Costs.record(it->second.Route, *serviceTime);
    Pace.record(it->second.Route, *serviceTime,
                it->second.StartedAt + *serviceTime);
  }
  Running.erase(it);
}

Duration OutstandingWork::backlog(std::uint32_t slots, TimePoint now) const {
  if (slots == 0 || (Waiting.empty() && Running.size() < slots)) {
    return Duration::zero();
  }
  // The expected time to the first of several ends, which are taken for
  // memoryless: the inverse of the sum of their rates.
  double endsPerUs = 0;
  for (const auto &it : Running) {
    const auto left =
        Costs.remaining(it.second.Route, now - it.second.StartedAt);
    endsPerUs += 1 / std::max(1.0, static_cast<double>(left.count()));
  }
  const double firstEnd = Running.size() < slots ? 0 : 1 / endsPerUs;
  const double us =
      (firstEnd + static_cast<double>(WaitingTime.count()) / slots) *
      std::max(1.0, Pace.disturbance(now));
  return Duration(static_cast<Duration::rep>(us));
}

} // namespace chivefold
