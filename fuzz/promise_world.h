/**
 * @file
 * Daemons that replay, route, gate and drive moves over a fake log and network.
 */
#ifndef CHIVEFOLD_FUZZ_PROMISE_WORLD_H
#define CHIVEFOLD_FUZZ_PROMISE_WORLD_H

#include "chivefold/core/dissemination.h"
#include "chivefold/core/move_controller.h"
#include "chivefold/core/router.h"
#include "chivefold/core/safe_steps.h"
#include "chivefold/daemon/routing_update.h"
#include "fake_world.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>

namespace fuzz {

using namespace chivefold;

/**
 * Oracle: a reference replay judges each record as it enters the log (what may
 * change, and why); each daemon must show the facts of the offset that it has
 * applied, and its safe steps on top.
 */
class PromiseWorld {
public:
  static constexpr std::size_t Daemons = 5;

  static std::vector<WrongDecision> wrongs() {
    return {{"older-version", "no daemon goes back to an older version"},
            {"broken-reference", "no route to a missing service"},
            {"partial-batch", "no batch is applied in part"},
            {"ignore-take-out", "a take-out holds until a later put-back"},
            {"ignore-take-back", "a take-back holds while its move runs"},
            {"ignore-epoch", "a share rises only under the current epoch"},
            {"never-take-back", "a move ends as done or taken back"},
            {"exceed-gate", "a gate keeps its limit"},
            {"exceed-queue", "a gate keeps its queue"}};
  }

  static const std::vector<StepKind> &kinds() {
    static const std::vector<StepKind> all = {
        {"change", 6},      {"batch", 3},    {"take-out", 2},  {"put-back", 2},
        {"deliver", 25},    {"drop", 3},     {"double", 3},    {"read", 8},
        {"snapshot", 2},    {"tick", 25},    {"pause", 2},     {"resume", 2},
        {"kill", 1},        {"log-mode", 2}, {"partition", 2}, {"trim", 1},
        {"new-version", 1}, {"route", 6},    {"admit", 10},    {"finish", 8},
        {"take-back", 1},   {"old-step", 4}};
    return all;
  }

  PromiseWorld(std::string wrong, std::ostream *timeline)
      : Wrong(std::move(wrong)), Timeline(timeline) {
    commit({Log.Log.freshId(), "",
            ChangeRecord{{}, {fleetSection(), serviceSection(service(0))}}});
    for (std::size_t n = 0; n < Daemons; ++n) {
      start(n);
      read(n);
    }
  }

  void apply(const Step &s) {
    Now += Duration(1000);
    const auto n = s.A % Daemons;
    const std::string name = kinds()[s.Kind].Name;
    if (name == "change") {
      change(n, s.B);
    } else if (name == "batch") {
      batch(n, s.B);
    } else if (name == "take-out") {
      takeOut(n, s.B);
    } else if (name == "put-back") {
      append(n, DataCentreRecord{dataCentre(s.B), false});
    } else if (name == "deliver") {
      transport(s.A, false);
    } else if (name == "drop") {
      if (!InFlight.empty()) {
        InFlight.erase(at(s.A));
      }
    } else if (name == "double") {
      transport(s.A, true);
    } else if (name == "read") {
      read(n);
    } else if (name == "snapshot") {
      snapshot(n, s.B % Daemons);
    } else if (name == "tick") {
      Now += std::chrono::seconds(s.B % 20);
      tick(n);
    } else if (name == "route") {
      route(n);
    } else if (name == "admit") {
      admit(n, s.B);
    } else if (name == "finish") {
      finish(n, s.B);
    } else if (name == "old-step") {
      oldStep(n, s.B);
    } else if (name == "take-back") {
      takeBack(n);
    } else {
      disturb(name, n, s);
    }
    check();
  }

