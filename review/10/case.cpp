// A request that crashes each server that begins to run it comes again every
// 4.5 seconds, while all daemons are killed at the same moment, three times.
#include "../lab-2/lab.h"

#include <algorithm>
#include <csignal>
#include <vector>

using namespace lab;

namespace {

constexpr long RetryMs = 4500;
constexpr long BackAfterMs = 3000;
constexpr long RestartMs = 500;
constexpr const char *Path = "/booking/poison";

// All daemons are killed at the same moment and started again. @return when.
long killAll(Fleet &fleet) {
  record("SIGKILL to all daemons");
  for (auto &it : fleet.Sidecars) {
    it->signal(SIGKILL);
  }
  for (auto &it : fleet.Sidecars) {
    it->reap();
  }
  sleepFor(RestartMs);
  for (auto &it : fleet.Sidecars) {
    it->spawn();
  }
  return now();
}

// @return the retries that count for the rule, of those that reached a server.
int countRetries(Fleet &fleet, const std::vector<Arrival> &crashes,
                 const std::vector<long> &starts) {
  const auto sent = fleet.sent();
  int counted = 0;
  for (std::size_t i = 3; i < crashes.size(); ++i) {
    const auto sentAt = sent.at(crashes[i].Id).first;
    const bool isInTouch =
        std::none_of(starts.begin(), starts.end(), [&](long it) {
          return it <= sentAt + 1000 && sentAt < it + Bounds::ContactMs;
        });
    const bool isLater = sentAt > crashes[2].AtMs + Bounds::ContactMs;
    counted += isInTouch && isLater ? 1 : 0;
  }
  return counted;
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
  const auto begin = now();
  const auto end = begin + 52500;
  std::vector<long> starts{0};
  std::thread client([&] {
    unsigned n = 0;
    for (long at = begin + 2000; at < end; at += RetryMs) {
      sleepUntil(at);
      // At any machine of client-desk that takes clients.
      for (unsigned i = 0; i < 8; ++i) {
        auto &sidecar = *fleet.Sidecars[n++ % 8];
        if (sidecar.IsReady) {
          fleet.request(sidecar, "POST", "poison-" + std::to_string(at), Path,
                        "poison");
          break;
        }
      }
    }
  });
  if (wantsTrouble()) {
    for (const long at : {11200, 24700, 38200}) {
      sleepUntil(begin + at);
      starts.push_back(killAll(fleet));
    }
  }
  client.join();
  fleet.stopTraffic();

  std::vector<Arrival> crashes;
  for (const auto &it : fleet.arrivals()) {
    if (it.Ran && it.Id.rfind("poison-", 0) == 0) {
      crashes.push_back(it);
    }
  }
  const int counted = countRetries(fleet, crashes, starts);
  record("BUDGET: the request reached servers " +
         std::to_string(crashes.size()) + " times; " + std::to_string(counted) +
         " of these retries were sent by machines in touch later than "
         "contactMs after the third crash; allowed: 3");
  if (crashes.empty()) {
    finish(fleet, 2);
  }
  finish(fleet, counted > 3 ? 1 : 0);
}
