#include "chivefold/mesh/duty_lease.h"
#include "chivefold/mesh/usage_windows.h"

#include <array>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace chivefold;
using namespace std::chrono_literals;

namespace {

constexpr Duration LeaseTime = 3s;
constexpr std::size_t Hosts = 3;

struct Record {
  DutyTerm Term;
  WindowNumber Reported = 0;
  std::optional<ClosedWindow> Closed;
};

/** An append that arrives later than its sender expects. */
struct LateAppend {
  std::size_t Host;
  StorePosition At;
  Record Content;
};

/** The store, with its copies, and the platform that takes the reports. */
struct World {
  std::vector<Record> Log;
  std::uint64_t Era = 1;
  std::vector<LateAppend> Late;
  TimePoint Now = TimePoint(1h);

  struct Call {
    std::size_t Host;
    TimePoint At;
  };
  std::vector<Call> Calls;
  std::uint64_t HighestFence = 0;
  std::map<std::uint64_t, std::size_t> HostOfFence;
  std::map<WindowNumber, UsageCounts> Accepted;

  bool append(const StorePosition &at, const Record &record) {
    // The condition is on the offset alone, as in the platform's store.
    if (at.Offset != Log.size()) {
      return false;
    }
    Log.push_back(record);
    return true;
  }

  void accept(std::size_t host, std::uint64_t fence,
              const ClosedWindow &window) {
    RC_ASSERT(fence >= HighestFence);
    HighestFence = fence;
    RC_ASSERT(HostOfFence.emplace(fence, host).first->second == host);
    const auto it = Accepted.emplace(window.Number, window.Counts).first;
    RC_ASSERT(it->second == window.Counts);
    bool between = false;
    for (auto call = Calls.rbegin();
         call != Calls.rend() && Now - call->At < LeaseTime; ++call) {
      RC_ASSERT(!(between && call->Host == host));
      between |= call->Host != host;
    }
    Calls.push_back({host, Now});
  }
};

/** A daemon that performs the duty whenever it can. */
struct Daemon {
  explicit Daemon(std::size_t number)
      : Number(number), Lease({}, std::to_string(number), 1) {}

  void list(const World &world) {
    std::optional<Record> newest;
    Closed.clear();
    Reported = 0;
    IsBroken = false;
    for (const auto &it : world.Log) {
      IsBroken |= newest && it.Term.Fence < newest->Term.Fence;
      newest = it;
      Reported = std::max(Reported, it.Reported);
      if (it.Closed) {
        Closed.push_back(*it.Closed);
      }
    }
    const StorePosition end{world.Era, world.Log.size()};
    Lease.recordRead(newest ? std::optional<DutyTerm>(newest->Term)
                            : std::nullopt,
                     end, world.Now);
    ListedEnd = end;
    IsBroken |= !Lease.isOfEra(end.Era);
    if (Lease.isHeld(world.Now)) {
      Ledger.load(Closed, Reported);
      if (Closing && Closing->Number <= Ledger.lastClosed()) {
        Closing.reset();
      }
    }
  }

  enum class Fate { Answered, AnswerLost, Late };

  bool write(World &world, const Record &record, Fate fate) {
    const auto at = *Lease.end();
    const auto begun = world.Now;
    if (fate == Fate::Late) {
      world.Late.push_back({Number, at, record});
      return false;
    }
    const bool written = world.append(at, record);
    if (fate == Fate::AnswerLost) {
      return false;
    }
    if (written && world.Era == at.Era) {
      Lease.recordWritten(record.Term, {at.Era, at.Offset + 1}, begun);
      return true;
    }
    ListedEnd.reset();
    list(world);
    return false;
  }

  void act(World &world, Fate fate, std::uint64_t count) {
    const auto now = world.Now;
    if (!Lease.isHeld(now)) {
      Closing.reset();
      if (!Lease.end() || ListedEnd != Lease.end()) {
        return list(world);
      }
      if (Lease.mayTake(now)) {
        take(world, fate);
      }
      return;
    }
    if (!Closing) {
      Closing = ClosedWindow{Ledger.lastClosed() + 1, {{"a", count}}};
    }
    if (write(world, {Lease.term(), Ledger.lastReported(), Closing}, fate)) {
      Ledger.closed(*std::exchange(Closing, std::nullopt));
    } else if (fate != Fate::Answered) {
      list(world);
    }
  }

  void take(World &world, Fate fate) {
    const auto term = Lease.nextTerm();
    if (IsBroken) {
      // Stands for all windows that have ended.
      Closed.clear();
      Reported = std::max(Reported, SkipAfterRestore += 1000);
    }
    const auto closed = Closed;
    const auto reported = Reported;
    ListedEnd.reset();
    if (!write(world, {term, reported, std::nullopt}, fate)) {
      return;
    }
    Ledger = UsageLedger();
    Ledger.load(closed, reported);
  }

  void report(World &world, bool answered) {
    const auto *window = Ledger.next();
    if (window == nullptr || !Lease.mayAct(world.Now)) {
      return;
    }
    world.accept(Number, Lease.term().Fence, *window);
    if (answered) {
      Ledger.reported(window->Number);
    }
  }

