/**
 * @file
 * Drives rollouts and spreads their progress.
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
#include <string>

namespace chivefold {

/** What the rollout service works with; all outlive it. */
struct RolloutParts {
  KeyedStore &Store;
  const PlatformPorts &Ports;
  const OperatorState &Orders;
  const FleetTable &Fleet;
  const Placement &Servers;
  const BackendService &Backend;
  VersionPolicy &Versions;
};

/**
 * One daemon drives each rollout: the reachable one with the lowest hash of its
 * address and the service. It writes each step to the store under the condition
 * that nothing was written meanwhile, so that of two drivers one loses and
 * reads again. A take-back is in force and spread before it is written, since
 * it is always safe. Used on the reactor's thread only.
 */
class RolloutService {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(200);
  static constexpr Duration StoreTimeout = std::chrono::milliseconds(1000);
  static constexpr Duration StatsTimeout = std::chrono::milliseconds(600);
  /** Longest pause between two attempts to write after failures. */
  static constexpr Duration MaxStorePause = std::chrono::seconds(1);

  RolloutService(Reactor &reactor, PeerNetwork &network,
                 const RolloutParts &parts, const RolloutSettings &settings,
                 Address self, std::function<void()> changed);

  /** Reads the progress from the store and starts driving. Precondition:
   * called once. */
  void start();

  /** The operator's orders changed. */
  void ordersChanged();

  /** A peer's progress differs from this daemon's. */
  void onPeer(const Address &peer, std::uint64_t digest);
  void onRollouts(const wire::RolloutsT &rollouts);
  void onStatsRequest(const wire::StatsRequestT &request,
                      const PeerResponder &respond) const;

  /** @return a hash of all progress, equal on daemons that know the same. */
  std::uint64_t digest() const;

  /** Stops driving, for a planned stop. */
  void stop() { Stopped = true; }

private:
  struct HostCounts {
    std::string Version;
    std::vector<KindCounts> Counts;
  };
  /** One order that this daemon drives. */
  struct Drive {
    explicit Drive(const RolloutSettings &settings) : Driver(settings) {}
    std::uint64_t OrderOffset = 0;
    RolloutDriver Driver;
    std::map<Address, HostCounts> Hosts;
    /** Phase that the operator was told of. */
    std::optional<RolloutPhase> Reported;
    bool Reporting = false;
  };

  void list();
  void tick();
  void driveOrder(const RolloutOrder &order);
  bool isDriver(const std::string &service) const;
  void collect(const RolloutOrder &order, Drive &drive);
  RolloutView viewOf(const RolloutOrder &order, const Drive &drive,
                     const RolloutProgress &progress) const;
  RolloutProgress firstProgress(const RolloutOrder &order) const;
  void decide(const RolloutOrder &order, Drive &drive);
  void write(RolloutProgress progress);
  void reportStatus(const RolloutProgress &progress, Drive &drive);
  bool take(const RolloutProgress &progress);
  void spread() const;
  wire::RolloutsT progressFrame() const;

  Reactor &Loop;
  PeerNetwork &Network;
  RolloutParts Parts;
  const RolloutSettings Settings;
  Address Self;
  std::function<void()> Changed;
  OrderClock Clock;
  std::map<std::string, Drive> Drives;
  /** End of the stream as last read; absent until then. */
  std::optional<std::uint64_t> StreamEnd;
  /** Place of the newest record of each service that the store confirmed. */
  std::map<std::string, std::uint64_t> Confirmed;
  bool Writing = false;
  bool Listing = false;
  TimePoint NextWrite{};
  std::uint32_t StoreFailures = 0;
  bool Stopped = false;
  Logger Lines{"rollout"};
};

} // namespace chivefold

#endif
