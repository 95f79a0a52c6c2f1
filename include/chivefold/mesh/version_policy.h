/**
 * @file
 * Which versions of a service may get requests, and in which share.
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

/** How far a rollout is; the last two are final. */
enum class RolloutPhase : std::uint8_t { Running, Completed, RolledBack };

/** @return "running", "completed" or "rolled-back". Thread-safe. */
std::string_view rolloutPhaseName(RolloutPhase phase);

constexpr std::uint32_t FullShare = 10'000;

/** The agreed progress of one rollout, a record in the platform's store. */
struct RolloutProgress {
  std::string Service;
  std::string TargetVersion;
  /** Order that it belongs to. */
  std::uint64_t OrderOffset = 0;
  RolloutPhase Phase = RolloutPhase::Running;
  /** Share of the target version in 1/10,000. */
  std::uint32_t ShareBasisPoints = 0;
  /** Time since the order, so that another driver can take over. */
  Duration Elapsed{};
  /** Earlier versions that were rolled back and must get nothing. */
  std::vector<std::string> Rejected;
  /** Version that was completed before this rollout; "" if none was. */
  std::string BaseVersion;
  /** Place of the record in its stream; progress with a lower one is older. */
  std::uint64_t Offset = 0;
};

/**
 * Shares of versions by the orders and their agreed progress. A version that an
 * order names gets nothing until progress gives it a share; without any order
 * the version that was seen first keeps all requests while it has servers. Not
 * thread-safe.
 */
class VersionPolicy {
public:
  /** Services whose progress is kept. */
  static constexpr std::size_t MaxServices = 1024;

  explicit VersionPolicy(const OperatorState &orders);

  /** @return whether the progress is newer than what is known. */
  bool apply(const RolloutProgress &progress);

  /** Notes a version that has a ready server; the first one is remembered. */
  void addReadyVersion(const std::string &service, const std::string &version);
  /** The version has no ready server any more. */
  void removeReadyVersion(const std::string &service,
                          const std::string &version);

  /** @return share of @p version in 1/10,000; FullShare for a version that
   * takes what the target leaves. */
  std::uint32_t share(std::string_view service, std::string_view version) const;

  /** @return the version that gets a part of the requests, with its share, if
   * a rollout runs. */
  struct Split {
    std::string Target;
    std::uint32_t ShareBasisPoints = 0;
  };
  std::optional<Split> split(std::string_view service) const;

  const RolloutProgress *progress(std::string_view service) const;
  std::vector<RolloutProgress> allProgress() const;

private:
  const RolloutOrder *order(std::string_view service) const;
  bool isRejected(const RolloutProgress &progress,
                  std::string_view version) const;

  const OperatorState &Orders;
  std::map<std::string, RolloutProgress, std::less<>> Progress;
  std::map<std::string, std::string, std::less<>> FirstVersions;
};

} // namespace chivefold

#endif
