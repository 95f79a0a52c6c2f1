/**
 * @file
 * Five daemons that run keyed requests over a fake log, network and servers.
 */
#ifndef CHIVEFOLD_FUZZ_CLAIM_WORLD_H
#define CHIVEFOLD_FUZZ_CLAIM_WORLD_H

#include "chivefold/core/call_policy.h"
#include "chivefold/core/claim_coordinator.h"
#include "chivefold/core/dissemination.h"
#include "chivefold/core/router.h"
#include "fake_world.h"

#include <map>
#include <memory>

namespace fuzz {

using namespace chivefold;

/**
 * Mirrors the wiring of src/daemon/claim_service.cpp and call_runner.cpp; the
 * decisions are the core's. Oracle: no key executes twice, "not run" is true
 * when it is decided, each caller gets one answer, its own.
 */
class ClaimWorld {
public:
  static constexpr std::size_t Daemons = 5;
  static constexpr unsigned Keys = 4;

  /** Deliberately wrong decisions, for the check of the oracle. */
  static std::vector<WrongDecision> wrongs() {
    const char *once = "no key is executed twice";
    const char *one = "every caller gets one answer";
    return {{"run-lost-claim", once},
            {"ignore-boot-id", once},
            {"run-without-log", once},
            {"repeat-unknown", once},
            {"unknown-as-notrun", "not-run is true when decided"},
            {"notrun-of-sent", "a caller told not-run has no execution"},
            {"conflict-of-own-body", "a conflicting body has no execution"},
            {"answer-of-other-key", "a caller gets the answer of its own key"},
            {"answer-twice", one},
            {"no-answer", one}};
  }

  static const std::vector<StepKind> &kinds() {
    static const std::vector<StepKind> all = {
        {"send", 10},    {"deliver", 60},  {"drop", 3},  {"double", 2},
        {"read", 10},    {"kill", 2},      {"pause", 2}, {"resume", 2},
        {"log-mode", 3}, {"partition", 2}, {"trim", 1},  {"server", 2},
        {"expire", 2}};
    return all;
  }

  ClaimWorld(std::string wrong, std::ostream *timeline)
      : Wrong(std::move(wrong)), Timeline(timeline) {
    for (std::size_t n = 0; n < Daemons; ++n) {
      start(n);
    }
    Service s = makeService("s");
    s.Limits = {2, 10, 2, 2};
    Log.Log.append(ChangeRecord{{}, {fleetSection(), serviceSection(s)}});
    for (std::size_t n = 0; n < Daemons; ++n) {
      read(n);
    }
  }

  void apply(const Step &s) {
    Now += Duration(1000);
    const auto n = s.A % Daemons;
    const std::string name = kinds()[s.Kind].Name;
    if (name == "send") {
      send(n, s.B);
    } else if (name == "deliver") {
      transport(s.A, false);
    } else if (name == "drop") {
      drop(s.A);
    } else if (name == "double") {
      transport(s.A, true);
    } else if (name == "read") {
      read(n);
    } else if (name == "kill") {
      kill(n);
    } else if (name == "pause" || name == "resume") {
      All[n]->Paused = name == "pause";
    } else if (name == "log-mode") {
      Log.Mode = static_cast<LogMode>(s.A % unsigned(LogMode::Count));
    } else if (name == "partition") {
      Cut.toggle(n, s.B % Daemons);
    } else if (name == "trim") {
      Log.trim(s.B % 4);
    } else if (name == "server") {
      Servers[n] = static_cast<ServerMode>(s.B % unsigned(ServerMode::Count));
    } else if (name == "expire") {
      expire(n, s.B);
    }
  }

