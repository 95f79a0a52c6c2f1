// A server tells its daemon that it is gone, shortly after that daemon was
// stopped and started again as planned. One heartbeat of before arrives late.
#include "../lab-2/lab.h"

#include <algorithm>
#include <csignal>
#include <unistd.h>

using namespace lab;

namespace {

/** Time for which the heartbeat is late. */
constexpr long LateMs = 2000;
/** For how long the server serves on after its notice is acknowledged. */
constexpr long ServesOnMs = 8000;

} // namespace

int main(int argc, char **argv) {
  openRecord(argc > 1 ? argv[1] : ".");
  Fleet fleet;
  fleet.start();
  auto &sidecar = fleet.sidecar("ledger-1");
  auto &server = fleet.server("ledger-1");
  fleet.startTraffic(200);
  sleepFor(3000);
  if (wantsTrouble()) {
    record("SIGTERM to the daemon on ledger-1");
    sidecar.signal(SIGTERM);
    sidecar.reap();
    sleepFor(500);
    sidecar.spawn();
  }
  // The next heartbeat is on its way for LateMs; the server leaves meanwhile.
  server.stopBeats();
  const auto late = server.beatText();
  const auto sentAt = now();
  record("ledger-1 sends a heartbeat (ready) that will be late");
  while (fleet.sidecar("ledger-1").Pid < 0 || now() < sentAt + 500) {
    sleepFor(20);
  }
  int status = 0;
  while ((status = server.leave()) == 0) {
    sleepFor(20);
  }
  const auto acknowledgedAt = now();
  record("ledger-1 says that it is gone: acknowledged with " +
         std::to_string(status));
  sleepUntil(sentAt + LateMs);
  Message answer;
  const int beat = exchange(server.Admin, late, answer, 1000);
  record("the late heartbeat of ledger-1 arrives: answered with " +
         std::to_string(beat));
  sleepUntil(acknowledgedAt + ServesOnMs);
  server.crash();
  record("the server on ledger-1 ends; SIGTERM to its daemon");
  fleet.sidecar("ledger-1").signal(SIGTERM);
  sleepFor(1000);
  fleet.stopTraffic();

  const auto sent = fleet.sent();
  // Only machines whose processes were never disturbed, and from the time on
  // at which the daemon beside the server is in touch again.
  const auto from = std::max(acknowledgedAt + Bounds::DrainMs,
                             sidecar.StartedAtMs + Bounds::ContactMs);
  const auto answered = fleet.answered();
  int broken = 0;
  int lost = 0;
  for (const auto &it : fleet.arrivals()) {
    const auto request = sent.find(it.Id);
    if (it.Machine == "ledger-1" && it.Ran && request != sent.end() &&
        request->second.second != "ledger-1" && request->second.first > from) {
      ++broken;
      lost += answered.count(it.Id) == 0 ? 1 : 0;
    }
  }
  record("DRAIN: " + std::to_string(broken) +
         " requests of other machines, sent later than " +
         std::to_string(from) +
         " ms, were run by the server whose leaving was "
         "acknowledged at " +
         std::to_string(acknowledgedAt) + " ms; " + std::to_string(lost) +
         " of these got no answer of the server");
  if (status != 200) {
    finish(fleet, 2);
  }
  finish(fleet, broken > 0 ? 1 : 0);
}
