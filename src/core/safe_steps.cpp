#include "chivefold/core/safe_steps.h"

#include "chivefold/core/enum_names.h"

#include <algorithm>

namespace chivefold {
namespace {

constexpr EnumNames<SafeStepKind, 3> SafeStepNames{{{
    {SafeStepKind::TakeBack, "take-back"},
    {SafeStepKind::TakeOut, "take-out"},
    {SafeStepKind::Quarantine, "quarantine"},
}}};

template <class Map, class Drop> void eraseIf(Map &map, const Drop &drop) {
  for (auto it = map.begin(); it != map.end();) {
    it = drop(it->second) ? map.erase(it) : std::next(it);
  }
}

} // namespace

std::string_view safeStepName(SafeStepKind kind) {
  return SafeStepNames.name(kind);
}

std::optional<SafeStepKind> safeStepFromName(std::string_view name) {
  return SafeStepNames.value(name);
}

bool SafeSteps::superseded(const SafeStep &step) const {
  if (step.Kind == SafeStepKind::TakeOut) {
    const auto *dc = State.dataCentre(step.Subject);
    return dc != nullptr && dc->Offset > step.AfterOffset;
  }
  if (step.Kind == SafeStepKind::TakeBack) {
    const auto *m = State.move(step.Subject);
    if (m == nullptr) {
      return State.applied() >= step.Move;
    }
    return m->Move > step.Move || (m->Move == step.Move && m->Ended);
  }
  return false;
}

bool SafeSteps::merge(SafeStep step, TimePoint now) {
  if (step.Subject.size() > MaxSubjectBytes) {
    return false;
  }
  step.Reason.resize(std::min(step.Reason.size(), MaxReasonBytes));
  if (step.Kind == SafeStepKind::Quarantine) {
    return mergeQuarantine(step, now);
  }
  if (superseded(step)) {
    return false;
  }
  auto &steps = step.Kind == SafeStepKind::TakeBack ? TakeBacks : TakeOuts;
  const auto it = steps.find(step.Subject);
  if (it != steps.end()) {
    const bool newer = step.Move > it->second.Move ||
                       step.AfterOffset > it->second.AfterOffset;
    if (newer) {
      it->second = std::move(step);
    }
    return newer;
  }
  if (!makeRoom()) {
    return false;
  }
  const auto subject = step.Subject;
  steps.emplace(subject, std::move(step));
  return true;
}

bool SafeSteps::mergeQuarantine(const SafeStep &step, TimePoint now) {
  const auto it = Quarantines.find(step.RequestDigest);
  if (it == Quarantines.end()) {
    if (!makeRoom()) {
      return false;
    }
  } else if (it->second.Step.Count >= step.Count) {
    return false;
  }
  Quarantines[step.RequestDigest] = {step, now + QuarantineTime,
                                     now + QuarantineMemory};
  return true;
}

bool SafeSteps::makeRoom() {
  if (size() < MaxSteps) {
    return true;
  }
  const auto first = std::min_element(Quarantines.begin(), Quarantines.end(),
                                      [](const auto &a, const auto &b) {
                                        return a.second.Until < b.second.Until;
                                      });
  if (first == Quarantines.end()) {
    return false;
  }
  Quarantines.erase(first);
  return true;
}

void SafeSteps::prune(TimePoint now) {
  const auto old = [&](const SafeStep &s) { return superseded(s); };
  eraseIf(TakeBacks, old);
  eraseIf(TakeOuts, old);
  eraseIf(Quarantines,
          [&](const QuarantineEntry &q) { return q.ForgetAt <= now; });
}

std::uint32_t SafeSteps::shareOf(std::string_view service) const {
  const auto *m = State.move(service);
  if (m == nullptr || m->Ended) {
    return 0;
  }
  const auto it = TakeBacks.find(service);
  const bool takenBack = it != TakeBacks.end() && it->second.Move == m->Move;
  return takenBack ? 0 : m->ShareBasisPoints;
}

bool SafeSteps::isTakenOut(std::string_view dataCentre) const {
  const auto it = TakeOuts.find(dataCentre);
  return State.takenOut(dataCentre) ||
         (it != TakeOuts.end() && !superseded(it->second));
}

bool SafeSteps::isQuarantined(std::uint64_t digest, TimePoint now) const {
  const auto it = Quarantines.find(digest);
  return it != Quarantines.end() && it->second.Step.Count >= QuarantineCount &&
         now < it->second.Until;
}

std::vector<SafeStep> SafeSteps::steps(TimePoint now) const {
  std::vector<SafeStep> all;
  for (const auto &it : TakeBacks) {
    all.push_back(it.second);
  }
  for (const auto &it : TakeOuts) {
    all.push_back(it.second);
  }
  for (const auto &it : Quarantines) {
    if (now < it.second.Until) {
      all.push_back(it.second.Step);
    }
  }
  return all;
}

} // namespace chivefold
