#include "chivefold/core/dissemination.h"
#include "log_builder.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace chivefold;

namespace {

using Limits = DisseminationLimits;
constexpr TimePoint Start{std::chrono::hours(1)};
const Address PeerA{"127.0.0.1", 2};
const Address PeerB{"127.0.0.1", 3};

Member makeMember(std::uint16_t port) {
  Member m;
  m.Peer = {"127.0.0.1", port};
  m.DataCentre = port % 2 == 0 ? "east" : "west";
  return m;
}

/** A daemon, ready by default, with peers at ports 2 to 21. */
struct Daemon {
  explicit Daemon(bool ready = true) {
    for (std::uint16_t n = 2; n < 22; ++n) {
      Members.merge(makeMember(n), Start);
    }
    if (ready) {
      Core.recovery().logReached(LogOffset{1});
      CHECK(Core.readiness().Ready);
    }
  }
  ControlState State;
  MemberTable Members{makeMember(1), 7};
  Dissemination Core{State, Members};
};

/** A log of n records that take data centres out and put them back. */
LogBuilder makeLog(std::size_t n) {
  LogBuilder log;
  log.append(ChangeRecord{{}, {fleetSection()}});
  while (log.Entries.size() < n) {
    log.append(DataCentreRecord{"east", log.Entries.size() % 2 == 0});
  }
  return log;
}

} // namespace

// Guards against a version that decreases and against lost records when
// messages arrive out of order, late or twice.
TEST_CASE("crossed, late and doubled records", "[dissemination]") {
  const auto log = makeLog(6);
  Daemon d;
  const auto &e = log.Entries;
  const auto gap = d.Core.accept({e[2], e[1], e[2]}, PeerA, Start);
  CHECK(gap.Applied == 0);
  CHECK(gap.Pushes.empty());
  REQUIRE(gap.Next);
  CHECK(gap.Next->Peer == PeerA);
  CHECK(gap.Next->After == LogOffset::None);
  const auto filled = d.Core.accept({e[0]}, PeerB, Start);
  CHECK(filled.Applied == 3);
  CHECK_FALSE(filled.Next);
  REQUIRE_FALSE(filled.Pushes.empty());
  CHECK(filled.Pushes[0].Records.size() == 3);
  CHECK(d.Core.outOfOrderCount() == 0);
  const auto digest = d.State.digest();
  const auto late = d.Core.accept({e[1], e[0]}, PeerA, Start);
  CHECK(late.Applied == 0);
  CHECK(late.Pushes.empty());
  CHECK(raw(d.State.version()) == 1);
  CHECK(d.State.digest() == digest);
  CHECK(d.Members.self().Floor == d.State.applied());
}

// Guards against records that do not leave their data centre, that are sent
// back to their sender, or that a daemon pushes while it catches up.
TEST_CASE("new records are pushed to a few peers", "[dissemination]") {
  const auto log = makeLog(4);
  Daemon d;
  const auto first = d.Core.accept({log.Entries[0]}, PeerA, Start);
  CHECK(first.Pushes.size() >= Limits::Fanout - 1);
  CHECK(
      std::any_of(first.Pushes.begin(), first.Pushes.end(), [](const Push &p) {
        return p.Peer.Port % 2 == 0; // this daemon is in the west
      }));
  CHECK(std::none_of(first.Pushes.begin(), first.Pushes.end(),
                     [](const Push &p) { return p.Peer == PeerA; }));
  REQUIRE(d.Core.peerApplied(PeerB, LogOffset{4}, Start));
  CHECK(d.Core.accept({log.Entries[1]}, PeerB, Start).Pushes.empty());

  Daemon starting(false);
  CHECK(starting.Core.accept(log.Entries, std::nullopt, Start).Pushes.empty());
}

// Guards against a fetch that is not repeated, and against repeating it
// endlessly with a peer that does not have the records.
TEST_CASE("a fetch is repeated with other peers", "[dissemination]") {
  const auto log = makeLog(4);
  Daemon d;
  REQUIRE(d.Core.peerApplied(PeerA, LogOffset{4}, Start));
  CHECK_FALSE(d.Core.peerApplied(PeerB, LogOffset{4}, Start));
  CHECK_FALSE(d.Core.accept({}, PeerA, Start).Next);
  CHECK_FALSE(d.Core.tick(Start));
  CHECK(d.Core.tick(Start + Limits::FetchTimeout));
  d.Core.accept(log.Entries, PeerB, Start);
  CHECK_FALSE(d.Core.tick(Start + 2 * Limits::FetchTimeout));
}

