#include "chivefold/daemon/admin_service.h"

#include "chivefold/core/configuration_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chivefold {
namespace {

using nlohmann::json;

HttpResponse jsonResponse(int status, const json &body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump(2) + "\n"};
}

json toJson(const Member &m) {
  return {{"address", toString(m.Peer)}, {"data_centre", m.DataCentre},
          {"region", m.Region},          {"service", m.Service},
          {"version", m.ServiceVersion}, {"state", memberStateName(m.State)},
          {"admin_port", m.AdminPort},   {"incarnation", m.Incarnation},
          {"floor", raw(m.Floor)}};
}

std::string stateOf(const MoveState &m) {
  return m.Ended ? std::string(moveResultName(m.Result)) : "running";
}

json toJson(const MoveState &m, const ControlState &state) {
  json j = {{"service", m.Service},
            {"move", raw(m.Move)},
            {"from", m.FromVersion},
            {"to", m.ToVersion},
            {"deadline", toString(m.Deadline)},
            {"share_basis_points", m.ShareBasisPoints},
            {"state", stateOf(m)},
            {"reason", m.Reason},
            {"evidence", m.Evidence},
            {"ended_at", raw(m.EndOffset)}};
  if (const auto *lease = state.lease(m.Service)) {
    j["lease"] = {{"holder", toString(lease->Holder.Peer)},
                  {"epoch", raw(lease->LeaseEpoch)}};
  }
  return j;
}

json toJson(const GateState &g) {
  return {{"limit", g.Limit},
          {"in_flight", g.InFlight},
          {"queued", g.Queued},
          {"cold", g.Cold},
          {"leaving", g.Leaving}};
}

json toJson(const SafeStep &s) {
  return {{"kind", safeStepName(s.Kind)},
          {"subject", s.Subject},
          {"move", raw(s.Move)},
          {"reason", s.Reason}};
}

} // namespace

const std::array<AdminService::Endpoint, 7> AdminService::Endpoints = {{
    {"GET", "/-/health", &AdminService::health},
    {"GET", "/-/ready", &AdminService::ready},
    {"GET", "/-/metrics", &AdminService::metrics},
    {"GET", "/-/report", &AdminService::report},
    {"GET", "/-/state", &AdminService::state},
    {"PUT", "/-/log-level", &AdminService::logLevel},
    {"PUT", "/-/take-out", &AdminService::takeOut},
}};

AdminService::AdminService(Reactor &reactor, AdminParts parts,
                           const Settings &settings)
    : Loop(reactor), Parts(parts), Own(settings) {}

void AdminService::handle(const std::shared_ptr<HttpExchange> &exchange) {
  const auto &request = exchange->request();
  for (const auto &it : Endpoints) {
    if (it.Path == request.Path && it.Method == request.Method) {
      exchange->respond((this->*it.Handle)(request));
      return;
    }
  }
  exchange->respond(jsonResponse(404, {{"error", "no such endpoint"}}));
}

void AdminService::recordsApplied() {
  std::map<std::string, std::pair<LogOffset, UtcTime>> ends;
  // Records carry no time, and those replayed until the daemon is ready,
  // including the batch that made it ready, are of the past.
  const bool live = std::exchange(Live, Parts.Control.readiness().Ready);
  for (const auto &it : Parts.State.moves()) {
    const auto known = MoveEnds.find(it.Service);
    if (!it.Ended) {
      continue;
    }
    if (known != MoveEnds.end() && known->second.first == it.EndOffset) {
      ends.insert(*known);
    } else {
      ends[it.Service] = {it.EndOffset, live ? Loop.utcNow() : UtcTime()};
    }
  }
  MoveEnds = std::move(ends);
}

json AdminService::moveJson(const MoveState &move) const {
  auto j = toJson(move, Parts.State);
  j["share_in_force"] = Parts.Steps.shareOf(move.Service);
  const auto end = MoveEnds.find(move.Service);
  const bool known = end != MoveEnds.end() && end->second.second != UtcTime();
  j["ended_utc"] = known ? toString(end->second.second) : "";
  return j;
}

std::string AdminService::unreadyReason() {
  if (Leaving) {
    return "the daemon is stopping";
  }
  return Parts.Control.readiness().Reason;
}