  std::size_t Number;
  DutyLease Lease;
  UsageLedger Ledger;
  std::vector<ClosedWindow> Closed;
  WindowNumber Reported = 0;
  std::optional<StorePosition> ListedEnd;
  bool IsBroken = false;
  std::optional<ClosedWindow> Closing;
  static WindowNumber SkipAfterRestore;
};

WindowNumber Daemon::SkipAfterRestore = 0;

/** Plays daemons that freeze, lose answers and write late, and a store that
 * returns from older copies. */
void playWorld() {
  World world;
  Daemon::SkipAfterRestore = 0;
  std::vector<Daemon> daemons;
  for (std::size_t i = 0; i < Hosts; ++i) {
    daemons.emplace_back(i);
  }
  // As long in each case as in the last one.
  const auto steps = *rc::gen::resize(100, rc::gen::inRange(50, 400));
  for (int step = 0; step < steps; ++step) {
    auto &daemon = daemons[*rc::gen::inRange<std::size_t>(0, Hosts)];
    const auto kind = *rc::gen::inRange(0, 100);
    if (kind < 40) {
      const auto fate = *rc::gen::weightedElement<Daemon::Fate>(
          {{8, Daemon::Fate::Answered},
           {1, Daemon::Fate::AnswerLost},
           {1, Daemon::Fate::Late}});
      daemon.act(world, fate, *rc::gen::inRange<std::uint64_t>(0, 9));
    } else if (kind < 70) {
      daemon.report(world, *rc::gen::inRange(0, 4) > 0);
    } else if (kind < 95) {
      // A daemon that is not chosen meanwhile is frozen or cut off.
      world.Now += std::chrono::milliseconds(*rc::gen::inRange(1, 2500));
    } else if (kind < 98 && !world.Late.empty()) {
      const auto late = world.Late.back();
      world.Late.pop_back();
      world.append(late.At, late.Content);
    } else if (kind == 99 && !world.Log.empty()) {
      world.Log.resize(*rc::gen::inRange<std::size_t>(0, world.Log.size()));
      ++world.Era;
    }
    for (auto &it : daemons) {
      // Only some hosts hear of a later era at once.
      if (*rc::gen::inRange(0, 3) == 0) {
        it.Lease.recordEra(world.Era, world.Now);
      }
    }
  }
}

} // namespace

// Guards against two holders that report at once or in turn, against a fence
// that falls, and against two reports of one window that differ: under freezes,
// lost answers, late appends and a store that returns from an older copy.
TEST_CASE("the duty of reports has one holder at a time", "[duty_lease]") {
  REQUIRE(rc::check([] {
    constexpr int worlds = 10;
    for (int i = 0; i < worlds; ++i) {
      playWorld();
    }
  }));
}

// Guards against a duty that nobody performs after its holder is gone.
TEST_CASE("a lapsed duty is taken by another host", "[duty_lease]") {
  const DutyLeaseSettings settings;
  DutyLease a(settings, "a", 1);
  DutyLease b(settings, "b", 2);
  TimePoint now(1h);
  a.recordRead(std::nullopt, {0, 0}, now);
  REQUIRE(a.mayTake(now));
  const auto term = a.nextTerm();
  a.recordWritten(term, {0, 1}, now);
  CHECK(a.isHeld(now + settings.Lifetime - 1ms));
  CHECK_FALSE(a.mayAct(now + settings.Lifetime - settings.Reserve));
  CHECK_FALSE(a.isHeld(now + settings.Lifetime));
  b.recordRead(term, {0, 1}, now + 1s);
  CHECK_FALSE(b.mayTake(now + settings.Lifetime));
  CHECK(b.mayTake(now + 1s + settings.Lifetime + settings.Margin));
  CHECK(b.nextTerm().Fence > term.Fence);
  // A new process of the same host need not wait for the former one.
  DutyLease again(settings, "a", 3);
  again.recordRead(term, {0, 1}, now + 1s);
  CHECK(again.mayTake(now + 1s));
  CHECK(again.nextTerm().Fence > term.Fence);
}

// Guards against a host that trusts its own record in an older copy, behind
// which the record of another host is lost.
TEST_CASE("in a later era nobody takes the duty at once", "[duty_lease]") {
  const DutyLeaseSettings settings;
  DutyLease a(settings, "a", 1);
  TimePoint now(1h);
  a.recordRead(std::nullopt, {1, 0}, now);
  now += settings.Lifetime + settings.Margin;
  REQUIRE(a.mayTake(now));
  const auto term = a.nextTerm();
  a.recordWritten(term, {1, 1}, now);
  REQUIRE(a.isHeld(now));
  a.recordEra(2, now);
  CHECK_FALSE(a.isHeld(now));
  CHECK_FALSE(a.mayTake(now + 1h));
  a.recordRead(term, {2, 1}, now);
  CHECK_FALSE(a.isOfEra(2));
  CHECK_FALSE(a.mayTake(now + settings.Lifetime));
  CHECK(a.mayTake(now + settings.Lifetime + settings.Margin));
  CHECK(a.nextTerm().Fence > term.Fence);
}
