// Two of the three servers of a service leave as planned. A request that
// crashes each server that begins to run it then comes again every four
// seconds.
#include "../lab-2/lab.h"

#include <csignal>
#include <vector>

using namespace lab;

namespace {

constexpr long RetryMs = 4000;
constexpr long BackAfterMs = 3000;
constexpr int Retries = 14;
constexpr const char *Path = "/payout/poison";

// A server says that it leaves, serves on and ends; then its machine goes.
void scaleIn(Fleet &fleet, const std::string &machine) {
  auto &server = fleet.server(machine);
  server.setState("draining");
  record("the server on " + machine +
         " says that it is draining: acknowledged with " +
         std::to_string(server.beat()));
  sleepFor(Bounds::DrainMs + 500);
  server.stopBeats();
  server.leave();
  server.crash();
  record("the server on " + machine + " ends; SIGTERM to its daemon");
  auto &sidecar = fleet.sidecar(machine);
  sidecar.signal(SIGTERM);
  sidecar.reap();
}

} // namespace

int main(int argc, char **argv) {
  openRecord(argc > 1 ? argv[1] : ".");
  Fleet fleet;
  fleet.start();
  for (auto &it : fleet.Servers) {
    it->IsPoison = [](const Message &request) {
      return request.target() == Path;
    };
    it->OnPoison = [](Server &server) {
      std::thread([&server] {
        sleepFor(BackAfterMs);
        server.start(3000);
        record("the server on " + server.Machine + " is back");
      }).detach();
    };
  }
  fleet.startTraffic(200);
  sleepFor(2000);
  if (wantsTrouble()) {
    scaleIn(fleet, "ledger-2");
    sleepFor(1500);
    scaleIn(fleet, "ledger-3");
  }
  sleepFor(3500);
  auto at = now();
  for (int i = 0; i < Retries; ++i, at += RetryMs) {
    sleepUntil(at);
    fleet.request(*fleet.Sidecars[static_cast<std::size_t>(i) % 8], "PUT",
                  "poison-" + std::to_string(i), Path, "poison");
  }
  sleepFor(1000);
  fleet.stopTraffic();

  const auto sent = fleet.sent();
  std::vector<Arrival> crashes;
  for (const auto &it : fleet.arrivals()) {
    if (it.Ran && it.Id.rfind("poison-", 0) == 0) {
      crashes.push_back(it);
    }
  }
  // No process of the machines that send the request was disturbed, so they
  // are in touch.
  int counted = 0;
  for (std::size_t i = 3; i < crashes.size(); ++i) {
    counted +=
        sent.at(crashes[i].Id).first > crashes[2].AtMs + Bounds::ContactMs ? 1
                                                                           : 0;
  }
  record("BUDGET: the request reached servers " +
         std::to_string(crashes.size()) + " times; " + std::to_string(counted) +
         " of these retries were sent later than contactMs after the third "
         "crash; allowed: 3");
  finish(fleet, crashes.empty() ? 2 : counted > 3 ? 1 : 0);
}
