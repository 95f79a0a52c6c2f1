#include "chivefold/core/control_snapshot.h"
#include "chivefold/core/control_state.h"
#include "log_builder.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace chivefold;

namespace {

constexpr auto Counted = VerdictKind::Counted;

/** A log and a state machine that applies it. */
struct Replay {
  VerdictKind add(RecordBody body, const std::string &writer = "op") {
    return *State.apply(Log.append(std::move(body), writer));
  }
  VerdictKind change(Section section, const std::string &writer = "op") {
    return add(ChangeRecord{State.version(), {std::move(section)}}, writer);
  }
  /** Configures service "s" with a move to v2. @return the version that
   * identifies the move. */
  Version startMove() {
    REQUIRE(change(fleetSection()) == Counted);
    REQUIRE(change(serviceSection(movingService("s"))) == Counted);
    return State.version();
  }
  Verdict lastVerdict() { return *State.verdict(Log.LastId); }
  LogBuilder Log;
  ControlState State;
};

} // namespace

// Two operators change the same base version. Guards against both changes
// taking effect, and against a verdict that does not name the winner.
TEST_CASE("the first of two racing changes counts", "[control]") {
  Replay r;
  REQUIRE(r.change(fleetSection()) == Counted);
  const auto base = r.State.version();
  const auto racer = [&](const char *name) {
    return ChangeRecord{base, {serviceSection(makeService(name))}};
  };
  CHECK(r.add(racer("a"), "amina") == Counted);
  const auto winner = r.State.version();
  CHECK(r.add(racer("b"), "bilal") == VerdictKind::LostRace);
  CHECK(r.lastVerdict().WinnerOffset == winner);
  CHECK(r.lastVerdict().WinnerWriter == "amina");
  CHECK(r.State.version() == winner);
  CHECK(r.State.configuration()->service("b") == nullptr);
}

// An append is repeated after its response was lost. Guards against the record
// taking effect twice, and against the repeat replacing the first verdict.
TEST_CASE("a record id counts once", "[control]") {
  Replay r;
  REQUIRE(r.change(fleetSection()) == Counted);
  const Record out{r.Log.freshId(), "op", DataCentreRecord{"east", true}};
  const Record in{r.Log.freshId(), "op", DataCentreRecord{"east", false}};
  CHECK(*r.State.apply(r.Log.append(out)) == Counted);
  CHECK(*r.State.apply(r.Log.append(in)) == Counted);
  CHECK(*r.State.apply(r.Log.append(out)) == VerdictKind::DuplicateId);
  CHECK_FALSE(r.State.takenOut("east"));
  CHECK(r.State.verdict(out.Id)->Kind == Counted);
}

// Guards against a gap in the offsets being skipped, a record being applied
// again, and a damaged record stopping the replay.
TEST_CASE("records apply once, in offset order", "[control]") {
  Replay r;
  const auto first = r.Log.append(ChangeRecord{{}, {fleetSection()}});
  const auto second = r.Log.appendBytes("garbage");
  CHECK(r.State.apply(second).reason().Code == ErrorCode::Conflict);
  CHECK(*r.State.apply(first) == Counted);
  CHECK(*r.State.apply(second) == VerdictKind::Undecodable);
  CHECK(*r.State.apply(first) == VerdictKind::AlreadyApplied);
  CHECK(raw(r.State.applied()) == 2);
  CHECK(raw(r.State.version()) == 1);
}