  /** Everything heals and the deadline passes. */
  void settle() {
    Cut.heal();
    Log.Mode = LogMode::Up;
    constexpr int rounds = 125; // of 5 s, longer than any deadline
    for (int round = 0; round < rounds; ++round) {
      Now += std::chrono::seconds(5);
      for (std::size_t n = 0; n < Daemons; ++n) {
        All[n]->Paused = false;
        read(n);
        tick(n);
      }
      for (int left = 300; left > 0 && !InFlight.empty(); --left) {
        transport(0, false);
      }
      check();
    }
    const auto *m = Reference.move("s");
    require(m == nullptr || m->Ended, "a move ends as done or taken back");
    for (const auto &it : All) {
      require(it->State.digest() == Reference.digest(), "all daemons agree");
    }
  }

private:
  /** What the log says at one offset. */
  struct Facts {
    Version InForce = Version::None;
    Version Move = Version::None;
    bool Running = false;
    std::uint32_t Share = 0;
    std::string Effective;
    std::array<bool, 2> Out{};
    std::array<LogOffset, 2> OutOffset{};
  };
  struct HeardTakeOut {
    LogOffset After = LogOffset::None;
    bool Holds = false;
  };
  struct Node {
    Node(std::size_t n, std::uint64_t boot, const ServerLimits &limits)
        : Self(daemonId(portOf(n), boot)), Members(memberOf(n), boot),
          Routes(boot, "east"), Admission(limits) {
      for (std::size_t i = 0; i < Daemons; ++i) {
        Members.merge(memberOf(i), TimePoint{});
      }
    }
    DaemonId Self;
    bool Paused = false;
    ControlState State;
    MemberTable Members;
    Dissemination Core{State, Members};
    SafeSteps Steps{State};
    Router Routes;
    RoutingUpdate Update{Routes, State, Steps, Members};
    Gate Admission;
    std::set<GateRequestId> Running;
    std::set<GateRequestId> Queued;
    std::optional<MoveController> Controller;
    Version Driven = Version::None;
    LogOffset SeenLease = LogOffset::None;
    std::optional<TimePoint> HolderSeen;
    std::optional<TimePoint> LogRead;
    bool LogAvailable = false;
    // What the oracle remembers of this run.
    Version SeenVersion = Version::None;
    std::array<HeardTakeOut, 2> Heard{};
    Version HeardTakeBack = Version::None;
  };
  static constexpr std::uint16_t FirstPort = 9000;
  static constexpr UtcTime Epoch0{std::chrono::hours(24)};

  static std::uint16_t portOf(std::size_t n) {
    return static_cast<std::uint16_t>(FirstPort + n);
  }
  static std::size_t indexOf(const Address &a) { return a.Port - FirstPort; }
  static Member memberOf(std::size_t n) {
    Member m;
    m.Peer = {"127.0.0.1", portOf(n)};
    m.DataCentre = dataCentre(static_cast<unsigned>(n));
    m.Service = "s";
    m.ServiceVersion = n < 2 ? "v1" : "v2";
    return m;
  }
  static std::string dataCentre(unsigned n) {
    return n % 2 == 0 ? "east" : "west";
  }
  Service service(int deadlineSeconds) const {
    auto s = makeService("s");
    s.Limits = {4, 10, 3, 2};
    if (deadlineSeconds > 0) {
      s.Move = MoveRequest{"v2", utc() + std::chrono::seconds(deadlineSeconds)};
    }
    return s;
  }
  UtcTime utc() const {
    return Epoch0 + std::chrono::duration_cast<std::chrono::milliseconds>(
                        Now.time_since_epoch());
  }
  bool isWrong(const char *name) const { return Wrong == name; }
  void say(const std::string &text) const {
    if (Timeline != nullptr) {
      *Timeline << "    " << text << "\n";
    }
  }

  void start(std::size_t n) {
    All[n] = std::make_unique<Node>(n, ++Boots, service(0).Limits);
  }

  std::vector<Message>::iterator at(std::size_t which) {
    return InFlight.begin() +
           static_cast<std::ptrdiff_t>(which % InFlight.size());
  }

  void post(std::string label, std::size_t from, std::size_t to,
            std::function<void()> deliver) {
    constexpr std::size_t maxInFlight = 300;
    if (InFlight.size() < maxInFlight) {
      InFlight.push_back(
          {std::move(label), from, to, 0, true, std::move(deliver), {}});
    }
  }

