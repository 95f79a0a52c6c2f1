#include "chivefold/mesh/call_counts.h"

namespace chivefold {

namespace {

/** A cold server is slower by about this factor. Latencies are divided by it so
 * that warm-up does not count against the version. */
constexpr std::uint64_t ColdSlowdown = 2;

} // namespace

void CallCounts::setVersion(const std::string &version) {
  if (version != Version) {
    ByRoute.clear();
    Version = version;
  }
}

void CallCounts::record(const EndedCall &call) {
  if (ByRoute.size() >= MaxRoutes && ByRoute.count(call.Route) == 0) {
    return;
  }
  auto &counts = ByRoute[call.Route];
  counts.PathPrefix = call.Route;
  ++counts.Calls;
  counts.Errors += call.Failed ? 1 : 0;
  const auto us = static_cast<std::uint64_t>(call.Latency.count()) /
                  (call.WasCold ? ColdSlowdown : 1);
  counts.LatencySumUs += us;
  const double ms = static_cast<double>(us) / 1000;
  counts.LatencySquareSumMs2 += ms * ms;
}

std::vector<KindCounts> CallCounts::all() const {
  std::vector<KindCounts> out;
  out.reserve(ByRoute.size());
  for (const auto &it : ByRoute) {
    out.push_back(it.second);
  }
  return out;
}

} // namespace chivefold
