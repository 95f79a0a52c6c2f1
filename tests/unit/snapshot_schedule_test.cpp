#include "chivefold/core/dissemination.h"
#include "chivefold/core/snapshot_schedule.h"
#include "log_builder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace chivefold;

namespace {

using Limits = SnapshotScheduleLimits;
constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Duration Second = std::chrono::seconds(1);

/** A candidate that applies a log of limited retention. */
struct Candidate {
  explicit Candidate(std::size_t rank) : Place{rank, 4} {}

  bool due(TimePoint now) {
    return Schedule
        .due(
            State.applied(), [this] { return Place; }, now)
        .has_value();
  }
  void follow(const LogBuilder &log, std::uint64_t retain, TimePoint now) {
    while (raw(State.applied()) < log.Entries.size()) {
      const auto &entry = log.Entries[raw(State.applied())];
      REQUIRE(State.apply(entry));
      Schedule.applied(entry, now);
    }
    const auto size = log.Entries.size();
    Schedule.logRead(LogOffset{size > retain ? size - retain + 1 : 1},
                     LogOffset{size + 1}, now);
  }

  SnapshotRank Place;
  ControlState State;
  SnapshotSchedule Schedule;
};

void fill(LogBuilder &log, std::size_t n) {
  for (std::size_t i = 0; i < n; ++i) {
    log.append(DataCentreRecord{"east", i % 2 == 0});
  }
}

/** Appends claims, so that the snapshot of the state needs several parts. */
void fillLarge(LogBuilder &log) {
  for (std::uint64_t n = 0; n < 4; ++n) {
    std::vector<KeyHash> keys(MaxClaimKeys);
    for (std::size_t k = 0; k < keys.size(); ++k) {
      keys[k] = {n + 1, k};
    }
    log.append(ClaimRecord{daemonId(1), keys});
  }
}

std::vector<SnapshotPartRecord> partsOf(const ControlState &state,
                                        LogBuilder &log) {
  auto parts = splitSnapshot(state, log.freshId());
  REQUIRE(parts);
  return *parts;
}

void appendSnapshot(LogBuilder &log, const ControlState &state) {
  for (const auto &it : partsOf(state, log)) {
    log.append(it);
  }
}

/** Recovers the state from a log whose oldest retained offset is @p first. */
Result<ControlState> recovered(const LogBuilder &log, std::size_t first) {
  SnapshotScan scan(LogOffset{first});
  const LogOffset tail{log.Entries.size() + 1};
  bool more = true;
  while (more) {
    const auto from = static_cast<std::ptrdiff_t>(raw(scan.next())) - 1;
    const auto left = static_cast<std::ptrdiff_t>(log.Entries.size()) - from;
    const auto begin = log.Entries.begin() + from;
    more = scan.add({begin, begin + std::min<std::ptrdiff_t>(left, 10)}, tail);
  }
  return scan.take();
}

} // namespace

// Guards against snapshots after every few records, and against records being
// trimmed before a snapshot includes them.
TEST_CASE("snapshots are due neither too early nor too late", "[snapshot]") {
  LogBuilder log;
  Candidate c(0);
  CHECK_FALSE(c.due(Start));
  std::size_t snapshots = 0;
  for (std::size_t n = 0; n < 1000; ++n) {
    fill(log, 1);
    c.follow(log, 60, Start);
    const auto size = log.Entries.size();
    // The state must always be recoverable from the retained records.
    REQUIRE(raw(c.Schedule.newest().AsOf) + 1 >=
            (size > 60 ? size - 60 + 1 : 1));
    if (c.due(Start)) {
      CHECK(size >= raw(c.Schedule.newest().End) + Limits::MinRecords);
      ++snapshots;
      appendSnapshot(log, c.State);
      c.follow(log, 60, Start);
      CHECK_FALSE(c.due(Start));
    }
  }
  CHECK(snapshots >= 25);
  CHECK(snapshots <= 40);
}