  void transport(std::size_t which, bool isDoubled) {
    if (InFlight.empty()) {
      return;
    }
    const auto it = at(which);
    if (All[it->To]->Paused || Cut.blocks(it->From, it->To)) {
      return;
    }
    const auto m = *it;
    if (!isDoubled) {
      InFlight.erase(it);
    }
    say(m.Label + " from daemon " + std::to_string(m.From) + " to " +
        std::to_string(m.To));
    m.Deliver();
  }

  /** A record under way to the log; it may land late, twice or not at all. */
  void append(std::size_t n, RecordBody body) {
    const Record r{Log.Log.freshId(), "", std::move(body)};
    post("append", n, n, [this, r] {
      if (Log.Mode != LogMode::Down) {
        commit(r);
      }
    });
  }

  /** What a daemon with a wrong decision makes of a record. */
  LogEntry asRead(LogEntry entry) const {
    auto r = decodeRecord(entry.Bytes);
    if (auto *step = std::get_if<MoveStepRecord>(&r->Body)) {
      const auto *lease = Reference.lease(step->Service);
      if (isWrong("ignore-epoch") && lease != nullptr) {
        step->LeaseEpoch = lease->LeaseEpoch;
        entry.Bytes = encodeRecord(*r);
      }
    } else if (auto *part = std::get_if<ChangePartRecord>(&r->Body)) {
      if (isWrong("partial-batch")) {
        r->Body = ChangeRecord{Reference.version(), part->Sections};
        entry.Bytes = encodeRecord(*r);
      }
    }
    return entry;
  }

  void commit(const Record &record) {
    auto entry = asRead(Log.Log.append(record));
    Log.Log.Entries.back() = entry;
    const bool repeated = Reference.verdict(record.Id).has_value();
    const ControlState before = Reference;
    require(Reference.apply(entry).hasValue(), "the log has no gaps");
    const auto facts = factsOf(Reference);
    say("log " + std::to_string(raw(entry.Offset)) + ": version " +
        std::to_string(raw(facts.InForce)) + " share " +
        std::to_string(facts.Share));
    judge(record, before, facts, repeated);
    History.push_back(facts);
  }

  static Facts factsOf(const ControlState &s) {
    Facts f;
    f.InForce = s.version();
    f.Effective = s.effectiveVersion("s");
    if (const auto *m = s.move("s")) {
      f.Move = m->Move;
      f.Running = !m->Ended;
      f.Share = m->Ended ? 0 : m->ShareBasisPoints;
    }
    for (unsigned n = 0; n < 2; ++n) {
      f.Out[n] = s.takenOut(dataCentre(n));
      const auto *dc = s.dataCentre(dataCentre(n));
      f.OutOffset[n] = dc == nullptr ? LogOffset::None : dc->Offset;
    }
    return f;
  }

  static void count(const Facts &was, const Facts &after,
                    const ControlState &before) {
    reached()["versions"] += after.InForce != was.InForce ? 1 : 0;
    reached()["moves"] += after.Move != was.Move ? 1 : 0;
    reached()["share raised"] += after.Share > was.Share ? 1 : 0;
    reached()["moves done"] +=
        after.Effective == "v2" && was.Running && !after.Running ? 1 : 0;
    reached()["moves ended"] += was.Running && !after.Running ? 1 : 0;
    reached()["records"] += 1;
    reached()["records under a lease"] += before.lease("s") != nullptr ? 1 : 0;
  }

