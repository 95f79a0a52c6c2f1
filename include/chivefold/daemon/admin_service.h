/**
 * @file
 * Health, readiness, metrics and state for operators, over HTTP.
 */
#ifndef CHIVEFOLD_DAEMON_ADMIN_SERVICE_H
#define CHIVEFOLD_DAEMON_ADMIN_SERVICE_H

#include "chivefold/core/member_table.h"
#include "chivefold/core/metrics.h"
#include "chivefold/core/safe_steps.h"
#include "chivefold/daemon/control_service.h"
#include "chivefold/daemon/gate_service.h"
#include "chivefold/daemon/move_service.h"
#include "chivefold/daemon/settings.h"
#include "chivefold/io/http_server.h"

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace chivefold {

/** What the admin service reads. */
struct AdminParts {
  ControlService &Control;
  const ControlState &State;
  const SafeSteps &Steps;
  const MemberTable &Members;
  const GateService &Gate;
  const MoveService &Moves;
  const Metrics &Figures;
  const PeerNetwork &Network;
};

/** Used on the reactor's thread only. */
class AdminService {
public:
  AdminService(Reactor &reactor, AdminParts parts, const Settings &settings);

  /** Handles a request of an operator. */
  void handle(const std::shared_ptr<HttpExchange> &exchange);

  /** Call after records were applied. */
  void recordsApplied();

  /** Readiness is refused from now on, since the daemon stops. */
  void startLeaving() { Leaving = true; }

private:
  using Handler = HttpResponse (AdminService::*)(const HttpRequest &);
  struct Endpoint {
    std::string_view Method;
    std::string_view Path;
    Handler Handle;
  };
  static const std::array<Endpoint, 7> Endpoints;

  HttpResponse health(const HttpRequest &request);
  HttpResponse ready(const HttpRequest &request);
  HttpResponse metrics(const HttpRequest &request);
  HttpResponse report(const HttpRequest &request);
  HttpResponse state(const HttpRequest &request);
  HttpResponse logLevel(const HttpRequest &request);
  HttpResponse takeOut(const HttpRequest &request);
  std::string unreadyReason();
  nlohmann::json moveJson(const MoveState &move) const;

  Reactor &Loop;
  AdminParts Parts;
  const Settings &Own;
  bool Leaving = false;
  /** Whether records that are applied now are new, not replayed. */
  bool Live = false;
  /** When this daemon saw the newest move of a service end; the epoch if it was
   * not live. One entry for each service that ControlState::moves() lists. */
  std::map<std::string, std::pair<LogOffset, UtcTime>> MoveEnds;
};

} // namespace chivefold

#endif
