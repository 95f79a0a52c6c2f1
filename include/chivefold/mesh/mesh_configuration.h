/**
 * @file
 * The operator's routing configuration, as applied by the proxies of the mesh.
 */
#ifndef CHIVEFOLD_MESH_MESH_CONFIGURATION_H
#define CHIVEFOLD_MESH_MESH_CONFIGURATION_H

#include "chivefold/core/types.h"
#include "chivefold/mesh/customer_keys.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivefold {

/** Whether a request may be repeated after an attempt that may have executed.
 */
enum class RequestKind : std::uint8_t { Idempotent, AtMostOnce };

/** @return "idempotent" or "at-most-once". Thread-safe. */
std::string_view requestKindName(RequestKind kind);

/** A service that receives part of a route's requests, by weight. */
struct WeightedService {
  std::string Service;
  std::uint32_t Weight = 1;
};

/** Maps requests for a host name and path prefix to services. */
struct MeshRoute {
  std::string Name;
  std::string Hostname;
  /** Begins and ends with '/'. */
  std::string PathPrefix;
  RequestKind Kind = RequestKind::AtMostOnce;
  /** Maximum time for which the proxy may hold a request. */
  Duration Timeout{};
  /** Response time up to which an answer keeps its full value. */
  Duration TargetLatency{};
  /** 0 is the highest priority. */
  std::uint32_t Priority = 0;
  /** Maximum number of servers on which one request may execute. */
  std::uint32_t MaxAttempts = 1;
  /** At least one; requests are distributed by weight. */
  std::vector<WeightedService> Services;
  /** Requests need no customer's key. */
  bool Public = false;
};

/** @return whether the route sends requests to @p service. Thread-safe. */
bool leadsTo(const MeshRoute &route, std::string_view service);

/** A service and the limits of each of its backend servers. */
struct MeshService {
  std::string Name;
  std::string HealthPath;
  /** Connections that one server accepts from all callers together. */
  std::uint32_t MaxConnections = 0;
  /** Requests per second that one server can handle while it warms up. */
  double ColdRate = 0;
};

/** Limits on client connections and requests. */
struct ClientLimits {
  std::size_t MaxHeaderBytes = 16384;
  std::size_t MaxBodyBytes = 1U << 20U;
  Duration HeaderTimeout = std::chrono::seconds(10);
  Duration IdleTimeout = std::chrono::seconds(60);
};

/** One complete version of the configuration. */
struct MeshConfiguration {
  /** Increases with each version; 0 means no configuration. */
  std::uint64_t Version = 0;
  std::vector<MeshRoute> Routes;
  std::map<std::string, MeshService, std::less<>> Services;
  ClientLimits Limits;
  /** Absent if requests carry no customers' keys. No key belongs to two
   * customers. */
  std::optional<std::vector<MeshCustomer>> Customers;
};

/** Looks up the route of a request. Immutable; thread-safe. */
class RouteTable {
public:
  explicit RouteTable(MeshConfiguration configuration);

  /** @param hostname compared without case; a port is ignored.
   * @return the route of the host name with the longest prefix of @p path, or
   * null. Valid for the lifetime of the table. */
  const MeshRoute *find(std::string_view hostname, std::string_view path) const;

  /** @return the service, or null. */
  const MeshService *service(std::string_view name) const;

  /** @return the keys of the customers, or null if the configuration has no
   * customers and no key is checked. */
  const CustomerKeys *keys() const { return Keys ? &*Keys : nullptr; }

  /** @return the priority of a customer's requests on the route, 0 being the
   * highest: that of the customer goes first, then that of the route. Without a
   * customer, that of the route. Precondition: both are of this table. */
  std::uint32_t priority(const MeshCustomer *customer,
                         const MeshRoute &route) const;

  const MeshConfiguration &configuration() const { return Configuration; }

private:
  using RoutesByPrefix = std::unordered_map<std::string, std::size_t>;

  MeshConfiguration Configuration;
  std::unordered_map<std::string, RoutesByPrefix> RoutesByHostname;
  std::optional<CustomerKeys> Keys;
  /** Priorities of the customers, each once, in ascending order. */
  std::vector<std::uint32_t> CustomerPriorities;
  /** Number of priorities that a customer's requests may have. */
  std::uint64_t RoutePriorities = 1;
};

} // namespace chivefold

#endif
