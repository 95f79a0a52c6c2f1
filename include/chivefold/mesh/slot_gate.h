/**
 * @file
 * Admission control beside a backend server with a fixed number of slots.
 */
#ifndef CHIVEFOLD_MESH_SLOT_GATE_H
#define CHIVEFOLD_MESH_SLOT_GATE_H

#include "chivefold/core/gate.h"
#include "chivefold/core/types.h"
#include "chivefold/mesh/class_pace.h"
#include "chivefold/mesh/outstanding_work.h"
#include "chivefold/mesh/request_pacer.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace chivefold {

/** A request at the gate. */
struct SlotRequest {
  GateRequestId Id = GateRequestId::None;
  /** 0 is the most urgent. */
  std::uint32_t Priority = 0;
  TimePoint Deadline{};
  /** Name of the route, by which service times are averaged. */
  std::string Route;
  /** Time until which an answer has its full value, by the target latency of
   * the route. */
  TimePoint InTimeUntil = TimePoint::max();
  /** A call of a request that runs at another server, which is useless without
   * it. Goes before new work of its priority. */
  bool ForRunning = false;
};

/** Decision on a new request. A rejected request was certainly not run. */
struct SlotAdmission {
  AdmissionKind Kind = AdmissionKind::Run;
  /** Set if rejected: NotReady, Overloaded or RateLimited. */
  ErrorCode Code = ErrorCode::Ok;
  /** Set if rejected or displacing: time until the caller of the rejected or
   * the displaced request may try this server again. */
  Duration RetryAfter{};
  /** Queued request of less urgent work whose place the new one takes; it was
   * certainly not run. */
  std::optional<GateRequestId> Displaced = std::nullopt;
};

/** Requests that the stated limit of a server or more urgent work affected. */
struct LimitEffects {
  /** Requests that were queued until the limit let them start. */
  std::uint64_t Held = 0;
  /** Requests that were rejected because of the limit. */
  std::uint64_t Rejected = 0;
  /** Queued requests whose places more urgent ones took. */
  std::uint64_t Displaced = 0;
};

/** Constants of a slot gate. */
struct SlotGateTuning {
  /** Fraction of a cold server's stated rate that is used. The rest covers
   * requests that the server counts in the second after the one in which they
   * were sent. */
  double ColdRateFraction = 0.9;
  /** Queue bound per slot. Applies to the requests of each priority together
   * with those of all lower priorities. */
  double QueuePerSlot = 4;
  /** Queue bound per slot for requests that will miss their target latency.
   * Low, because a client that pipelines requests on a connection gets its
   * answers in order, so that one late request delays those behind it. */
  double LateQueuePerSlot = 0.5;
  /** A request will be late if less than this multiple of its expected service
   * time is left until its target. Above 1, because a third of calls take
   * longer than the mean. */
  double TargetMarginFactor = 1.5;
  /** The same, as a part of the time that requests of the route have until
   * their target when they arrive; the smaller one applies. Without it, all
   * requests of a route whose answers take over two thirds of its target would
   * count as late, and less urgent work would go before them. */
  double TargetMarginShare = 0.6;
  /** A request with less than this part of its route's time until the target
   * comes back after a refusal. A client that comes at once gains nothing. */
  double ReturningShare = 0.6;
  /** Weight of the newest call in the expected service time. */
  double ServiceTimeWeight = 0.1;
  /** Expected service time before the first call ends. */
  Duration InitialServiceTime = std::chrono::milliseconds(50);
  /** One in this many starts goes to a waiting request of another priority than
   * the head of the queue, so that one priority cannot starve the others. */
  std::uint32_t OtherPriorityInterval = 6;
  /** Part of the queue bound that more urgent requests leave to each less
   * urgent kind of work: as much as its share of the starts can serve. */
  double KeptQueueShare = 1.0 / 6;
  /** Fraction of a stated request limit up to which requests start that would
   * be late or rejected otherwise. Operators tolerate 1.5 over 4 s. */
  double LimitOverflow = 1.4;
  /** Bounds of the retry-after time of a rejection. */
  Duration MinRetryAfter = std::chrono::milliseconds(50);
  Duration MaxRetryAfter = std::chrono::seconds(2);
};

