#include "chivefold/core/claim_table.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace chivefold;

namespace {

constexpr std::uint64_t Body = 7;

WaiterId waiter(std::uint64_t n) { return static_cast<WaiterId>(n); }

ClaimAction requestAction(ClaimTable &table, const KeyHash &key,
                          ClaimHolder holder, std::uint64_t caller,
                          std::uint64_t body = Body) {
  return table.request(key, body, holder, waiter(caller)).Action;
}

/** Claims @p key and starts its run for caller 1. */
void claimAndRun(ClaimTable &table, const KeyHash &key) {
  REQUIRE(requestAction(table, key, ClaimHolder::None, 1) == ClaimAction::Wait);
  REQUIRE(table.nextAppend().size() == 1);
  table.appendAccepted();
  const auto effects = table.claimReplayed(key, ClaimHolder::Self);
  REQUIRE(effects.size() == 1);
  REQUIRE(effects[0].Action == ClaimAction::Run);
}

} // namespace

// Guards against running a key twice and against answering "not run" after an
// attempt that may have run, in any order of requests, appends, lost responses,
// replayed claims, attempts and evictions.
TEST_CASE("no interleaving runs a key twice", "[claim]") {
  std::size_t runs = 0;
  CHECK(rc::check([&runs] {
    ClaimLimits limits;
    limits.MaxEntries = 3;
    limits.MaxResponses = 2;
    limits.MaxKeysPerRecord = 2;
    limits.MaxWaiters = 2;
    ClaimTable table(limits);
    // Claims that the daemon has replayed, and keys appended but not replayed.
    std::map<std::uint64_t, ClaimHolder> log;
    std::vector<KeyHash> unreplayedKeys;
    std::set<std::uint64_t> mayHaveRun;
    std::set<std::uint64_t> attempting;
    const auto check = [&](std::uint64_t key,
                           const std::vector<ClaimEffect> &effects) {
      for (const auto &it : effects) {
        const bool ran = mayHaveRun.count(key) != 0;
        RC_ASSERT_FALSE(ran && it.Action == ClaimAction::NotRun);
        RC_ASSERT_FALSE(ran && it.Action == ClaimAction::Run);
        const auto claim = log.find(key);
        const bool isHeldHere =
            claim != log.end() && claim->second == ClaimHolder::Self;
        RC_ASSERT_FALSE(!isHeldHere && it.Action == ClaimAction::Run);
      }
    };
    const auto replayClaim = [&](std::uint64_t key, ClaimHolder holder) {
      const bool isFirst = log.emplace(key, holder).second;
      check(key, isFirst ? table.claimReplayed({1, key}, holder)
                         : std::vector<ClaimEffect>{});
    };
    bool inFlight = false;
    std::uint64_t caller = 0;
    const auto steps =
        *rc::gen::resize(100, rc::gen::container<std::vector<std::uint32_t>>(
                                  400, rc::gen::inRange(0U, 1U << 16U)));
    for (const auto step : steps) {
      const std::uint64_t key = step / 16 % 4;
      const KeyHash hash{1, key};
      switch (step % 16) {
      case 0:
      case 1:
      case 2: {
        const auto holder = log.count(key) != 0 ? log[key] : ClaimHolder::None;
        check(key,
              {table.request(hash, step % 16 == 0 && step > 60000 ? 8 : Body,
                             holder, waiter(++caller))});
        break;
      }
      case 3:
        for (const auto &it : table.nextAppend()) {
          inFlight = true;
          unreplayedKeys.push_back(it);
        }
        break;
      case 4:
        inFlight ? table.appendAccepted() : void();
        inFlight = false;
        break;
      case 5:
        if (inFlight) {
          table.appendFailed(false);
          inFlight = false;
        }
        break;
      case 6:
        for (const auto &it : unreplayedKeys) {
          replayClaim(it.Low, ClaimHolder::Self);
        }
        unreplayedKeys.clear();
        break;
      case 7:
        if (table.attemptStarted(hash)) {
          RC_ASSERT(mayHaveRun.insert(key).second);
          attempting.insert(key);
          ++runs;
        }
        break;
      case 8:
        if (attempting.erase(key) != 0) {
          mayHaveRun.erase(key);
          table.attemptNotRun(hash);
        }
        break;
      case 9:
        check(key, table.endedWithoutResponse(hash, Outcome::NotRun));
        attempting.erase(key);
        break;
      default:
        if (attempting.erase(key) != 0) {
          table.answered(hash, {200, {}, "done"});
        } else if (step > 64000) {
          replayClaim(key, ClaimHolder::Other);
        }
      }
      RC_ASSERT(table.size() <= limits.MaxEntries);
    }
  }));
  CHECK(runs > 200); // With fewer runs the property is hardly tested.
}

