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
  return {AdmissionKind::Rejected, code,
          std::clamp(wait, Tuning.MinRetryAfter, Tuning.MaxRetryAfter)};
}

// The first entry that is less urgent than the first one, or will be late.
SlotGate::WaitingMap::iterator SlotGate::behindFirstClass() {
  const auto &first = Queue.begin()->first;
  return Queue.lower_bound(Key{first.Late, first.Priority + 1, 0});
}

// Starts before a newcomer's: those of all work that goes before it or, by the
// turns of less urgent work, those of the less urgent work alone.
std::size_t SlotGate::startsBefore(const Key &key) {
  const auto count = [](auto from, auto to) {
    return static_cast<std::size_t>(std::distance(from, to));
  };
  const auto inOrder = count(Queue.begin(), Queue.lower_bound(key));
  if (Queue.empty() || (key.Late == Queue.begin()->first.Late &&
                        key.Priority == Queue.begin()->first.Priority)) {
    return inOrder;
  }
  const auto inTurn =
      (count(behindFirstClass(), Queue.end()) + 1) * Tuning.LessUrgentTurn;
  return std::min(inOrder, inTurn);
}

bool SlotGate::willBeLate(TimePoint inTimeUntil, const std::string &route,
                          TimePoint start) const {
  if (inTimeUntil == TimePoint::max()) {
    return false;
  }
  const auto needed =
      Tuning.TargetMargin * static_cast<double>(expected(route).count());
  return start + Duration(static_cast<std::int64_t>(needed)) > inTimeUntil;
}

// More urgent work does not fill the queue of the rest, and work that will be
// late not that of work in time.
bool SlotGate::hasRoom(const Key &key) const {
  const auto from = Queue.lower_bound(Key{key.Late, key.Priority, 0});
  const auto to = key.Late ? Queue.end() : Queue.lower_bound(FirstLate);
  const auto perSlot = key.Late ? Tuning.LateQueuePerSlot : Tuning.QueuePerSlot;
  return static_cast<double>(std::distance(from, to)) < Limit * perSlot;
}

SlotOffer SlotGate::offer(const SlotWork &work, TimePoint now) {
  if (!Open) {
    return refuse(ErrorCode::NotReady, Tuning.MaxRetryAfter);
  }
  if (Queue.empty() && mayStart(now)) {
    begin(work.Id, work.Route, now);
    return {};
  }
  moveLate(now);
  Key key{false, work.Priority, ++NextSequence};
  auto wait = expectedWait(startsBefore(key), now);
  if (willBeLate(work.InTimeUntil, work.Route, now + wait)) {
    key.Late = true;
    wait = expectedWait(startsBefore(key), now);
  }
  if (now + wait + expected(work.Route) > work.Deadline || !hasRoom(key)) {
    return refuse(ErrorCode::Overloaded, wait);
  }
  Queue.emplace(key,
                Waiting{work.Id, work.Deadline, work.InTimeUntil, work.Route});
  QueuedIds.emplace(work.Id, key);
  return {AdmissionKind::Queued, ErrorCode::Ok, {}};
}

// Puts what can no longer be answered by its target behind the rest.
void SlotGate::moveLate(TimePoint now) {
  for (auto it = Queue.begin(); it != Queue.end() && !it->first.Late;) {
    const auto next = std::next(it);
    if (willBeLate(it->second.InTimeUntil, it->second.Route, now)) {
      auto node = Queue.extract(it);
      node.key().Late = true;
      QueuedIds[node.mapped().Id] = node.key();
      Queue.insert(std::move(node));
    }
    it = next;
  }
}

void SlotGate::begin(GateRequestId id, const std::string &route,
                     TimePoint now) {
  Running.emplace(id, route);
  forgetOldStarts(now);
  Starts.push_back(now);
}

// Precondition: something waits.
SlotGate::WaitingMap::iterator SlotGate::nextWaiting() {
  const auto first = Queue.begin();
  // The next one of another urgency, which would be starved while the first
  // class alone fills the server.
  auto other = Queue.end();
  for (auto it = behindFirstClass(); it != Queue.end(); ++it) {
    // In the turn of other work, too, what can be in time goes first.
    const bool better =
        other == Queue.end() || (it->first.Late == other->first.Late &&
                                 it->first.Sequence < other->first.Sequence);
    if (it->first.Priority != first->first.Priority && better) {
      other = it;
    }
  }
  if (other == Queue.end()) {
    UrgentStarts = 0;
    return first;
  }
  if (++UrgentStarts < Tuning.LessUrgentTurn) {
    return first;
  }
  UrgentStarts = 0;
  return other;
}

// Takes an entry out of the queue.
SlotGate::WaitingMap::iterator
SlotGate::remove(WaitingMap::iterator it, std::vector<GateRequestId> &ids) {
  ids.push_back(it->second.Id);
  QueuedIds.erase(it->second.Id);
  return Queue.erase(it);
}

std::vector<GateRequestId> SlotGate::start(TimePoint now) {
  std::vector<GateRequestId> ids;
  moveLate(now);
  while (!Queue.empty() && mayStart(now)) {
    const auto first = nextWaiting();
    begin(first->second.Id, first->second.Route, now);
    remove(first, ids);
  }
  return ids;
}

std::vector<GateRequestId> SlotGate::expire(TimePoint now) {
  std::vector<GateRequestId> ids;
  moveLate(now);
  for (auto it = Queue.begin(); it != Queue.end();) {
    const bool hopeless =
        now + expected(it->second.Route) > it->second.Deadline;
    it = hopeless ? remove(it, ids) : std::next(it);
  }
  dropExcessLate(ids);
  return ids;
}

// Late work beyond its bound would mostly wait until its deadline in vain.
void SlotGate::dropExcessLate(std::vector<GateRequestId> &ids) {
  const auto first = Queue.lower_bound(FirstLate);
  const auto bound =
      static_cast<std::ptrdiff_t>(std::ceil(Limit * Tuning.LateQueuePerSlot));
  for (auto n = std::distance(first, Queue.end()); n > bound; --n) {
    remove(std::prev(Queue.end()), ids);
  }
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
