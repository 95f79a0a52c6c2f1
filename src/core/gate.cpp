#include "chivefold/core/gate.h"

#include "chivefold/core/enum_names.h"

#include <algorithm>
#include <cassert>

namespace chivefold {
namespace {

constexpr EnumNames<ServerResult, 5> ServerResultNames{{{
    {ServerResult::Ok, "ok"},
    {ServerResult::ServerError, "server-error"},
    {ServerResult::ConnectionFailed, "connection-failed"},
    {ServerResult::TimedOut, "timed-out"},
    {ServerResult::Cancelled, "cancelled"},
}}};

/** Weight of the newest call in the smoothed latency; about the last 9 calls
 * count. */
constexpr double SmoothingWeight = 0.2;
/** Calls after a change of the limit before the smoothed latency is judged. */
constexpr std::uint32_t MinRecentCalls = 5;
/** A level's baseline follows lower window means faster than higher ones, so it
 * settles at a low percentile of them. */
constexpr double BaselineFall = 0.1;
constexpr double BaselineRise = 0.02;
/** At the cold limit the load cannot be the cause of a higher latency, so a
 * server that has become slower for good is accepted within about 30 windows.
 */
constexpr double ColdBaselineRise = 0.05;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(20);
constexpr Duration MaxRetryAfter = std::chrono::milliseconds(1000);

ServerLimits sane(ServerLimits limits) {
  // Each running request has a connection of its own.
  limits.Slots = std::clamp(limits.Slots, 1U, std::max(1U, limits.Connections));
  limits.ColdSlots = std::clamp(limits.ColdSlots, 1U, limits.Slots);
  return limits;
}

} // namespace

std::string_view serverResultName(ServerResult r) {
  return ServerResultNames.name(r);
}

Gate::Gate(const ServerLimits &limits, const GateTuning &tuning)
    : Limits(sane(limits)), Tuning(tuning), Limit(Limits.ColdSlots),
      Levels(MaxLevels, 0.0) {}

std::vector<GateRequestId> Gate::setLimits(const ServerLimits &limits) {
  Limits = sane(limits);
  setLimit(std::clamp(Limit, Limits.ColdSlots, Limits.Slots));
  std::vector<GateRequestId> dropped;
  while (Queue.size() > Limits.Queue) {
    dropped.push_back(dropLast());
  }
  return dropped;
}

Admission Gate::admit(const GateRequest &request, TimePoint now) {
  assert(Running.count(request.Id) == 0 && QueuedIds.count(request.Id) == 0);
  if (Leaving) {
    return reject(ErrorCode::NotReady, Queue.size());
  }
  if (request.Deadline <= now) {
    return reject(ErrorCode::DeadlineExceeded, Queue.size());
  }
  if (now < PausedUntil) {
    auto refusal = reject(ErrorCode::ConnectionFailed, 0);
    refusal.RetryAfter = PausedUntil - now;
    return refusal;
  }
  if (Running.size() < Limit && Queue.empty()) {
    start(request.Id);
    return {};
  }
  return enqueue(request, now);
}

Admission Gate::reject(ErrorCode code, std::size_t ahead) const {
  return {Admitted::Rejected, code, retryAfter(ahead), std::nullopt};
}

GateRequestId Gate::dropLast() {
  const auto last = std::prev(Queue.end());
  const auto id = last->second.Id;
  QueuedIds.erase(id);
  Queue.erase(last);
  return id;
}

Admission Gate::enqueue(const GateRequest &request, TimePoint now) {
  const QueueKey key{request.Worth, NextSequence++};
  const bool full = Queue.size() >= Limits.Queue;
  if (full && (Queue.empty() || key.Worth <= Queue.rbegin()->first.Worth)) {
    return reject(ErrorCode::Overloaded, Queue.size());
  }
  // A request that would expire in the queue is refused at once, so that its
  // caller still has time to try elsewhere.
  const auto ahead = static_cast<std::size_t>(
      std::distance(Queue.begin(), Queue.lower_bound(key)));
  const double wait = Smoothed * static_cast<double>(ahead + 1) / Limit;
  if (wait > static_cast<double>((request.Deadline - now).count())) {
    return reject(ErrorCode::Overloaded, ahead);
  }
  Admission admission{Admitted::Queued, ErrorCode::Ok, {}, std::nullopt};
  if (full) {
    admission.Shed = dropLast();
    admission.RetryAfter = retryAfter(Queue.size());
  }
  Queue.emplace(key, Waiting{request.Id, request.Deadline});
  QueuedIds.emplace(request.Id, key);
  return admission;
}

void Gate::start(GateRequestId id) {
  Running.emplace(id, NextSequence++);
  Current.PeakInFlight = std::max(Current.PeakInFlight,
                                  static_cast<std::uint32_t>(Running.size()));
}

std::vector<GateRequestId> Gate::finish(GateRequestId id, ServerResult result,
                                        Duration latency, TimePoint now) {
  const auto it = Running.find(id);
  if (it == Running.end()) {
    return {};
  }
  const bool isCurrent = it->second >= LimitSince;
  Running.erase(it);
  if (result == ServerResult::ConnectionFailed) {
    connectionFailed(now);
  } else if (isCurrent) {
    learn(result, static_cast<double>(latency.count()), now);
  }
  return runQueued(now);
}

std::vector<GateRequestId> Gate::runQueued(TimePoint now) {
  std::vector<GateRequestId> ids;
  for (auto it = Queue.begin(); it != Queue.end() && Running.size() < Limit;) {
    if (it->second.Deadline <= now) {
      ++it; // Reported by expire().
      continue;
    }
    ids.push_back(it->second.Id);
    QueuedIds.erase(it->second.Id);
    it = Queue.erase(it);
    start(ids.back());
  }
  return ids;
}

void Gate::connectionFailed(TimePoint now) {
  // Requests that were in flight at one crash fail together and count once.
  if (now >= PausedUntil) {
    Pause = std::clamp(Pause * 2, Tuning.FirstPause, Tuning.MaxPause);
    PausedUntil = now + Pause;
  }
  // The server that comes back may be another version with another latency.
  std::fill(Levels.begin(), Levels.end(), 0.0);
  setLimit(Limits.ColdSlots);
}

void Gate::learn(ServerResult result, double latency, TimePoint now) {
  switch (result) {
  case ServerResult::Ok:
    Pause = Duration::zero();
    PausedUntil = std::min(PausedUntil, now);
    ++Current.Successes;
    Current.LatencySum += latency;
    learnLatency(latency);
    break;
  case ServerResult::TimedOut:
    ++Current.Failures;
    // The true latency is at least this.
    learnLatency(std::max(latency, Smoothed));
    break;
  case ServerResult::ServerError:
    // Says nothing about latency: errors are often fast.
    ++Current.Failures;
    break;
  case ServerResult::ConnectionFailed:
  case ServerResult::Cancelled:
    return;
  }
  const double base = baseline();
  if (Limit > Limits.ColdSlots && base > 0 && RecentCalls >= MinRecentCalls &&
      Smoothed > Tuning.ColdFactor * base) {
    setLimit(Limits.ColdSlots);
    return;
  }
  judgeWindow();
}

void Gate::learnLatency(double latency) {
  Smoothed = RecentCalls == 0
                 ? latency
                 : Smoothed + SmoothingWeight * (latency - Smoothed);
  ++RecentCalls;
}

void Gate::judgeWindow() {
  const auto calls = Current.Successes + Current.Failures;
  const auto needed = std::max(Tuning.MinWindow, Limit);
  if (calls < needed) {
    return;
  }
  const double failures = static_cast<double>(Current.Failures) / calls;
  if (failures >= Tuning.HalveFailures) {
    setLimit(std::max(Limits.ColdSlots, Limit / 2));
    return;
  }
  if (Current.Successes < needed) {
    return;
  }
  const double mean = Current.LatencySum / Current.Successes;
  const double base = baseline();
  const bool isUsed = Current.PeakInFlight >= Limit;
  updateBaseline(mean);
  Current = {};
  Current.PeakInFlight = static_cast<std::uint32_t>(Running.size());
  if (base > 0 && mean > Tuning.HalveFactor * base) {
    setLimit(std::max(Limits.ColdSlots, Limit / 2));
  } else if (isUsed && (base == 0 || mean <= Tuning.GrowFactor * base)) {
    // Only a limit that was reached has shown that the server can bear it.
    setLimit(std::min(Limits.Slots, Limit + 1));
  }
}

void Gate::setLimit(std::uint32_t limit) {
  if (limit == Limit) {
    return;
  }
  if (limit < Limit) {
    RecentCalls = 0;
  }
  LimitSince = NextSequence;
  Limit = limit;
  Current = {};
  Current.PeakInFlight = static_cast<std::uint32_t>(Running.size());
}

double Gate::baseline() const {
  double low = 0;
  for (const auto it : Levels) {
    low = it > 0 && (low == 0 || it < low) ? it : low;
  }
  return low;
}

void Gate::updateBaseline(double mean) {
  auto &own = Levels[std::min<std::size_t>(Limit, MaxLevels - 1)];
  if (own == 0) {
    own = mean;
    return;
  }
  if (mean <= own) {
    own += BaselineFall * (mean - own);
    return;
  }
  if (Limit > Limits.ColdSlots) {
    own += BaselineRise * (mean - own);
    return;
  }
  const double low = baseline();
  const double lift = 1 + ColdBaselineRise * std::max(0.0, mean / low - 1);
  for (auto &it : Levels) {
    it *= lift;
  }
}

Duration Gate::retryAfter(std::size_t ahead) const {
  const Duration wait(static_cast<Duration::rep>(
      Smoothed * static_cast<double>(ahead + 1) / Limit));
  return std::clamp(wait, MinRetryAfter, MaxRetryAfter);
}

std::vector<GateRequestId> Gate::expire(TimePoint now) {
  std::vector<GateRequestId> ids;
  for (auto it = Queue.begin(); it != Queue.end();) {
    if (it->second.Deadline > now) {
      ++it;
      continue;
    }
    ids.push_back(it->second.Id);
    QueuedIds.erase(it->second.Id);
    it = Queue.erase(it);
  }
  return ids;
}

std::optional<TimePoint> Gate::nextDeadline() const {
  std::optional<TimePoint> earliest;
  for (const auto &[key, waiting] : Queue) {
    earliest =
        earliest ? std::min(*earliest, waiting.Deadline) : waiting.Deadline;
  }
  return earliest;
}

bool Gate::cancel(GateRequestId id) {
  const auto it = QueuedIds.find(id);
  if (it == QueuedIds.end()) {
    return false;
  }
  Queue.erase(it->second);
  QueuedIds.erase(it);
  return true;
}

std::vector<GateRequestId> Gate::startLeaving() {
  Leaving = true;
  std::vector<GateRequestId> dropped;
  while (!Queue.empty()) {
    dropped.push_back(dropLast());
  }
  return dropped;
}

void Gate::stopLeaving() {
  Leaving = false;
  setLimit(Limits.ColdSlots);
}

GateState Gate::state() const {
  return {Limit, static_cast<std::uint32_t>(Running.size()),
          static_cast<std::uint32_t>(Queue.size()), Limit < Limits.Slots,
          Leaving};
}

Duration Gate::smoothedLatency() const {
  return Duration(static_cast<Duration::rep>(Smoothed));
}

} // namespace chivefold
