/**
 * @file
 * Seeded discrete-event simulation of calls through two services.
 */
#ifndef CHIVEFOLD_BENCHMARK_REQUEST_PATH_SIMULATION_H
#define CHIVEFOLD_BENCHMARK_REQUEST_PATH_SIMULATION_H

#include "request_path_model.h"

#include <queue>
#include <random>
#include <utility>

namespace chivefold::benchmark {

using namespace std::chrono_literals;

class Simulation {
public:
  Simulation(const Deployment &deployment, const Scenario &scenario,
             bool isPlain)
      : Faults(scenario), IsPlain(isPlain), Random(20261204) {
    const ServerLimits limits{deployment.Slots, 120, 20, 1};
    for (int n = 0; n < Servers; ++n) {
      Hosts.push_back(
          std::make_unique<Host>(limits, n, n < Fronts ? n % 3 : n - Fronts));
    }
    for (auto &it : Hosts) {
      it->Routes.setSplit("front", {"v1", "", 0});
      it->Routes.setSplit("back", {"v1", "", 0});
    }
    for (int n = 0; n < Servers; ++n) {
      setMember(n, true);
    }
    const double capacity = Fronts * deployment.Slots / 0.065;
    Rate = capacity * (Faults.Overload ? 1.5 : 0.6);
  }

  Report run() {
    schedule(T0, [this] { arrive(); });
    if (Faults.Cold) {
      schedule(FaultAt - 2s, [this] { setMember(ColdServer, false); });
    }
    schedule(FaultAt, [this] { startFaults(); });
    while (!Events.empty() && Events.top().At < EndAt + 2s) {
      auto event = Events.top();
      Events.pop();
      Now = event.At;
      event.Run();
    }
    std::sort(Result.LatencyMs.begin(), Result.LatencyMs.end());
    return Result;
  }

private:
  struct Event {
    TimePoint At;
    std::uint64_t Sequence;
    std::function<void()> Run;
    bool operator<(const Event &o) const {
      return At != o.At ? At > o.At : Sequence > o.Sequence;
    }
  };

  void schedule(TimePoint at, std::function<void()> run) {
    Events.push({at, ++Sequence, std::move(run)});
  }
  Duration network(int from, int to) const {
    return Hosts[from]->Centre == Hosts[to]->Centre ? 200us : 750us;
  }
  static Address address(int n) {
    return {"127.0.0.1", static_cast<std::uint16_t>(n + 1)};
  }

  void setMember(int n, bool isAlive) {
    const auto centre = std::to_string(Hosts[n]->Centre);
    const char *service = n < Fronts ? "front" : "back";
    for (auto &it : Hosts) {
      if (isAlive) {
        it->Routes.update({address(n), centre, service, "v1", true, false});
      } else {
        it->Routes.remove(address(n));
      }
    }
    auto &list = n < Fronts ? PlainFronts : PlainBacks;
    list.erase(std::remove(list.begin(), list.end(), n), list.end());
    if (isAlive) {
      list.push_back(n);
    }
  }

  void startFaults() {
    if (Faults.Cold) {
      auto &host = *Hosts[ColdServer];
      host.Work = 0;
      host.Admission = Gate({host.Slots, 120, 20, 1});
      setMember(ColdServer, true);
    }
    Hosts[SlowServer]->SlowFactor = Faults.Slow ? 10 : 1;
    Hosts[FailingServer]->FailsFast = Faults.FailsFast;
    for (int n = 0; Faults.CentreOut && n < Servers; ++n) {
      if (Hosts[n]->Centre == LostCentre) {
        Hosts[n]->IsDead = true;
        // The members find out after 2 s.
        schedule(FaultAt + 2s, [this, n] { setMember(n, false); });
      }
    }
  }

  void arrive() {
    const auto kind = Random() % 10;
    const std::uint32_t worth = kind < 5 ? 1 : kind < 8 ? 3 : 10;
    int origin = static_cast<int>(Random() % Servers);
    while (Hosts[origin]->IsDead) {
      origin = static_cast<int>(Random() % Servers);
    }
    const bool isMeasured = Now >= FaultAt;
    if (isMeasured) {
      ++Result.Offered;
      Result.WorthOffered += worth;
    }
    const auto begin = Now;
    call(origin, true, {Now + CallTime, kind < 6, DefaultRetryBudget}, worth,
         [this, begin, worth, isMeasured](const FinishCall &end) {
           if (isMeasured && end.Result == Outcome::Answered &&
               end.Status < 500 && Now <= begin + CallTime) {
             Result.WorthAnswered += worth;
             Result.LatencyMs.push_back(
                 static_cast<double>((Now - begin).count()) / 1000);
           }
         });
    std::exponential_distribution<double> gap(Rate);
    const auto next =
        Now + Duration(static_cast<Duration::rep>(gap(Random) * 1e6));
    if (next < EndAt) {
      schedule(next, [this] { arrive(); });
    }
  }

