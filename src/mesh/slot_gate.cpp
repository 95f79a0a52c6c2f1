#include "chivefold/mesh/slot_gate.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

namespace {

/** Window in which the starts of a cold server are counted. The rate limit
 * holds for every period of one second at the server. The window is slightly
 * longer, because requests need varying time to arrive there. */
constexpr Duration ColdWindow = std::chrono::milliseconds(1100);

} // namespace

SlotGate::SlotGate(const SlotGateTuning &tuning)
    : Tuning(tuning),
      MeanServiceTime(static_cast<double>(Tuning.InitialServiceTime.count())),
      Work(Tuning.InitialServiceTime) {}

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
    Work.ended(it.second.Id, std::nullopt);
  }
  Queue.clear();
  QueuedIds.clear();
  return dropped;
}

void SlotGate::setCold(double rate, TimePoint until) {
  ColdRate = rate;
  ColdUntil = until;
}

void SlotGate::setRequestLimit(std::optional<double> perSecond, TimePoint now) {
  Pacer.setRate(perSecond, now);
  Overflow.setRate(
      perSecond ? std::optional<double>(*perSecond * Tuning.LimitOverflow)
                : std::nullopt,
      now);
}

std::size_t SlotGate::maxColdStarts() const {
  return static_cast<std::size_t>(
      std::max(1.0, std::floor(ColdRate * Tuning.ColdRateFraction)));
}

void SlotGate::dropOldStarts(TimePoint now) {
  while (!RecentStarts.empty() && RecentStarts.front() + ColdWindow <= now) {
    RecentStarts.pop_front();
  }
}

bool SlotGate::mayStart(TimePoint now) const {
  return hasFreeSlot(now) && (Pacer.mayStart(now) ||
                              (Overflow.mayStart(now) && needsOverflow(now)));
}

// Whether the stated request limit alone would make a queued request late.
bool SlotGate::needsOverflow(TimePoint now) const {
  std::size_t ahead = 0;
  return std::any_of(Queue.begin(), Queue.end(), [&](const auto &it) {
    const auto startAt = now + Pacer.wait(ahead++, now);
    return it.first.Late ||
           wouldMissTarget(it.second.InTimeUntil, it.second.Route, startAt) ||
           startAt + expectedServiceTime(it.second.Route) > it.second.Deadline;
  });
}

// Whether slots and the cold rate let a request start.
bool SlotGate::hasFreeSlot(TimePoint now) const {
  if (!Open || Running.size() >= Limit) {
    return false;
  }
  if (!isCold(now) || ColdRate <= 0) {
    return true;
  }
  const auto recent =
      std::count_if(RecentStarts.begin(), RecentStarts.end(),
                    [now](TimePoint it) { return it + ColdWindow > now; });
  return static_cast<std::size_t>(recent) < maxColdStarts();
}

Duration SlotGate::expectedServiceTime(const std::string &route) const {
  const auto it = RouteServiceTimes.find(route);
  return Duration(static_cast<std::int64_t>(
      it == RouteServiceTimes.end() ? MeanServiceTime : it->second));
}

// Returns the time until slots and the cold rate let a request with that many
// others before it start.
Duration SlotGate::slotWait(std::size_t queuedAhead, TimePoint now) const {
  if (hasFreeSlot(now) && queuedAhead == 0) {
    return Duration::zero();
  }
  // A mean below 1 ms counts as 1 ms.
  double startsPerUs = Limit / std::max(MeanServiceTime, 1000.0);
  if (isCold(now) && ColdRate > 0) {
    startsPerUs =
        std::min(startsPerUs, ColdRate * Tuning.ColdRateFraction / 1e6);
  }
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(queuedAhead + 1) / startsPerUs));
}

// Returns the time until a request with that many others before it can start.
Duration SlotGate::expectedWait(std::size_t queuedAhead,
                                const RequestPacer &pacer,
                                TimePoint now) const {
  return std::max(slotWait(queuedAhead, now), pacer.wait(queuedAhead, now));
}

// Whether the stated request limit, rather than the slots, determines the wait.
bool SlotGate::isHeldByLimit(std::size_t queuedAhead, TimePoint now) const {
  return Overflow.wait(queuedAhead, now) > slotWait(queuedAhead, now);
}

// Slots that can be in use at the stated request limit, by Little's law. The
// queue bounds are multiples of it, because more slots do not shorten the wait.
double SlotGate::usableSlots() const {
  if (!Pacer.isLimited()) {
    return Limit;
  }
  return std::clamp(std::ceil(Overflow.rate() * MeanServiceTime / 1e6), 1.0,
                    static_cast<double>(Limit));
}

// The retry-after time is not capped here: the limit is known to hold the
// request for the whole wait.
SlotAdmission SlotGate::refuseByLimit(Duration wait) {
  ++Effects.Rejected;
  return {AdmissionKind::Rejected, ErrorCode::RateLimited,
          std::max(wait, Tuning.MinRetryAfter)};
}

SlotAdmission SlotGate::refuse(ErrorCode code, Duration wait) const {
  return {AdmissionKind::Rejected, code,
          std::clamp(wait, Tuning.MinRetryAfter, Tuning.MaxRetryAfter)};
}

