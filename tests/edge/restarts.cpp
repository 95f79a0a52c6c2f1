/**
 * @file
 * Real sidecar processes that are replaced by ones that know nothing, after
 * they have acknowledged or learned something that binds their successors.
 */
#include "case_main.h"
#include "checks.h"
#include "restarting_server.h"
#include "two_hosts.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace {

using namespace edge;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** From the pages: time after an acknowledgement within which requests may
 * still reach a server that leaves. */
constexpr auto DrainTime = milliseconds(2000);
/** Time in which a daemon finds that the store came back from a copy. */
constexpr auto RepairTime = milliseconds(2500);

void sleepFor(milliseconds time) { std::this_thread::sleep_for(time); }

std::int64_t unixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/** Servers whose threads run until the process ends. */
struct Servers {
  RestartingServer Desk;
  RestartingServer Ledger;
};

Servers &servers() {
  static Servers all;
  return all;
}

/** Settings for two hosts whose servers have just started. */
TwoHostsSettings startServers() {
  servers().Desk.start(std::string("i-") + OwnService);
  servers().Ledger.start(std::string("i-") + OtherService);
  TwoHostsSettings out;
  out.OwnBackend = servers().Desk.address();
  out.OtherBackend = servers().Ledger.address();
  return out;
}

/** Two hosts; the server of the first one, its own, is the one at stake. */
class Fleet : public TwoHosts {
public:
  explicit Fleet(const std::string &program)
      : TwoHosts(program, startServers()) {}

  RestartingServer &server() { return servers().Desk; }

  /** @return a report of an instance of the first server. */
  std::string report(const std::string &state, std::int64_t bornMs,
                     int sequence) {
    return Json{{"address", server().address()},
                {"born", bornMs},
                {"info",
                 {{"service", OwnService},
                  {"version", "v1"},
                  {"zone", "east"},
                  {"slots", 8}}},
                {"status",
                 {{"state", state}, {"seqNo", sequence}, {"warmupLeftMs", 0}}}}
        .dump();
  }
};

/** What happens to the daemons after a departure is acknowledged. */
struct Disruption {
  const char *Name = "";
  bool IsStoreAway = false;
  std::function<void(Fleet &, const Store::Records &before)> Run;
};

void replace(Host &host) {
  host.kill();
  host.respawn();
}

std::vector<Disruption> disruptions() {
  return {
      {"SIGTERM", false,
       [](Fleet &fleet, const auto &) {
         fleet.own().terminate();
         require(eventually([&] { return fleet.own().hasEnded(); }),
                 "the process does not stop");
         fleet.own().respawn();
       }},
      {"SIGKILL", false,
       [](Fleet &fleet, const auto &) { replace(fleet.own()); }},
      {"SIGKILL twice", false,
       [](Fleet &fleet, const auto &) {
         replace(fleet.own());
         sleepFor(milliseconds(300));
         replace(fleet.own());
       }},
      {"SIGKILL of all", false,
       [](Fleet &fleet, const auto &) {
         fleet.own().kill();
         fleet.other().kill();
         fleet.own().respawn();
         fleet.other().respawn();
       }},
      {"SIGKILL while the store is away", true,
       [](Fleet &fleet, const auto &) { replace(fleet.own()); }},
      {"SIGKILL of all after the store came back from a copy", false,
       [](Fleet &fleet, const Store::Records &before) {
         fleet.store().restore(before);
         sleepFor(RepairTime);
         fleet.own().kill();
         fleet.other().kill();
         fleet.own().respawn();
         fleet.other().respawn();
       }},
  };
}

/** Says that the first server leaves. @return whether that is acknowledged. */
using Announcement = std::function<bool(Fleet &, const std::string &instance,
                                        std::int64_t bornMs)>;

bool sendNotice(Fleet &fleet, const std::string &instance,
                std::int64_t /*bornMs*/) {
  return fleet.own().tell(instance, "") == 200;
}

