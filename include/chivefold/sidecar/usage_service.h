/**
 * @file
 * Counts the usage of each customer and reports it once for each window.
 */
#ifndef CHIVEFOLD_SIDECAR_USAGE_SERVICE_H
#define CHIVEFOLD_SIDECAR_USAGE_SERVICE_H

#include "chivefold/io/http_client.h"
#include "chivefold/io/logging.h"
#include "chivefold/io/peer_network.h"
#include "chivefold/mesh/duty_lease.h"
#include "chivefold/mesh/usage_tree.h"
#include "chivefold/mesh/usage_windows.h"
#include "chivefold/sidecar/ports.h"
#include "chivefold/sidecar/usage_settings.h"
#include "peer_generated.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chivefold {

struct UsageRecord;

/** Dependencies of UsageService; all must outlive it. */
struct UsageDependencies {
  const StoreAccess &Access;
  /** May be null if there is no address for reports. */
  const UsageReportCodec *Reports;
  const FleetTable &Fleet;
};

/** What was reported, and what is missing in the reports. */
struct UsageFigures {
  bool Holding = false;
  std::uint64_t Fence = 0;
  std::uint64_t Reported = 0;
  std::uint64_t Failures = 0;
  /** Closed windows that wait for their report. */
  std::uint64_t Pending = 0;
  /** Windows that were never reported. */
  std::uint64_t GivenUp = 0;
  /** Requests whose count came after their window was closed. */
  std::uint64_t Late = 0;
  /** Daemons whose counts were missing when a window was closed. */
  std::uint64_t MissingHosts = 0;
};

/**
 * Requests are counted by the daemon beside the server when they are sent
 * there. After the end of a window each daemon passes its counts on in a tree
 * over the reachable hosts, whose root is the host with the lowest hash. The
 * root takes the lease of the duty, fixes the counts of a window by a
 * conditional append to the store and then reports them. A count is passed on
 * once: it is kept until the next host has taken it. Used on the reactor's
 * thread only.
 */
class UsageService {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(500);
  static constexpr Duration StoreTimeout = std::chrono::milliseconds(1000);
  static constexpr Duration PushTimeout = std::chrono::milliseconds(800);
  static constexpr Duration ReportTimeout = std::chrono::milliseconds(3000);
  /** Time after its end in which a window may still get counts. */
  static constexpr Duration SettleTime = std::chrono::milliseconds(200);
  /** Time after its end at which a window is closed. */
  static constexpr Duration CloseDelay = std::chrono::milliseconds(3000);
  /** Counts that may have been taken by a host that does not answer are passed
   * to another one after this time. */
  static constexpr Duration MaxUnsureTime = std::chrono::seconds(2);
  /** Time after the start in which this host learns of the others, before it
   * may consider itself the root. */
  static constexpr Duration PeerExchangeTime = std::chrono::milliseconds(2000);
  static constexpr Duration MaxRetryDelay = std::chrono::seconds(2);
  /** Number of keys in the store's stream, for windows in turn. */
  static constexpr WindowNumber StoredWindows = UsageLedger::MaxPending;

  UsageService(Reactor &reactor, PeerNetwork &network, HttpClient &client,
               const UsageDependencies &parts, UsageSettings settings,
               Address self, std::uint64_t boot);

  /** Starts counting, if there is an address for reports. Must be called only
   * once. */
  void start();
  /** Passes on all counts, for a planned stop of the daemon. */
  void stop();

  /** Counts a request that was sent to the server at @p at; with @p n = -1,
   * takes it back, since it has not run. No effect for a request of nobody. */
  void count(const std::string &customer, TimePoint at, int n);

  /** Takes the counts of another daemon. */
  void onPush(const wire::UsagePushT &push, const PeerResponder &respond);

  UsageFigures figures() const;

private:
  /** Counts that are being passed on. */
  struct Batch {
    Address To;
    std::uint64_t Sequence = 0;
    std::map<WindowNumber, UsageShare> Windows;
    TimePoint FirstSentAt{};
    bool InFlight = false;
  };
  /** What the last listing of the store's stream contained. */
  struct Listing {
    StorePosition End;
    std::vector<ClosedWindow> Closed;
    WindowNumber Reported = 0;
    /** Records of other holders may be lost: the newest one was written in an
     * earlier era of the store, or the terms are out of order. */
    bool IsBroken = false;
  };

  bool isOn() const {
    return Settings.Reports.Port != 0 && Parts.Reports != nullptr;
  }
  UtcTime utcAt(TimePoint at) const;
  void tick();
  void finishWindows();
  void passOn(const UsageTreePlace &place);
  void sendBatch();
  void onPushed(PeerOutcome outcome);
  void returnBatch();
  void performDuty(bool isRoot);
  void list();
  void onListed(const Result<KeyedBatch> &batch);
  void take();
  void renewOrClose();
  bool mayClose() const;
  void close();
  void returnUnwritten();
  void write(const std::string &key, const UsageRecord &record,
             std::function<void()> written);
  void storeFailed(const Reason &reason);
  void report();
  void onReported(WindowNumber window, const HttpOutcome &outcome);

  Reactor &Loop;
  PeerNetwork &Network;
  HttpClient &Client;
  const UsageDependencies Parts;
  const UsageSettings Settings;
  const Address Self;
  const std::uint64_t Boot;

  CommonClock Clock;
  /** Counts of this daemon in windows that have not ended. */
  UsagePool Own;
  WindowNumber NextOwn = 0;
  /** Counts of ended windows, of this daemon and of others. */
  UsagePool Collected;
  std::optional<Batch> Sending;
  std::uint64_t NextSequence = 0;
  /** Last batch taken from each daemon, by its address and boot. */
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> Taken;

  DutyLease Lease;
  UsageLedger Ledger;
  std::optional<Listing> Listed;
  /** Window whose record is being written, or may have been. */
  std::optional<ClosedWindow> Closing;
  bool Storing = false;
  bool Reporting = false;
  TimePoint StartedAt{};
  TimePoint NextStoreCall{};
  TimePoint NextReport{};
  std::uint32_t StoreFailures = 0;
  std::uint32_t ReportFailures = 0;
  bool Stopped = false;
  UsageFigures Figures;
  Logger Lines{"usage"};
};

} // namespace chivefold

#endif
