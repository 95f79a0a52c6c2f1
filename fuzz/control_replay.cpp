// Stateful property: daemons that exchange records over a transport that drops,
// doubles and reorders messages never go back to an older version, and agree
// once messages arrive. Guards against both being broken by some order of
// messages that no unit test names.
#include "../tests/unit/log_builder.h"
#include "chivefold/core/dissemination.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdlib>
#include <memory>
#include <ostream>
#include <string>

using namespace chivefold;

namespace {

constexpr std::size_t Daemons = 7;
constexpr std::uint16_t FirstPort = 9000;

Member memberOf(std::size_t n) {
  Member m;
  m.Peer = {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + n)};
  m.DataCentre = n % 2 == 0 ? "east" : "west";
  return m;
}

struct Daemon {
  explicit Daemon(std::size_t n) : Members(memberOf(n), n + 1) {
    for (std::size_t i = 0; i < Daemons; ++i) {
      Members.merge(memberOf(i), TimePoint{});
    }
    Core.recovery().logReached(LogOffset{1});
    Core.readiness();
  }
  ControlState State;
  MemberTable Members;
  Dissemination Core{State, Members};
  Version Seen = Version::None;
  LogOffset Applied = LogOffset::None;
};

struct Message {
  std::size_t To = 0;
  std::optional<Address> From;
  std::vector<LogEntry> Records;
};

/** The fleet, its log and the messages under way. */
class TestFleet {
public:
  TestFleet() {
    for (std::size_t n = 0; n < Daemons; ++n) {
      All.push_back(std::make_unique<Daemon>(n));
    }
    append(ChangeRecord{{}, {fleetSection()}});
  }

  /** Appends what an operator or daemon with an older view might write. */
  void appendAny(unsigned kind, std::size_t by) {
    const auto &s = All[by]->State;
    const auto *m = s.move("s");
    const auto *lease = s.lease("s");
    const auto move = m == nullptr ? Version::None : m->Move;
    const auto epoch = lease == nullptr ? Epoch::None : lease->LeaseEpoch;
    const auto holder = daemonId(memberOf(by).Peer.Port);
    switch (kind % 6) {
    case 0:
      return append(ChangeRecord{
          s.version(), {serviceSection(movingService("s", ++Deadline))}});
    case 1:
      return append(LeaseTakeRecord{"s", move, holder, epoch});
    case 2:
      return append(MoveStepRecord{"s", move, epoch, 100 * (kind % 100)});
    case 3:
      return append(MoveEndRecord{
          "s", move, epoch,
          kind % 4 == 1 ? MoveResult::Done : MoveResult::TakenBack, "", ""});
    case 4:
      return append(ClaimRecord{holder, {{kind % 10, 0}, {kind % 7, 1}}});
    default:
      return append(DataCentreRecord{"east", kind % 4 == 1});
    }
  }

  /** The daemon reads a slice of the log, which may leave a gap. */
  void read(std::size_t n, std::size_t from, std::size_t count) {
    const auto &e = Log.Entries;
    from %= e.size();
    count = std::min(count, e.size() - from);
    const auto first = e.begin() + static_cast<std::ptrdiff_t>(from);
    deliver(
        {n, std::nullopt, {first, first + static_cast<std::ptrdiff_t>(count)}});
  }

  void probe(std::size_t n, std::size_t peer) {
    send(n, All[n]->Core.peerApplied(memberOf(peer).Peer,
                                     All[peer]->State.applied(), Now));
  }

  /** Takes a message out of turn: 0 drops, 1 doubles, else delivers it. */
  void transport(std::size_t which, unsigned fate) {
    Now += Duration(1000);
    if (InFlight.empty()) {
      return;
    }
    const auto it =
        InFlight.begin() + static_cast<std::ptrdiff_t>(which % InFlight.size());
    const auto message = *it;
    if (fate % 4 != 1) {
      InFlight.erase(it);
    }
    if (fate % 4 != 0) {
      deliver(message);
    }
  }

  void snapshot(std::size_t n, std::size_t peer) {
    const auto bytes = All[peer]->State.encodeSnapshot();
    const bool newer = All[peer]->State.applied() > All[n]->State.applied();
    RC_ASSERT(All[n]->Core.installSnapshot(bytes).hasValue() == newer);
    check(n);
  }

