/**
 * @file
 * The operator's configuration as the proxies of the mesh apply it.
 */
#ifndef CHIVEFOLD_MESH_MESH_CONFIGURATION_H
#define CHIVEFOLD_MESH_MESH_CONFIGURATION_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivefold {

/** What may be done with a request whose first attempt may have run. */
enum class RequestKind : std::uint8_t { Idempotent, AtMostOnce };

/** @return "idempotent" or "at-most-once". Thread-safe. */
std::string_view requestKindName(RequestKind kind);

/** A service that gets a part of a route's requests. */
struct WeightedService {
  std::string Service;
  std::uint32_t Weight = 1;
};

struct MeshRoute {
  std::string Name;
  std::string Hostname;
  /** Begins and ends with '/'. */
  std::string PathPrefix;
  RequestKind Kind = RequestKind::AtMostOnce;
  /** Longest time for which a request may be held. */
  Duration Timeout{};
  /** Time within which an answer has its full value. */
  Duration TargetLatency{};
  /** 0 is the most urgent. */
  std::uint32_t Priority = 0;
  /** Servers on which one request may run. */
  std::uint32_t MaxAttempts = 1;
  /** At least one; requests are split by weight. */
  std::vector<WeightedService> Services;
};

struct MeshService {
  std::string Name;
  std::string HealthPath;
  /** Connections that one server accepts from all callers. */
  std::uint32_t MaxConnections = 0;
  /** Requests a second that one server bears while it is cold. */
  double ColdRate = 0;
};

/** What clients may send. */
struct ClientLimits {
  std::size_t MaxHeaderBytes = 16384;
  std::size_t MaxBodyBytes = 1U << 20U;
  Duration HeaderTimeout = std::chrono::seconds(10);
  Duration IdleTimeout = std::chrono::seconds(60);
};

/** One complete version. */
struct MeshConfiguration {
  /** Rises with each version; 0 means none. */
  std::uint64_t Version = 0;
  std::vector<MeshRoute> Routes;
  std::map<std::string, MeshService, std::less<>> Services;
  ClientLimits Limits;
};

/** Finds the route of a request. Immutable; thread-safe. */
class RouteTable {
public:
  explicit RouteTable(MeshConfiguration configuration);

  /** @param hostname may carry a port. @return the route of that host with the
   * longest prefix of @p path, or null. Valid as long as the table. */
  const MeshRoute *find(std::string_view hostname, std::string_view path) const;

  /** @return the service, or null. */
  const MeshService *service(std::string_view name) const;

  const MeshConfiguration &configuration() const { return Configuration; }

private:
  using RoutesByPrefix = std::unordered_map<std::string, std::size_t>;

  MeshConfiguration Configuration;
  std::unordered_map<std::string, RoutesByPrefix> RoutesByHostname;
};

} // namespace chivefold

#endif
