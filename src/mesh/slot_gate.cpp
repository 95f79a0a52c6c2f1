#include "chivefold/mesh/slot_gate.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

namespace {

/** The bound of a cold server counts any second; requests need a little time to
 * arrive, so that starts are counted over slightly more. */
constexpr Duration ColdWindow = std::chrono::milliseconds(1100);

} // namespace

SlotGate::SlotGate(const SlotGateTuning &tuning)
    : Tuning(tuning),
      MeanTime(static_cast<double>(Tuning.FirstExpected.count())) {}

void SlotGate::open(std::uint32_t slots, std::uint32_t connections) {
  Open = true;
  Limit = std::max<std::uint32_t>(slots, 1);
  if (connections > 0) {
    Limit = std::min(Limit, connections);
  }
}

std::vector<GateRequestId> SlotGate::close() {
  Open = false;
  std::vector<GateRequestId> dropped;
  for (const auto &it : Queue) {
    dropped.push_back(it.second.Id);
  }
  Queue.clear();
  QueuedIds.clear();
  return dropped;
}

void SlotGate::setCold(double rate, TimePoint until) {
  ColdRate = rate;
  ColdUntil = until;
}

std::size_t SlotGate::coldAllowance() const {
  return static_cast<std::size_t>(
      std::max(1.0, std::floor(ColdRate * Tuning.ColdPart)));
}

void SlotGate::forgetOldStarts(TimePoint now) {
  while (!Starts.empty() && Starts.front() + ColdWindow <= now) {
    Starts.pop_front();
  }
}

bool SlotGate::mayStart(TimePoint now) const {
  if (!Open || Running.size() >= Limit) {
    return false;
  }
  if (!isCold(now) || ColdRate <= 0) {
    return true;
  }
  const auto recent =
      std::count_if(Starts.begin(), Starts.end(),
                    [now](TimePoint it) { return it + ColdWindow > now; });
  return static_cast<std::size_t>(recent) < coldAllowance();
}

Duration SlotGate::expected(const std::string &route) const {
  const auto it = RouteTimes.find(route);
  return Duration(static_cast<std::int64_t>(
      it == RouteTimes.end() ? MeanTime : it->second));
}

// Time until a slot is free for a request with that many before it.
Duration SlotGate::expectedWait(std::size_t ahead, TimePoint now) const {
  if (mayStart(now) && ahead == 0) {
    return Duration::zero();
  }
  double rate = Limit / std::max(MeanTime, 1000.0); // A microsecond.
  if (isCold(now) && ColdRate > 0) {
    rate = std::min(rate, ColdRate * Tuning.ColdPart / 1e6);
  }
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(ahead + 1) / rate));
}

SlotOffer SlotGate::refuse(ErrorCode code, Duration wait) const {
  return {Admitted::Rejected, code,
          std::clamp(wait, Tuning.MinRetryAfter, Tuning.MaxRetryAfter)};
}

// Starts before a newcomer's: those of all work that is as urgent or more, or,
// by the turns of less urgent work, those of the less urgent work alone.
std::size_t SlotGate::startsBefore(const Key &key) {
  const auto count = [](auto from, auto to) {
    return static_cast<std::size_t>(std::distance(from, to));
  };
  const auto inOrder = count(Queue.begin(), Queue.lower_bound(key));
  if (Queue.empty() || key.Priority == Queue.begin()->first.Priority) {
    return inOrder;
  }
  const auto lessUrgent =
      Queue.lower_bound(Key{Queue.begin()->first.Priority + 1, 0});
  const auto inTurn =
      (count(lessUrgent, Queue.end()) + 1) * Tuning.LessUrgentTurn;
  return std::min(inOrder, inTurn);
}

SlotOffer SlotGate::offer(const SlotWork &work, TimePoint now) {
  if (!Open) {
    return refuse(ErrorCode::NotReady, Tuning.MaxRetryAfter);
  }
  if (Queue.empty() && mayStart(now)) {
    begin(work.Id, work.Route, now);
    return {};
  }
  const Key key{work.Priority, ++NextSequence};
  const auto ahead = startsBefore(key);
  const auto wait = expectedWait(ahead, now);
  // Work that is more urgent does not fill the queue of the rest.
  const auto sameOrLess =
      std::distance(Queue.lower_bound(Key{work.Priority, 0}), Queue.end());
  if (now + wait + expected(work.Route) > work.Deadline ||
      static_cast<double>(sameOrLess) >= Limit * Tuning.QueuePerSlot) {
    return refuse(ErrorCode::Overloaded, wait);
  }
  Queue.emplace(key, Waiting{work.Id, work.Deadline, work.Route});
  QueuedIds.emplace(work.Id, key);
  return {Admitted::Queued, ErrorCode::Ok, {}};
}