  void call(int origin, bool isFront, const CallParameters &terms,
            std::uint32_t worth, std::function<void(const FinishCall &)> done) {
    auto hop = std::make_shared<Hop>(terms, Hosts[origin]->Tokens);
    hop->Origin = origin;
    hop->IsFront = isFront;
    hop->Deadline = terms.Deadline;
    hop->Worth = worth;
    hop->Repeatable = terms.Repeatable;
    hop->Done = std::move(done);
    if (IsPlain) {
      sendPlain(hop);
      return;
    }
    decide(hop, {});
  }

  void decide(const HopPtr &hop, const CallEvent &event) {
    auto decision = hop->Policy.next(event, Now);
    while (std::holds_alternative<FindRoute>(decision)) {
      const auto choice = Hosts[hop->Origin]->Routes.choose(
          hop->IsFront ? "front" : "back", hop->Policy.tried(), Now);
      decision = hop->Policy.next(
          {choice.Found ? CallEventKind::Routed : CallEventKind::NotRouted,
           choice.Peer, choice.RetryAfter, 0, ErrorCode::Ok},
          Now);
    }
    if (const auto *to = std::get_if<SendTo>(&decision)) {
      Hosts[hop->Origin]->Routes.started(to->Server, Now);
      send(hop, to->Server.Port - 1, to->AttemptDeadline, to->RetryBudget);
    } else if (const auto *end = std::get_if<FinishCall>(&decision)) {
      hop->Done(*end);
    }
  }

  void sendPlain(const HopPtr &hop) {
    auto &list = hop->IsFront ? PlainFronts : PlainBacks;
    const int to = list[RoundRobin++ % list.size()];
    send(hop, to, std::min(hop->Deadline, Now + 300ms), 0);
  }

  void send(const HopPtr &hop, int to, TimePoint deadline,
            std::uint32_t budget) {
    auto attempt = std::make_shared<Attempt>();
    attempt->Caller = hop;
    attempt->Server = to;
    attempt->Id = ++LastId;
    attempt->SentAt = Now;
    attempt->Deadline = deadline;
    attempt->RetryBudget = budget;
    schedule(Now + network(hop->Origin, to), [=] { receive(attempt); });
    schedule(deadline, [=] {
      if (!attempt->IsOver) {
        if (!IsPlain) {
          schedule(Now + network(hop->Origin, to), [=] { cancel(attempt); });
        }
        report(attempt, CallEventKind::AttemptTimedOut, 0, {});
      }
    });
  }

  /** The attempt's result reaches its caller. */
  void report(const AttemptPtr &attempt, CallEventKind kind,
              std::uint16_t status, const CallEvent &details) {
    if (attempt->IsOver) {
      return;
    }
    attempt->IsOver = true;
    const auto &hop = attempt->Caller;
    const bool isOk = kind == CallEventKind::Answered && status < 500;
    if (IsPlain) {
      if (!isOk && hop->Retries < 3 && Now < hop->Deadline) {
        ++hop->Retries;
        sendPlain(hop);
        return;
      }
      hop->Done({isOk ? Outcome::Answered : Outcome::Unknown,
                 isOk ? status : std::uint16_t{504},
                 {},
                 ErrorCode::Ok});
      return;
    }
    auto &routes = Hosts[hop->Origin]->Routes;
    const auto peer = address(attempt->Server);
    const auto gate = Hosts[attempt->Server]->Admission.state();
    if (isOk) {
      routes.answered(peer, Now - attempt->SentAt, gate, Now);
    } else if (kind == CallEventKind::RefusedNotRun) {
      routes.refused(peer, gate, details.RetryAfter, Now);
    } else {
      routes.failed(peer, Now - attempt->SentAt, Now);
    }
    auto event = details;
    event.Kind = kind;
    event.Status = status;
    decide(hop, event);
  }

  void reply(const AttemptPtr &attempt, CallEventKind kind,
             std::uint16_t status, Duration retryAfter = {}) {
    CallEvent details;
    details.RetryAfter = retryAfter;
    details.Code =
        retryAfter > Duration::zero() ? ErrorCode::Overloaded : ErrorCode::Ok;
    schedule(Now + network(attempt->Caller->Origin, attempt->Server),
             [=] { report(attempt, kind, status, details); });
  }