  /** Judges a transition from the record as it was written. */
  void judge(const Record &r, const ControlState &before, const Facts &after,
             bool repeated) const {
    const auto was = factsOf(before);
    count(was, after, before);
    const auto *change = std::get_if<ChangeRecord>(&r.Body);
    const auto *end = std::get_if<ChangeCommitRecord>(&r.Body);
    const auto *config = Reference.configuration().get();
    require((config->service("left") == nullptr) ==
                (config->service("right") == nullptr),
            "no batch is applied in part");
    if (after.InForce != was.InForce) {
      require(!repeated, "a repeated record changes nothing");
      require(change != nullptr || end != nullptr,
              "only a whole change makes a version");
      require((change ? change->Base : end->Base) == was.InForce,
              "a change counts on its base only");
    }
    const auto *lease = before.lease("s");
    const auto epoch = lease == nullptr ? Epoch::None : lease->LeaseEpoch;
    if (after.Share > was.Share) {
      const auto *step = std::get_if<MoveStepRecord>(&r.Body);
      require(!repeated && step != nullptr && step->Move == was.Move &&
                  epoch != Epoch::None && step->LeaseEpoch == epoch,
              "a share rises only under the current epoch");
    }
    if (after.Effective != was.Effective && change == nullptr &&
        end == nullptr) {
      const auto *done = std::get_if<MoveEndRecord>(&r.Body);
      require(done != nullptr && done->Result == MoveResult::Done &&
                  epoch != Epoch::None && done->LeaseEpoch == epoch,
              "a move is done only under the current epoch");
    }
  }

  /** An operator's change, perhaps on an old base or with a broken reference.
   */
  void change(std::size_t n, unsigned kind) {
    const auto base = All[n]->State.version();
    Section s;
    switch (kind % 5) {
    case 0:
    case 1:
      s = serviceSection(service(60 + static_cast<int>(kind) * 5));
      break;
    case 2: {
      auto dependent = makeService("dependent");
      dependent.DependsOn = {kind % 2 == 0 ? "missing" : "s"};
      s = serviceSection(dependent);
      break;
    }
    case 3:
      s.RemovedService = kind % 2 == 0 ? "dependent" : "s";
      break;
    default:
      s = serviceSection(service(0));
    }
    append(n, ChangeRecord{base, {s}});
  }

  /** Adds or removes the services "left" and "right" in two parts; the commit
   * may be missing, wrong or of another batch. */
  void batch(std::size_t n, unsigned kind) {
    RecordId id = Log.Log.freshId();
    auto digest = InitialChangeDigest;
    std::uint32_t index = 0;
    for (const char *name : {"left", "right"}) {
      Section s;
      if (kind % 2 == 0) {
        s = serviceSection(makeService(name));
      } else {
        s.RemovedService = name;
      }
      const Record part{Log.Log.freshId(), "",
                        ChangePartRecord{id, index++, {s}}};
      digest = changeDigest(digest, encodeRecord(part));
      if (kind % 7 != index) {
        post("append part", n, n, [this, part] {
          if (Log.Mode != LogMode::Down) {
            commit(part);
          }
        });
      }
    }
    if (kind % 5 != 0) {
      append(n, ChangeCommitRecord{id, All[n]->State.version(),
                                   kind % 11 == 1 ? 1 : index,
                                   digest + (kind % 13 == 2 ? 1 : 0)});
    }
  }

  void takeOut(std::size_t n, unsigned which) {
    SafeStep s;
    s.Kind = SafeStepKind::TakeOut;
    s.Subject = dataCentre(which);
    s.AfterOffset = All[n]->State.applied();
    spread(n, s);
    append(n, DataCentreRecord{s.Subject, true});
  }

  void takeBack(std::size_t n) {
    const auto *m = All[n]->State.move("s");
    if (m != nullptr && !m->Ended) {
      SafeStep s;
      s.Kind = SafeStepKind::TakeBack;
      s.Subject = "s";
      s.Move = m->Move;
      spread(n, s);
    }
  }

  /** What a former holder of a lease may still append. */
  void oldStep(std::size_t n, unsigned which) {
    if (const auto *m = All[n]->State.move("s")) {
      const auto epoch = Epoch{1 + which % raw(Log.tail())};
      append(n, MoveStepRecord{"s", m->Move, epoch, 10000});
    }
  }

