/**
 * @file
 * Controls the traffic share of the new version during one rollout.
 */
#ifndef CHIVEFOLD_MESH_ROLLOUT_DRIVER_H
#define CHIVEFOLD_MESH_ROLLOUT_DRIVER_H

#include "chivefold/core/sequential_test.h"
#include "chivefold/core/types.h"
#include "chivefold/mesh/exposure_budget.h"
#include "chivefold/mesh/version_policy.h"

#include <map>
#include <string>
#include <vector>

namespace chivefold {

/**
 * Time since each rollout order was given. The time is only known as far as
 * this daemon observed it: a daemon that started after the order continues from
 * the elapsed time in the agreed progress. Not thread-safe.
 */
class OrderClock {
public:
  /** Records that an order is in force. The earliest record of an order counts.
   */
  void recordOrder(const RolloutOrder &order, TimePoint now);

  /** Records the elapsed time that agreed progress states. */
  void recordProgress(const RolloutProgress &progress, TimePoint now);

  /** @return time since @p order; zero if the order was not recorded. */
  Duration elapsed(const RolloutOrder &order, TimePoint now) const;

private:
  /** Latest time at which the order can have been given. */
  struct OrderTime {
    StorePosition Order;
    TimePoint OrderedAt{};
  };
  void record(const std::string &service, const StorePosition &order,
              TimePoint orderedAt);

  /** Key: service. Bounded by the number of stored orders and progress records.
   */
  std::map<std::string, OrderTime> Orders;
};

/** Parameters of RolloutDriver. Shares are in 1/10,000 of the requests. */
struct RolloutSettings {
  ExposureLimit Exposure;
  /** Share before the request rate is known. */
  std::uint32_t InitialShare = 300;
  /** Bounds of the share while the version is tested. */
  std::uint32_t MinTestShare = 100;
  std::uint32_t MaxTestShare = 1500;
  /** Relative difference above which the test share is changed. */
  double ShareTolerance = 0.3;
  /** Share shortly before completion. It is less than FullShare, so that the
   * old version still takes requests that failed on the new one. */
  std::uint32_t PreCompletionShare = 9500;
  /** Time before the deadline at which the version receives PreCompletionShare,
   * if the exposure limit covers that share up to the deadline. The check is
   * needed because a version that fails only under full load may be detected
   * too late. */
  Duration PreCompletionLead = std::chrono::milliseconds(850);
  /** Minimum time at PreCompletionShare before completion, in which all daemons
   * learn of the share and requests on the old version finish. */
  Duration MinPreCompletionTime = std::chrono::milliseconds(250);
  /** Time before the deadline at which the rollout is completed, so that a
   * write that must be repeated is still in time. */
  Duration CompletionLead = std::chrono::milliseconds(600);
  /** Suspicion of the version (1 means bad) above which the share is not
   * changed and the rollout is not completed, but rolled back at its deadline.
   */
  double MaxSuspicion = 0.3;
  /** Suspicion above which a single server counts as suspicious. It is lower
   * than MaxSuspicion because one server has only a part of the evidence. */
  double MaxServerSuspicion = 0.2;
  /** Fraction of the measured servers of which more must be suspicious before
   * the version is; a few servers may be slow or fail for reasons of their own.
   */
  double SuspiciousServerFraction = 0.5;
  /** Calls of the new version required before PreCompletionShare. */
  double MinTestCalls = 12;
  /** Calls from which a server counts as measured. */
  double MinServerCalls = 4;
  SequentialTestSettings Test;
};

/** @return settings for rollouts of a few seconds. The thresholds allow for
 * servers of one service that differ in speed and for cold starts of new ones.
 */
RolloutSettings shortRolloutSettings(const ExposureLimit &exposure = {});

/** Input of a driver decision. */
struct RolloutView {
  /** Time of the order, as far as this daemon knows it. */
  TimePoint OrderedAt{};
  Duration TimeAllowed{};
  std::uint32_t ShareBasisPoints = 0;
  /** Reachable servers of the target version that accept requests. */
  unsigned ReadyServers = 0;
  std::vector<KindCounts> OldCounts;
  std::vector<KindCounts> NewCounts;
  /** NewCounts split by the host of the server. */
  std::map<Address, std::vector<KindCounts>> NewByHost;
};

enum class RolloutAction : std::uint8_t { None, SetShare, Complete, RollBack };

/** @return "none", "set-share", "complete" or "roll-back". Thread-safe. */
std::string_view rolloutActionName(RolloutAction action);

struct RolloutDecision {
  RolloutAction Action = RolloutAction::None;
  std::uint32_t ShareBasisPoints = 0;
  /** Evidence on which the decision is based. */
  std::string Evidence;
};

/**
 * Controls one rollout order. Tests the version at the share that the exposure
 * limit allows, sends it nearly all requests shortly before the deadline if the
 * evidence allows that, and rolls it back as soon as the sequential test finds
 * it bad on most of its servers. Handles versions that fail or slow down at
 * once, later, under load or on one route, and good versions of which one
 * server is slow. One object for each order. Not thread-safe.
 */
class RolloutDriver {
public:
  /** Maximum number of servers for which separate evidence is kept. */
  static constexpr std::size_t MaxServers = 64;

  explicit RolloutDriver(const RolloutSettings &settings);

  /** Returns the next step. To be called a few times per second; a decision is
   * repeated until the view shows its effect. */
  RolloutDecision tick(TimePoint now, const RolloutView &view);

private:
  void updateBudget(TimePoint now, const RolloutView &view);
  bool mayComplete(TimePoint now, const RolloutView &view) const;
  /** @return the share that the exposure limit allows before
   * PreCompletionLead. */
  std::uint32_t testShare(TimePoint now, const RolloutView &view) const;
  RolloutDecision nextShare(TimePoint now, const RolloutView &view,
                            const std::string &evidence) const;
  /** @return whether most measured servers are suspicious, or no server is
   * measured. */
  bool affectsMostServers(const RolloutView &view) const;
  /** @return the sum of the servers' suspicions without the highest one. With a
   * small share, each of many servers has little evidence, so the sum is used;
   * the worst server is left out because it may be the only faulty one. */
  double suspicionExcludingWorstServer() const;
  /** @return whether the evidence is against the version and not against a
   * single server. */
  bool isVersionSuspect(double suspicion, const RolloutView &view) const;

  RolloutSettings Settings;
  ExposureBudget Budget;
  SequentialTest Test;
  /** Separate tests of each server of the new version. */
  std::map<Address, SequentialTest> ServerTests;
  std::uint32_t LastShare = 0;
  TimePoint LastShareSince{};
  double NewCalls = 0;
};

} // namespace chivefold

#endif