// Guards against unbounded memory for out-of-order and recent records, and
// against answering a fetch with records that have a gap.
TEST_CASE("out-of-order and recent records are bounded", "[dissemination]") {
  const auto log = makeLog(Limits::MaxRecentRecords + 10);
  Daemon d;
  d.Core.accept({log.Entries.begin() + 1, log.Entries.end()}, PeerA, Start);
  CHECK(d.Core.outOfOrderCount() == Limits::MaxOutOfOrderRecords);
  d.Core.accept({log.Entries[0]}, PeerA, Start);
  CHECK(raw(d.State.applied()) == Limits::MaxOutOfOrderRecords + 1);
  d.Core.accept(log.Entries, std::nullopt, Start);
  CHECK(raw(d.State.applied()) == log.Entries.size());
  CHECK(d.Core.recordsAfter(LogOffset{9}).SnapshotNeeded);
  const auto response = d.Core.recordsAfter(LogOffset{10});
  CHECK_FALSE(response.SnapshotNeeded);
  REQUIRE_FALSE(response.Records.empty());
  CHECK(raw(response.Records.front().Offset) == 11);
  CHECK(d.Core.recordsAfter(d.State.applied()).Records.empty());
}

// Guards against installing a snapshot that is older than the state or damaged.
TEST_CASE("only a newer snapshot is installed", "[dissemination]") {
  const auto log = makeLog(8);
  Daemon ahead;
  ahead.Core.accept({log.Entries.begin(), log.Entries.begin() + 5}, PeerA,
                    Start);
  const auto bytes = ahead.State.encodeSnapshot();
  Daemon d;
  d.Core.accept({log.Entries[5], log.Entries[7]}, PeerA, Start);
  CHECK(d.Core.installSnapshot(bytes.substr(9)).reason().Code ==
        ErrorCode::InvalidRecord);
  CHECK(d.Core.installSnapshot(bytes));
  CHECK(raw(d.State.applied()) == 6);
  CHECK(d.Core.installSnapshot(bytes).reason().Code == ErrorCode::Conflict);
  CHECK(raw(d.State.applied()) == 6);
}

// Guards against a daemon that serves before it has replayed the log to its
// tail.
TEST_CASE("a starting daemon reads the log to its tail", "[recovery]") {
  Recovery r;
  CHECK_FALSE(r.update({LogOffset{5}, 10, 2}).Ready);
  r.logReached(LogOffset{8});
  r.logReached(LogOffset{20});
  const auto waiting = r.update({LogOffset{6}, 10, 2});
  CHECK_FALSE(waiting.Ready);
  CHECK(waiting.Reason == "reading the log: applied 6, tail 7");
  CHECK(r.update({LogOffset{7}, 10, 2}).Ready);
  r.logUnavailable();
  CHECK(r.update({LogOffset{7}, 10, 2}).Ready);
}

// Guards against a daemon that restarts during a log outage and serves an older
// state than before the restart.
TEST_CASE("a starting daemon trusts enough peers only", "[recovery]") {
  Recovery r;
  const auto answer = [&](std::uint16_t port, std::uint64_t applied,
                          std::uint64_t floor = 0, bool ready = true) {
    r.peerAnswered({{"127.0.0.1", port},
                    port < 10 ? "east" : "west",
                    ready,
                    LogOffset{applied},
                    LogOffset{floor}});
  };
  const auto ready = [&](std::uint64_t applied) {
    return r.update({LogOffset{applied}, 8, 2}).Ready;
  };
  for (std::uint16_t port = 1; port < 6; ++port) {
    answer(port, 40);
    CHECK_FALSE(ready(40));
  }
  r.logUnavailable();
  CHECK_FALSE(ready(40)); // answers from one data centre only
  answer(11, 30, 50);
  CHECK_FALSE(ready(40)); // below the floor
  answer(1, 50);
  CHECK_FALSE(ready(40));
  CHECK(r.mostAdvancedPeer(LogOffset{40}) == Address{"127.0.0.1", 1});
  CHECK(ready(50));
}

// Guards against relying on a few peers of a large fleet, which may be stale.
TEST_CASE("five peers are needed while the log is down", "[recovery]") {
  Recovery r;
  r.logUnavailable();
  for (std::uint16_t port = 1; port <= Recovery::MinReadyPeers; ++port) {
    CHECK_FALSE(r.update({LogOffset{9}, 100, 2}).Ready);
    r.peerAnswered({{"127.0.0.1", port},
                    port % 2 == 0 ? "east" : "west",
                    true,
                    LogOffset{9},
                    {}});
  }
  CHECK(r.update({LogOffset{9}, 100, 2}).Ready);
}

// Guards against a deadlock in which starting daemons without state wait for
// each other.
TEST_CASE("peers that are starting are not waited for", "[recovery]") {
  Recovery r;
  r.logUnavailable();
  CHECK_FALSE(r.update({LogOffset::None, 0, 0}).Ready);
  for (std::uint16_t port = 1; port < 7; ++port) {
    r.peerAnswered({{"127.0.0.1", port}, "east", port > 5, LogOffset{9}, {}});
    CHECK_FALSE(r.update({LogOffset{8}, 6, 1}).Ready);
  }
  CHECK(r.update({LogOffset{9}, 6, 1}).Ready);
}