  void spread(std::size_t n, const SafeStep &s) {
    auto &node = *All[n];
    hear(node, s);
    const bool ignored =
        (isWrong("ignore-take-out") && s.Kind == SafeStepKind::TakeOut) ||
        (isWrong("ignore-take-back") && s.Kind == SafeStepKind::TakeBack);
    if (ignored || !node.Steps.merge(s)) {
      return;
    }
    node.Update.refresh();
    for (std::size_t to = 0; to < Daemons; ++to) {
      if (to != n) {
        post("safe step", n, to, [this, to, s] { spread(to, s); });
      }
    }
  }

  /** The oracle notes what the daemon was told. */
  static void hear(Node &node, const SafeStep &s) {
    if (s.Kind == SafeStepKind::TakeBack) {
      node.HeardTakeBack = std::max(node.HeardTakeBack, s.Move);
      return;
    }
    auto &heard = node.Heard[s.Subject == "east" ? 0 : 1];
    heard.After =
        heard.Holds ? std::max(heard.After, s.AfterOffset) : s.AfterOffset;
    heard.Holds = true;
  }

  void read(std::size_t n) {
    auto &node = *All[n];
    node.LogAvailable = Log.Mode != LogMode::Down;
    if (node.Paused || !node.LogAvailable) {
      return;
    }
    if (raw(node.State.applied()) + 1 < Log.First) {
      return snapshot(n, (n + 1) % Daemons);
    }
    node.Core.recovery().logReached(LogOffset{raw(Log.tail()) + 1});
    node.Core.readiness();
    constexpr std::size_t maxRead = 200;
    accept(n, Log.read(node.State.applied(), maxRead));
    if (node.State.applied() == Log.tail()) {
      node.LogRead = Now;
    }
  }

  void accept(std::size_t n, const std::vector<LogEntry> &records) {
    auto &node = *All[n];
    auto result = node.Core.accept(records, std::nullopt, Now);
    applied(node);
    for (auto &it : result.Pushes) {
      const auto to = indexOf(it.Peer);
      post("records", n, to, [this, to, records = std::move(it.Records)] {
        accept(to, records);
      });
    }
  }

  void applied(Node &node) const {
    node.Steps.prune();
    node.Update.refresh();
    const auto *lease = node.State.lease("s");
    if (lease != nullptr && lease->LastOffset != node.SeenLease) {
      node.SeenLease = lease->LastOffset;
      node.HolderSeen = Now;
    }
  }

  void snapshot(std::size_t n, std::size_t peer) {
    auto &node = *All[n];
    if (node.Paused || Cut.blocks(n, peer) || n == peer) {
      return;
    }
    const auto bytes = All[peer]->State.encodeSnapshot();
    if (isWrong("older-version")) {
      node.State = *ControlState::decodeSnapshot(bytes);
    } else {
      (void)node.Core.installSnapshot(bytes);
    }
    applied(node);
  }

  /** Mirrors src/daemon/move_service.cpp. */
  void tick(std::size_t n) {
    auto &node = *All[n];
    const auto *m = node.State.move("s");
    if (node.Paused || !node.Core.recovery().ready() || n < 2) {
      return;
    }
    if (m == nullptr || m->Ended) {
      node.Controller.reset();
      node.Driven = Version::None;
      return;
    }
    if (node.Driven != m->Move) {
      node.Controller.emplace(MoveSettings());
      node.Driven = m->Move;
      applied(node);
    }
    const auto move = *m;
    for (const auto &it : node.Controller->tick(Now, utc(), view(n, move))) {
      perform(n, move, it);
    }
  }

  MoveView view(std::size_t n, const MoveState &m) {
    const auto &node = *All[n];
    MoveView v;
    v.Move = m.Move;
    v.Deadline = m.Deadline;
    v.ShareBasisPoints = m.ShareBasisPoints;
    if (const auto *lease = node.State.lease("s")) {
      v.CurrentEpoch = lease->LeaseEpoch;
      v.HeldByThisDaemon = lease->Holder == node.Self;
    }
    v.HolderSeen = node.HolderSeen;
    v.Rank = static_cast<unsigned>(n - 2);
    Calls += 200;
    NewErrors += IsNewVersionBad ? 100 : 0;
    const std::uint64_t latency = 20000;
    v.OldCounts = {
        {"/", "k", Calls, 0, 0, Calls * latency, double(Calls) * 400}};
    v.NewCounts = {
        {"/", "k", Calls, NewErrors, 0, Calls * latency, double(Calls) * 400}};
    v.CountsRead = Now;
    v.AbleServers = Daemons - 2;
    v.LogAvailable = node.LogAvailable;
    v.LogRead = node.LogRead;
    for (const auto &it : node.Steps.steps()) {
      v.TakenBack = v.TakenBack ||
                    (it.Kind == SafeStepKind::TakeBack && it.Move == m.Move);
    }
    return v;
  }