  /** Everything heals, all messages arrive, all deadlines pass. */
  void settle() {
    Cut.heal();
    Log.Mode = LogMode::Up;
    for (auto &it : All) {
      it->Paused = false;
    }
    for (int round = 0; round < 3; ++round) {
      for (std::size_t n = 0; n < Daemons; ++n) {
        read(n);
      }
      for (int left = 2000; left > 0 && !InFlight.empty(); --left) {
        transport(0, false);
      }
      for (std::size_t n = 0; n < Daemons; ++n) {
        expireAll(n);
      }
    }
    for (const auto &it : Callers) {
      require(it.Answers == 1, "every caller gets one answer");
    }
    for (const auto &it : Executions) {
      const auto &runner = Callers.at(it.second.Caller);
      require(runner.Last.Result != Outcome::NotRun,
              "a caller told not-run has no execution");
    }
  }

private:
  enum class ServerMode : unsigned { Ok, Broken, Refusing, Failing, Count };
  struct Reply {
    Outcome Result = Outcome::Unknown;
    bool IsConflict = false;
    std::string Body;
    ErrorCode Code = ErrorCode::Ok;
  };
  using ReplyTo = std::function<void(Reply)>;
  struct Caller {
    unsigned Key = 0;
    unsigned Body = 0;
    std::size_t Daemon = 0;
    int Answers = 0;
    Reply Last;
    std::string text() const {
      return std::to_string(Key) + "/" + std::to_string(Body);
    }
  };
  struct Execution {
    std::size_t Caller = 0;
    unsigned Body = 0;
  };
  struct Waiter {
    std::size_t Caller = 0;
    ReplyTo Done;
  };
  struct Run {
    std::size_t Caller = 0;
    CallPolicy Policy;
    std::uint32_t Attempt = 0;
    bool Ended = false;
    Reply Last;
  };
  using RunPtr = std::shared_ptr<Run>;
  struct Node {
    Node(const DaemonId &id, std::uint64_t seed)
        : Self(id), Members(memberOf(id.Peer.Port), seed), Tokens(TimePoint{}),
          Routes(seed, "east") {
      for (std::uint16_t n = 0; n < Daemons; ++n) {
        const auto m = memberOf(static_cast<std::uint16_t>(FirstPort + n));
        Members.merge(m, TimePoint{});
        Routes.update({m.Peer, m.DataCentre, "s", "v1", true, false});
      }
      Routes.setSplit("s", {"v1", "", 0});
    }
    DaemonId Self;
    bool Paused = false;
    ControlState State;
    MemberTable Members;
    Dissemination Core{State, Members};
    ClaimCoordinator Claims{State, Self, ClaimLimits{6, 4, 64, 256, 3, 3}};
    RetryTokens Tokens;
    Router Routes;
    Gate Admission{ServerLimits{2, 10, 2, 2}};
    std::map<WaiterId, Waiter> Waiters;
    std::vector<std::pair<RunPtr, std::uint32_t>> Attempts;
    struct Queued {
      std::size_t Caller = 0;
      ReplyTo Done;
    };
    std::map<GateRequestId, Queued> AtGate;
  };
  static constexpr std::uint16_t FirstPort = 9000;

  static Member memberOf(std::uint16_t port) {
    Member m;
    m.Peer = {"127.0.0.1", port};
    m.DataCentre = port % 2 == 0 ? "east" : "west";
    return m;
  }
  static KeyHash hashOf(unsigned key) { return {key + 1, key + 1}; }
  bool isWrong(const char *name) const { return Wrong == name; }
  void say(const std::string &text) const {
    if (Timeline != nullptr) {
      *Timeline << "    " << text << "\n";
    }
  }

  void start(std::size_t n) {
    const auto port = static_cast<std::uint16_t>(FirstPort + n);
    ++Boots;
    All[n] = std::make_unique<Node>(daemonId(port, Boots), Boots);
  }
  bool isAlive(std::size_t n, std::uint64_t boot) const {
    return All[n]->Self.BootId == boot;
  }
  std::uint64_t bootOf(std::size_t n) const { return All[n]->Self.BootId; }

  void kill(std::size_t n) {
    start(n);
    for (auto &it : Callers) {
      if (it.Daemon == n && it.Answers == 0) {
        it.Answers = 1; // The connection broke: the caller knows nothing.
      }
    }
  }

  void post(Message m) {
    constexpr std::size_t maxInFlight = 200;
    if (InFlight.size() < maxInFlight) {
      return InFlight.push_back(std::move(m));
    }
    m.Lost();
  }

  /** Delivers the message unless its receiver is paused or cut off. */
  void transport(std::size_t which, bool isDoubled) {
    if (InFlight.empty()) {
      return;
    }
    const auto it =
        InFlight.begin() + static_cast<std::ptrdiff_t>(which % InFlight.size());
    if (All[it->To]->Paused || Cut.blocks(it->From, it->To)) {
      return;
    }
    const auto m = *it;
    if (!isDoubled || !m.MayDouble) {
      InFlight.erase(it);
    }
    const bool arrives = isAlive(m.To, m.ToBoot);
    say((arrives ? "arrives: " : "refused: ") + m.Label + " at daemon " +
        std::to_string(m.To));
    arrives ? m.Deliver() : m.Lost();
  }

