// Order and bounds of the queue of SlotGate.
#include "chivefold/mesh/slot_gate.h"

#include <algorithm>
#include <cmath>

namespace chivefold {

// Returns the first entry behind those with the lateness and priority of the
// head of the queue. Precondition: the queue is not empty.
SlotGate::RequestQueue::iterator SlotGate::endOfHeadClass() {
  const auto &first = Queue.begin()->first;
  return Queue.lower_bound(Key{first.Late, first.Priority + 1, 0});
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
                        key.Priority == Queue.begin()->first.Priority)) {
    return byOrder;
  }
  const auto byInterval =
      (count(endOfHeadClass(), Queue.end()) + 1) * Tuning.OtherPriorityInterval;
  return std::min(byOrder, byInterval);
}

bool SlotGate::wouldMissTarget(TimePoint inTimeUntil, const std::string &route,
                               TimePoint start) const {
  if (inTimeUntil == TimePoint::max()) {
    return false;
  }
  const auto needed = Tuning.TargetMarginFactor *
                      static_cast<double>(expectedServiceTime(route).count());
  return start + Duration(static_cast<std::int64_t>(needed)) > inTimeUntil;
}

// Higher priorities do not use up the queue bound of lower ones, and late
// requests do not use up that of requests in time. Under a request limit the
// bound is short, and lower priorities must not use up that of higher ones.
bool SlotGate::hasRoom(const Key &key) const {
  const auto begin = key.Late ? Queue.lower_bound(LateBegin) : Queue.begin();
  const auto end = key.Late ? Queue.end() : Queue.lower_bound(LateBegin);
  const bool isLimited = Pacer.isLimited();
  const auto first =
      isLimited ? begin : Queue.lower_bound(Key{key.Late, key.Priority, 0});
  const auto last =
      isLimited ? Queue.lower_bound(Key{key.Late, key.Priority + 1, 0}) : end;
  const auto perSlot = key.Late ? Tuning.LateQueuePerSlot : Tuning.QueuePerSlot;
  return static_cast<double>(std::distance(first, last)) <
         usableSlots() * perSlot;
}

// Moves requests that can no longer meet their target latency behind all
// others.
void SlotGate::demoteLate(TimePoint now) {
  for (auto it = Queue.begin(); it != Queue.end() && !it->first.Late;) {
    const auto next = std::next(it);
    if (wouldMissTarget(it->second.InTimeUntil, it->second.Route, now)) {
      auto node = Queue.extract(it);
      node.key().Late = true;
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
    if (it->first.Priority != head->first.Priority && goesEarlier) {
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