  void perform(std::size_t n, const MoveState &m, const MoveAction &action) {
    const auto self = All[n]->Self;
    if (const auto *take = std::get_if<TakeLease>(&action)) {
      append(n, LeaseTakeRecord{"s", m.Move, self, take->ExpectedEpoch});
    } else if (const auto *renew = std::get_if<RenewLease>(&action)) {
      append(n, LeaseTakeRecord{"s", m.Move, self, renew->ExpectedEpoch});
    } else if (const auto *step = std::get_if<AppendStep>(&action)) {
      append(n, MoveStepRecord{"s", m.Move, step->LeaseEpoch,
                               step->ShareBasisPoints});
    } else if (std::holds_alternative<TakeBackNow>(action)) {
      takeBack(n);
    } else if (const auto *end = std::get_if<AppendEnd>(&action)) {
      if (!isWrong("never-take-back") || end->Result == MoveResult::Done) {
        append(n, MoveEndRecord{"s", m.Move, end->LeaseEpoch, end->Result,
                                end->Reason, ""});
      }
    }
  }

  void route(std::size_t n) {
    auto &node = *All[n];
    const auto *s = node.State.configuration()->service("s");
    const auto choice = node.Routes.choose("s", {}, Now);
    if (!choice.Found) {
      return;
    }
    require(s != nullptr, "no route to a missing service");
    require(!mustBeOut(node, memberOf(indexOf(choice.Peer)).DataCentre),
            "no new work for a data centre that is taken out");
    const auto &f = History.at(raw(node.State.applied()) - 1);
    require(choice.ServiceVersion == f.Effective ||
                (choice.ServiceVersion == "v2" && f.Share > 0 &&
                 node.HeardTakeBack != f.Move),
            "no call for a version without a share");
  }

  static bool mustBeOut(const Node &node, const std::string &name) {
    return node.Heard[name == "east" ? 0 : 1].Holds ||
           node.State.takenOut(name);
  }

  void admit(std::size_t n, unsigned kind) {
    auto &node = *All[n];
    const auto id = GateRequestId{++LastId};
    const auto allowed = node.Admission.state().Limit;
    const auto deadline = Now + std::chrono::seconds(1 + kind % 5);
    auto a = node.Admission.admit({id, kind % 4, deadline, false}, Now);
    if (a.Shed) {
      require(node.Queued.erase(*a.Shed) == 1, "only queued work is shed");
    }
    if (isWrong("exceed-gate") && a.Kind == AdmissionKind::Rejected) {
      a.Kind = AdmissionKind::Run;
    } else if (isWrong("exceed-queue") && a.Kind == AdmissionKind::Rejected) {
      a.Kind = AdmissionKind::Queued;
    }
    if (a.Kind == AdmissionKind::Run) {
      node.Running.insert(id);
      require(node.Running.size() <= allowed, "a gate keeps its limit");
    } else if (a.Kind == AdmissionKind::Queued) {
      node.Queued.insert(id);
    }
  }

  void finish(std::size_t n, unsigned kind) {
    auto &node = *All[n];
    for (const auto &it : node.Admission.expire(Now)) {
      require(node.Queued.erase(it) == 1, "only queued work expires");
    }
    if (node.Running.empty()) {
      return;
    }
    auto it = node.Running.begin();
    std::advance(it, kind % node.Running.size());
    const auto id = *it;
    node.Running.erase(it);
    // A cold turn shows as a latency far above the baseline.
    const Duration latency(kind % 10 == 0 ? 500000 : 20000 + kind);
    const auto result =
        kind % 17 == 0 ? ServerResult::ServerError : ServerResult::Ok;
    for (const auto &next : node.Admission.finish(id, result, latency, Now)) {
      require(node.Queued.erase(next) == 1, "only queued work starts");
      node.Running.insert(next);
      require(node.Running.size() <= node.Admission.state().Limit,
              "a gate keeps its limit");
    }
  }