// Guards against a lease holder that was paused until another daemon took the
// lease and that still changes the share.
TEST_CASE("a paused lease holder changes nothing", "[control]") {
  Replay r;
  const auto move = r.startMove();
  const auto old = daemonId(1);
  const auto fresh = daemonId(2);
  REQUIRE(r.add(LeaseTakeRecord{"s", move, old, Epoch::None}) == Counted);
  const auto oldEpoch = r.State.lease("s")->LeaseEpoch;
  CHECK(r.add(MoveStepRecord{"s", move, oldEpoch, 500}) == Counted);
  CHECK(r.add(LeaseTakeRecord{"s", move, old, oldEpoch}) == Counted);
  CHECK(r.State.lease("s")->LeaseEpoch == oldEpoch);
  CHECK(r.State.lease("s")->LastOffset == r.State.applied());
  CHECK(r.add(LeaseTakeRecord{"s", move, fresh, oldEpoch}) == Counted);
  const auto epoch = r.State.lease("s")->LeaseEpoch;
  CHECK(epoch == r.State.applied());

  constexpr auto stale = VerdictKind::StaleEpoch;
  CHECK(r.add(MoveStepRecord{"s", move, oldEpoch, 10'000}) == stale);
  CHECK(r.add(LeaseTakeRecord{"s", move, old, oldEpoch}) == stale);
  const auto end = [&](Epoch e, MoveResult result) {
    return MoveEndRecord{"s", move, e, result, "", ""};
  };
  CHECK(r.add(end(oldEpoch, MoveResult::Done)) == stale);
  CHECK(r.State.move("s")->ShareBasisPoints == 500);
  CHECK(r.State.lease("s")->Holder == fresh);
  // A take-back only removes traffic from the new version and needs no lease.
  CHECK(r.add(end(Epoch::None, MoveResult::TakenBack)) == Counted);
  CHECK(r.State.move("s")->ShareBasisPoints == 0);
  CHECK(r.add(MoveStepRecord{"s", move, epoch, 500}) == VerdictKind::Unknown);
}

// Guards against traffic returning to the old version after a completed move,
// and against the override remaining after an operator sets another version.
TEST_CASE("a done move makes its version effective", "[control]") {
  Replay r;
  const auto move = r.startMove();
  REQUIRE(r.add(LeaseTakeRecord{"s", move, daemonId(1), Epoch::None}) ==
          Counted);
  const auto epoch = r.State.lease("s")->LeaseEpoch;
  REQUIRE(r.add(MoveEndRecord{"s", move, epoch, MoveResult::Done, "", ""}) ==
          Counted);
  CHECK(r.State.effectiveVersion("s") == "v2");
  CHECK(r.State.lease("s") == nullptr);
  auto text = movingService("s");
  text.Versions = {"v1"};
  text.Move.reset();
  CHECK(r.change(serviceSection(text)) == VerdictKind::BrokenReference);
  text.Versions = {"v1", "v2", "v3"};
  CHECK(r.change(serviceSection(text)) == Counted);
  CHECK(r.State.effectiveVersion("s") == "v2");
  text.CurrentVersion = "v3";
  CHECK(r.change(serviceSection(text)) == Counted);
  CHECK(r.State.effectiveVersion("s") == "v3");
}

// Guards against a move that continues after operators removed or replaced it.
TEST_CASE("a change supersedes a running move", "[control]") {
  Replay r;
  const auto move = r.startMove();
  SECTION("removed") {
    REQUIRE(r.change(serviceSection(makeService("s"))) == Counted);
  }
  SECTION("changed") {
    REQUIRE(r.change(serviceSection(movingService("s", 2000))) == Counted);
    CHECK(r.State.move("s")->Move == r.State.version());
    CHECK_FALSE(r.State.move("s")->Ended);
  }
  SECTION("other current version") {
    auto s = movingService("s");
    s.CurrentVersion = "v2";
    REQUIRE(r.change(serviceSection(s)) == Counted);
  }
  CHECK(r.add(LeaseTakeRecord{"s", move, daemonId(1), Epoch::None}) ==
        VerdictKind::Unknown);
  if (r.State.move("s")->Move == move) {
    CHECK(r.State.move("s")->Ended);
    CHECK(r.State.move("s")->Reason == "superseded");
  }
}

// Guards against a change being applied with missing or mismatching parts.
TEST_CASE("a multi-record change needs all of its parts", "[control]") {
  Replay r;
  const auto id = r.Log.freshId();
  const auto part = [&](std::uint32_t n, Section s) {
    return r.Log.append(ChangePartRecord{id, n, {std::move(s)}});
  };
  const auto commit = [&](std::uint32_t count, std::uint64_t digest) {
    return r.add(ChangeCommitRecord{id, {}, count, digest});
  };
  const auto b = part(1, serviceSection(makeService("s")));
  CHECK(*r.State.apply(b) == VerdictKind::Incomplete);
  CHECK(commit(2, 1) == VerdictKind::Incomplete);
  const auto a = part(0, fleetSection());
  CHECK(*r.State.apply(a) == VerdictKind::Incomplete);
  CHECK(commit(3, 1) == VerdictKind::Incomplete);
  CHECK(commit(2, 1) == VerdictKind::DigestMismatch);
  CHECK(r.State.configuration()->Services.empty());
  CHECK(r.State.version() == Version::None);
  const auto digest =
      changeDigest(changeDigest(InitialChangeDigest, a.Bytes), b.Bytes);
  CHECK(commit(2, digest) == Counted);
  CHECK(r.State.configuration()->service("s") != nullptr);
}

// Guards against unbounded memory use by parts that are never committed.
TEST_CASE("the oldest pending change is dropped", "[control]") {
  Replay r;
  const auto first = r.Log.freshId();
  const auto part = r.Log.append(ChangePartRecord{first, 0, {fleetSection()}});
  REQUIRE(r.State.apply(part));
  for (std::size_t n = 0; n < ControlStateLimits::MaxPendingChanges; ++n) {
    r.add(ChangePartRecord{r.Log.freshId(), 0, {fleetSection()}});
  }
  const auto digest = changeDigest(InitialChangeDigest, part.Bytes);
  CHECK(r.add(ChangeCommitRecord{first, {}, 1, digest}) ==
        VerdictKind::Incomplete);
}

// Guards against a configuration that routes to undefined services or versions.
TEST_CASE("a change that breaks references does not count", "[control]") {
  Replay r;
  auto s = makeService("s");
  SECTION("dependency") { s.DependsOn = {"missing"}; }
  SECTION("cycle") { s.DependsOn = {"s"}; }
  SECTION("version") { s.CurrentVersion = "v9"; }
  SECTION("move") { s.Move = MoveRequest{"v9", {}}; }
  CHECK(r.change(serviceSection(s)) == VerdictKind::BrokenReference);
  CHECK(r.State.version() == Version::None);
}

// Guards against an unrelated change of the configuration putting a data centre
// back in service that a record took out.
TEST_CASE("only a changed listing sets a data centre", "[control]") {
  Replay r;
  REQUIRE(r.change(fleetSection()) == Counted);
  CHECK(r.add(DataCentreRecord{"east", true}) == Counted);
  CHECK(r.change(fleetSection({"west"})) == Counted);
  CHECK(r.State.takenOut("east"));
  CHECK(r.State.takenOut("west"));
  CHECK(r.change(fleetSection()) == Counted);
  CHECK(r.State.takenOut("east"));
  CHECK_FALSE(r.State.takenOut("west"));
  CHECK(r.add(DataCentreRecord{"nowhere", true}) == VerdictKind::Unknown);
}

// Guards against two daemons that both hold the claim of one key.
TEST_CASE("the first claim of a key counts", "[control]") {
  Replay r;
  const KeyHash a{1, 1};
  const KeyHash b{2, 2};
  CHECK(r.add(ClaimRecord{daemonId(1), {a}}) == Counted);
  CHECK(r.add(ClaimRecord{daemonId(2), {a, b}}) == Counted);
  CHECK(r.State.claim(a)->Holder == daemonId(1));
  CHECK(r.State.claim(b)->Holder == daemonId(2));
  CHECK(r.add(ClaimRecord{daemonId(1, 2), {a}}) == VerdictKind::LostRace);
  CHECK(raw(r.lastVerdict().WinnerOffset) == 1);
  CHECK_FALSE(r.State.claim({3, 3}));
}

// Guards against unbounded memory use by claims, and against evictions that
// differ between a daemon that replayed the log and one that started from a
// snapshot.
TEST_CASE("the oldest claims are dropped", "[control]") {
  ClaimHistory claims;
  const auto holder = daemonId(1);
  for (std::uint64_t n = 0; n < ClaimHistory::MaxEntries + 10; ++n) {
    REQUIRE(
        claims.add({n, n}, LogOffset{n + 1}, n < 20 ? holder : daemonId(2)));
  }
  CHECK(claims.entries().size() == ClaimHistory::MaxEntries);
  CHECK_FALSE(claims.find({9, 9}));
  CHECK(claims.find({10, 10})->Holder == holder);
  ClaimHistory copy;
  for (const auto &it : claims.entries()) {
    copy.add(it.Key, it.Offset, claims.holder(it));
  }
  CHECK(copy.digest() == claims.digest());
}

// Guards against a snapshot that omits part of the state, and against the use
// of a damaged or truncated one.
TEST_CASE("snapshots carry the whole state", "[control]") {
  Replay r;
  const auto move = r.startMove();
  r.add(LeaseTakeRecord{"s", move, daemonId(1), Epoch::None});
  r.add(MoveStepRecord{"s", move, r.State.lease("s")->LeaseEpoch, 500});
  r.add(ChangeRecord{Version::None, {}});
  r.add(DataCentreRecord{"west", true});
  r.add(ClaimRecord{daemonId(3), {{1, 2}, {3, 4}}});
  r.add(AnnounceRecord{{"127.0.0.1", 9}, "east", "north"});
  r.add(ChangePartRecord{r.Log.freshId(), 0, {fleetSection()}});
  const auto bytes = r.State.encodeSnapshot();
  auto copy = ControlState::decodeSnapshot(bytes);
  REQUIRE(copy);
  CHECK(copy->digest() == r.State.digest());
  CHECK(copy->verdict(r.Log.LastId)->Kind == VerdictKind::Incomplete);
  const auto next = r.Log.append(MoveEndRecord{
      "s", move, r.State.lease("s")->LeaseEpoch, MoveResult::Done, "", ""});
  CHECK(*copy->apply(next) == Counted);
  CHECK(*r.State.apply(next) == Counted);
  CHECK(copy->digest() == r.State.digest());

  CHECK_FALSE(ControlState::decodeSnapshot(bytes.substr(0, bytes.size() / 2)));
  std::size_t accepted = 0;
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    auto damaged = bytes;
    damaged[n] = static_cast<char>(damaged[n] ^ 0x20);
    auto state = ControlState::decodeSnapshot(damaged);
    // A flipped bit in padding is accepted; the decoded state must not differ.
    accepted += state && state->encodeSnapshot() != bytes ? 1 : 0;
  }
  CHECK(accepted == 0);
}

// Guards against the use of a snapshot with a missing or modified part.
TEST_CASE("a partial snapshot in the log is rejected", "[control]") {
  Replay r;
  for (std::uint64_t n = 0; n < 40; ++n) {
    std::vector<KeyHash> keys(MaxClaimKeys);
    for (std::size_t k = 0; k < keys.size(); ++k) {
      keys[k] = {n, k};
    }
    REQUIRE(r.add(ClaimRecord{daemonId(1), keys}) == Counted);
  }
  auto parts = splitSnapshot(r.State, r.Log.freshId());
  REQUIRE(parts);
  REQUIRE(parts->size() > 2);
  for (const auto &it : *parts) {
    CHECK(encodeRecord({{}, "", it}).size() <= MaxRecordBytes);
  }
  SnapshotAssembler partial;
  for (std::size_t n = 1; n < parts->size(); ++n) {
    CHECK_FALSE(partial.add((*parts)[n]));
    CHECK_FALSE(partial.add((*parts)[n]));
  }
  SECTION("completed") {
    const auto state = partial.add(parts->front());
    REQUIRE(state);
    CHECK(state->digest() == r.State.digest());
  }
  SECTION("replaced") {
    parts->front().Bytes[100] ^= 1;
    CHECK_FALSE(partial.add(parts->front()));
  }
}