// Guards against the expiry of the snapshot in a log with few appends, and
// against repeated snapshots of an unchanged log.
TEST_CASE("snapshots are renewed by age", "[snapshot]") {
  LogBuilder log;
  Candidate c(0);
  fill(log, 20);
  c.follow(log, 100, Start);
  REQUIRE(c.due(Start));
  appendSnapshot(log, c.State);
  c.follow(log, 100, Start);
  CHECK_FALSE(c.due(Start + Limits::MaxAge - Second));
  CHECK(c.due(Start + Limits::MaxAge));
  // The log expires records by time and gets no new ones.
  c.Schedule.logRead(LogOffset{21}, LogOffset{22}, Start + Second);
  CHECK_FALSE(c.due(Start + Second));
  CHECK(c.due(Start + Limits::MinRenewalAge));
}

// Guards against a writer that fails before its last part and is not replaced,
// and against candidates that write while another one is writing, or while the
// log has a snapshot that they have not seen.
TEST_CASE("the next candidate takes over", "[snapshot]") {
  LogBuilder log;
  Candidate first(0);
  Candidate second(1);
  Candidate none(0);
  none.Place.Rank.reset();
  Candidate skipped(0);
  skipped.Schedule.recordsSkipped();
  fillLarge(log);
  fill(log, 20);
  const auto follow = [&](TimePoint now) {
    for (auto *it : {&first, &second, &none, &skipped}) {
      it->follow(log, 1000, now);
    }
  };
  follow(Start);
  CHECK(first.due(Start));
  CHECK_FALSE(second.due(Start));
  CHECK_FALSE(none.due(Start + 10 * Limits::TakeoverDelay));
  CHECK_FALSE(skipped.due(Start + Limits::MaxAge));
  CHECK(skipped.Schedule.scanNeeded(skipped.State.applied(), Start));
  skipped.Schedule.scanned({}, Start);
  CHECK(skipped.due(Start));
  const auto parts = partsOf(first.State, log);
  REQUIRE(parts.size() > 1);
  log.append(parts.front());
  const auto died = Start + 2 * Second;
  follow(died);
  CHECK_FALSE(second.due(died + Limits::TakeoverDelay - Second));
  CHECK(second.due(died + Limits::TakeoverDelay));
  CHECK_FALSE(recovered(log, 2));
  appendSnapshot(log, second.State);
  follow(died + Limits::TakeoverDelay);
  CHECK_FALSE(second.due(died + 10 * Limits::TakeoverDelay));
  const auto state = recovered(log, 2);
  REQUIRE(state);
  CHECK(state->applied() == second.Schedule.newest().AsOf);
}

// Guards against a failed attempt that is repeated without a delay.
TEST_CASE("a failed attempt is repeated after a pause", "[snapshot]") {
  LogBuilder log;
  Candidate c(0);
  fill(log, 20);
  c.follow(log, 100, Start);
  REQUIRE(c.due(Start));
  c.Schedule.attemptEnded(Start);
  CHECK_FALSE(c.due(Start + Limits::TakeoverDelay - Second));
  CHECK(c.due(Start + Limits::TakeoverDelay));
}

// Two writers append snapshots at the same time. Guards against snapshots that
// change the state or prevent each other's assembly, and against recovery of a
// different state.
TEST_CASE("a second snapshot is harmless", "[snapshot]") {
  LogBuilder log;
  Candidate c(0);
  log.append(ChangeRecord{{}, {fleetSection()}});
  fillLarge(log);
  fill(log, 20);
  c.follow(log, 1000, Start);
  const auto configuration = c.State.configuration();
  const auto a = partsOf(c.State, log);
  const auto b = partsOf(c.State, log);
  for (std::size_t n = 0; n < a.size(); ++n) {
    log.append(a[n]);
    log.append(b[n]);
  }
  fill(log, 3);
  c.follow(log, 1000, Start);
  CHECK(c.State.configuration() == configuration);
  CHECK(raw(c.Schedule.newest().AsOf) == 25);
  auto state = recovered(log, 20);
  REQUIRE(state);
  for (const auto &it : log.Entries) {
    REQUIRE(state->apply(it));
  }
  CHECK(state->digest() == c.State.digest());
}

