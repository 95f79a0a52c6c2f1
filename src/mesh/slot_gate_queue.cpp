// Order and bounds of the queue of SlotGate.
#include "chivefold/mesh/slot_gate.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

// Returns the first entry behind those with the lateness and priority of the
// head of the queue. Precondition: the queue is not empty.
SlotGate::RequestQueue::iterator SlotGate::endOfHeadClass() {
  const auto &first = Queue.begin()->first;
  return Queue.lower_bound(Key{first.Late, first.Class + 1, false, 0});
}

// Estimates the starts before that of a new request. A request of another class
// than the head of the queue starts in queue order or in the interval for other
// priorities, whichever is earlier.
std::size_t SlotGate::startsAheadOf(const Key &key) {
  const auto count = [](auto first, auto last) {
    return static_cast<std::size_t>(std::distance(first, last));
  };
  const auto byOrder = count(Queue.begin(), Queue.lower_bound(key));
  if (Queue.empty() || (key.Late == Queue.begin()->first.Late &&
                        key.Class == Queue.begin()->first.Class)) {
    return byOrder;
  }
  const auto byInterval =
      (count(endOfHeadClass(), Queue.end()) + 1) * Tuning.OtherPriorityInterval;
  return std::min(byOrder, byInterval);
}

void SlotGate::recordTarget(const SlotRequest &request, TimePoint now) {
  if (request.InTimeUntil == TimePoint::max() || request.InTimeUntil <= now ||
      (RouteTargetTimes.size() >= MaxRoutes &&
       RouteTargetTimes.count(request.Route) == 0)) {
    return;
  }
  const auto us = static_cast<double>((request.InTimeUntil - now).count());
  auto &time = RouteTargetTimes.emplace(request.Route, us).first->second;
  time += (us > time ? 0.5 : 0.02) * (us - time);
}

bool SlotGate::isReturning(const SlotRequest &request, TimePoint now) const {
  const auto target = RouteTargetTimes.find(request.Route);
  return !request.ForRunning && target != RouteTargetTimes.end() &&
         request.InTimeUntil != TimePoint::max() &&
         static_cast<double>((request.InTimeUntil - now).count()) <
             Tuning.ReturningShare * target->second;
}

bool SlotGate::wouldMissTarget(TimePoint inTimeUntil, const std::string &route,
                               TimePoint start) const {
  if (inTimeUntil == TimePoint::max()) {
    return false;
  }
  auto needed = Tuning.TargetMarginFactor *
                static_cast<double>(expectedServiceTime(route).count());
  const auto target = RouteTargetTimes.find(route);
  if (target != RouteTargetTimes.end()) {
    needed = std::min(needed, Tuning.TargetMarginShare * target->second);
  }
  return start + Duration(static_cast<std::int64_t>(needed)) > inTimeUntil;
}

// More urgent work does not use up the queue bound of less urgent work, and
// late requests do not use up that of requests in time. Under a request limit
// the bound is short, and less urgent work must not use up that of more urgent
// work.
bool SlotGate::hasRoom(const Key &key) const {
  const auto begin = key.Late ? Queue.lower_bound(LateBegin) : Queue.begin();
  const auto end = key.Late ? Queue.end() : Queue.lower_bound(LateBegin);
  const bool isLimited = Pacer.isLimited();
  const auto first =
      isLimited ? begin : Queue.lower_bound(Key{key.Late, key.Class, false, 0});
  const auto last =
      isLimited ? Queue.lower_bound(Key{key.Late, key.Class + 1, false, 0})
                : end;
  return static_cast<double>(std::distance(first, last)) < queueBound(key.Late);
}

std::size_t SlotGate::queuedOfClass(const Key &key) const {
  return static_cast<std::size_t>(
      std::distance(Queue.lower_bound(Key{key.Late, key.Class, false, 0}),
                    Queue.lower_bound(Key{key.Late, key.Class + 1, false, 0})));
}

// Returns the expected wait of a new request: what is queued before it, or the
// pace at which the queue of its class was seen to drain, which also has in it
// the more urgent requests that arrive meanwhile.
Duration SlotGate::waitOf(const Key &key, std::size_t ahead,
                          TimePoint now) const {
  const auto wait = expectedWait(ahead, Overflow, now);
  return key.Late
             ? wait
             : std::max(wait, Paces.wait(key.Class, queuedOfClass(key), now));
}

double SlotGate::queueBound(bool late) const {
  return usableSlots() * (late ? Tuning.LateQueuePerSlot : Tuning.QueuePerSlot);
}