  void drop(std::size_t which) {
    if (InFlight.empty()) {
      return;
    }
    const auto it =
        InFlight.begin() + static_cast<std::ptrdiff_t>(which % InFlight.size());
    const auto m = *it;
    InFlight.erase(it);
    say("lost: " + m.Label);
    m.Lost();
  }

  void send(std::size_t n, unsigned what) {
    const auto id = Callers.size();
    Callers.push_back({what % Keys, what / Keys % 8 == 0 ? 1U : 0U, n, 0, {}});
    say("caller " + std::to_string(id) + " sends " + Callers[id].text());
    const auto done = [this, id](const Reply &r) { answerCaller(id, r); };
    post({"caller " + std::to_string(id), n, n, bootOf(n), false,
          [this, n, id, done] { request(n, id, false, done); },
          [this, id, done] {
            if (Callers[id].Answers == 0) {
              done({Outcome::Unknown, false, "", ErrorCode::Ok});
            }
          }});
  }

  void answerCaller(std::size_t id, Reply reply) {
    auto &caller = Callers[id];
    if (isWrong("answer-of-other-key") && reply.Result == Outcome::Answered) {
      reply.Body = Callers[id / 2].text();
    }
    if (isWrong("no-answer") && reply.IsConflict) {
      return;
    }
    caller.Answers += isWrong("answer-twice") && reply.IsConflict ? 2 : 1;
    caller.Last = reply;
    say("caller " + std::to_string(id) + " is told " +
        std::string(outcomeName(reply.Result)) + " " + reply.Body);
    require(caller.Answers == 1, "every caller gets one answer");
    require(reply.Result != Outcome::Answered || reply.Body == caller.text(),
            "a caller gets the answer of its own key");
  }

  void request(std::size_t n, std::size_t caller, bool toHolder, ReplyTo done) {
    auto &node = *All[n];
    if (!node.Core.readiness().Ready) {
      return done({Outcome::Unknown, false, "", ErrorCode::NotReady});
    }
    const auto id = WaiterId{++LastId};
    const auto &c = Callers[caller];
    node.Waiters[id] = {caller, std::move(done)};
    auto effect = node.Claims.request(hashOf(c.Key), c.Body, toHolder, id);
    const auto claim = node.State.claim(hashOf(c.Key));
    if (isWrong("ignore-boot-id") && claim &&
        claim->Holder.Peer == node.Self.Peer && claim->Holder != node.Self) {
      effect.Action = ClaimAction::Run;
    } else if (isWrong("conflict-of-own-body") &&
               effect.Action == ClaimAction::Answer) {
      effect.Action = ClaimAction::Conflict;
    }
    act(n, {effect});
    append(n);
  }

  void append(std::size_t n) {
    auto keys = All[n]->Claims.nextAppend();
    if (keys.empty()) {
      return;
    }
    const auto boot = bootOf(n);
    const Record record{Log.Log.freshId(), "", ClaimRecord{All[n]->Self, keys}};
    const auto answer = [this, n, boot, keys](const AppendResult &r) {
      post({"append answer", n, n, boot, false,
            [this, n, keys, r] { appended(n, keys, r); },
            [this, n, boot, keys] {
              if (isAlive(n, boot)) {
                appended(n, keys, {std::nullopt, true});
              }
            }});
    };
    // The log is not a daemon: its queue is judged by the writer's link. A
    // record that was sent lands even if its writer has died since.
    Message m{"append", n, n, boot, false, {}, {}};
    m.Deliver = m.Lost = [this, record, answer] { land(record, answer); };
    post(std::move(m));
  }

  void land(const Record &record,
            const std::function<void(const AppendResult &)> &answer) {
    switch (Log.Mode) {
    case LogMode::Down:
      return answer({std::nullopt, false});
    case LogMode::LandLate: {
      Message m{"late append", 0, 0, bootOf(0), false, {}, {}};
      m.Deliver = m.Lost = [this, record] { Log.Log.append(record); };
      post(std::move(m));
      return answer({std::nullopt, true});
    }
    case LogMode::LoseAnswer:
      Log.Log.append(record);
      return answer({std::nullopt, true});
    default:
      return answer({Log.Log.append(record).Offset, false});
    }
  }

  void appended(std::size_t n, const std::vector<KeyHash> &keys,
                const AppendResult &r) {
    auto &node = *All[n];
    if (r.Offset) {
      node.Claims.appendAccepted();
      read(n);
    } else {
      auto effects = node.Claims.appendFailed(keys, r.MayHaveTakenEffect);
      if (isWrong("run-without-log")) {
        for (auto &it : effects) {
          it.Action = ClaimAction::Run;
        }
      }
      act(n, effects);
    }
    append(n);
  }