// Guards against the use of an older snapshot although a newer one is retained,
// and of one that is too old for the retained records to follow without a gap.
TEST_CASE("the newest snapshot that continues is used", "[snapshot]") {
  LogBuilder log;
  Candidate c(0);
  fill(log, 20);
  c.follow(log, 1000, Start);
  appendSnapshot(log, c.State); // Offset 21, as of 20.
  fill(log, 5);
  c.follow(log, 1000, Start);
  CHECK(raw(recovered(log, 21)->applied()) == 20);
  const auto late = recovered(log, 22);
  CHECK_FALSE(late);
  CHECK_THAT(late.reason().Message, Catch::Contains("no complete snapshot"));
  const auto stale = partsOf(c.State, log);
  fill(log, 4);
  c.follow(log, 1000, Start);
  appendSnapshot(log, c.State); // Offset 31, as of 30.
  log.append(stale.front());
  CHECK(raw(recovered(log, 10)->applied()) == 30);
  CHECK_FALSE(recovered(log, 32));
}

// All records expire during an outage. Guards against a log from which the
// state stays unrecoverable, and against a snapshot that leaves a gap in the
// records.
TEST_CASE("a snapshot is due after an outage", "[snapshot]") {
  LogBuilder log;
  Candidate c(0);
  fill(log, 20);
  c.follow(log, 1000, Start);
  appendSnapshot(log, c.State);
  c.follow(log, 1000, Start);
  CHECK_FALSE(c.due(Start));
  c.Schedule.logRead(LogOffset{22}, LogOffset{22}, Start);
  CHECK(c.due(Start));
  c.Schedule.logRead(LogOffset{23}, LogOffset{23}, Start);
  CHECK_FALSE(c.due(Start));
}

// Guards against a daemon that reports ready without a state or gives no reason
// why it is not ready, and against installing an outdated snapshot.
TEST_CASE("a daemon without snapshot stays not ready", "[snapshot]") {
  ControlState state;
  MemberTable members(Member{}, 1);
  Dissemination records(state, members);
  records.recovery().logReached(LogOffset{30});
  records.recovery().snapshotMissing(LogOffset{10});
  CHECK_FALSE(records.readiness().Ready);
  CHECK_THAT(records.readiness().Reason,
             Catch::Contains("from 10 on and no complete snapshot"));
  LogBuilder log;
  Candidate peer(0);
  fill(log, 29);
  peer.follow(log, 1000, Start);
  const auto old = peer.State.encodeSnapshot();
  REQUIRE(records.installSnapshot(old));
  CHECK(records.readiness().Ready);
  CHECK_FALSE(records.installSnapshot(old));
}

// Guards against daemons that compute conflicting ranks.
TEST_CASE("candidates have distinct ranks", "[snapshot]") {
  std::set<std::size_t> ranks;
  std::size_t candidates = 0;
  for (std::uint16_t self = 1; self <= 10; ++self) {
    const auto member = [](std::uint16_t port) {
      Member m;
      m.Peer = {"127.0.0.1", port};
      m.DataCentre = port % 2 == 0 ? "east" : "west";
      return m;
    };
    MemberTable members(member(self), self);
    for (std::uint16_t n = 1; n <= 10; ++n) {
      if (n != self) {
        members.merge(member(n), Start);
      }
    }
    const auto place = snapshotRank(members);
    candidates = place.Candidates;
    CHECK(place.Rank.has_value() == members.isReader());
    if (place.Rank) {
      CHECK(ranks.insert(*place.Rank).second);
    }
  }
  CHECK(candidates == 6);
  CHECK(ranks == std::set<std::size_t>{0, 1, 2, 3, 4, 5});
}