// Returns the queued request whose place a new one takes that found no room:
// the last of the least urgent kind of work that holds more than its kept part
// of the queue, since it has waited least; end() if there is none. Lateness is
// the same, so that a late request never takes the place of one in time.
SlotGate::RequestQueue::iterator SlotGate::displaceableFor(const Key &key) {
  const auto kept = std::ceil(queueBound(key.Late) * Tuning.KeptQueueShare);
  auto end = key.Late ? Queue.end() : Queue.lower_bound(LateBegin);
  while (end != Queue.begin()) {
    const auto last = std::prev(end);
    if (last->first.Late != key.Late ||
        std::tie(last->first.Class, last->first.LateNewcomer) <=
            std::tie(key.Class, key.LateNewcomer)) {
      break;
    }
    const auto begin =
        Queue.lower_bound(Key{key.Late, last->first.Class, false, 0});
    if (last->first.Class == key.Class ||
        static_cast<double>(std::distance(begin, end)) > kept) {
      return last;
    }
    end = begin;
  }
  return Queue.end();
}

SlotAdmission SlotGate::displaceFor(const Key &key, TimePoint now) {
  SlotAdmission out{AdmissionKind::Queued, ErrorCode::Ok, {}};
  const auto victim = displaceableFor(key);
  if (victim == Queue.end()) {
    return out;
  }
  out.RetryAfter =
      refuse(ErrorCode::Overloaded, slotWait(Queue.size(), now)).RetryAfter;
  std::vector<GateRequestId> removed;
  removeQueued(victim, removed);
  out.Displaced = removed.front();
  Work.ended(*out.Displaced, std::nullopt);
  ++Effects.Displaced;
  return out;
}

// Moves requests that can no longer meet their target latency behind all
// others.
void SlotGate::demoteLate(TimePoint now) {
  for (auto it = Queue.begin(); it != Queue.end() && !it->first.Late;) {
    const auto next = std::next(it);
    if (wouldMissTarget(it->second.InTimeUntil, it->second.Route, now)) {
      auto node = Queue.extract(it);
      node.key().Late = true;
      node.key().LateNewcomer = true;
      QueuedIds[node.mapped().Id] = node.key();
      Queue.insert(std::move(node));
    }
    it = next;
  }
}

// Selects the next request to start. Precondition: the queue is not empty.
SlotGate::RequestQueue::iterator SlotGate::selectNext() {
  const auto head = Queue.begin();
  // The next request of another priority, which would be starved while requests
  // of the head's priority keep the server full.
  auto other = Queue.end();
  for (auto it = endOfHeadClass(); it != Queue.end(); ++it) {
    // Among the other priorities, too, requests that can be in time go first.
    const bool goesEarlier =
        other == Queue.end() || (it->first.Late == other->first.Late &&
                                 it->first.Sequence < other->first.Sequence);
    if (it->first.Class != head->first.Class && goesEarlier) {
      other = it;
    }
  }
  if (other == Queue.end()) {
    HeadClassStarts = 0;
    return head;
  }
  if (++HeadClassStarts < Tuning.OtherPriorityInterval) {
    return head;
  }
  HeadClassStarts = 0;
  return other;
}

// Removes an entry from the queue and appends its id to ids.
SlotGate::RequestQueue::iterator
SlotGate::removeQueued(RequestQueue::iterator it,
                       std::vector<GateRequestId> &ids) {
  ids.push_back(it->second.Id);
  QueuedIds.erase(it->second.Id);
  return Queue.erase(it);
}

// Whether a queued request cannot end before its deadline. Under a request
// limit that is known as soon as enough requests are ahead of it; the wait for
// slots is only an estimate.
bool SlotGate::cannotFinish(const Key &key, const QueuedRequest &request,
                            TimePoint now) {
  const auto wait = Overflow.isLimited()
                        ? Overflow.wait(startsAheadOf(key), now)
                        : Duration::zero();
  return now + wait + expectedServiceTime(request.Route) > request.Deadline;
}

// Removes late requests beyond their queue bound, the last in queue order
// first; most of them would only wait until their deadline.
void SlotGate::dropExcessLate(std::vector<GateRequestId> &ids) {
  const auto first = Queue.lower_bound(LateBegin);
  const auto bound = static_cast<std::ptrdiff_t>(
      std::ceil(usableSlots() * Tuning.LateQueuePerSlot));
  for (auto n = std::distance(first, Queue.end()); n > bound; --n) {
    removeQueued(std::prev(Queue.end()), ids);
  }
}

} // namespace chivefold
