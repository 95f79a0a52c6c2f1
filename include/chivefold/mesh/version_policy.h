/**
 * @file
 * Traffic shares of the versions of a service.
 */
#ifndef CHIVEFOLD_MESH_VERSION_POLICY_H
#define CHIVEFOLD_MESH_VERSION_POLICY_H

#include "chivefold/mesh/operator_state.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivefold {

/** Phase of a rollout; Completed and RolledBack are final. */
enum class RolloutPhase : std::uint8_t { Running, Completed, RolledBack };

/** @return whether the rollout has ended. Thread-safe. */
bool isFinal(RolloutPhase phase);

/** @return "running", "completed" or "rolled-back". Thread-safe. */
std::string_view rolloutPhaseName(RolloutPhase phase);

/** Share of all requests, in 1/10,000. */
constexpr std::uint32_t FullShare = 10'000;

/** Agreed progress of one rollout, a record in the platform's store. */
struct RolloutProgress {
  std::string Service;
  std::string TargetVersion;
  /** Place and content of the order that the progress belongs to. */
  std::uint64_t OrderOffset = 0;
  std::uint64_t OrderEra = 0;
  std::uint64_t OrderDigest = 0;
  RolloutPhase Phase = RolloutPhase::Running;
  /** Share of the target version in 1/10,000. */
  std::uint32_t ShareBasisPoints = 0;
  /** Time since the order, from which another driver can take over. */
  Duration Elapsed{};
  /** Versions that were rolled back earlier and must receive no requests. */
  std::vector<std::string> Rejected;
  /** Version that was completed before this rollout; "" if there is none. */
  std::string BaseVersion;
  /** Place of the record in its stream, with the era in which its driver wrote
   * it; of two steps of one order, the one with the lower place is older. */
  std::uint64_t Offset = 0;
  std::uint64_t Era = 0;
  /** Where the end was first written; absent if that is this record. The first
   * end of an order holds, because the operator may have been told of it. */
  std::optional<StorePosition> FirstEnd;
  /** A rollback that is in force before it is agreed. */
  bool Provisional = false;

  StorePosition position() const { return {Era, Offset}; }
  StorePosition orderPosition() const { return {OrderEra, OrderOffset}; }
  StorePosition firstEnd() const { return FirstEnd.value_or(position()); }
};

/**
 * Determines the traffic shares of versions from the rollout orders and their
 * agreed progress. The target version of an order receives no requests until
 * progress assigns it a share. Without any order, the version that was recorded
 * as ready first receives all requests until its removal is recorded. Not
 * thread-safe.
 */
class VersionPolicy {
public:
  /** Maximum number of services for which progress is kept. */
  static constexpr std::size_t MaxServices = 1024;

  explicit VersionPolicy(const OperatorState &orders);

  /** Stores progress that is newer than the known one. A provisional rollback
   * is kept beside the agreed progress until its order has ended.
   * @return whether it was stored. */
  bool apply(const RolloutProgress &progress);

  /** Records that the version has a ready server; the first version of each
   * service is remembered. */
  void addReadyVersion(const std::string &service, const std::string &version);
  /** Records that the version no longer has a ready server. */
  void removeReadyVersion(const std::string &service,
                          const std::string &version);

  /** @return the share of @p version in 1/10,000: 0 for a rejected version, and
   * FullShare for a version that no rollout limits. */
  std::uint32_t share(std::string_view service, std::string_view version) const;

  /** Target version of a running rollout and its share. */
  struct Split {
    std::string Target;
    std::uint32_t ShareBasisPoints = 0;
  };
  /** @return the split, or nullopt if no rollout is running. */
  std::optional<Split> split(std::string_view service) const;

  /** @return whether the progress belongs to @p order or to a later one. */
  bool covers(const RolloutProgress &progress, const RolloutOrder &order) const;

  /** @return the agreed progress, or null if there is none. */
  const RolloutProgress *progress(std::string_view service) const;
  /** @return the provisional rollback, or null if there is none. */
  const RolloutProgress *provisionalRollback(std::string_view service) const;
  /** @return the agreed progress and provisional rollbacks of all services. */
  std::vector<RolloutProgress> allProgress() const;

private:
  /** Identifies an order across eras. */
  struct OrderId {
    StorePosition Place;
    std::uint64_t Digest = 0;
  };
  OrderId orderOf(const RolloutProgress &progress) const;
  bool isSameOrder(const OrderId &a, const OrderId &b) const;
  bool supersedes(const RolloutProgress &next,
                  const RolloutProgress &known) const;
  bool applyProvisional(const RolloutProgress &progress);
  /** @return the progress that decides the shares, or null. */
  const RolloutProgress *inForce(std::string_view service) const;
  const RolloutOrder *order(std::string_view service) const;
  bool isRejected(const RolloutProgress &progress,
                  std::string_view version) const;

  const OperatorState &Orders;
  std::map<std::string, RolloutProgress, std::less<>> Progress;
  /** Provisional rollbacks. */
  std::map<std::string, RolloutProgress, std::less<>> Rollbacks;
  std::map<std::string, std::string, std::less<>> FirstVersions;
};

} // namespace chivefold

#endif
