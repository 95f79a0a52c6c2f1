#include "chivefold/mesh/announce_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

using namespace chivefold;

namespace {

using std::chrono::seconds;

constexpr std::size_t DataCentres = 5;
constexpr std::size_t HostsPerDataCentre = 59;
constexpr TimePoint Start{seconds(100)};

Address hostAt(std::size_t n) {
  return {"10.0." + std::to_string(n / 250) + "." + std::to_string(n % 250),
          7000};
}

HostState stateOf(std::size_t n, std::uint64_t sequence) {
  HostState out;
  out.Peer = hostAt(n);
  out.DataCentre = "dc" + std::to_string(n % DataCentres);
  out.BootId = n + 1;
  out.Sequence = sequence;
  return out;
}

/** A fleet in which each host's table contains all hosts. */
struct SimulatedFleet {
  SimulatedFleet() {
    for (std::size_t i = 0; i < DataCentres * HostsPerDataCentre; ++i) {
      Index[hostAt(i)] = i;
      Tables.push_back(std::make_unique<FleetTable>(i));
      for (std::size_t j = 0; j < DataCentres * HostsPerDataCentre; ++j) {
        Tables.back()->update(stateOf(j, 1), Start);
      }
      Plans.push_back(std::make_unique<AnnouncePlan>(
          *Tables.back(), hostAt(i), stateOf(i, 1).DataCentre, i + 1));
    }
  }

  /** Announces a new state of host 0; messages to the hosts @p lost are
   * dropped. */
  void announce(const std::vector<std::size_t> &lost) {
    const auto state = stateOf(0, 2);
    for (const auto &it : Plans[0]->targets()) {
      const auto to = Index.at(it.Peer);
      CrossDataCentreMessages += to % DataCentres != 0 ? 1 : 0;
      ++Messages;
      if (std::find(lost.begin(), lost.end(), to) != lost.end()) {
        continue;
      }
      Tables[to]->update(state, Start + seconds(1));
      if (!it.IsRelay) {
        continue;
      }
      for (const auto &next : Plans[to]->relayTargets(state.Peer)) {
        ++Messages;
        CHECK(Index.at(next) % DataCentres == to % DataCentres);
        Tables[Index.at(next)]->updateFromRelay(state, Start + seconds(1));
      }
    }
  }

  std::size_t updatedTableCount() const {
    return static_cast<std::size_t>(
        std::count_if(Tables.begin(), Tables.end(), [](const auto &it) {
          return it->find(hostAt(0))->State.Sequence == 2;
        }));
  }

  std::map<Address, std::size_t> Index;
  std::vector<std::unique_ptr<FleetTable>> Tables;
  std::vector<std::unique_ptr<AnnouncePlan>> Plans;
  std::size_t Messages = 0;
  std::size_t CrossDataCentreMessages = 0;
};

} // namespace

// Guards against traffic between data centres that grows with the square of the
// fleet size, as when each change of a host is sent to every other host.
TEST_CASE(
    "an announcement crosses to each data centre a bounded number of times",
    "[announce]") {
  SimulatedFleet fleet;
  fleet.announce({});
  // The table of host 0 itself is not updated by its announcement.
  CHECK(fleet.updatedTableCount() == DataCentres * HostsPerDataCentre - 1);
  CHECK(fleet.CrossDataCentreMessages ==
        (DataCentres - 1) * AnnouncePlan::RelaysPerDataCentre);
  CHECK(fleet.Messages < DataCentres * HostsPerDataCentre *
                             (AnnouncePlan::RelaysPerDataCentre + 1));
}

// Guards against a data centre that misses an announcement because one of its
// relays is lost.
TEST_CASE("one relay of each data centre is enough", "[announce]") {
  SimulatedFleet fleet;
  AnnouncePlan identicalPlan(*fleet.Tables[0], hostAt(0), "dc0", 1);
  std::map<std::string, std::size_t> firstRelays;
  for (const auto &it : identicalPlan.targets()) {
    const auto n = fleet.Index.at(it.Peer);
    if (it.IsRelay) {
      firstRelays.emplace(stateOf(n, 1).DataCentre, n);
    }
  }
  REQUIRE(firstRelays.size() == DataCentres - 1);
  std::vector<std::size_t> lost;
  lost.reserve(firstRelays.size());
  for (const auto &it : firstRelays) {
    lost.push_back(it.second);
  }
  fleet.announce(lost);
  CHECK(fleet.updatedTableCount() == DataCentres * HostsPerDataCentre - 1);
}

// Guards against requests to a server that has left: a relayed copy of an older
// state, or of the state of an earlier start of its daemon, must not replace
// the current state.
TEST_CASE("a state that was passed on is taken only if it is newer",
          "[announce]") {
  FleetTable table(1);
  CHECK(table.updateFromRelay(stateOf(3, 4), Start) ==
        RelayedUpdateResult::Applied);
  CHECK(table.find(hostAt(3))->reachable());
  CHECK(table.updateFromRelay(stateOf(3, 4), Start) ==
        RelayedUpdateResult::Stale);
  CHECK(table.updateFromRelay(stateOf(3, 2), Start) ==
        RelayedUpdateResult::Stale);
  auto earlierStart = stateOf(3, 9);
  earlierStart.BootId = 77;
  CHECK(table.updateFromRelay(earlierStart, Start) ==
        RelayedUpdateResult::OtherBoot);
  CHECK(table.find(hostAt(3))->State.Sequence == 4);
  // A stale copy is no evidence that this daemon can reach the host.
  table.recordFailure(hostAt(3), Start + seconds(1));
  CHECK(table.updateFromRelay(stateOf(3, 4), Start) ==
        RelayedUpdateResult::Stale);
  CHECK_FALSE(table.find(hostAt(3))->reachable());
}
