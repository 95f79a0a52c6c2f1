/**
 * @file
 * Admission beside a backend server that states its slots.
 */
#ifndef CHIVEFOLD_MESH_SLOT_GATE_H
#define CHIVEFOLD_MESH_SLOT_GATE_H

#include "chivefold/core/gate.h"
#include "chivefold/core/types.h"

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
struct SlotWork {
  GateRequestId Id = GateRequestId::None;
  /** 0 is the most urgent. */
  std::uint32_t Priority = 0;
  TimePoint Deadline{};
  /** Names the route, for the expected time of service. */
  std::string Route;
  /** Until then an answer has its full value. */
  TimePoint InTimeUntil = TimePoint::max();
};

/** Decision on a newcomer; one that is refused was certainly not run. */
struct SlotOffer {
  AdmissionKind Kind = AdmissionKind::Run;
  ErrorCode Code = ErrorCode::Ok;
  /** For Rejected: when the caller may try this server again. */
  Duration RetryAfter{};
};

struct SlotGateTuning {
  /** Part of a cold server's stated rate that is used; the rest covers requests
   * whose arrival is counted in the next second. */
  double ColdPart = 0.9;
  /** Requests of one urgency, or of it and less urgent ones, that wait for one
   * slot at most. */
  double QueuePerSlot = 4;
  /** The same for requests that will be late. Few: clients that send requests
   * behind others on a connection get no answer until those before are
   * answered, so that one late request makes others late. */
  double LateQueuePerSlot = 0.5;
  /** Work is late if less than so many expected times of service are left until
   * its target; services take longer than their mean in a third of calls. */
  double TargetMargin = 1.5;
  /** Weight of the newest call in the expected time of service. */
  double TimeWeight = 0.1;
  /** Expected time of service before the first call of a route. */
  Duration FirstExpected = std::chrono::milliseconds(50);
  /** Of so many starts one goes to work of another urgency that waits, so that
   * it is not starved while one class alone fills the server. */
  std::uint32_t LessUrgentTurn = 6;
  Duration MinRetryAfter = std::chrono::milliseconds(50);
  Duration MaxRetryAfter = std::chrono::seconds(2);
};

/**
 * Keeps a server's concurrency at its slots and a cold server's rate at what
 * it bears. What can still be answered by its target goes before what will be
 * late; within each, what waits is served in order of priority, then of
 * arrival. A request that cannot end before its deadline is refused at once, on
 * arrival and when it becomes clear later. Answers the load patterns of a burst
 * at a server that never answers what it cannot queue and of an overload that
 * lasts, in which serving by arrival alone makes nearly every answer late. Not
 * thread-safe.
 */
class SlotGate {
public:
  /** Routes whose time of service is kept; further ones share one value. */
  static constexpr std::size_t MaxRoutes = 4096;

  explicit SlotGate(const SlotGateTuning &tuning = {});

  /** Admits work for a server with @p slots. @p connections bounds the
   * concurrency too; 0 means no bound. */
  void open(std::uint32_t slots, std::uint32_t connections);

  /** Refuses new work. @return what waited, certainly not run; work that runs
   * goes on. */
  std::vector<GateRequestId> close();

  bool isOpen() const { return Open; }

  /** The server bears only @p rate requests a second until @p until. */
  void setCold(double rate, TimePoint until);

  SlotOffer offer(const SlotWork &work, TimePoint now);

  /** @return the waiting requests that are to run now; they count as running.
   */
  std::vector<GateRequestId> start(TimePoint now);

  /** @return the waiting requests that can no longer end before their
   * deadline, and late ones beyond their bound; certainly not run. */
  std::vector<GateRequestId> expire(TimePoint now);

  /** A running request ended. @param latency empty if it says nothing of the
   * time of service (cancelled, refused by the server). */
  void finished(GateRequestId id, std::optional<Duration> latency);

  /** Drops a waiting request. @return whether it was waiting. */
  bool cancel(GateRequestId id);

  /** @return when start() or expire() may give something without any other
   * event. */
  std::optional<TimePoint> nextChange(TimePoint now) const;

  GateState state(TimePoint now) const;

  /** @return expected time of service of a route. */
  Duration expected(const std::string &route) const;

private:
  struct Key {
    bool Late;
    std::uint32_t Priority;
    std::uint64_t Sequence;
    bool operator<(const Key &o) const {
      return std::tie(Late, Priority, Sequence) <
             std::tie(o.Late, o.Priority, o.Sequence);
    }
  };
  struct Waiting {
    GateRequestId Id;
    TimePoint Deadline;
    TimePoint InTimeUntil;
    std::string Route;
  };
  using WaitingMap = std::map<Key, Waiting>;
  /** All that will be late stands from here on. */
  static constexpr Key FirstLate{true, 0, 0};

  WaitingMap::iterator nextWaiting();
  WaitingMap::iterator behindFirstClass();
  bool willBeLate(TimePoint inTimeUntil, const std::string &route,
                  TimePoint start) const;
  void moveLate(TimePoint now);
  WaitingMap::iterator remove(WaitingMap::iterator it,
                              std::vector<GateRequestId> &ids);
  void dropExcessLate(std::vector<GateRequestId> &ids);
  bool hasRoom(const Key &key) const;
  std::size_t startsBefore(const Key &key);
  bool mayStart(TimePoint now) const;
  bool isCold(TimePoint now) const { return now < ColdUntil; }
  std::size_t coldAllowance() const;
  void forgetOldStarts(TimePoint now);
  void begin(GateRequestId id, const std::string &route, TimePoint now);
  Duration expectedWait(std::size_t ahead, TimePoint now) const;
  SlotOffer refuse(ErrorCode code, Duration wait) const;

  SlotGateTuning Tuning;
  bool Open = false;
  std::uint32_t Limit = 0;
  double ColdRate = 0;
  TimePoint ColdUntil{};
  std::uint64_t NextSequence = 0;
  /** Starts of urgent work since less urgent work had its turn. */
  std::uint32_t UrgentStarts = 0;
  WaitingMap Queue;
  std::unordered_map<GateRequestId, Key> QueuedIds;
  /** Route of each running request; bounded by Limit. */
  std::unordered_map<GateRequestId, std::string> Running;
  /** Starts of the last second, for the rate of a cold server. */
  std::deque<TimePoint> Starts;
  std::unordered_map<std::string, double> RouteTimes;
  double MeanTime = 0;
};

} // namespace chivefold

#endif
