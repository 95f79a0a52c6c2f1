/**
 * @file
 * Weighted choice among the services of a route.
 */
#ifndef CHIVEFOLD_MESH_SERVICE_SPLIT_H
#define CHIVEFOLD_MESH_SERVICE_SPLIT_H

#include "chivefold/mesh/mesh_configuration.h"

#include <cstdint>
#include <map>
#include <string>

namespace chivefold {

/**
 * Splits the requests of a route among its services by smooth weighted round
 * robin. The requests of each single daemon match the weights, even over short
 * periods. Not thread-safe.
 */
class ServiceSplit {
public:
  /** Limit of routes with current weights. Once it is reached, every route with
   * several services uses its first one. */
  static constexpr std::size_t MaxRoutes = 8192;

  /** @return the service of the next request. Precondition: the route has at
   * least one service. */
  std::string choose(const MeshRoute &route);

private:
  /** Current weights of the round robin, by route and service. */
  std::map<std::string, std::map<std::string, std::int64_t>> CurrentWeights;
};

} // namespace chivefold

#endif
