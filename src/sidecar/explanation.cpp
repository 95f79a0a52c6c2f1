#include "chivefold/sidecar/explanation.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace chivefold {

namespace {

using Json = nlohmann::json;

HttpResponse jsonResponse(int status, const Json &body) {
  return {status,
          {{"Content-Type", "application/json"}},
          body.dump(2, ' ', false, Json::error_handler_t::replace) + "\n"};
}

HttpResponse error(int status, const char *name) {
  return jsonResponse(status, {{"error", name}});
}

std::int64_t toMs(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

/** @return a number with two digits after the point. */
double rounded(double n) { return std::round(n * 100) / 100; }

Json describe(const CandidateView &view) {
  const auto &host = view.Host;
  Json out{{"host", toString(host.Peer)},
           {"data_centre", host.DataCentre},
           {"instance", host.Server.Instance},
           {"version", host.Server.Version},
           {"share_basis_points", view.ShareBasisPoints},
           {"ruled_out_by", obstacleName(view.RuledOutBy)},
           {"best", view.IsBest},
           {"value", rounded(view.Value)},
           {"expected_ms", toMs(view.ExpectedLatency)},
           {"outstanding", rounded(view.Outstanding)},
           {"own", view.OwnRequests},
           {"slots", host.Server.Slots},
           {"limit", view.Limit},
           {"cold", host.Gate.Cold},
           {"error_rate", rounded(view.ErrorRate)},
           {"back_off_ms", toMs(view.BackOff)},
           {"limit_wait_ms", toMs(view.LimitWait)}};
  if (view.LimitPerSecond) {
    out["limit_per_second"] = rounded(*view.LimitPerSecond);
  }
  return out;
}

Json describe(const MeshRoute &route) {
  return {{"name", route.Name},
          {"prefix", route.PathPrefix},
          {"kind", requestKindName(route.Kind)},
          {"priority", route.Priority},
          {"timeout_ms", toMs(route.Timeout)},
          {"target_ms", toMs(route.TargetLatency)},
          {"max_runs",
           route.Kind == RequestKind::AtMostOnce ? 1 : route.MaxAttempts}};
}

Json describe(const ExplanationParts &parts, const MeshRoute &route,
              const WeightedService &service, TimePoint now) {
  PlacementRequest wanted;
  wanted.Service = service.Service;
  wanted.Route = route.Name;
  wanted.Priority = route.Priority;
  wanted.TargetLatency = route.TargetLatency;
  const auto views = parts.Servers.explain(wanted, now);
  Json out{{"service", service.Service},
           {"weight", service.Weight},
           {"servers", views.size()},
           {"candidates", Json::array()}};
  if (const auto split = parts.Versions.split(service.Service)) {
    out["rollout"] = {{"target", split->Target},
                      {"share_basis_points", split->ShareBasisPoints}};
  }
  for (const auto &it : views) {
    if (out["candidates"].size() >= MaxExplainedServers) {
      break;
    }
    out["candidates"].push_back(describe(it));
  }
  return out;
}

} // namespace

HttpResponse explain(const ExplanationParts &parts, const std::string &host,
                     const std::string &path, TimePoint now) {
  if (host.empty() || path.empty() || path.front() != '/') {
    return error(400, "bad-request");
  }
  const auto &table = parts.Orders.routes();
  if (!table) {
    return error(503, "no-configuration");
  }
  const auto *route = table->find(host, path.substr(0, path.find('?')));
  if (route == nullptr) {
    return error(404, parts.MayBeStale ? "no-route-yet" : "no-route");
  }
  Json out{{"data_centre", parts.DataCentre},
           {"configuration", table->configuration().Version},
           {"may_be_stale", parts.MayBeStale},
           {"route", describe(*route)},
           {"services", Json::array()}};
  for (const auto &it : route->Services) {
    if (leadsTo(*route, it.Service)) {
      out["services"].push_back(describe(parts, *route, it, now));
    }
  }
  return jsonResponse(200, out);
}

} // namespace chivefold