bool reportDraining(Fleet &fleet, const std::string &instance,
                    std::int64_t bornMs) {
  return fleet.own().tell(instance, fleet.report("draining", bornMs, 5)) == 200;
}

bool stateInAnswer(Fleet &fleet, const std::string & /*instance*/,
                   std::int64_t /*bornMs*/) {
  fleet.server().StatesLeaving = true;
  const bool isPassedOn = fleet.other().request(4, OwnService) == 200;
  fleet.server().StatesLeaving = false;
  // The answer is passed on beside the write to the store.
  sleepFor(milliseconds(200));
  return isPassedOn;
}

// Reports from before the departure that come late, each with what a report may
// differ in.
void sendLateReports(Fleet &fleet, const std::string &instance,
                     std::int64_t bornMs) {
  auto withoutStart = Json::parse(fleet.report("ready", bornMs, 7));
  withoutStart.erase("born");
  for (const auto &it :
       {fleet.report("ready", bornMs, 4), fleet.report("ready", bornMs, 1000),
        withoutStart.dump()}) {
    eventually([&] { return fleet.own().tell(instance, it) != 0; });
  }
}

void checkDeparture(Checks &checks, Fleet &fleet, const Announcement &announce,
                    const Disruption &disruption, unsigned number) {
  // Each second one starts again under the id of the one before it.
  const auto instance = "i-" + std::to_string(number / 2);
  const auto bornMs = unixMs();
  fleet.server().crash();
  fleet.server().start(instance);
  const auto ready = fleet.report("ready", bornMs, 3);
  const bool isUsed = eventually([&] {
    return fleet.own().tell(instance, ready) == 200 &&
           fleet.other().request(4, OwnService) == 200;
  });
  checks.check(isUsed,
               std::string("a new server is used before ") + disruption.Name);
  const auto before = fleet.store().copy();
  fleet.store().setAway(disruption.IsStoreAway);
  checks.check(announce(fleet, instance, bornMs),
               "its leaving is acknowledged");
  const auto acknowledgedAt = Clock::now();
  disruption.Run(fleet, before);
  sendLateReports(fleet, instance, bornMs);
  fleet.awaitReady();
  std::this_thread::sleep_until(acknowledgedAt + DrainTime);
  const auto runs = fleet.server().runs().size();
  for (int i = 0; i < 10; ++i) {
    sendLateReports(fleet, instance, bornMs);
    fleet.own().request(4, OwnService);
    fleet.other().request(4, OwnService);
    sleepFor(milliseconds(50));
  }
  const auto late = fleet.server().runs().size() - runs;
  checks.check(late == 0, std::string(disruption.Name) + ": " +
                              std::to_string(late) +
                              " requests reached the server that has left");
  fleet.store().setAway(false);
}

// Guards against a server that is used again after its daemon, which had
// acknowledged its leaving, was replaced.
int runLeave(const std::string &program, const Announcement &announce) {
  Fleet fleet(program);
  Checks checks;
  unsigned number = 0;
  for (const auto &it : disruptions()) {
    checkDeparture(checks, fleet, announce, it, number++);
  }
  return checks.exitCode();
}

/** Tries of a request that crashes its server. Each crash but the first three
 * that is later than contactMs counts for the rule, which allows three. */
constexpr int CrashTries = 8;
constexpr std::size_t MaxCrashes = 6;
constexpr auto ContactTime = milliseconds(3000);

void restartServer(Fleet &fleet, unsigned number) {
  const auto instance = "i-" + std::to_string(number);
  const auto ready = fleet.report("ready", unixMs(), 1);
  fleet.server().start(instance);
  require(eventually([&] { return fleet.own().tell(instance, ready) == 200; }),
          "the server's report is not taken");
}

/** What happens to the daemons as a request crashes the server, and right
 * after. */