  void read(std::size_t n) {
    auto &node = *All[n];
    if (node.Paused || Log.Mode == LogMode::Down) {
      return;
    }
    if (raw(node.State.applied()) + 1 < Log.First) {
      const auto &peer = *All[(n + 1) % Daemons];
      if (!Cut.blocks(n, (n + 1) % Daemons) && !peer.Paused) {
        (void)node.Core.installSnapshot(peer.State.encodeSnapshot());
      }
    }
    node.Core.recovery().logReached(LogOffset{raw(Log.tail()) + 1});
    constexpr std::size_t maxRead = 100;
    auto result = node.Core.accept(Log.read(node.State.applied(), maxRead),
                                   std::nullopt, Now);
    const auto boot = bootOf(n);
    applied(n);
    for (auto &it : result.Pushes) {
      const auto to = static_cast<std::size_t>(it.Peer.Port - FirstPort);
      post({"records", n, to, bootOf(to), true,
            [this, to, records = it.Records] {
              All[to]->Core.accept(records, std::nullopt, Now);
              applied(to);
            },
            [] {}});
    }
    require(isAlive(n, boot), "a daemon lives while it reads");
  }

  void applied(std::size_t n) {
    auto effects = All[n]->Claims.recordsApplied();
    for (auto &it : effects) {
      if (isWrong("run-lost-claim") && it.Action == ClaimAction::Forward) {
        it.Action = ClaimAction::Run;
      }
    }
    act(n, effects);
  }

  void act(std::size_t n, const std::vector<ClaimEffect> &effects) {
    for (const auto &it : effects) {
      act(n, it);
    }
  }

  void act(std::size_t n, const ClaimEffect &effect) {
    auto &node = *All[n];
    const auto found = node.Waiters.find(effect.Waiter);
    if (found == node.Waiters.end()) {
      return;
    }
    const auto caller = found->second.Caller;
    const auto key = Callers[caller].Key;
    ++reached()[std::string(claimActionName(effect.Action)) + " decisions"];
    switch (effect.Action) {
    case ClaimAction::Wait:
      return;
    case ClaimAction::Run:
      return run(n, caller);
    case ClaimAction::Answer:
      return reply(n, effect.Waiter,
                   {Outcome::Answered, false, effect.Response->Body, {}});
    case ClaimAction::Forward:
      return forward(n, effect.Waiter, caller);
    case ClaimAction::NotRun:
      require(Executions.count(key) == 0, "not-run is true when decided");
      return reply(n, effect.Waiter, {Outcome::NotRun, false, "", {}});
    case ClaimAction::Unknown:
      return reply(n, effect.Waiter, {Outcome::Unknown, false, "", {}});
    case ClaimAction::Conflict: {
      const auto run = Executions.find(key);
      require(run == Executions.end() ||
                  run->second.Body != Callers[caller].Body,
              "a conflicting body has no execution");
      return reply(n, effect.Waiter, {Outcome::NotRun, true, "", {}});
    }
    }
  }

  void reply(std::size_t n, WaiterId id, const Reply &r) {
    const auto it = All[n]->Waiters.find(id);
    if (it != All[n]->Waiters.end()) {
      const auto done = std::move(it->second.Done);
      All[n]->Waiters.erase(it);
      done(r);
    }
  }

  /** Sends @p work to a daemon; its reply travels back. The outcome of a lost
   * reply is unknown, a request that never arrived is certainly not run. */
  void call(const std::string &label, std::size_t from, std::size_t to,
            std::uint64_t toBoot, const std::function<void(ReplyTo)> &work,
            const ReplyTo &done) {
    const auto boot = bootOf(from);
    const auto back = [this, label, from, to, boot, done](const Reply &r) {
      const auto give = [this, from, boot, done](const Reply &x) {
        if (isAlive(from, boot)) {
          done(x);
        }
      };
      post({"answer to " + label, to, from, boot, false, [give, r] { give(r); },
            [give] {
              give({Outcome::Unknown, false, "", {}});
            }});
    };
    const Reply unsent{Outcome::NotRun, false, "", ErrorCode::ConnectionFailed};
    post({label, from, to, toBoot, false, [work, back] { work(back); },
          [back, unsent] { back(unsent); }});
  }

