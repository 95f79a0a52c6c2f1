/**
 * @file
 * Call counts of one version of a backend server.
 */
#ifndef CHIVEFOLD_MESH_CALL_COUNTS_H
#define CHIVEFOLD_MESH_CALL_COUNTS_H

#include "chivefold/core/sequential_test.h"
#include "chivefold/core/types.h"

#include <map>
#include <string>
#include <vector>

namespace chivefold {

/** A call that a backend server ran. */
struct EndedCall {
  std::string Route;
  bool Failed = false;
  /** The server was cold when the call started. */
  bool WasCold = false;
  Duration Latency{};
};

/** Counts calls by route for the server's current version. Not thread-safe. */
class CallCounts {
public:
  /** Maximum number of routes; further routes are not counted. */
  static constexpr std::size_t MaxRoutes = 256;

  /** Discards the counts if @p version is another one. */
  void setVersion(const std::string &version);
  const std::string &version() const { return Version; }

  void record(const EndedCall &call);

  /** @return one entry for each route. */
  std::vector<KindCounts> all() const;

private:
  std::string Version;
  std::map<std::string, KindCounts> ByRoute;
};

} // namespace chivefold

#endif
