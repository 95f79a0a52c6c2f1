/**
 * @file
 * Decides the steps of one rollout.
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
 * Time since each order was given, as far as this daemon can tell. A daemon
 * that started later goes on from the time in the agreed progress. Not
 * thread-safe.
 */
class OrderClock {
public:
  /** Notes that an order is in force; earlier notes of the order count. */
  void recordOrder(const RolloutOrder &order, TimePoint now);

  /** Notes agreed progress and the time since its order that it states. */
  void recordProgress(const RolloutProgress &progress, TimePoint now);

  Duration elapsed(const RolloutOrder &order, TimePoint now) const;

private:
  /** Latest time at which the order can have been given. */
  struct OrderTime {
    std::uint64_t OrderOffset = 0;
    TimePoint OrderedAt{};
  };
  void record(const std::string &service, std::uint64_t order,
              TimePoint orderedAt);

  /** By service; bounded by the orders and the progress that are kept. */
  std::map<std::string, OrderTime> Orders;
};

struct RolloutSettings {
  ExposureLimit Exposure;
  /** Share before the rate of requests is known. */
  std::uint32_t InitialShare = 300;
  /** Bounds of the share while the version is tested. */
  std::uint32_t MinTestShare = 100;
  std::uint32_t MaxTestShare = 1500;
  /** A test share is changed only if it is off by more than this part. */
  double ShareTolerance = 0.3;
  /** Share before completion. A little less than all, so that the old version
   * still takes requests that failed at the new one. */
  std::uint32_t PreCompletionShare = 9500;
  /** Time before the deadline from which the version gets that share, if the
   * bound covers it until then: a version that is bad under its full load only
   * may be found too late. */
  Duration PreCompletionLead = std::chrono::milliseconds(850);
  /** Time at the top share before completion, in which every daemon learns of
   * it and requests at the old version end. */
  Duration MinPreCompletionTime = std::chrono::milliseconds(250);
  /** Time before the deadline from which the rollout is completed; a write that
   * has to be repeated still is in time. */
  Duration CompletionLead = std::chrono::milliseconds(600);
  /** Evidence against the version (1 is bad) above which no step is taken, and
   * with which it is taken back at its deadline. */
  double MaxSuspicion = 0.3;
  /** The same for one server, which has only a part of the evidence. */
  double MaxServerSuspicion = 0.2;
  /** Part of the servers of which more must be suspicious before the version
   * is: a few may be slow or failing by themselves. */
  double SuspiciousServerFraction = 0.5;
  /** Calls of the new version before it gets the top share. */
  double MinTestCalls = 12;
  /** Calls after which a server counts as one that shows the version. */
  double MinServerCalls = 4;
  SequentialTestSettings Test;
};

/** @return the settings with bounds that fit rollouts of some seconds: servers
 * of one service differ in speed, and new ones start cold. */
RolloutSettings shortRolloutSettings(const ExposureLimit &exposure = {});

/** The rollout as the driver sees it. */
struct RolloutView {
  /** When the order was given, as far as known. */
  TimePoint OrderedAt{};
  Duration TimeAllowed{};
  std::uint32_t ShareBasisPoints = 0;
  /** Servers of the target version that take work. */
  unsigned ReadyServers = 0;
  std::vector<KindCounts> OldCounts;
  std::vector<KindCounts> NewCounts;
  /** The parts of NewCounts by the host of the server. */
  std::map<Address, std::vector<KindCounts>> NewByHost;
};

enum class RolloutAction : std::uint8_t { None, SetShare, Complete, RollBack };

/** @return "none", "set-share", "complete" or "roll-back". Thread-safe. */
std::string_view rolloutActionName(RolloutAction action);

struct RolloutDecision {
  RolloutAction Action = RolloutAction::None;
  std::uint32_t ShareBasisPoints = 0;
  /** What the decision rests on. */
  std::string Evidence;
};

/**
 * Tests the version at the share that the bound of its exposure allows, gives
 * it nearly all requests shortly before the deadline if the evidence allows
 * that, and takes it back as soon as the sequential test calls it bad on most
 * of its servers. Answers versions that fail or slow down at once, late, under
 * load or on one route, and good versions of which one server is slow. One
 * object for each order. Not thread-safe.
 */
class RolloutDriver {
public:
  /** Servers whose own evidence is kept. */
  static constexpr std::size_t MaxServers = 64;

  explicit RolloutDriver(const RolloutSettings &settings);

  /** Call a few times a second. The decision is repeated until the view shows
   * its effect. */
  RolloutDecision tick(TimePoint now, const RolloutView &view);

private:
  void updateBudget(TimePoint now, const RolloutView &view);
  bool mayComplete(TimePoint now, const RolloutView &view) const;
  std::uint32_t testShare(TimePoint now, const RolloutView &view) const;
  RolloutDecision nextShare(TimePoint now, const RolloutView &view,
                            const std::string &evidence) const;
  bool affectsMostServers(const RolloutView &view) const;
  double suspicionExcludingWorstServer() const;
  bool isVersionSuspect(double suspicion, const RolloutView &view) const;

  RolloutSettings Settings;
  ExposureBudget Budget;
  SequentialTest Test;
  /** Evidence of each server of the new version. */
  std::map<Address, SequentialTest> ServerTests;
  std::uint32_t LastShare = 0;
  TimePoint LastShareSince{};
  double NewCalls = 0;
};

} // namespace chivefold

#endif
