#include "chivefold/mesh/rollout_driver.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace chivefold {

namespace {

constexpr std::array<std::string_view, 4> ActionNames{"none", "set-share",
                                                      "complete", "roll-back"};

} // namespace

void OrderClock::record(const std::string &service, const StorePosition &order,
                        TimePoint orderedAt) {
  auto &known = Orders[service];
  if (known.OrderedAt == TimePoint{} || known.Order < order) {
    known = {order, orderedAt};
  } else if (known.Order == order) {
    known.OrderedAt = std::min(known.OrderedAt, orderedAt);
  }
}

void OrderClock::recordOrder(const RolloutOrder &order, TimePoint now) {
  record(order.Service, order.position(), now);
}

void OrderClock::recordProgress(const RolloutProgress &progress,
                                TimePoint now) {
  record(progress.Service, progress.orderPosition(), now - progress.Elapsed);
}

Duration OrderClock::elapsed(const RolloutOrder &order, TimePoint now) const {
  const auto it = Orders.find(order.Service);
  return it == Orders.end() || it->second.Order != order.position()
             ? Duration::zero()
             : now - it->second.OrderedAt;
}

std::string_view rolloutActionName(RolloutAction action) {
  return ActionNames[static_cast<std::size_t>(action)];
}

RolloutSettings shortRolloutSettings(const ExposureLimit &exposure) {
  RolloutSettings out;
  out.Exposure = exposure;
  // Single servers differ in speed by more than the means of two good versions
  // do; a slow version is slower by a larger factor.
  out.Test.LatencyFactor = 2.5;
  out.Test.MinLatencyCalls = 8;
  out.Test.ErrorMargin = 0.08;
  out.Test.ErrorFloor = 0.01;
  out.Test.GrossErrorMargin = 0.3;
  return out;
}

RolloutDriver::RolloutDriver(const RolloutSettings &settings)
    : Settings(settings), Budget(Settings.Exposure), Test(Settings.Test) {}

void RolloutDriver::updateBudget(TimePoint now, const RolloutView &view) {
  const auto sum = [](const std::vector<KindCounts> &counts) {
    return std::accumulate(counts.begin(), counts.end(), 0.0,
                           [](double n, const KindCounts &it) {
                             return n + static_cast<double>(it.Calls);
                           });
  };
  NewCalls = std::max(NewCalls, sum(view.NewCounts));
  Budget.update(now, sum(view.OldCounts) + NewCalls, NewCalls,
                static_cast<double>(view.ShareBasisPoints) / FullShare);
}

bool RolloutDriver::mayComplete(TimePoint now, const RolloutView &view) const {
  return view.ShareBasisPoints >= Settings.PreCompletionShare &&
         now >= LastShareSince + Settings.MinPreCompletionTime &&
         now >= view.OrderedAt + view.TimeAllowed - Settings.CompletionLead;
}

std::uint32_t RolloutDriver::testShare(TimePoint now,
                                       const RolloutView &view) const {
  if (Budget.rate() <= 0) {
    return Settings.InitialShare;
  }
  const auto deadline = view.OrderedAt + view.TimeAllowed;
  const auto fraction = Budget.fractionUntil(
      deadline - Settings.PreCompletionLead, deadline, now);
  return std::clamp(static_cast<std::uint32_t>(fraction * FullShare),
                    Settings.MinTestShare, Settings.MaxTestShare);
}

RolloutDecision RolloutDriver::nextShare(TimePoint now, const RolloutView &view,
                                         const std::string &evidence) const {
  const auto deadline = view.OrderedAt + view.TimeAllowed;
  if (view.ShareBasisPoints >= Settings.PreCompletionShare) {
    return {};
  }
  if (now >= deadline - Settings.PreCompletionLead) {
    return NewCalls >= Settings.MinTestCalls &&
                   Budget.coversFullTraffic(deadline, now)
               ? RolloutDecision{RolloutAction::SetShare,
                                 Settings.PreCompletionShare, evidence}
               : RolloutDecision{};
  }
  const auto newShare = testShare(now, view);
  const auto currentShare = static_cast<double>(view.ShareBasisPoints);
  const double difference = std::abs(newShare - currentShare);
  return difference > Settings.ShareTolerance * currentShare
             ? RolloutDecision{RolloutAction::SetShare, newShare, evidence}
             : RolloutDecision{};
}

bool RolloutDriver::affectsMostServers(const RolloutView &view) const {
  std::size_t measured = 0;
  std::size_t suspicious = 0;
  for (const auto &it : view.NewByHost) {
    const auto test = ServerTests.find(it.first);
    if (test == ServerTests.end() ||
        test->second.callsSinceRestart() < Settings.MinServerCalls) {
      continue;
    }
    ++measured;
    suspicious +=
        test->second.assess().Suspicion > Settings.MaxServerSuspicion ? 1 : 0;
  }
  return static_cast<double>(suspicious) > Settings.SuspiciousServerFraction *
                                               static_cast<double>(measured) ||
         measured == 0;
}

double RolloutDriver::suspicionExcludingWorstServer() const {
  double sum = 0;
  double worst = 0;
  for (const auto &it : ServerTests) {
    const double suspicion = std::max(0.0, it.second.assess().Suspicion);
    sum += suspicion;
    worst = std::max(worst, suspicion);
  }
  return sum - worst;
}

bool RolloutDriver::isVersionSuspect(double suspicion,
                                     const RolloutView &view) const {
  return suspicion > Settings.MaxSuspicion &&
         (affectsMostServers(view) ||
          suspicionExcludingWorstServer() > Settings.MaxSuspicion);
}

RolloutDecision RolloutDriver::tick(TimePoint now, const RolloutView &view) {
  if (view.ShareBasisPoints != LastShare || LastShareSince == TimePoint{}) {
    LastShare = view.ShareBasisPoints;
    LastShareSince = now;
  }
  updateBudget(now, view);
  Test.update(view.OldCounts, view.NewCounts);
  for (const auto &it : view.NewByHost) {
    if (ServerTests.size() < MaxServers || ServerTests.count(it.first) > 0) {
      ServerTests.try_emplace(it.first, Settings.Test)
          .first->second.update(view.OldCounts, it.second);
    }
  }
  const auto assessment = Test.assess();
  const bool suspect = isVersionSuspect(assessment.Suspicion, view);
  const bool deadlinePassed = now >= view.OrderedAt + view.TimeAllowed;
  if (suspect && (assessment.Result == TestVerdict::Bad || deadlinePassed)) {
    return {RolloutAction::RollBack, 0, assessment.Evidence};
  }
  if (view.ReadyServers == 0 || suspect) {
    return {};
  }
  if (mayComplete(now, view)) {
    return {RolloutAction::Complete, FullShare, assessment.Evidence};
  }
  return nextShare(now, view, assessment.Evidence);
}

} // namespace chivefold