void SlotGate::begin(GateRequestId id, const std::string &route,
                     TimePoint now) {
  Running.emplace(id, route);
  forgetOldStarts(now);
  Starts.push_back(now);
}

// Precondition: something waits.
std::map<SlotGate::Key, SlotGate::Waiting>::iterator SlotGate::nextWaiting() {
  const auto first = Queue.begin();
  const auto lessUrgent = Queue.lower_bound(Key{first->first.Priority + 1, 0});
  if (lessUrgent == Queue.end()) {
    UrgentStarts = 0;
    return first;
  }
  if (++UrgentStarts < Tuning.LessUrgentTurn) {
    return first;
  }
  UrgentStarts = 0;
  return std::min_element(lessUrgent, Queue.end(),
                          [](const auto &a, const auto &b) {
                            return a.first.Sequence < b.first.Sequence;
                          });
}

std::vector<GateRequestId> SlotGate::start(TimePoint now) {
  std::vector<GateRequestId> ids;
  while (!Queue.empty() && mayStart(now)) {
    const auto first = nextWaiting();
    ids.push_back(first->second.Id);
    begin(first->second.Id, first->second.Route, now);
    QueuedIds.erase(first->second.Id);
    Queue.erase(first);
  }
  return ids;
}

std::vector<GateRequestId> SlotGate::expire(TimePoint now) {
  std::vector<GateRequestId> ids;
  for (auto it = Queue.begin(); it != Queue.end();) {
    if (now + expected(it->second.Route) > it->second.Deadline) {
      ids.push_back(it->second.Id);
      QueuedIds.erase(it->second.Id);
      it = Queue.erase(it);
    } else {
      ++it;
    }
  }
  return ids;
}

void SlotGate::finished(GateRequestId id, std::optional<Duration> latency) {
  const auto it = Running.find(id);
  if (it == Running.end()) {
    return;
  }
  if (latency) {
    const auto us = static_cast<double>(latency->count());
    MeanTime += Tuning.TimeWeight * (us - MeanTime);
    if (RouteTimes.size() < MaxRoutes || RouteTimes.count(it->second) > 0) {
      auto &time = RouteTimes.emplace(it->second, us).first->second;
      time += Tuning.TimeWeight * (us - time);
    }
  }
  Running.erase(it);
}

bool SlotGate::cancel(GateRequestId id) {
  const auto it = QueuedIds.find(id);
  if (it == QueuedIds.end()) {
    return false;
  }
  Queue.erase(it->second);
  QueuedIds.erase(it);
  return true;
}

std::optional<TimePoint> SlotGate::nextChange(TimePoint now) const {
  if (Queue.empty()) {
    return std::nullopt;
  }
  auto next = TimePoint::max();
  for (const auto &it : Queue) {
    next = std::min(next, it.second.Deadline - expected(it.second.Route));
  }
  if (isCold(now) && !Starts.empty()) {
    const auto freed = std::max(Starts.front() + ColdWindow, now);
    next = std::min(next, std::min(freed, ColdUntil));
  }
  // A turn of the loop later at the earliest, so that a late timer cannot spin.
  return std::max(next, now + std::chrono::milliseconds(1));
}

GateState SlotGate::state(TimePoint now) const {
  GateState out;
  out.Limit = Open ? Limit : 0;
  out.InFlight = static_cast<std::uint32_t>(Running.size());
  out.Queued = static_cast<std::uint32_t>(Queue.size());
  out.Cold = isCold(now);
  out.Leaving = !Open;
  if (out.Cold && ColdRate > 0 && Open) {
    // What a cold server can have in progress at its rate.
    const auto bears = ColdRate * Tuning.ColdPart * MeanTime / 1e6;
    out.Limit = std::clamp(static_cast<std::uint32_t>(std::lround(bears)), 1U,
                           std::max(Limit, 1U));
  }
  return out;
}

} // namespace chivefold