HttpResponse AdminService::health(const HttpRequest & /*request*/) {
  return jsonResponse(200, {{"healthy", true}});
}

HttpResponse AdminService::ready(const HttpRequest & /*request*/) {
  const auto reason = unreadyReason();
  json body = {{"ready", reason.empty()}, {"reason", reason}};
  if (!Parts.Control.logStatus().Available) {
    body["log"] = "not read by this daemon or not reachable; new changes may "
                  "wait";
  }
  return jsonResponse(reason.empty() ? 200 : 503, body);
}

HttpResponse AdminService::metrics(const HttpRequest & /*request*/) {
  auto text = toPrometheus(Parts.Figures.report(Loop.now()));
  const auto line = [&text](std::string_view name, std::uint64_t value) {
    text += std::string(name) + " " + std::to_string(value) + "\n";
  };
  const auto gate = Parts.Gate.state();
  line("chivefold_applied_offset", raw(Parts.State.applied()));
  line("chivefold_configuration_version", raw(Parts.State.version()));
  line("chivefold_members_alive", Parts.Members.aliveCount());
  line("chivefold_peer_bytes_sent_total", Parts.Network.bytesSent());
  line("chivefold_peer_bytes_received_total", Parts.Network.bytesReceived());
  line("chivefold_gate_limit", gate.Limit);
  line("chivefold_gate_in_flight", gate.InFlight);
  line("chivefold_gate_queued", gate.Queued);
  return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, text};
}

HttpResponse AdminService::report(const HttpRequest & /*request*/) {
  return {200,
          {{"Content-Type", "application/json"}},
          chivefold::toJson(Parts.Figures.report(Loop.now())) + "\n"};
}

HttpResponse AdminService::state(const HttpRequest & /*request*/) {
  const auto reason = unreadyReason();
  json body = {{"service", Own.Service},
               {"service_version", Own.ServiceVersion},
               {"data_centre", Own.DataCentre},
               {"ready", reason.empty()},
               {"reason", reason},
               {"version", raw(Parts.State.version())},
               {"applied", raw(Parts.State.applied())},
               {"digest", Parts.State.digest()},
               {"log_available", Parts.Control.logStatus().Available},
               {"log_reader", Parts.Members.isReader()},
               {"gate", toJson(Parts.Gate.state())},
               {"move_hold", Parts.Moves.holdReason()},
               {"members", json::array()},
               {"moves", json::array()},
               {"data_centres", json::array()},
               {"safe_steps", json::array()}};
  for (const auto &it : Parts.Members.members()) {
    body["members"].push_back(toJson(it));
  }
  for (const auto &it : Parts.State.moves()) {
    body["moves"].push_back(moveJson(it));
  }
  for (const auto &it :
       Parts.State.configuration()->FleetSettings.DataCentres) {
    body["data_centres"].push_back(
        {{"name", it}, {"taken_out", Parts.Steps.isTakenOut(it)}});
  }
  for (const auto &it : Parts.Steps.steps()) {
    body["safe_steps"].push_back(toJson(it));
  }
  return jsonResponse(200, body);
}

HttpResponse AdminService::logLevel(const HttpRequest &request) {
  const auto level = queryValue(request.Query, "level");
  if (const auto set = setLogLevel(level); !set) {
    return jsonResponse(400, {{"error", toString(set.reason())}});
  }
  return jsonResponse(200, {{"level", level}});
}

HttpResponse AdminService::takeOut(const HttpRequest &request) {
  const auto name = queryValue(request.Query, "data_centre");
  const auto config = Parts.State.configuration();
  const auto &known = config->FleetSettings.DataCentres;
  if (std::find(known.begin(), known.end(), name) == known.end()) {
    return jsonResponse(404, {{"error", "no such data centre"}});
  }
  SafeStep step;
  step.Kind = SafeStepKind::TakeOut;
  step.Subject = name;
  step.AfterOffset = Parts.State.applied();
  step.Reason = "taken out by an operator";
  Parts.Control.startStep(step);
  return jsonResponse(200, {{"data_centre", name}, {"taken_out", true}});
}

} // namespace chivefold
