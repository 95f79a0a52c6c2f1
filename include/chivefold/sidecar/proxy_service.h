/**
 * @file
 * Proxy for the requests of clients on this host.
 */
#ifndef CHIVEFOLD_SIDECAR_PROXY_SERVICE_H
#define CHIVEFOLD_SIDECAR_PROXY_SERVICE_H

#include "chivefold/core/metrics.h"
#include "chivefold/io/http_server.h"
#include "chivefold/io/logging.h"
#include "chivefold/io/peer_network.h"
#include "chivefold/mesh/attempt_age.h"
#include "chivefold/mesh/attempt_policy.h"
#include "chivefold/mesh/lost_calls.h"
#include "chivefold/mesh/placement.h"
#include "chivefold/mesh/service_split.h"
#include "chivefold/sidecar/backend_service.h"
#include "chivefold/sidecar/customer_access.h"
#include "chivefold/sidecar/order_feed.h"
#include "chivefold/sidecar/ports.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace chivefold {

/** Dependencies of ProxyService; all must outlive it. */
struct ProxyDependencies {
  const PlatformPorts &Ports;
  const OperatorState &Orders;
  const OrderFeed &Feed;
  Placement &Servers;
  BackendService &Backend;
  PoisonService &Poison;
  Metrics &CallMetrics;
  /** What the operator allows; absent if not stated. */
  std::optional<RetryTerms> Retries;
};

/**
 * Routes each request, chooses a server and retries failed attempts as the
 * policy allows, within the client's deadline and the route's timeout. Each
 * attempt is routed by the configuration in force when it begins. Used on the
 * reactor's thread only.
 */
class ProxyService {
public:
  /** Time for which a request waits for a configuration that the daemon beside
   * a server has and this one has not. Covers a notice and a fetch from a host
   * of another data centre. */
  static constexpr Duration MaxOrdersWait = std::chrono::milliseconds(500);

  ProxyService(Reactor &reactor, PeerNetwork &network,
               const ProxyDependencies &parts, Address self,
               std::string callerService);
  ~ProxyService();
  ProxyService(const ProxyService &) = delete;
  ProxyService &operator=(const ProxyService &) = delete;

  /** Forwards one request and answers it. */
  void handle(const std::shared_ptr<HttpExchange> &exchange);

  /** Sets the service that is stated as the caller of this host's requests. */
  void setCallerService(std::string service);

  /** Sends the requests that wait for a later configuration by the current one.
   * Call after the operator's orders have changed. */
  void ordersChanged();

  /** Finds lost calls that may have crashed their servers. Call after a fleet
   * change. */
  void fleetChanged();

  /** Refuses new requests; those in progress continue. */
  void startLeaving() { Leaving = true; }

  std::size_t openRequests() const { return Open.size(); }
  const AccessCounts &accessCounts() const { return Access.counts(); }

private:
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  void answerUnrouted(const std::shared_ptr<HttpExchange> &exchange,
                      const ClientRequest &client);
  TimePoint inTimeUntil(const MeshRoute &route, const ClientRequest &client,
                        TimePoint now);
  void joinParent(CallMessage &call, const MeshRoute &route,
                  const ClientRequest &client, TimePoint now);
  int unroutedStatus(const std::string &hostname) const;
  int updateRoute(Request &request);
  void setRoute(Request &request, const MeshRoute &route,
                const AccessDecision &access) const;
  void attempt(const RequestPtr &request);
  void finishUnrouted(const RequestPtr &request, int status);
  void onRouteChanged(const RequestPtr &request, const CallResult &result);
  void onPeerLost(const Request &request, const PeerOutcome &outcome);
  void sendTo(const RequestPtr &request, const PlacementChoice &choice);
  void onResult(const RequestPtr &request, CallResult result);
  static AttemptEnd endOf(const CallResult &result);
  void updatePlacement(Request &request, const CallResult &result,
                       AttemptEnd end);
  void decide(const RequestPtr &request, CallResult result, AttemptEnd end);
  void deliver(const RequestPtr &request, CallResult result);
  void refuse(const RequestPtr &request, const CallResult &result);
  void finishUnserved(const RequestPtr &request, const CallResult &result);
  void reportUnknown(const RequestPtr &request);
  void finish(const RequestPtr &request, HttpResponse response,
              Outcome outcome);
  void onDeadline(const RequestPtr &request);
  void abandon(const RequestPtr &request);
  void cancelTimers(Request &request);
  void stopAttempt(Request &request);
  RetryBudget &retryBudget(const std::string &service);

  Reactor &Loop;
  PeerNetwork &Network;
  ProxyDependencies Parts;
  Address Self;
  std::string CallerService;
  bool Leaving = false;
  std::unordered_map<Request *, RequestPtr> Open;
  /** Requests that wait for a later configuration. */
  std::unordered_set<Request *> AwaitingOrders;
  /** By service; bounded by the services of the configuration. */
  std::map<std::string, RetryBudget, std::less<>> Budgets;
  ServiceSplit Split;
  AttemptAgeEstimator Ages;
  LostCalls Lost;
  CustomerAccess Access;
  Logger Lines{"proxy"};
};

} // namespace chivefold

#endif
