#include "chivefold/mesh/rollout_driver.h"

#include <algorithm>
#include <array>

namespace chivefold {

namespace {

constexpr std::array<std::string_view, 4> ActionNames{"none", "set-share",
                                                      "complete", "roll-back"};

} // namespace

void OrderClock::note(const std::string &service, std::uint64_t order,
                      TimePoint given) {
  auto &known = Orders[service];
  if (known.At == TimePoint{} || known.OrderOffset < order) {
    known = {order, given};
  } else if (known.OrderOffset == order) {
    known.At = std::min(known.At, given);
  }
}

void OrderClock::sawOrder(const RolloutOrder &order, TimePoint now) {
  note(order.Service, order.Offset, now);
}

void OrderClock::sawProgress(const RolloutProgress &progress, TimePoint now) {
  note(progress.Service, progress.OrderOffset, now - progress.Elapsed);
}

Duration OrderClock::elapsed(const RolloutOrder &order, TimePoint now) const {
  const auto it = Orders.find(order.Service);
  return it == Orders.end() || it->second.OrderOffset != order.Offset
             ? Duration::zero()
             : now - it->second.At;
}

std::string_view rolloutActionName(RolloutAction action) {
  return ActionNames[static_cast<std::size_t>(action)];
}

RolloutSettings quickRolloutSettings() {
  RolloutSettings out;
  // Servers differ in speed by up to three times; a slow version is slower by
  // more than that.
  out.Test.LatencyFactor = 3.5;
  out.Test.MinLatencyCalls = 8;
  out.Test.ErrorMargin = 0.08;
  out.Test.ErrorFloor = 0.01;
  out.Test.GrossErrorMargin = 0.3;
  return out;
}

RolloutDriver::RolloutDriver(RolloutSettings settings)
    : Settings(std::move(settings)), Test(Settings.Test) {}

double RolloutDriver::elapsedPart(TimePoint now,
                                  const RolloutView &view) const {
  const auto allowed = std::max<std::int64_t>(view.TimeAllowed.count(), 1);
  return static_cast<double>((now - view.OrderedAt).count()) /
         static_cast<double>(allowed);
}

bool RolloutDriver::mayComplete(TimePoint now, const RolloutView &view) const {
  return view.ShareBasisPoints == FullShare &&
         now >= ShareSince + Settings.FullShareTime &&
         elapsedPart(now, view) >= Settings.CompleteFrom;
}

// Whether the evidence comes from most of the servers that have shown the
// version.
bool RolloutDriver::isShared(const RolloutView &view) const {
  std::size_t showing = 0;
  std::size_t suspicious = 0;
  for (const auto &it : view.NewByHost) {
    const auto test = ServerTests.find(it.first);
    if (test == ServerTests.end() ||
        test->second.callsSinceRestart() < Settings.MinServerCalls) {
      continue;
    }
    ++showing;
    suspicious +=
        test->second.assess().Suspicion > Settings.MaxServerSuspicion ? 1 : 0;
  }
  return static_cast<double>(suspicious) >
             Settings.SuspiciousPart * static_cast<double>(showing) ||
         showing == 0;
}

RolloutDecision RolloutDriver::tick(TimePoint now, const RolloutView &view) {
  if (view.ShareBasisPoints != SeenShare || ShareSince == TimePoint{}) {
    SeenShare = view.ShareBasisPoints;
    ShareSince = now;
    Test.restart();
  }
  Test.update(view.OldCounts, view.NewCounts);
  for (const auto &it : view.NewByHost) {
    if (ServerTests.size() < MaxServers || ServerTests.count(it.first) > 0) {
      ServerTests.try_emplace(it.first, Settings.Test)
          .first->second.update(view.OldCounts, it.second);
    }
  }
  const auto assessment = Test.assess();
  const bool shared = isShared(view);
  if (assessment.Result == TestVerdict::Bad && shared) {
    return {RolloutAction::RollBack, 0, assessment.Evidence};
  }
  if (view.AbleServers == 0 ||
      (shared && assessment.Suspicion > Settings.MaxSuspicion)) {
    return {};
  }
  if (mayComplete(now, view)) {
    return {RolloutAction::Complete, FullShare, assessment.Evidence};
  }
  const bool seenEnough = view.ShareBasisPoints == 0 ||
                          Test.callsSinceRestart() >= Settings.MinStepCalls;
  for (const auto &it : Settings.Steps) {
    if (it.ShareBasisPoints > view.ShareBasisPoints) {
      if (seenEnough && elapsedPart(now, view) >= it.From) {
        return {RolloutAction::SetShare, it.ShareBasisPoints,
                assessment.Evidence};
      }
      break;
    }
  }
  return {};
}

} // namespace chivefold