  void forward(std::size_t n, WaiterId id, std::size_t caller) {
    const auto to = All[n]->Claims.forwardTo(hashOf(Callers[caller].Key));
    if (!to) {
      return reply(n, id, {Outcome::Unknown, false, "", {}});
    }
    const auto peer = static_cast<std::size_t>(to->Port - FirstPort);
    call(
        "forwarded caller " + std::to_string(caller), n, peer, bootOf(peer),
        [this, peer, caller](const ReplyTo &done) {
          request(peer, caller, true, done);
        },
        [this, n, id](Reply r) {
          if (r.Code == ErrorCode::ConnectionFailed) {
            r.Result = Outcome::Unknown; // Only the holder says "not run".
          }
          reply(n, id, r);
        });
  }

  void run(std::size_t n, std::size_t caller) {
    const CallParameters terms{Now + std::chrono::hours(1),
                               isWrong("repeat-unknown"), DefaultRetryBudget};
    const auto run = std::make_shared<Run>(
        Run{caller, CallPolicy(terms, All[n]->Tokens), 0, false, {}});
    advance(n, run, CallEvent{});
  }

  void advance(std::size_t n, const RunPtr &run, const CallEvent &event) {
    const auto decision = run->Policy.next(event, Now);
    if (std::holds_alternative<FindRoute>(decision)) {
      const auto choice = All[n]->Routes.choose("s", run->Policy.tried(), Now);
      CallEvent next;
      next.Kind =
          choice.Found ? CallEventKind::Routed : CallEventKind::NotRouted;
      next.Server = choice.Peer;
      advance(n, run, next);
    } else if (const auto *to = std::get_if<SendTo>(&decision)) {
      attempt(n, run, *to);
    } else if (const auto *end = std::get_if<FinishCall>(&decision)) {
      ended(n, run, end->Result);
    }
  }

  void attempt(std::size_t n, const RunPtr &run, const SendTo &to) {
    const auto key = hashOf(Callers[run->Caller].Key);
    if (!All[n]->Claims.table().attemptStarted(key) && !startsAnyway()) {
      return ended(n, run, Outcome::Unknown);
    }
    run->Attempt = to.Attempt;
    All[n]->Attempts.emplace_back(run, to.Attempt);
    All[n]->Routes.started(to.Server, Now);
    const auto server = static_cast<std::size_t>(to.Server.Port - FirstPort);
    call(
        "attempt of caller " + std::to_string(run->Caller), n, server,
        bootOf(server),
        [this, server, run](const ReplyTo &done) {
          admit(server, run->Caller, done);
        },
        [this, n, run, attempt = to.Attempt](const Reply &r) {
          attemptEnded(n, run, attempt, r);
        });
  }

  bool startsAnyway() const {
    return isWrong("repeat-unknown") || isWrong("run-without-log") ||
           isWrong("run-lost-claim") || isWrong("ignore-boot-id");
  }

  void attemptEnded(std::size_t n, const RunPtr &run, std::uint32_t attempt,
                    const Reply &r) {
    if (run->Ended || attempt != run->Attempt) {
      return;
    }
    CallEvent event;
    event.Code = r.Code;
    event.Status = 200;
    const bool isTimeout = r.Code == ErrorCode::DeadlineExceeded;
    if (isWrong("notrun-of-sent") && isTimeout) {
      All[n]->Claims.table().attemptNotRun(hashOf(Callers[run->Caller].Key));
      return ended(n, run, Outcome::NotRun);
    }
    if (r.Result == Outcome::Answered) {
      event.Kind = CallEventKind::Answered;
    } else if (r.Result == Outcome::NotRun) {
      All[n]->Claims.table().attemptNotRun(hashOf(Callers[run->Caller].Key));
      event.Kind = r.Code == ErrorCode::ConnectionFailed
                       ? CallEventKind::FailedNotSent
                       : CallEventKind::RefusedNotRun;
    } else {
      event.Kind = CallEventKind::FailedMayHaveRun;
    }
    run->Last = r;
    advance(n, run, event);
  }

  void ended(std::size_t n, const RunPtr &run, Outcome outcome) {
    run->Ended = true;
    auto &table = All[n]->Claims.table();
    const auto key = hashOf(Callers[run->Caller].Key);
    if (outcome == Outcome::Answered) {
      return act(n, table.answered(key, {200, {}, run->Last.Body}));
    }
    auto effects = table.endedWithoutResponse(key, outcome);
    for (auto &it : effects) {
      if (isWrong("unknown-as-notrun") && it.Action == ClaimAction::Unknown) {
        it.Action = ClaimAction::NotRun;
      }
    }
    act(n, effects);
  }

