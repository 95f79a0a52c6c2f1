/**
 * @file
 * Choice among the services of a route by their weights.
 */
#ifndef CHIVEFOLD_MESH_SERVICE_SPLIT_H
#define CHIVEFOLD_MESH_SERVICE_SPLIT_H

#include "chivefold/mesh/mesh_configuration.h"

#include <cstdint>
#include <map>
#include <string>

namespace chivefold {

/**
 * Smooth weighted round robin, so that each daemon by itself keeps to the
 * weights, over short times too. Not thread-safe.
 */
class ServiceSplit {
public:
  /** Routes whose turns are kept; further ones use their first service. */
  static constexpr std::size_t MaxRoutes = 8192;

  /** @return the service of the next request. Precondition: the route has one.
   */
  std::string choose(const MeshRoute &route);

private:
  /** Running weights by route and service. */
  std::map<std::string, std::map<std::string, std::int64_t>> CurrentWeights;
};

} // namespace chivefold

#endif