  void receive(const AttemptPtr &attempt) {
    auto &host = *Hosts[attempt->Server];
    Result.BackAttempts += !attempt->Caller->IsFront && Now >= FaultAt ? 1 : 0;
    if (host.IsDead) {
      reply(attempt, CallEventKind::FailedNotSent, 0);
      return;
    }
    host.Attempts[attempt->Id] = attempt;
    if (IsPlain) {
      if (host.InFlight < host.Slots) {
        execute(attempt);
      } else if (host.PlainQueue.size() < 20) {
        host.PlainQueue.push_back(attempt->Id);
      } else {
        host.Attempts.erase(attempt->Id);
        reply(attempt, CallEventKind::RefusedNotRun, 0, 20ms);
      }
      return;
    }
    const auto id = static_cast<GateRequestId>(attempt->Id);
    const auto admission =
        host.Admission.admit({id, attempt->Caller->Worth, attempt->Deadline,
                              attempt->Caller->Repeatable},
                             Now);
    if (admission.Shed) {
      refuse(host, *admission.Shed, admission.RetryAfter);
    }
    if (admission.Kind == AdmissionKind::Run) {
      execute(attempt);
    } else if (admission.Kind == AdmissionKind::Rejected) {
      refuse(host, id, admission.RetryAfter);
    } else {
      schedule(attempt->Deadline, [this, &host] {
        for (const auto late : host.Admission.expire(Now)) {
          refuse(host, late, 20ms);
        }
      });
    }
  }

  void refuse(Host &host, GateRequestId id, Duration retryAfter) {
    const auto it = host.Attempts.find(static_cast<std::uint64_t>(id));
    if (it != host.Attempts.end()) {
      reply(it->second, CallEventKind::RefusedNotRun, 0, retryAfter);
      host.Attempts.erase(it);
    }
  }

  void execute(const AttemptPtr &attempt) {
    auto &host = *Hosts[attempt->Server];
    attempt->IsRunning = true;
    attempt->StartedAt = Now;
    ++host.InFlight;
    if (host.Work < WorkToWarm) {
      Result.WorstColdLoad =
          std::max(Result.WorstColdLoad, host.InFlight / host.bearable());
    }
    if (host.FailsFast || host.InFlight > host.bearable()) {
      schedule(Now + 500us, [=] { complete(attempt, 500); });
      return;
    }
    std::exponential_distribution<double> tail(1.0);
    const double factor = (0.7 + 0.3 * tail(Random)) * host.SlowFactor *
                          std::max(1.0, host.InFlight / host.capacity());
    const bool isFront = attempt->Caller->IsFront;
    const auto work = std::chrono::duration_cast<Duration>(
        (isFront ? FrontWork : BackWork) * factor);
    schedule(Now + work, [=] {
      if (!isFront || !attempt->IsRunning) {
        complete(attempt, 200);
        return;
      }
      call(attempt->Server, false,
           {attempt->Deadline, attempt->Caller->Repeatable,
            attempt->RetryBudget},
           attempt->Caller->Worth, [=](const FinishCall &end) {
             const bool isOk =
                 end.Result == Outcome::Answered && end.Status < 500;
             complete(attempt, isOk ? 200 : 503);
           });
    });
  }

  void complete(const AttemptPtr &attempt, std::uint16_t status) {
    if (!attempt->IsRunning) {
      return; // Cancelled.
    }
    Hosts[attempt->Server]->Work += status == 200 ? 1 : 0;
    release(attempt,
            status == 200 ? ServerResult::Ok : ServerResult::ServerError);
    reply(attempt, CallEventKind::Answered, status);
  }

  void cancel(const AttemptPtr &attempt) {
    auto &host = *Hosts[attempt->Server];
    if (attempt->IsRunning) {
      release(attempt, ServerResult::TimedOut);
    } else if (host.Admission.cancel(static_cast<GateRequestId>(attempt->Id))) {
      host.Attempts.erase(attempt->Id);
    }
  }

  void release(const AttemptPtr &attempt, ServerResult result) {
    auto &host = *Hosts[attempt->Server];
    attempt->IsRunning = false;
    --host.InFlight;
    host.Attempts.erase(attempt->Id);
    if (IsPlain) {
      if (!host.PlainQueue.empty()) {
        const auto id = host.PlainQueue.front();
        host.PlainQueue.pop_front();
        execute(host.Attempts.at(id));
      }
      return;
    }
    for (const auto id :
         host.Admission.finish(static_cast<GateRequestId>(attempt->Id), result,
                               Now - attempt->StartedAt, Now)) {
      execute(host.Attempts.at(static_cast<std::uint64_t>(id)));
    }
  }

  Scenario Faults;
  bool IsPlain;
  std::mt19937_64 Random;
  double Rate = 0;
  TimePoint Now = T0;
  std::uint64_t Sequence = 0;
  std::uint64_t LastId = 0;
  std::size_t RoundRobin = 0;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<int> PlainFronts;
  std::vector<int> PlainBacks;
  std::priority_queue<Event> Events;
  Report Result;
};

} // namespace chivefold::benchmark

#endif