  void admit(std::size_t n, std::size_t caller, const ReplyTo &done) {
    auto &node = *All[n];
    const auto id = GateRequestId{++LastId};
    if (Servers[n] == ServerMode::Refusing) {
      return done({Outcome::NotRun, false, "", ErrorCode::Overloaded});
    }
    node.AtGate[id] = {caller, done};
    const auto admission =
        node.Admission.admit({id, 1, Now + std::chrono::hours(1), false}, Now);
    if (admission.Shed) {
      leaveGate(n, *admission.Shed,
                {Outcome::NotRun, false, "", ErrorCode::Overloaded});
    }
    if (admission.Kind == AdmissionKind::Rejected) {
      leaveGate(n, id, {Outcome::NotRun, false, "", admission.Code});
    } else if (admission.Kind == AdmissionKind::Run) {
      execute(n, id);
    }
  }

  void leaveGate(std::size_t n, GateRequestId id, const Reply &r) {
    const auto it = All[n]->AtGate.find(id);
    const auto done = it->second.Done;
    All[n]->AtGate.erase(it);
    done(r);
  }

  void execute(std::size_t n, GateRequestId id) {
    const auto caller = All[n]->AtGate.at(id).Caller;
    const auto &c = Callers[caller];
    Reply r{Outcome::Answered, false, c.text(), {}};
    if (Servers[n] == ServerMode::Broken) {
      r = {Outcome::NotRun, false, "", ErrorCode::ConnectionFailed};
    } else {
      say("server " + std::to_string(n) + " executes " + c.text());
      ++reached()["executions"];
      require(Executions.emplace(c.Key, Execution{caller, c.Body}).second,
              "no key is executed twice");
    }
    if (Servers[n] == ServerMode::Failing) {
      r = {Outcome::Unknown, false, "", ErrorCode::ConnectionFailed};
    }
    const auto boot = bootOf(n);
    const auto finish = [this, n, id, r] { finished(n, id, r); };
    // A lost response of the local server is an unknown outcome.
    const auto lost = [this, n, boot, id] {
      if (isAlive(n, boot)) {
        finished(n, id, {Outcome::Unknown, false, "", {}});
      }
    };
    post({"server's response", n, n, boot, false, finish, lost});
  }

  void finished(std::size_t n, GateRequestId id, const Reply &r) {
    const auto result = r.Result == Outcome::Answered ? ServerResult::Ok
                        : r.Result == Outcome::NotRun
                            ? ServerResult::ConnectionFailed
                            : ServerResult::ServerError;
    const auto next = All[n]->Admission.finish(id, result, Duration(2000), Now);
    leaveGate(n, id, r);
    for (const auto &it : next) {
      execute(n, it);
    }
  }

  /** The deadline of an attempt or of a caller passes. */
  void expire(std::size_t n, std::size_t which) {
    auto &node = *All[n];
    if (node.Paused) {
      return;
    }
    if (which % 2 == 0 && !node.Attempts.empty()) {
      const auto it = node.Attempts.begin() +
                      static_cast<std::ptrdiff_t>(which % node.Attempts.size());
      const auto [run, attempt] = *it;
      node.Attempts.erase(it);
      attemptEnded(n, run, attempt,
                   {Outcome::Unknown, false, "", ErrorCode::DeadlineExceeded});
    } else if (!node.Waiters.empty()) {
      auto it = node.Waiters.begin();
      std::advance(it, which % node.Waiters.size());
      const auto id = it->first;
      node.Claims.table().removeWaiter(hashOf(Callers[it->second.Caller].Key),
                                       id);
      say("a caller's deadline passes at daemon " + std::to_string(n));
      reply(n, id, {Outcome::Unknown, false, "", {}});
    }
  }

  void expireAll(std::size_t n) {
    while (!All[n]->Attempts.empty()) {
      expire(n, 0);
    }
    while (!All[n]->Waiters.empty()) {
      expire(n, 1);
    }
  }

  std::string Wrong;
  std::ostream *Timeline;
  FakeLog Log;
  Partition Cut;
  std::unique_ptr<Node> All[Daemons];
  ServerMode Servers[Daemons] = {};
  std::vector<Message> InFlight;
  std::vector<Caller> Callers;
  std::map<unsigned, Execution> Executions;
  std::uint64_t Boots = 0;
  std::uint64_t LastId = 0;
  TimePoint Now{std::chrono::hours(1)};
};

} // namespace fuzz

#endif