/**
 * Limits a server's concurrency to its slots, its request rate to the limit
 * that it states, and that of a cold server to its stated rate. Queued requests
 * that can still meet their target latency run before those that will be late;
 * each of the two groups runs in order of priority, calls of running requests
 * before new work of their priority, then in order of arrival. Among late ones,
 * those that come back go before newcomers. If the queue is
 * full, a request takes the place of the last less urgent one. A request that
 * cannot end before its deadline is rejected, on arrival or as soon as that
 * becomes clear in the queue.
 *
 * The gate protects servers that never answer requests which they cannot queue
 * from bursts. The order of its queue is for lasting overload, in which serving
 * by arrival alone makes nearly every answer late. Not thread-safe.
 */
class SlotGate {
public:
  /** Maximum number of routes with an average service time; further ones use
   * the mean of all routes. */
  static constexpr std::size_t MaxRoutes = 4096;

  /** Burst of requests that a server which was idle may get beyond an even
   * spacing at its stated limit. */
  static constexpr Duration LimitBurstTime = std::chrono::milliseconds(250);
  /** The same at LimitOverflow times the limit; short, so that any 4 s stay
   * below 1.5 times the limit. */
  static constexpr Duration OverflowBurstTime = std::chrono::milliseconds(50);

  explicit SlotGate(const SlotGateTuning &tuning = {});

  /** Starts admitting requests for a server with @p slots. @p connections also
   * limits the concurrency; 0 means no limit. */
  void open(std::uint32_t slots, std::uint32_t connections);

  /** Rejects new requests from now on. Running requests continue. @return the
   * queued requests, which were certainly not run. */
  std::vector<GateRequestId> close();

  bool isOpen() const { return Open; }

  /** Limits starts to @p rate per second until @p until; a rate of 0 means no
   * limit. */
  void setCold(double rate, TimePoint until);

  /** Limits starts to the request limit that the server states; nothing means
   * no limit. Queued requests keep their places. While a queued request would
   * be late otherwise, starts go on up to LimitOverflow times the limit: then
   * no other server had room when its caller chose this one. */
  void setRequestLimit(std::optional<double> perSecond, TimePoint now);

  /** Runs, queues or rejects a new request. */
  SlotAdmission admit(const SlotRequest &request, TimePoint now);

  /** Starts queued requests as far as the limits allow. @return the requests to
   * run now. */
  std::vector<GateRequestId> start(TimePoint now);

  /** Removes queued requests that can no longer end before their deadline, and
   * late ones beyond their queue bound. @return the removed requests, which
   * were certainly not run. */
  std::vector<GateRequestId> expire(TimePoint now);

  /** Ends a running request. @param latency empty if it does not measure the
   * service time, as for a request that was cancelled or declined by the
   * server.
   */
  void finished(GateRequestId id, std::optional<Duration> latency);

  /** Removes a queued request. @return whether it was queued. */
  bool cancel(GateRequestId id);

  /** @return the next time at which start() or expire() may return requests
   * without any other event; none if the queue is empty. Does not cover
   * requests that turn late: those beyond the queue bound are returned by
   * expire() after another event. */
  std::optional<TimePoint> nextWakeUp(TimePoint now) const;

  GateState state(TimePoint now) const;
  const LimitEffects &limitEffects() const { return Effects; }

  /** @return expected service time of a route. */
  Duration expectedServiceTime(const std::string &route) const;