struct CrashDisruption {
  std::function<void(Fleet &)> During;
  std::function<void(Fleet &)> After;
};

// Guards against a request that goes on crashing servers since what was known
// of it ended with the daemons, each time before it was refused.
int runCrashes(const std::string &program, const CrashDisruption &disruption) {
  Fleet fleet(program);
  Checks checks;
  auto &server = fleet.server();
  server.IsCrashing = [](const HttpMessage &request) {
    return request.target().find("crash") != std::string::npos;
  };
  server.OnCrash = [&] {
    if (disruption.During) {
      disruption.During(fleet);
    }
  };
  for (unsigned i = 0; i < CrashTries; ++i) {
    const auto before = server.runsOf("crash");
    const int status = fleet.other().post("/desk/crash");
    checks.check(status == 502 || status == 503,
                 "the request that crashes is answered with " +
                     std::to_string(status));
    if (server.runsOf("crash") > before) {
      disruption.After(fleet);
      fleet.awaitReady();
      restartServer(fleet, i);
      require(eventually(
                  [&] { return fleet.other().request(4, OwnService) == 200; }),
              "the server is not used again");
      sleepFor(ContactTime);
    }
  }
  const auto crashes = server.runsOf("crash");
  checks.check(crashes <= MaxCrashes, "the request reached servers " +
                                          std::to_string(crashes) + " times");
  checks.check(fleet.own().request(4, OwnService) == 200,
               "an ordinary request");
  return checks.exitCode();
}

void killAll(Fleet &fleet) {
  // As soon as the store can know; what ends with the crash itself is lost.
  sleepFor(milliseconds(300));
  fleet.own().kill();
  fleet.other().kill();
  fleet.own().respawn();
  fleet.other().respawn();
}

// Guards against ordinary requests that are refused since they were in flight
// when servers ended for other reasons, beside restarts of all daemons.
int runOrdinary(const std::string &program) {
  Fleet fleet(program);
  Checks checks;
  for (unsigned round = 0; round < 3; ++round) {
    std::vector<std::thread> clients;
    clients.reserve(4);
    for (int i = 0; i < 4; ++i) {
      clients.emplace_back([&fleet, i] {
        fleet.other().post("/desk/slow-" + std::to_string(i));
      });
    }
    const auto before = 4 * (round + 1) + 4 * round;
    require(eventually([&] { return fleet.server().runsOf("slow") >= before; }),
            "the requests do not begin");
    fleet.server().crash();
    for (auto &it : clients) {
      it.join();
    }
    killAll(fleet);
    fleet.awaitReady();
    restartServer(fleet, round);
    require(
        eventually([&] { return fleet.other().request(4, OwnService) == 200; }),
        "the server is not used again");
    for (int i = 0; i < 4; ++i) {
      const int status = fleet.other().post("/desk/slow-" + std::to_string(i));
      checks.check(status == 200, "an ordinary request that was in flight: " +
                                      std::to_string(status));
    }
  }
  return checks.exitCode();
}

std::map<std::string, CaseFunction> cases() {
  std::map<std::string, CaseFunction> out;
  out["leave_notice"] = [](const std::string &program) {
    return runLeave(program, sendNotice);
  };
  out["leave_report"] = [](const std::string &program) {
    return runLeave(program, reportDraining);
  };
  out["leave_answer"] = [](const std::string &program) {
    return runLeave(program, stateInAnswer);
  };
  out["crash_kill_all"] = [](const std::string &program) {
    return runCrashes(program, {{}, killAll});
  };
  out["crash_kill_daemon"] = [](const std::string &program) {
    return runCrashes(program, {[](Fleet &fleet) { fleet.own().kill(); },
                                [](Fleet &fleet) { fleet.own().respawn(); }});
  };
  out["crash_ordinary"] = runOrdinary;
  return out;
}

} // namespace

int main(int argc, char **argv) { return runNamedCase(argc, argv, cases()); }
