#include "sidecar_metrics.h"

#include "metric_text.h"

namespace chivefold {

// Peer traffic in the Prometheus text format.
std::string trafficMetrics(const PeerNetwork &network) {
  std::string out;
  for (const auto &it : network.traffic()) {
    const auto label = "{kind=\"" + std::string(it.Kind) + "\"} ";
    out.append("chivefold_peer_frames_sent").append(label);
    out.append(std::to_string(it.Frames)).append("\n");
    out.append("chivefold_peer_bytes_sent").append(label);
    out.append(std::to_string(it.Bytes)).append("\n");
  }
  return out;
}

// Request limit of the backend server in the Prometheus text format.
std::string limitMetrics(const LimitFigures &figures) {
  std::string out;
  const auto add = [&out](std::string_view name, const std::string &value) {
    out.append(name).append(" ").append(value).append("\n");
  };
  if (figures.Limit) {
    add("chivefold_server_limit_per_second", std::to_string(*figures.Limit));
  }
  add("chivefold_server_sent_per_second",
      std::to_string(figures.SentPerSecond));
  add("chivefold_limit_held_total", std::to_string(figures.Effects.Held));
  add("chivefold_limit_rejected_total",
      std::to_string(figures.Effects.Rejected));
  add("chivefold_gate_displaced_total",
      std::to_string(figures.Effects.Displaced));
  add("chivefold_gate_calls_of_running_total",
      std::to_string(figures.CallsOfRunning));
  add("chivefold_server_limit_malformed_total",
      std::to_string(figures.Malformed));
  return out;
}

// Entries of other writers that were ignored in the Prometheus text format.
std::string ignoredMetrics(const IgnoredCounts &counts) {
  std::string out;
  const auto add = [&out](std::string_view source, std::uint64_t value) {
    addLabelled(out, "chivefold_ignored_entries_total", "source", source,
                value);
  };
  add("malformed_report", counts.MalformedReports);
  add("outdated_report", counts.OutdatedReports);
  add("order", counts.Orders);
  add("host", counts.Hosts);
  return out;
}

// Calls that were refused after their admission in the Prometheus text format.
std::string revokedMetrics(const BackendService &backend) {
  return "chivefold_calls_revoked_total " +
         std::to_string(backend.revokedCalls()) + "\n";
}

// Calls with open bodies in the Prometheus text format.
std::string bodyMetrics(const BodyFigures &figures) {
  std::string out;
  addSample(out, "chivefold_open_bodies", figures.Open);
  addSample(out, "chivefold_open_bodies_refused_total", figures.Refused);
  addSample(out, "chivefold_open_bodies_given_up_total", figures.GivenUp);
  return out;
}

// Eras of the store in the Prometheus text format.
std::string eraMetrics(const StoreEra &era, const OperatorState &orders) {
  const auto &counts = era.counters();
  std::string out;
  const auto add = [&out](std::string_view name, std::uint64_t value) {
    addSample(out, name, value);
  };
  add("chivefold_store_era", era.current());
  add("chivefold_store_era_risen_total", counts.Risen);
  add("chivefold_store_answers_of_earlier_era_total", counts.Stale);
  add("chivefold_store_answers_without_era_total", counts.Missing);
  add("chivefold_orders_era", orders.end().Era);
  add("chivefold_orders_lost", orders.lostKeys().size());
  add("chivefold_orders_written_again_total", orders.rewritten());
  return out;
}

// Requests refused because of their key in the Prometheus text format.
std::string accessMetrics(const AccessCounts &counts) {
  std::string out;
  const auto add = [&out](std::string_view reason, std::uint64_t value) {
    addLabelled(out, "chivefold_key_refusals_total", "reason", reason, value);
  };
  add("unknown", counts.UnknownKey);
  add("missing", counts.MissingKey);
  add("unsure", counts.Unsure);
  return out;
}

// Usage reports of this host in the Prometheus text format.
std::string usageMetrics(const UsageFigures &figures) {
  std::string out;
  const auto add = [&out](std::string_view name, std::uint64_t value) {
    out.append("chivefold_usage_");
    addSample(out, name, value);
  };
  add("holder", figures.Holding ? 1 : 0);
  add("fence", figures.Fence);
  add("windows_pending", figures.Pending);
  add("windows_reported_total", figures.Reported);
  add("windows_given_up_total", figures.GivenUp);
  add("report_failures_total", figures.Failures);
  add("requests_late_total", figures.Late);
  add("hosts_missing_total", figures.MissingHosts);
  return out;
}

} // namespace chivefold
