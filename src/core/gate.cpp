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

/** Weight of the newest call in the smoothed latency, which covers about the
 * last 9 calls. */
constexpr double SmoothingWeight = 0.2;
/** Minimum number of calls since the last decrease of the limit before the
 * smoothed latency is compared with the baseline. */
constexpr std::uint32_t MinCallsAfterChange = 5;
/** A baseline follows lower window means faster than higher ones, so that it
 * converges to a low percentile of them. */
constexpr double BaselineFallWeight = 0.1;
constexpr double BaselineRiseWeight = 0.02;
/** At the cold limit, load cannot cause a higher latency. The baseline
 * therefore adapts within about 30 windows to a server that has become
 * permanently slower.
 */
constexpr double ColdBaselineRiseWeight = 0.05;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(20);
constexpr Duration MaxRetryAfter = std::chrono::milliseconds(1000);

ServerLimits clampLimits(ServerLimits limits) {
  // Each running request uses its own connection.
  limits.Slots = std::clamp(limits.Slots, 1U, std::max(1U, limits.Connections));
  limits.ColdSlots = std::clamp(limits.ColdSlots, 1U, limits.Slots);
  return limits;
}

} // namespace

std::string_view serverResultName(ServerResult r) {
  return ServerResultNames.name(r);
}

Gate::Gate(const ServerLimits &limits, const GateTuning &tuning)
    : Limits(clampLimits(limits)), Tuning(tuning), Limit(Limits.ColdSlots),
      Baselines(MaxBaselines, 0.0) {}

