// Reports of the backend server, and the instances that they tell apart.
#include "chivefold/sidecar/backend_service.h"

#include <algorithm>
#include <utility>

namespace chivefold {

namespace {

/** @return a number that identifies the start of a server process, the same on
 * each start of this daemon. */
std::uint64_t startOf(const ServerReport &report) {
  return hash64(report.State.Instance + "/" +
                std::to_string(report.StartedAtMs.value_or(0)));
}

template <class T>
void pushBounded(std::deque<T> &to, T value, std::size_t max) {
  to.push_back(std::move(value));
  if (to.size() > max) {
    to.pop_front();
  }
}

} // namespace

Status BackendService::report(const ServerReport &report) {
  if (report.Server.Ip != Upstream.Ip) {
    return Reason{ErrorCode::InvalidRecord,
                  "report from a server on another host"};
  }
  const Start start{report.State.Instance, report.StartedAtMs};
  const bool sameStart = start == Start{Server.Instance, StartedAtMs};
  const bool wasAnnounced = hasLeft(report);
  // Binds in any order of arrival, since this report is acknowledged. One that
  // lacks its start, or names no known service, is another writer's.
  if (report.State.Phase == ServerPhase::Draining && report.StartedAtMs &&
      isConfigured(report)) {
    announceDeparture(report.State.Instance, report.StartedAtMs);
  }
  if (wasAnnounced && !sameStart) {
    return Reason{ErrorCode::Conflict, "the reported instance has ended"};
  }
  if (!Departed.isComplete() && report.State.Phase == ServerPhase::Ready) {
    pushBounded(HeldReports, report, MaxHeldReports);
    return Reason{ErrorCode::Conflict, "not known yet which servers have left"};
  }
  if (!sameStart) {
    const auto objection = objectionTo(report);
    if (!objection.empty() && !replacesSilentServer(report)) {
      if (!isConfigured(report)) {
        Unconfigured = report;
      }
      return Reason{ErrorCode::Conflict, objection};
    }
  }
  if (sameStart && report.Sequence <= Sequence) {
    stopIfLeft();
    return Reason{ErrorCode::Conflict, "a report with the same or a higher "
                                       "sequence number was already received"};
  }
  if (!sameStart) {
    beginInstance(report);
  }
  Sequence = report.Sequence;
  ReportedAt = Loop.now();
  Successor = {};
  const bool back = Unresponsive;
  Unresponsive = false;
  UnansweredCalls = 0;
  ColdUntil = Loop.now() + report.ColdFor;
  const bool isLeaving = Statements.isLeaving() || hasLeft(report);
  const auto phase = isLeaving ? ServerPhase::Draining : report.State.Phase;
  const bool changed = back || !sameStart || Server.Phase != phase ||
                       Server.Slots != report.State.Slots ||
                       Server.Version != report.State.Version;
  Server = report.State;
  Server.Start = Statements.limit().ServerStart;
  Server.Phase = phase;
  if (changed) {
    Lines.info("backend server state changed",
               {{"instance", Server.Instance},
                {"service", Server.Service},
                {"version", Server.Version},
                {"phase", serverPhaseName(Server.Phase)},
                {"slots", std::uint64_t{Server.Slots}},
                {"sequence", Sequence}});
    Changed();
  }
  updateGate();
  return Done{};
}

// Whether the configuration, if there is one, contains the reported service.
bool BackendService::isConfigured(const ServerReport &report) const {
  return !Orders.routes() ||
         Orders.routes()->service(report.State.Service) != nullptr;
}

// Returns why a report of another start may not come from the server that now
// has the address; "" if nothing speaks against it.
std::string BackendService::objectionTo(const ServerReport &report) const {
  const Start start{report.State.Instance, report.StartedAtMs};
  if (std::find(ReplacedStarts.begin(), ReplacedStarts.end(), start) !=
      ReplacedStarts.end()) {
    return "another instance has replaced the reported one";
  }
  if (StartedAtMs && report.StartedAtMs && *report.StartedAtMs < *StartedAtMs) {
    return "a newer instance has already reported";
  }
  if (StartedAtMs && !report.StartedAtMs) {
    return "the current server states its start, and the report has none";
  }
  if (!isConfigured(report)) {
    return "the configuration does not contain the reported service";
  }
  return "";
}

// After a backward step of the host's clock, a new server states an earlier
// start time than its predecessor. Late reports from an ended server also state
// an earlier time, but they are few and arrive while the current server is
// still reporting. So are reports that another writer made in the name of a
// server: they cannot keep the server of this host out.
bool BackendService::replacesSilentServer(const ServerReport &report) {
  const auto now = Loop.now();
  const Start start{report.State.Instance, report.StartedAtMs};
  if (!(Successor == start)) {
    Successor = start;
    SuccessorSequence = report.Sequence;
    SuccessorSince = now;
    return false;
  }
  const bool reports = report.Sequence > SuccessorSequence;
  SuccessorSequence = std::max(SuccessorSequence, report.Sequence);
  return reports && now >= ReportedAt + ReplaceAfterSilence &&
         now >= SuccessorSince + MinSuccessorTime;
}

// A new server instance runs at the address: discards the state of the previous
// one.
void BackendService::beginInstance(const ServerReport &report) {
  if (Loop.now() < InterruptedAt + CrashAttributionWindow) {
    reportCrash();
  }
  Interrupted.clear();
  replaceCurrentInstance(report);
  StartedAtMs = report.StartedAtMs;
  Statements.reset(startOf(report));
  applyRequestLimit();
  Upstream = report.Server;
  Client.closeIdle();
  Counts.setVersion(report.State.Version);
}

// A start that announced its end is known as such. Another one may live, and
// its reports count again once its successor is silent.
void BackendService::replaceCurrentInstance(const ServerReport &report) {
  const Start next{report.State.Instance, report.StartedAtMs};
  ReplacedStarts.erase(
      std::remove(ReplacedStarts.begin(), ReplacedStarts.end(), next),
      ReplacedStarts.end());
  if (!Server.Instance.empty()) {
    pushBounded(ReplacedStarts, {Server.Instance, StartedAtMs},
                MaxReplacedStarts);
  }
  Server = {};
}

std::int64_t BackendService::utcMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Loop.utcNow().time_since_epoch())
      .count();
}

