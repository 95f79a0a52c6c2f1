#include "chivefold/mesh/version_policy.h"

#include <algorithm>

namespace chivefold {

namespace {

constexpr std::array<std::string_view, 3> PhaseNames{"running", "completed",
                                                     "rolled-back"};

} // namespace

bool isFinal(RolloutPhase phase) { return phase != RolloutPhase::Running; }

std::string_view rolloutPhaseName(RolloutPhase phase) {
  return PhaseNames[static_cast<std::size_t>(phase)];
}

VersionPolicy::VersionPolicy(const OperatorState &orders) : Orders(orders) {}

bool VersionPolicy::apply(const RolloutProgress &progress) {
  if (progress.Provisional) {
    return applyProvisional(progress);
  }
  const auto it = Progress.find(progress.Service);
  if (it == Progress.end() && Progress.size() >= MaxServices) {
    return false;
  }
  if (it != Progress.end() && !supersedes(progress, it->second)) {
    return false;
  }
  Progress[progress.Service] = progress;
  const auto rollback = Rollbacks.find(progress.Service);
  if (rollback != Rollbacks.end() &&
      (isFinal(progress.Phase) ||
       !isSameOrder(orderOf(rollback->second), orderOf(progress)))) {
    Rollbacks.erase(rollback);
  }
  return true;
}

VersionPolicy::OrderId
VersionPolicy::orderOf(const RolloutProgress &progress) const {
  return {Orders.history().place(progress.orderPosition()),
          progress.OrderDigest};
}

// An order that the store has lost is written again with the same content, at
// another place of a later era.
bool VersionPolicy::isSameOrder(const OrderId &a, const OrderId &b) const {
  if (a.Place == b.Place) {
    return true;
  }
  const auto &lower = std::min(a.Place, b.Place);
  return a.Digest == b.Digest && a.Place.Era != b.Place.Era &&
         (a.Place.Offset == b.Place.Offset || Orders.history().isLost(lower));
}

bool VersionPolicy::covers(const RolloutProgress &progress,
                           const RolloutOrder &order) const {
  const OrderId ordered{Orders.history().place(order.position()), order.Digest};
  const auto known = orderOf(progress);
  return isSameOrder(known, ordered) || ordered.Place < known.Place;
}

bool VersionPolicy::supersedes(const RolloutProgress &next,
                               const RolloutProgress &known) const {
  const auto nextOrder = orderOf(next);
  const auto knownOrder = orderOf(known);
  if (!isSameOrder(nextOrder, knownOrder)) {
    return knownOrder.Place < nextOrder.Place;
  }
  if (isFinal(next.Phase) != isFinal(known.Phase)) {
    return isFinal(next.Phase);
  }
  if (next.Phase != known.Phase) {
    return next.firstEnd() < known.firstEnd();
  }
  return known.position() < next.position();
}

bool VersionPolicy::applyProvisional(const RolloutProgress &progress) {
  const auto *agreed = this->progress(progress.Service);
  const auto *known = provisionalRollback(progress.Service);
  const auto isOver = [&](const RolloutProgress &other) {
    const auto order = orderOf(progress);
    const auto otherOrder = orderOf(other);
    return isSameOrder(order, otherOrder) ? isFinal(other.Phase)
                                          : order.Place < otherOrder.Place;
  };
  if (agreed == nullptr || isOver(*agreed) ||
      (known != nullptr && isOver(*known))) {
    return false;
  }
  Rollbacks[progress.Service] = progress;
  return true;
}

void VersionPolicy::addReadyVersion(const std::string &service,
                                    const std::string &version) {
  if (FirstVersions.size() < MaxServices) {
    FirstVersions.emplace(service, version);
  }
}

void VersionPolicy::removeReadyVersion(const std::string &service,
                                       const std::string &version) {
  const auto it = FirstVersions.find(service);
  if (it != FirstVersions.end() && it->second == version) {
    FirstVersions.erase(it);
  }
}

const RolloutOrder *VersionPolicy::order(std::string_view service) const {
  const auto it = Orders.rollouts().find(service);
  return it == Orders.rollouts().end() ? nullptr : &it->second;
}

const RolloutProgress *VersionPolicy::progress(std::string_view service) const {
  const auto it = Progress.find(service);
  return it == Progress.end() ? nullptr : &it->second;
}

const RolloutProgress *
VersionPolicy::provisionalRollback(std::string_view service) const {
  const auto it = Rollbacks.find(service);
  return it == Rollbacks.end() ? nullptr : &it->second;
}

const RolloutProgress *VersionPolicy::inForce(std::string_view service) const {
  const auto *rollback = provisionalRollback(service);
  return rollback != nullptr ? rollback : progress(service);
}

std::vector<RolloutProgress> VersionPolicy::allProgress() const {
  std::vector<RolloutProgress> out;
  for (const auto *from : {&Progress, &Rollbacks}) {
    for (const auto &it : *from) {
      out.push_back(it.second);
    }
  }
  return out;
}

bool VersionPolicy::isRejected(const RolloutProgress &progress,
                               std::string_view version) const {
  return (progress.Phase == RolloutPhase::RolledBack &&
          progress.TargetVersion == version) ||
         std::find(progress.Rejected.begin(), progress.Rejected.end(),
                   version) != progress.Rejected.end();
}

std::uint32_t VersionPolicy::share(std::string_view service,
                                   std::string_view version) const {
  const auto *ordered = order(service);
  const auto *known = inForce(service);
  if (known != nullptr && isRejected(*known, version)) {
    return 0;
  }
  if (ordered != nullptr && (known == nullptr || !covers(*known, *ordered)) &&
      version == ordered->TargetVersion) {
    return 0;
  }
  if (known != nullptr) {
    const bool target = version == known->TargetVersion;
    switch (known->Phase) {
    case RolloutPhase::Running:
      return target ? known->ShareBasisPoints
                    : FullShare - known->ShareBasisPoints;
    case RolloutPhase::Completed:
      return target ? FullShare : 0;
    case RolloutPhase::RolledBack:
      return FullShare;
    }
  }
  if (ordered != nullptr) {
    return FullShare;
  }
  const auto first = FirstVersions.find(service);
  return first == FirstVersions.end() || first->second == version ? FullShare
                                                                  : 0;
}

std::optional<VersionPolicy::Split>
VersionPolicy::split(std::string_view service) const {
  const auto *known = inForce(service);
  if (known == nullptr || known->Phase != RolloutPhase::Running) {
    return std::nullopt;
  }
  const auto *ordered = order(service);
  if (ordered != nullptr && !covers(*known, *ordered)) {
    return std::nullopt;
  }
  return Split{known->TargetVersion, known->ShareBasisPoints};
}

} // namespace chivefold
