#include "chivefold/core/member_table.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace chivefold;

namespace {

using Limits = MembershipLimits;
constexpr TimePoint Start{std::chrono::hours(1)};

Member makeMember(std::uint16_t port, const std::string &dc = "east",
                  std::uint64_t boot = 1) {
  Member m;
  m.Peer = {"127.0.0.1", port};
  m.DataCentre = dc;
  m.BootId = boot;
  return m;
}

Member inState(Member m, MemberState state) {
  m.State = state;
  return m;
}

MemberTable makeTable(std::uint16_t east, std::uint16_t west = 0) {
  MemberTable t(makeMember(1), 7);
  for (std::uint16_t n = 2; n < 2 + east; ++n) {
    t.merge(makeMember(n), Start);
  }
  for (std::uint16_t n = 0; n < west; ++n) {
    t.merge(makeMember(static_cast<std::uint16_t>(5000 + n), "west"), Start);
  }
  return t;
}

MemberState stateOf(const MemberTable &t, std::uint16_t port) {
  return t.find({"127.0.0.1", port})->State;
}

} // namespace

// Guards against removing a live member because one probe was lost.
TEST_CASE("a suspected member refutes", "[members]") {
  auto observer = makeTable(20);
  MemberTable suspected(makeMember(2), 8);
  observer.probeFailed({"127.0.0.1", 2}, Start);
  CHECK(stateOf(observer, 2) == MemberState::Suspect);
  const auto correction = observer.mergeFromSender(suspected.self(), Start);
  REQUIRE(correction);
  CHECK(suspected.merge(*correction, Start));
  CHECK(suspected.self().Incarnation == 1);
  CHECK(observer.merge(suspected.self(), Start));
  observer.tick(Start + Limits::SuspicionTimeout);
  CHECK(stateOf(observer, 2) == MemberState::Alive);
  // A late copy of the suspicion has a lower incarnation than the refutation.
  CHECK_FALSE(observer.merge(*correction, Start));
  CHECK(stateOf(observer, 2) == MemberState::Alive);
}

// Guards against routing requests to a dead member, and against removing its
// floor too early or never.
TEST_CASE("a silent member becomes unreachable, then forgotten", "[members]") {
  auto t = makeTable(20);
  auto floor = makeMember(2);
  floor.Floor = LogOffset{42};
  t.mergeFromSender(floor, Start);
  t.probeFailed(floor.Peer, Start);
  const auto deadAt = Start + Limits::SuspicionTimeout;
  t.tick(deadAt - Duration(1));
  CHECK(stateOf(t, 2) == MemberState::Suspect);
  t.tick(deadAt);
  CHECK(stateOf(t, 2) == MemberState::Unreachable);
  t.tick(deadAt + Limits::DeadRetention - Duration(1));
  CHECK(raw(t.floorOf(floor.Peer)) == 42);
  t.tick(deadAt + Limits::DeadRetention);
  CHECK(t.find(floor.Peer) == nullptr);
}

// Guards against a burst of gossip in a network partition, and against members
// that stay unreachable after the partition has ended.
TEST_CASE("a mass suspicion is not gossiped", "[members]") {
  auto t = makeTable(0, 40);
  while (!t.takeUpdates().empty()) {
  }
  for (std::uint16_t n = 0; n < 11; ++n) {
    t.probeFailed({"127.0.0.1", static_cast<std::uint16_t>(5000 + n)}, Start);
  }
  CHECK(stateOf(t, 5000) == MemberState::Unreachable);
  CHECK(stateOf(t, 5010) == MemberState::Unreachable);
  CHECK(t.takeUpdates().empty());
  CHECK_FALSE(t.mergeFromSender(makeMember(5000, "west"), Start));
  CHECK(stateOf(t, 5000) == MemberState::Alive);
  CHECK(t.takeUpdates().empty());

  auto slow = makeTable(0, 40);
  for (std::uint16_t n = 0; n < 11; ++n) {
    slow.probeFailed({"127.0.0.1", static_cast<std::uint16_t>(5000 + n)},
                     Start + n * std::chrono::seconds(2));
  }
  CHECK(stateOf(slow, 5010) == MemberState::Suspect);
}

// Guards against confusing a restarted daemon, which has lost its state, with
// its previous run, and against losing the floor of the previous run.
TEST_CASE("a restarted daemon supersedes its predecessor", "[members]") {
  auto t = makeTable(20);
  auto old = makeMember(2, "east", 9);
  old.Incarnation = 5;
  old.Floor = LogOffset{77};
  REQUIRE(t.merge(old, Start));
  MemberTable fresh(makeMember(2, "east", 3), 8);
  const auto correction = t.mergeFromSender(fresh.self(), Start);
  REQUIRE(correction);
  CHECK(correction->BootId == 9);
  CHECK(raw(correction->Floor) == 77);
  CHECK(fresh.merge(*correction, Start));
  CHECK_FALSE(t.mergeFromSender(fresh.self(), Start));
  CHECK(t.find(old.Peer)->BootId == 3);
  CHECK(raw(t.floorOf(old.Peer)) == 77);
  CHECK_FALSE(t.merge(inState(old, MemberState::Unreachable), Start));
  // At equal incarnation all daemons must choose the same run of the member.
  auto tie = *t.find(old.Peer);
  tie.BootId = 2;
  CHECK_FALSE(t.merge(inState(tie, MemberState::Left), Start));
  tie.BootId = 4;
  CHECK(t.merge(tie, Start));
}