bool BackendService::hasLeft(const ServerReport &report) const {
  return hasLeft(report.State.Instance, report.StartedAtMs);
}

bool BackendService::hasLeft(const std::string &instance,
                             std::optional<std::int64_t> startedAtMs) const {
  return Departed.covers(instance, startedAtMs, utcMs());
}

void BackendService::announceDeparture(
    const std::string &instance, std::optional<std::int64_t> startedAtMs) {
  Departed.announce({instance, startedAtMs, utcMs()});
}

// Takes the current server out if it has left by what another process was told
// or by a report that came late.
void BackendService::stopIfLeft() {
  if (Server.Phase != ServerPhase::Ready ||
      !hasLeft(Server.Instance, StartedAtMs)) {
    return;
  }
  Server.Phase = ServerPhase::Draining;
  Lines.info("backend server has left", {{"instance", Server.Instance}});
  Changed();
  updateGate();
}

void BackendService::departuresChanged() {
  stopIfLeft();
  if (!Departed.isComplete()) {
    return;
  }
  const auto held = std::exchange(HeldReports, {});
  for (const auto &it : held) {
    if (const auto taken = report(it); !taken) {
      Lines.info("a held report does not apply",
                 {{"instance", it.State.Instance},
                  {"reason", taken.reason().Message}});
    }
  }
}

Status BackendService::leave(const std::string &instance) {
  if (instance.empty()) {
    return Reason{ErrorCode::NotFound, "the notice names no instance"};
  }
  if (instance != Server.Instance) {
    announceDeparture(instance, std::nullopt);
    return Reason{ErrorCode::NotFound, "the instance is not the current one"};
  }
  Lines.info("backend server shut down", {{"instance", instance}});
  announceDeparture(instance, StartedAtMs);
  Server = {};
  updateGate();
  Changed();
  return Done{};
}

} // namespace chivefold