SlotAdmission SlotGate::admit(const SlotRequest &request, TimePoint now) {
  if (!Open) {
    return refuse(ErrorCode::NotReady, Tuning.MaxRetryAfter);
  }
  recordTarget(request, now);
  if (Queue.empty() && mayStart(now)) {
    markRunning(request.Id, request.Route, now);
    return {};
  }
  demoteLate(now);
  Key key{false, classOf(request), false, ++NextSequence};
  auto ahead = startsAheadOf(key);
  if (wouldMissTarget(request.InTimeUntil, request.Route,
                      now + waitOf(key, ahead, now))) {
    key.Late = true;
    key.LateNewcomer = !isReturning(request, now);
    ahead = startsAheadOf(key);
  }
  const auto wait = waitOf(key, ahead, now);
  const bool isHeld = isHeldByLimit(ahead, now);
  SlotAdmission out{AdmissionKind::Queued, ErrorCode::Ok, {}};
  const bool canEnd =
      now + wait + expectedServiceTime(request.Route) <= request.Deadline;
  if (canEnd && !hasRoom(key) && !Pacer.isLimited()) {
    out = displaceFor(key, now);
  }
  if (!canEnd || (!out.Displaced && !hasRoom(key))) {
    return isHeld ? refuseByLimit(wait) : refuse(ErrorCode::Overloaded, wait);
  }
  Effects.Held += isHeld ? 1 : 0;
  if (!key.Late) {
    Paces.queued(key.Class, queuedOfClass(key) == 0, now);
  }
  Queue.emplace(key, QueuedRequest{request.Id, request.Deadline,
                                   request.InTimeUntil, request.Route});
  QueuedIds.emplace(request.Id, key);
  Work.queued(request.Id, request.Route);
  return out;
}

void SlotGate::markRunning(GateRequestId id, const std::string &route,
                           TimePoint now) {
  Running.emplace(id, route);
  Work.started(id, route, now);
  dropOldStarts(now);
  RecentStarts.push_back(now);
  Pacer.started(now);
  Overflow.started(now);
}

std::vector<GateRequestId> SlotGate::start(TimePoint now) {
  std::vector<GateRequestId> ids;
  demoteLate(now);
  while (!Queue.empty() && mayStart(now)) {
    const auto next = selectNext();
    if (!next->first.Late) {
      Paces.started(next->first.Class, now);
    }
    markRunning(next->second.Id, next->second.Route, now);
    removeQueued(next, ids);
  }
  return ids;
}

std::vector<GateRequestId> SlotGate::expire(TimePoint now) {
  std::vector<GateRequestId> ids;
  demoteLate(now);
  for (auto it = Queue.begin(); it != Queue.end();) {
    it = cannotFinish(it->first, it->second, now) ? removeQueued(it, ids)
                                                  : std::next(it);
  }
  dropExcessLate(ids);
  for (const auto id : ids) {
    Work.ended(id, std::nullopt);
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
    MeanServiceTime += Tuning.ServiceTimeWeight * (us - MeanServiceTime);
    if (RouteServiceTimes.size() < MaxRoutes ||
        RouteServiceTimes.count(it->second) > 0) {
      auto &time = RouteServiceTimes.emplace(it->second, us).first->second;
      time += Tuning.ServiceTimeWeight * (us - time);
    }
  }
  Running.erase(it);
  Work.ended(id, latency);
}

bool SlotGate::cancel(GateRequestId id) {
  const auto it = QueuedIds.find(id);
  if (it == QueuedIds.end()) {
    return false;
  }
  Queue.erase(it->second);
  QueuedIds.erase(it);
  Work.ended(id, std::nullopt);
  return true;
}

std::optional<TimePoint> SlotGate::nextWakeUp(TimePoint now) const {
  if (Queue.empty()) {
    return std::nullopt;
  }
  auto next = TimePoint::max();
  for (const auto &it : Queue) {
    next = std::min(next,
                    it.second.Deadline - expectedServiceTime(it.second.Route));
  }
  if (Pacer.isLimited() && Running.size() < Limit) {
    const auto &pacer = needsOverflow(now) ? Overflow : Pacer;
    next = std::min(next, now + pacer.wait(0, now));
  }
  if (isCold(now) && !RecentStarts.empty()) {
    const auto freed = std::max(RecentStarts.front() + ColdWindow, now);
    next = std::min(next, std::min(freed, ColdUntil));
  }
  // At least 1 ms ahead, so that a timer that is already due cannot make the
  // event loop spin.
  return std::max(next, now + std::chrono::milliseconds(1));
}

GateState SlotGate::state(TimePoint now) const {
  GateState out;
  out.Limit = Open ? Limit : 0;
  out.InFlight = static_cast<std::uint32_t>(Running.size());
  out.Queued = static_cast<std::uint32_t>(Queue.size());
  out.Cold = isCold(now);
  out.Leaving = !Open;
  out.Backlog = Work.backlog(out.Limit, now);
  out.LimitWait = Pacer.wait(Queue.size(), now);
  if (out.Cold && ColdRate > 0 && Open) {
    // Requests that a cold server has in progress at its rate, by Little's law.
    const auto coldConcurrency =
        ColdRate * Tuning.ColdRateFraction * MeanServiceTime / 1e6;
    out.Limit =
        std::clamp(static_cast<std::uint32_t>(std::lround(coldConcurrency)), 1U,
                   std::max(Limit, 1U));
  }
  return out;
}

} // namespace chivefold