  /** @return what the server still has to do, and what its work costs. */
  const OutstandingWork &work() const { return Work; }

private:
  /** Position in the queue. */
  struct Key {
    /** Whether the request will miss its target latency. */
    bool Late;
    /** Priority, and whether the request is new work: see classOf(). */
    std::uint64_t Class;
    /** A late request that is no retry of one that was refused before. */
    bool LateNewcomer;
    std::uint64_t Sequence;
    bool operator<(const Key &o) const {
      return std::tie(Late, Class, LateNewcomer, Sequence) <
             std::tie(o.Late, o.Class, o.LateNewcomer, o.Sequence);
    }
  };
  struct QueuedRequest {
    GateRequestId Id;
    TimePoint Deadline;
    TimePoint InTimeUntil;
    std::string Route;
  };
  using RequestQueue = std::map<Key, QueuedRequest>;
  /** Lower bound of the keys of late requests. */
  static constexpr Key LateBegin{true, 0, false, 0};

  static std::uint64_t classOf(const SlotRequest &request) {
    return std::uint64_t{request.Priority} * 2 + (request.ForRunning ? 0 : 1);
  }
  RequestQueue::iterator selectNext();
  RequestQueue::iterator endOfHeadClass();
  bool wouldMissTarget(TimePoint inTimeUntil, const std::string &route,
                       TimePoint start) const;
  void recordTarget(const SlotRequest &request, TimePoint now);
  bool isReturning(const SlotRequest &request, TimePoint now) const;
  void demoteLate(TimePoint now);
  RequestQueue::iterator removeQueued(RequestQueue::iterator it,
                                      std::vector<GateRequestId> &ids);
  void dropExcessLate(std::vector<GateRequestId> &ids);
  std::size_t queuedOfClass(const Key &key) const;
  Duration waitOf(const Key &key, std::size_t ahead, TimePoint now) const;
  double queueBound(bool late) const;
  bool hasRoom(const Key &key) const;
  RequestQueue::iterator displaceableFor(const Key &key);
  SlotAdmission displaceFor(const Key &key, TimePoint now);
  std::size_t startsAheadOf(const Key &key);
  bool hasFreeSlot(TimePoint now) const;
  bool mayStart(TimePoint now) const;
  bool needsOverflow(TimePoint now) const;
  bool isCold(TimePoint now) const { return now < ColdUntil; }
  std::size_t maxColdStarts() const;
  void dropOldStarts(TimePoint now);
  void markRunning(GateRequestId id, const std::string &route, TimePoint now);
  Duration slotWait(std::size_t queuedAhead, TimePoint now) const;
  Duration expectedWait(std::size_t queuedAhead, const RequestPacer &pacer,
                        TimePoint now) const;
  bool isHeldByLimit(std::size_t queuedAhead, TimePoint now) const;
  double usableSlots() const;
  bool cannotFinish(const Key &key, const QueuedRequest &request,
                    TimePoint now);
  SlotAdmission refuse(ErrorCode code, Duration wait) const;
  SlotAdmission refuseByLimit(Duration wait);

  SlotGateTuning Tuning;
  bool Open = false;
  std::uint32_t Limit = 0;
  /** Spaces starts at the stated limit, and at its tolerated multiple. */
  RequestPacer Pacer{LimitBurstTime};
  RequestPacer Overflow{OverflowBurstTime};
  LimitEffects Effects;
  /** Starts per second of a cold server; 0 means no limit. */
  double ColdRate = 0;
  TimePoint ColdUntil{};
  std::uint64_t NextSequence = 0;
  /** Starts at the head of the queue since a request of another priority was
   * last started or none was waiting. */
  std::uint32_t HeadClassStarts = 0;
  RequestQueue Queue;
  ClassPace Paces;
  std::unordered_map<GateRequestId, Key> QueuedIds;
  /** Route of each running request; bounded by Limit. */
  std::unordered_map<GateRequestId, std::string> Running;
  /** Times of recent starts, for the rate limit of a cold server. */
  std::deque<TimePoint> RecentStarts;
  /** Moving average of each route, in microseconds. */
  std::unordered_map<std::string, double> RouteServiceTimes;
  /** Time until the target of each route on arrival, in microseconds; follows
   * the requests with the most time. */
  std::unordered_map<std::string, double> RouteTargetTimes;
  /** Moving average over all routes, in microseconds. */
  double MeanServiceTime = 0;
  OutstandingWork Work;
};

} // namespace chivefold

#endif