// Guards against a repeated request that is run again or gets a different
// response.
TEST_CASE("repeats join the run and get its stored response", "[claim]") {
  ClaimTable table;
  const KeyHash key{1, 1};
  claimAndRun(table, key);
  CHECK(requestAction(table, key, ClaimHolder::Self, 2) == ClaimAction::Wait);
  CHECK(requestAction(table, key, ClaimHolder::Self, 3, 8) ==
        ClaimAction::Conflict);
  REQUIRE(table.attemptStarted(key));
  CHECK_FALSE(table.attemptStarted(key));
  CHECK(table.answered(key, {201, {{"A", "b"}}, "booked"}).size() == 2);
  const auto repeat = table.request(key, Body, ClaimHolder::Self, waiter(4));
  REQUIRE(repeat.Action == ClaimAction::Answer);
  CHECK(repeat.Response->Body == "booked");
  CHECK(requestAction(table, key, ClaimHolder::Self, 5, 8) ==
        ClaimAction::Conflict);
}

// Guards against a key that stays blocked although its request was certainly
// not run, and against a second run after an attempt whose outcome is unknown.
TEST_CASE("only a certain rejection frees a claim", "[claim]") {
  ClaimTable table;
  const KeyHash key{1, 1};
  claimAndRun(table, key);
  REQUIRE(table.attemptStarted(key));
  table.attemptNotRun(key);
  CHECK(table.endedWithoutResponse(key, Outcome::NotRun)[0].Action ==
        ClaimAction::NotRun);
  CHECK(requestAction(table, key, ClaimHolder::Self, 2) == ClaimAction::Run);
  REQUIRE(table.attemptStarted(key));
  CHECK(table.endedWithoutResponse(key, Outcome::NotRun)[0].Action ==
        ClaimAction::Unknown);
  CHECK(requestAction(table, key, ClaimHolder::Self, 3) ==
        ClaimAction::Unknown);
}

// Guards against one append per claim, which would exceed the append budget of
// the log.
TEST_CASE("claims share an append and one append is in flight", "[claim]") {
  ClaimTable table;
  requestAction(table, {1, 0}, ClaimHolder::None, 1);
  CHECK(table.nextAppend().size() == 1);
  for (std::uint64_t n = 1; n <= 1500; ++n) {
    requestAction(table, {1, n}, ClaimHolder::None, n);
  }
  CHECK(table.nextAppend().empty());
  table.appendAccepted();
  CHECK(table.nextAppend().size() == 1000);
  const auto failed = table.appendFailed(true);
  CHECK(failed.size() == 1000);
  CHECK(failed[0].Action == ClaimAction::Unknown);
  CHECK(table.nextAppend().size() == 500);
}

// Guards against dropping a claim because the response to its append was lost,
// and against running a key that another daemon holds.
TEST_CASE("a lost append may still give the claim", "[claim]") {
  ClaimTable table;
  const KeyHash key{1, 1};
  requestAction(table, key, ClaimHolder::None, 1);
  table.nextAppend();
  CHECK(table.appendFailed(false).size() == 1);
  CHECK(table.claimReplayed(key, ClaimHolder::Self).empty());
  CHECK(requestAction(table, key, ClaimHolder::Self, 2) == ClaimAction::Run);
  const KeyHash other{1, 2};
  requestAction(table, other, ClaimHolder::None, 3);
  table.nextAppend();
  CHECK(table.claimReplayed(other, ClaimHolder::Other)[0].Action ==
        ClaimAction::Forward);
}

// Guards against running a key again after its response was evicted, and
// against unbounded memory use.
TEST_CASE("an evicted response reads outcome unknown", "[claim]") {
  ClaimLimits limits;
  limits.MaxTotalBytes = 100;
  ClaimTable table(limits);
  for (std::uint64_t n = 0; n < 3; ++n) {
    claimAndRun(table, {1, n});
    table.answered({1, n}, {200, {}, std::string(40, 'x')});
  }
  CHECK(table.storedBytes() == 80);
  CHECK(requestAction(table, {1, 0}, ClaimHolder::Self, 9) ==
        ClaimAction::Unknown);
  CHECK(requestAction(table, {1, 2}, ClaimHolder::Self, 9) ==
        ClaimAction::Answer);
  CHECK(requestAction(table, {1, 5}, ClaimHolder::Self, 9) ==
        ClaimAction::Unknown);
}
