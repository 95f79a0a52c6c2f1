#include "chivefold/sidecar/edge_metrics.h"

#include "metric_text.h"

namespace chivefold {

std::string edgeMetrics(
    const ByteBudget &budget,
    std::initializer_list<std::pair<std::string_view, const HttpServer *>>
        servers) {
  std::string out;
  const auto add = [&out](std::string_view name, std::uint64_t value) {
    addSample(out, name, value);
  };
  add("chivefold_edge_budget_bytes", budget.limit());
  add("chivefold_edge_held_bytes", budget.held());
  add("chivefold_edge_held_bytes_peak", budget.peak());
  for (const auto &[name, server] : servers) {
    for (std::size_t i = 0; i < EdgeRefusalNames.size(); ++i) {
      out.append("chivefold_edge_refused_total{address=\"")
          .append(name)
          .append("\",reason=\"")
          .append(EdgeRefusalNames[i])
          .append("\"} ")
          .append(std::to_string(server->refusals()[i]))
          .append("\n");
    }
  }
  return out;
}

} // namespace chivefold