std::vector<GateRequestId> Gate::setLimits(const ServerLimits &limits) {
  Limits = clampLimits(limits);
  setLimit(std::clamp(Limit, Limits.ColdSlots, Limits.Slots));
  std::vector<GateRequestId> dropped;
  while (Queue.size() > Limits.Queue) {
    dropped.push_back(evictLast());
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
  if (now < BackOffUntil) {
    auto refusal = reject(ErrorCode::ConnectionFailed, 0);
    refusal.RetryAfter = BackOffUntil - now;
    return refusal;
  }
  if (Running.size() < Limit && Queue.empty()) {
    start(request.Id);
    return {};
  }
  return enqueue(request, now);
}

Admission Gate::reject(ErrorCode code, std::size_t ahead) const {
  return {AdmissionKind::Rejected, code, retryAfter(ahead), std::nullopt};
}

GateRequestId Gate::evictLast() {
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
  // A request that would expire in the queue is rejected immediately, so that
  // its caller has time to try another server.
  const auto ahead = static_cast<std::size_t>(
      std::distance(Queue.begin(), Queue.lower_bound(key)));
  const double wait =
      SmoothedLatencyUs * static_cast<double>(ahead + 1) / Limit;
  if (wait > static_cast<double>((request.Deadline - now).count())) {
    return reject(ErrorCode::Overloaded, ahead);
  }
  Admission admission{AdmissionKind::Queued, ErrorCode::Ok, {}, std::nullopt};
  if (full) {
    admission.Shed = evictLast();
    admission.RetryAfter = retryAfter(Queue.size());
  }
  Queue.emplace(key, QueuedRequest{request.Id, request.Deadline});
  QueuedIds.emplace(request.Id, key);
  return admission;
}

void Gate::start(GateRequestId id) {
  Running.emplace(id, NextSequence++);
  CurrentWindow.PeakInFlight = std::max(
      CurrentWindow.PeakInFlight, static_cast<std::uint32_t>(Running.size()));
}

std::vector<GateRequestId> Gate::finish(GateRequestId id, ServerResult result,
                                        Duration latency, TimePoint now) {
  const auto it = Running.find(id);
  if (it == Running.end()) {
    return {};
  }
  const bool ranUnderLimit = it->second >= LimitSetAt;
  Running.erase(it);
  if (result == ServerResult::ConnectionFailed) {
    connectionFailed(now);
  } else if (ranUnderLimit) {
    recordResult(result, static_cast<double>(latency.count()), now);
  }
  return runQueued(now);
}

std::vector<GateRequestId> Gate::runQueued(TimePoint now) {
  std::vector<GateRequestId> ids;
  for (auto it = Queue.begin(); it != Queue.end() && Running.size() < Limit;) {
    if (it->second.Deadline <= now) {
      ++it; // Removed and reported by expire().
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
  // Requests in flight when the server crashes fail together and extend the
  // back-off only once.
  if (now >= BackOffUntil) {
    BackOff = std::clamp(BackOff * 2, Tuning.InitialBackOff, Tuning.MaxBackOff);
    BackOffUntil = now + BackOff;
  }
  // The restarted server may have another version with a different latency.
  std::fill(Baselines.begin(), Baselines.end(), 0.0);
  setLimit(Limits.ColdSlots);
}

void Gate::recordResult(ServerResult result, double latency, TimePoint now) {
  switch (result) {
  case ServerResult::Ok:
    BackOff = Duration::zero();
    BackOffUntil = std::min(BackOffUntil, now);
    ++CurrentWindow.Successes;
    CurrentWindow.LatencySum += latency;
    updateSmoothedLatency(latency);
    break;
  case ServerResult::TimedOut:
    ++CurrentWindow.Failures;
    // The real latency is at least the measured time.
    updateSmoothedLatency(std::max(latency, SmoothedLatencyUs));
    break;
  case ServerResult::ServerError:
    // Not used for the latency, since errors are often fast.
    ++CurrentWindow.Failures;
    break;
  case ServerResult::ConnectionFailed:
  case ServerResult::Cancelled:
    return;
  }
  const double base = baseline();
  if (Limit > Limits.ColdSlots && base > 0 &&
      RecentCalls >= MinCallsAfterChange &&
      SmoothedLatencyUs > Tuning.ColdFactor * base) {
    setLimit(Limits.ColdSlots);
    return;
  }
  evaluateWindow();
}

void Gate::updateSmoothedLatency(double latency) {
  SmoothedLatencyUs =
      RecentCalls == 0
          ? latency
          : SmoothedLatencyUs + SmoothingWeight * (latency - SmoothedLatencyUs);
  ++RecentCalls;
}

void Gate::evaluateWindow() {
  const auto calls = CurrentWindow.Successes + CurrentWindow.Failures;
  const auto needed = std::max(Tuning.MinWindow, Limit);
  if (calls < needed) {
    return;
  }
  const double failures = static_cast<double>(CurrentWindow.Failures) / calls;
  if (failures >= Tuning.HalveFailures) {
    setLimit(std::max(Limits.ColdSlots, Limit / 2));
    return;
  }
  if (CurrentWindow.Successes < needed) {
    return;
  }
  const double mean = CurrentWindow.LatencySum / CurrentWindow.Successes;
  const double base = baseline();
  const bool isLimitReached = CurrentWindow.PeakInFlight >= Limit;
  updateBaseline(mean);
  CurrentWindow = {};
  CurrentWindow.PeakInFlight = static_cast<std::uint32_t>(Running.size());
  if (base > 0 && mean > Tuning.HalveFactor * base) {
    setLimit(std::max(Limits.ColdSlots, Limit / 2));
  } else if (isLimitReached &&
             (base == 0 || mean <= Tuning.GrowFactor * base)) {
    // The limit grows only if it was reached, since otherwise the calls do not
    // show that the server can handle it.
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
  LimitSetAt = NextSequence;
  Limit = limit;
  CurrentWindow = {};
  CurrentWindow.PeakInFlight = static_cast<std::uint32_t>(Running.size());
}

double Gate::baseline() const {
  double lowest = 0;
  for (const auto it : Baselines) {
    lowest = it > 0 && (lowest == 0 || it < lowest) ? it : lowest;
  }
  return lowest;
}

void Gate::updateBaseline(double mean) {
  auto &levelBaseline =
      Baselines[std::min<std::size_t>(Limit, MaxBaselines - 1)];
  if (levelBaseline == 0) {
    levelBaseline = mean;
    return;
  }
  if (mean <= levelBaseline) {
    levelBaseline += BaselineFallWeight * (mean - levelBaseline);
    return;
  }
  if (Limit > Limits.ColdSlots) {
    levelBaseline += BaselineRiseWeight * (mean - levelBaseline);
    return;
  }
  const double lowest = baseline();
  const double scale =
      1 + ColdBaselineRiseWeight * std::max(0.0, mean / lowest - 1);
  for (auto &it : Baselines) {
    it *= scale;
  }
}

Duration Gate::retryAfter(std::size_t ahead) const {
  const Duration wait(static_cast<Duration::rep>(
      SmoothedLatencyUs * static_cast<double>(ahead + 1) / Limit));
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
    dropped.push_back(evictLast());
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
  return Duration(static_cast<Duration::rep>(SmoothedLatencyUs));
}

} // namespace chivefold