  /** @return whether the state survives daemon @p n. With the log trimmed and
   * no holder left it is lost, which the design excludes. */
  bool isHeldWithout(std::size_t n) const {
    return std::any_of(std::begin(All), std::end(All), [&](const auto &it) {
      return it != All[n] && raw(it->State.applied()) + 1 >= Log.First;
    });
  }

  void disturb(const std::string &name, std::size_t n, const Step &s) {
    if (name == "pause" || name == "resume") {
      All[n]->Paused = name == "pause";
    } else if (name == "kill" && isHeldWithout(n)) {
      start(n);
    } else if (name == "log-mode") {
      Log.Mode = s.B % 2 == 0 ? LogMode::Up : LogMode::Down;
    } else if (name == "partition") {
      Cut.toggle(n, s.B % Daemons);
    } else if (name == "trim") {
      // Someone must hold what the log drops, else nobody can recover.
      const auto kept = raw(All[(n + 1) % Daemons]->State.applied());
      Log.trim(Log.Log.Entries.size() - static_cast<std::size_t>(kept) +
               s.B % 3);
    } else if (name == "new-version") {
      IsNewVersionBad = s.B % 2 == 0;
    }
  }

  void check() {
    for (const auto &it : All) {
      check(*it);
    }
  }

  void check(Node &node) {
    const auto applied = raw(node.State.applied());
    require(node.State.version() >= node.SeenVersion,
            "no daemon goes back to an older version");
    node.SeenVersion = node.State.version();
    if (applied == 0) {
      return;
    }
    const auto &f = History.at(applied - 1);
    require(node.State.version() == f.InForce,
            "a daemon shows the version of its offset");
    const auto share = node.Steps.shareOf("s");
    require(share <= f.Share, "no share without a committed record");
    require(share == 0 || node.HeardTakeBack != f.Move,
            "a take-back holds while its move runs");
    for (unsigned n = 0; n < 2; ++n) {
      auto &heard = node.Heard[n];
      heard.Holds = heard.Holds && f.OutOffset[n] <= heard.After;
      require(node.Steps.isTakenOut(dataCentre(n)) ||
                  !(heard.Holds || f.Out[n]),
              "a take-out holds until a later put-back");
    }
    checkReferences(node);
    const auto gate = node.Admission.state();
    const auto limits = service(0).Limits;
    require(gate.Limit <= limits.Slots && node.Running.size() <= limits.Slots,
            "a gate keeps its limit");
    require(node.Queued.size() <= limits.Queue, "a gate keeps its queue");
  }

  void checkReferences(const Node &node) const {
    auto config = *node.State.configuration();
    if (isWrong("broken-reference")) {
      const auto removal = decodeRecord(Log.Log.Entries.back().Bytes);
      if (const auto *c = std::get_if<ChangeRecord>(&removal->Body)) {
        applySections(config, c->Sections);
      }
    }
    for (const auto &it : config.Services) {
      for (const auto &name : it.second.DependsOn) {
        require(config.service(name) != nullptr,
                "no route to a missing service");
      }
    }
  }

  std::string Wrong;
  std::ostream *Timeline;
  FakeLog Log;
  Partition Cut;
  ControlState Reference;
  /** Facts after each offset, from offset 1. */
  std::vector<Facts> History;
  std::unique_ptr<Node> All[Daemons];
  std::vector<Message> InFlight;
  bool IsNewVersionBad = false;
  std::uint64_t Calls = 0;
  std::uint64_t NewErrors = 0;
  std::uint64_t Boots = 0;
  std::uint64_t LastId = 0;
  TimePoint Now{std::chrono::hours(1)};
};

} // namespace fuzz

#endif