  /** Lets all messages arrive; daemon 0 reads the whole log. */
  void settle() {
    read(0, 0, Log.Entries.size());
    for (int round = 0; round < 100; ++round) {
      Now += DisseminationLimits::FetchTimeout;
      for (std::size_t n = 0; n < Daemons; ++n) {
        send(n, All[n]->Core.tick(Now));
        probe(n, (n + static_cast<std::size_t>(round)) % Daemons);
      }
      while (!InFlight.empty()) {
        const auto message = InFlight.back();
        InFlight.pop_back();
        deliver(message);
      }
    }
    ControlState expected;
    for (const auto &it : Log.Entries) {
      RC_ASSERT(expected.apply(it).hasValue());
    }
    for (const auto &it : All) {
      RC_ASSERT(it->State.digest() == expected.digest());
    }
  }

private:
  void append(RecordBody body) { Log.append(std::move(body)); }

  void deliver(const Message &message) {
    auto result =
        All[message.To]->Core.accept(message.Records, message.From, Now);
    check(message.To);
    const auto from = memberOf(message.To).Peer;
    for (auto &it : result.Pushes) {
      InFlight.push_back({indexOf(it.Peer), from, std::move(it.Records)});
    }
    send(message.To, result.Next);
  }

  /** The answer to a fetch travels like any message. */
  void send(std::size_t n, const std::optional<Fetch> &fetch) {
    if (!fetch) {
      return;
    }
    auto served = All[indexOf(fetch->Peer)]->Core.recordsAfter(fetch->After);
    if (served.SnapshotNeeded) {
      snapshot(n, indexOf(fetch->Peer));
    }
    InFlight.push_back({n, fetch->Peer, std::move(served.Records)});
  }

  void check(std::size_t n) {
    auto &d = *All[n];
    RC_ASSERT(d.State.version() >= d.Seen);
    RC_ASSERT(d.State.applied() >= d.Applied);
    d.Seen = d.State.version();
    d.Applied = d.State.applied();
  }

  static std::size_t indexOf(const Address &a) { return a.Port - FirstPort; }

  LogBuilder Log;
  std::vector<std::unique_ptr<Daemon>> All;
  std::vector<Message> InFlight;
  TimePoint Now{std::chrono::hours(1)};
  int Deadline = 0;
};

/** Nothing is predicted: the properties are checked on the daemons. */
struct Model {};

enum class Action : unsigned { Append, Read, Probe, Transport, Snapshot };

struct Step : rc::state::Command<Model, TestFleet> {
  Action Kind = *rc::gen::weightedElement<Action>({{3, Action::Append},
                                                   {3, Action::Read},
                                                   {4, Action::Probe},
                                                   {12, Action::Transport},
                                                   {1, Action::Snapshot}});
  std::size_t Daemon = *rc::gen::inRange<std::size_t>(0, Daemons);
  unsigned First = *rc::gen::inRange(0U, 1000U);
  unsigned Second = *rc::gen::inRange(0U, 20U);

  void run(const Model & /*s0*/, TestFleet &fleet) const override {
    switch (Kind) {
    case Action::Append:
      for (unsigned n = 0; n <= Second; ++n) {
        fleet.appendAny(First + n * 7, Daemon);
      }
      return;
    case Action::Read:
      return fleet.read(Daemon, First, Second);
    case Action::Probe:
      return fleet.probe(Daemon, First % Daemons);
    case Action::Transport:
      return fleet.transport(First, Second);
    case Action::Snapshot:
      return fleet.snapshot(Daemon, First % Daemons);
    }
  }
  void show(std::ostream &os) const override {
    os << "step " << static_cast<unsigned>(Kind) << " daemon " << Daemon << " "
       << First << " " << Second;
  }
};

} // namespace

int main() {
  // The default size of 100 gives logs of about 5 records, too few for races.
  const char *given = std::getenv("RC_PARAMS");
  const auto params = std::string(given == nullptr ? "" : given) +
                      " max_size=1000 max_success=200";
  setenv("RC_PARAMS", params.c_str(), 1);
  const bool ok = rc::check("daemons converge and never go back", [] {
    TestFleet fleet;
    rc::state::check(Model{}, fleet, [](const Model & /*s0*/) {
      return rc::gen::exec([] {
        return std::shared_ptr<const rc::state::Command<Model, TestFleet>>(
            std::make_shared<const Step>());
      });
    });
    fleet.settle();
  });
  return ok ? 0 : 1;
}