// Guards against members that are never probed, whose failure would not be
// detected.
TEST_CASE("each member is probed once per round", "[members]") {
  auto t = makeTable(50);
  std::set<Address> seen;
  auto now = Start;
  for (int n = 0; n < 50; ++n, now += Limits::ProbeInterval) {
    const auto target = t.nextProbe(now);
    REQUIRE(target);
    seen.insert(*target);
    CHECK_FALSE(t.nextProbe(now));
  }
  CHECK(seen.size() == 50);
  const auto helpers = t.indirectProbers({"127.0.0.1", 2});
  CHECK(std::set<Address>(helpers.begin(), helpers.end()).size() == 3);
  CHECK(std::count(helpers.begin(), helpers.end(), Address{"127.0.0.1", 2}) ==
        0);
}

// Guards against updates that are sent endlessly or without a bound per
// message.
TEST_CASE("updates are piggybacked a bounded number of times", "[members]") {
  auto t = makeTable(30);
  std::map<Address, int> sent;
  for (int n = 0; n < 1000; ++n) {
    const auto updates = t.takeUpdates();
    CHECK(updates.size() <= Limits::MaxUpdatesPerMessage);
    for (const auto &it : updates) {
      ++sent[it.Peer];
    }
  }
  CHECK(sent.size() == 31);
  for (const auto &it : sent) {
    CHECK(it.second == 15); // 3 * ceil(log2(31 + 1))
  }
}

// Guards against a data centre without log readers, and against daemons that
// choose different readers.
TEST_CASE("readers follow the alive members", "[members]") {
  auto t = makeTable(30, 10);
  MemberTable other(makeMember(5000, "west"), 9);
  for (const auto &it : t.members()) {
    other.merge(it, Start);
  }
  const auto readers = t.readers("east");
  REQUIRE(readers.size() == 3);
  CHECK(other.readers("east") == readers);
  CHECK(t.isReader() ==
        (std::count(readers.begin(), readers.end(), t.self().Peer) == 1));
  const auto unreachable =
      readers[0] == t.self().Peer ? readers[1] : readers[0];
  t.probeFailed(unreachable, Start);
  const auto next = t.readers("east");
  CHECK(next.size() == 3);
  CHECK(std::count(next.begin(), next.end(), unreachable) == 0);
}

// Guards against routers and log readers that use outdated members.
TEST_CASE("the revision follows what routing and readers depend on",
          "[members]") {
  auto t = makeTable(9);
  auto expectNew = [&t, last = t.revision()](bool changed) mutable {
    CHECK((t.revision() != last) == changed);
    last = t.revision();
    const auto chosen = t.readers("east");
    const bool reader =
        std::find(chosen.begin(), chosen.end(), t.self().Peer) != chosen.end();
    CHECK(t.isReader() == reader);
  };
  auto known = makeMember(2);
  known.Floor = LogOffset{9};
  t.merge(known, Start);
  t.setFloor(LogOffset{9});
  expectNew(false);
  for (std::uint16_t n = 2; n < 11; ++n) {
    t.merge(inState(makeMember(n), MemberState::Left), Start);
    expectNew(true);
  }
  CHECK(t.isReader());
  t.merge(makeMember(50), Start);
  expectNew(true);
  t.probeFailed({"127.0.0.1", 50}, Start);
  expectNew(true);
  t.mergeFromSender(makeMember(50), Start);
  t.tick(Start + Limits::SuspicionTimeout);
  expectNew(true);
  t.tick(Start + Limits::DeadRetention + Limits::SuspicionTimeout);
  expectNew(true);
  t.updateSelf("v2", MemberState::Leaving);
  expectNew(true);
}

// Guards against changes that are not sent to other data centres.
TEST_CASE("random peers reach another data centre", "[members]") {
  auto t = makeTable(60, 1);
  for (int n = 0; n < 50; ++n) {
    const auto peers = t.randomPeers(4, true);
    CHECK(std::set<Address>(peers.begin(), peers.end()).size() == 4);
    CHECK(std::count(peers.begin(), peers.end(), Address{"127.0.0.1", 5000}) ==
          1);
  }
}

// Guards against unbounded growth and against eviction of live members.
TEST_CASE("the member table is bounded", "[members]") {
  MemberTable t(makeMember(1), 7);
  for (std::size_t n = 0; n <= Limits::MaxMembers; ++n) {
    auto m = makeMember(static_cast<std::uint16_t>(n + 2));
    m.State = n == 5 ? MemberState::Left : MemberState::Alive;
    CHECK(t.merge(m, Start));
  }
  CHECK(t.find({"127.0.0.1", 7}) == nullptr);
  CHECK(t.aliveCount() == Limits::MaxMembers + 1);
  CHECK_FALSE(t.merge(makeMember(60'000), Start));
}
