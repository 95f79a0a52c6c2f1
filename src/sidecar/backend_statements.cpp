// Statements of the backend server about itself: request limit and shutdown.
#include "chivefold/sidecar/backend_service.h"

namespace chivefold {

GateState BackendService::gate() const {
  auto out = Gate.state(Loop.now());
  out.StatedLimit = Statements.limit();
  out.ServerLeaving = Statements.isLeaving();
  return out;
}

LimitFigures BackendService::limitFigures() const {
  LimitFigures out;
  const auto &limit = Statements.limit();
  if (limit.Known == LimitKnowledge::Stated) {
    out.Limit = limit.PerSecond;
  }
  out.SentPerSecond = Sent.perSecond(Loop.now());
  out.Malformed = MalformedLimits;
  out.Effects = Gate.limitEffects();
  out.CallsOfRunning = CallsOfRunning;
  return out;
}

void BackendService::applyRequestLimit() {
  const auto &limit = Statements.limit();
  const bool isStated = limit.Known == LimitKnowledge::Stated;
  Gate.setRequestLimit(isStated ? std::optional<double>(limit.PerSecond)
                                : std::nullopt,
                       Loop.now());
}

// An answer of another instance at the address states nothing about this
// server, and neither does a success that the server did not sign.
void BackendService::applyStatement(const Call &call,
                                    const HttpResponse &response) {
  const auto facts = Ports.Requests.readServer(response);
  if (facts.OtherInstance || (isSuccess(response.Status) && !facts.Authentic)) {
    return;
  }
  const bool ran = !facts.NotRun && facts.Authentic;
  const auto before = Statements.limit().PerSecond;
  const auto change =
      Statements.onAnswer(facts.Statement, call.ServerStart, ran, Loop.now());
  MalformedLimits += change == LimitChange::Malformed ? 1 : 0;
  if (change != LimitChange::None) {
    applyRequestLimit();
    logLimit(change, before, call.Message, "answer");
  }
}

// After a restart of this daemon, callers that received a limit before know it
// until the server answers again.
void BackendService::adoptLimit(const CallMessage &call) {
  const auto change = Statements.onCopy(call.KnownLimit);
  if (change != LimitChange::None) {
    applyRequestLimit();
    logLimit(change, 0, call, "caller");
  }
}

void BackendService::logLimit(LimitChange change, double before,
                              const CallMessage &call,
                              std::string_view source) {
  const auto now = Loop.now();
  const auto state = Gate.state(now);
  Lines.info("request limit of the backend server",
             {{"change", limitChangeName(change)},
              {"source", source},
              {"request", call.RequestId},
              {"instance", Server.Instance},
              {"per_second", Statements.limit().PerSecond},
              {"before", before},
              {"sent_per_second", Sent.perSecond(now)},
              {"running", state.InFlight},
              {"queued", state.Queued}});
}

// Stops sending to a server whose answer states that it shuts down. Its own
// report may come later or, if it is delayed, still say that it is ready.
void BackendService::stopIfLeaving(const std::string &requestId) {
  if (!Statements.isLeaving() || Server.Phase != ServerPhase::Ready) {
    return;
  }
  Server.Phase = ServerPhase::Draining;
  announceDeparture(Server.Instance, StartedAtMs);
  Lines.info("backend server states that it shuts down",
             {{"request", requestId}, {"instance", Server.Instance}});
  Changed();
  updateGate();
}

} // namespace chivefold
