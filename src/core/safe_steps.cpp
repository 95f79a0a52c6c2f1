#include "chivefold/core/safe_steps.h"

#include "chivefold/core/enum_names.h"

#include <algorithm>

namespace chivefold {
namespace {

constexpr EnumNames<SafeStepKind, 2> SafeStepNames{{{
    {SafeStepKind::TakeBack, "take-back"},
    {SafeStepKind::TakeOut, "take-out"},
}}};

template <class Map, class Predicate>
void eraseIf(Map &map, const Predicate &predicate) {
  for (auto it = map.begin(); it != map.end();) {
    it = predicate(it->second) ? map.erase(it) : std::next(it);
  }
}

} // namespace

std::string_view safeStepName(SafeStepKind kind) {
  return SafeStepNames.name(kind);
}

std::optional<SafeStepKind> safeStepFromName(std::string_view name) {
  return SafeStepNames.value(name);
}

bool SafeSteps::isSuperseded(const SafeStep &step) const {
  if (step.Kind == SafeStepKind::TakeOut) {
    const auto *dc = State.dataCentre(step.Subject);
    return dc != nullptr && dc->Offset > step.AfterOffset;
  }
  const auto *m = State.move(step.Subject);
  if (m == nullptr) {
    return State.applied() >= step.Move;
  }
  return m->Move > step.Move || (m->Move == step.Move && m->Ended);
}

bool SafeSteps::merge(SafeStep step) {
  if (step.Subject.size() > MaxSubjectBytes) {
    return false;
  }
  step.Reason.resize(std::min(step.Reason.size(), MaxReasonBytes));
  if (isSuperseded(step)) {
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
  if (size() >= MaxSteps) {
    return false;
  }
  const auto subject = step.Subject;
  steps.emplace(subject, std::move(step));
  return true;
}

void SafeSteps::prune() {
  const auto obsolete = [&](const SafeStep &s) { return isSuperseded(s); };
  eraseIf(TakeBacks, obsolete);
  eraseIf(TakeOuts, obsolete);
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
         (it != TakeOuts.end() && !isSuperseded(it->second));
}

std::vector<SafeStep> SafeSteps::steps() const {
  std::vector<SafeStep> all;
  for (const auto &it : TakeBacks) {
    all.push_back(it.second);
  }
  for (const auto &it : TakeOuts) {
    all.push_back(it.second);
  }
  return all;
}

} // namespace chivefold
