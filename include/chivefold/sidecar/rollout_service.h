/**
 * @file
 * Controls rollouts and distributes their progress between daemons.
 */
#ifndef CHIVEFOLD_SIDECAR_ROLLOUT_SERVICE_H
#define CHIVEFOLD_SIDECAR_ROLLOUT_SERVICE_H

#include "chivefold/io/logging.h"
#include "chivefold/io/peer_network.h"
#include "chivefold/mesh/placement.h"
#include "chivefold/mesh/rollout_driver.h"
#include "chivefold/sidecar/backend_service.h"
#include "chivefold/sidecar/ports.h"
#include "peer_generated.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace chivefold {

/** Dependencies of RolloutService; all must outlive it. */
struct RolloutDependencies {
  const StoreAccess &Access;
  const PlatformPorts &Ports;
  const OperatorState &Orders;
  const FleetTable &Fleet;
  const Placement &Servers;
  const BackendService &Backend;
  VersionPolicy &Versions;
};

/**
 * Each rollout is controlled by one daemon, the driver: the reachable host with
 * the lowest hash of its address and the service. The driver writes each step
 * to the store by a conditional append. If two daemons act as driver, the
 * append of one fails, and it reads the progress again. A rollback takes effect
 * and is distributed before it is written, since it is always safe; until then
 * it is provisional and gives way to an end that the store has. The operator is
 * told of an end only when the store has it. An end that the store has lost is
 * written again, with the status for the operator. Used on the reactor's thread
 * only.
 */
class RolloutService {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(200);
  static constexpr Duration StoreTimeout = std::chrono::milliseconds(1000);
  static constexpr Duration StatsTimeout = std::chrono::milliseconds(600);
  /** Time after the start in which peers tell this host what they know, before
   * it drives a rollout. */
  static constexpr Duration PeerExchangeTime = std::chrono::milliseconds(1000);
  /** Maximum delay between retries after store failures. */
  static constexpr Duration MaxStoreRetryDelay = std::chrono::seconds(1);

  /** @param changed called when the progress of a rollout has changed. */
  RolloutService(Reactor &reactor, PeerNetwork &network,
                 const RolloutDependencies &parts,
                 const RolloutSettings &settings, Address self,
                 std::function<void()> changed);

  /** Reads the progress from the store and starts controlling rollouts. Must be
   * called only once. */
  void start();

  /** Notes when the operator's rollout orders were first seen. */
  void ordersChanged();

  /** Sends the progress to @p peer if its @p digest differs from digest(). */
  void onPeer(const Address &peer, std::uint64_t digest);
  /** Applies the progress received from a peer. */
  void onRollouts(const wire::RolloutsT &rollouts);
  /** Answers with the call counts of this host's backend server. */
  void onStatsRequest(const wire::StatsRequestT &request,
                      const PeerResponder &respond) const;

  /** @return a hash of all progress; equal on daemons with the same progress.
   */
  std::uint64_t digest() const;

  /** Stops controlling rollouts, for a planned stop of the daemon. */
  void stop() { Stopped = true; }

private:
  struct HostCounts {
    std::string Version;
    std::vector<KindCounts> Counts;
  };
  /** Rollout order that this daemon controls. */
  struct Drive {
    explicit Drive(const RolloutSettings &settings) : Driver(settings) {}
    StorePosition Order;
    RolloutDriver Driver;
    std::map<Address, HostCounts> Hosts;
    /** Phase last written to the operator's status stream. */
    std::optional<RolloutPhase> ReportedPhase;
    /** Era of the store when that phase was written. */
    std::uint64_t ReportedEra = 0;
    bool Reporting = false;
    /** Progress for which the store was last listed, and the era then. */
    std::optional<std::pair<StorePosition, std::uint64_t>> Verified;
  };

  /** @return the newest era of the store that this host knows. */
  std::uint64_t era() const;
  bool isConfirmed(const RolloutProgress &progress) const;
  bool verify(const RolloutProgress &known, Drive &drive);
  void list();
  void onListed(const Result<KeyedBatch> &batch);
  void recordElapsed(const RolloutProgress &progress);
  void scheduleNextWrite();
  void tick();
  void driveOrder(const RolloutOrder &order);
  bool isDriver(const std::string &service) const;
  void collectCounts(const RolloutOrder &order, Drive &drive);
  RolloutView viewOf(const RolloutOrder &order, const Drive &drive,
                     const RolloutProgress &progress) const;
  RolloutProgress firstProgress(const RolloutOrder &order) const;
  void decide(const RolloutOrder &order, Drive &drive);
  void rollBack(RolloutProgress progress);
  void write(RolloutProgress progress);
  void onWritten(RolloutProgress progress, const AppendResult &result);
  void reportStatus(const RolloutProgress &progress, Drive &drive);
  bool applyProgress(const RolloutProgress &progress);
  void broadcastProgress() const;
  wire::RolloutsT progressFrame() const;

  Reactor &Loop;
  PeerNetwork &Network;
  RolloutDependencies Parts;
  const RolloutSettings Settings;
  Address Self;
  std::function<void()> Changed;
  OrderClock Clock;
  std::map<std::string, Drive> Drives;
  /** End of the stream as last known; absent until the first listing. */
  std::optional<StorePosition> StreamEnd;
  /** A record that the store has. */
  struct Confirmation {
    StorePosition Record;
    /** Era of the store when it was seen there. */
    std::uint64_t Era = 0;
  };
  /** Newest record in the store, by service. */
  std::map<std::string, Confirmation> Confirmed;
  /** Services whose completion is being written, or may have been: nothing else
   * is decided for them until the store answers. */
  std::set<std::string> PendingCompletions;
  bool Writing = false;
  bool Listing = false;
  TimePoint NextWrite{};
  std::uint32_t StoreFailures = 0;
  bool Stopped = false;
  TimePoint StartedAt{};
  Logger Lines{"rollout"};
};

} // namespace chivefold

#endif
