/**
 * @file
 * Compares the request path of chivefold with a plain one (round robin, fixed
 * limits and three blind retries without cancellation) in simulations of both
 * deployments. Prints one line per scenario, and the cost of a decision.
 */
#include "request_path_simulation.h"

#include <chrono>
#include <cstdio>

using namespace chivefold;
using namespace chivefold::benchmark;

namespace {

std::vector<Scenario> scenarios() {
  const std::vector<std::pair<const char *, bool Scenario::*>> faults{
      {"cold", &Scenario::Cold},
      {"slow", &Scenario::Slow},
      {"fast-fail", &Scenario::FailsFast},
      {"dc-out", &Scenario::CentreOut},
      {"x1.5", &Scenario::Overload}};
  std::vector<Scenario> list{{"none"}};
  for (std::size_t a = 0; a < faults.size(); ++a) {
    Scenario one{faults[a].first};
    one.*faults[a].second = true;
    list.push_back(one);
    for (std::size_t b = a + 1; b < faults.size(); ++b) {
      auto two = one;
      two.Name += std::string("+") + faults[b].first;
      two.*faults[b].second = true;
      list.push_back(two);
    }
  }
  return list;
}

void printReport(const Report &r) {
  const auto at = [&r](double share) {
    return r.LatencyMs.empty()
               ? 0.0
               : r.LatencyMs[static_cast<std::size_t>(
                     share * static_cast<double>(r.LatencyMs.size() - 1))];
  };
  std::printf(" | %6.4f %5.0f %5.0f %5.2f %5.2f",
              r.WorthAnswered / r.WorthOffered, at(0.5), at(0.99),
              static_cast<double>(r.BackAttempts) /
                  static_cast<double>(r.Offered),
              r.WorstColdLoad);
}

/** @return nanoseconds of one run of @p body. */
template <class Body> double cost(Body body) {
  constexpr int runs = 400000;
  const auto begin = std::chrono::steady_clock::now();
  for (int n = 0; n < runs; ++n) {
    body(n);
  }
  const std::chrono::duration<double, std::nano> spent =
      std::chrono::steady_clock::now() - begin;
  return spent.count() / runs;
}

double routerCost(int servers) {
  Router router(1, "a");
  router.setSplit("s", {"v1", "", 0});
  for (int n = 0; n < servers; ++n) {
    router.update({{"127.0.0.1", static_cast<std::uint16_t>(n + 1)},
                   n % 3 == 0 ? "a" : "b",
                   "s",
                   "v1",
                   true,
                   false});
  }
  return cost([&router](int n) {
    const auto now = T0 + Duration(n * 10);
    const auto choice = router.choose("s", {}, now);
    router.started(choice.Peer, now);
    router.answered(choice.Peer, 5ms, {10, 3, 0, false, false}, now);
  });
}

} // namespace

int main() {
  std::printf("per policy: answered share of worth, median ms, 99th ms, calls "
              "reaching the back service per call,\nworst load of a cold "
              "server over its bound (0: none cold). Seed 20261204.\n");
  for (const Deployment &it :
       {Deployment{"Atlas", 20}, Deployment{"Sahayatri", 10}}) {
    std::printf("%-10s %-17s | chivefold %22s | plain\n", it.Name, "fault", "");
    for (const auto &scenario : scenarios()) {
      std::printf("%-10s %-17s", it.Name, scenario.Name.c_str());
      printReport(Simulation(it, scenario, false).run());
      printReport(Simulation(it, scenario, true).run());
      std::printf("\n");
    }
  }
  Gate gate({20, 120, 20, 20});
  const double gateNs = cost([&gate](int n) {
    const auto id = static_cast<GateRequestId>(n + 1);
    const auto now = T0 + Duration(n);
    gate.admit({id, 1, now + 1s, false}, now);
    gate.finish(id, ServerResult::Ok, 5ms, now);
  });
  const double small = routerCost(27);
  const double large = routerCost(4100);
  std::printf("gate %.0f ns, router %.0f ns with 27 servers (ratio to the gate "
              "%.2f), %.0f ns with 4,100 (ratio to 27 %.2f)\n",
              gateNs, small, small / gateNs, large, large / small);
  return 0;
}
