// A server falls silent while requests wait for it at its daemon; its address
// goes to a server of another service, which then reports to that daemon.
#include "../standins/lab.h"

using namespace lab;

namespace {

enum class Mode { First, Silent, Second };

std::atomic<Mode> Now{Mode::First};
std::atomic<int> Foreign{0};
std::atomic<int> RunByFirst{0};
std::atomic<int> Answered{0};

constexpr int FirstSlots = 2;
constexpr int WorkMs = 300;
constexpr const char *FirstId = "i-1a2b3c4d01";
constexpr const char *SecondId = "i-9f8e7d6c02";

// The address of the server on machine m1: first a server of client-desk, then
// one of depot-ledger.
void serveAddress(int fd) {
  Reader in(fd);
  Message m;
  while (in.message(m)) {
    const auto mode = Now.load();
    if (mode == Mode::Silent) {
      // The machine of the first server is dark: nothing is answered or closed.
      for (;;) {
        sleepMs(1000);
      }
    }
    const bool second = mode == Mode::Second;
    const std::string self = second ? SecondId : FirstId;
    const auto expected = m.header("Chivefold-Expected-Instance");
    if (!expected.empty() && expected != self) {
      sendAll(fd, misdirected(self));
      Log.line("server %s: 421 for %s, which names %s", self.c_str(),
               m.target().c_str(), expected.c_str());
      continue;
    }
    const auto id = m.header("Chivefold-Request-Id");
    Log.line("server %s of %s runs %s %s, request %s", self.c_str(),
             second ? "depot-ledger" : "client-desk", m.method().c_str(),
             m.target().c_str(), id.c_str());
    if (second && m.target().rfind("/booking/", 0) == 0) {
      ++Foreign;
    }
    if (!second) {
      ++RunByFirst;
    }
    sleepMs(WorkMs);
    if (Now.load() == Mode::Silent && !second) {
      for (;;) {
        sleepMs(1000);
      }
    }
    const std::string body = "done by " + self;
    sendAll(fd, okHead(id, body.size()) + body);
  }
  close(fd);
}

// A server that stays as it is.
void serveSound(int fd) {
  Reader in(fd);
  Message m;
  while (in.message(m)) {
    const auto id = m.header("Chivefold-Request-Id");
    sleepMs(WorkMs);
    sendAll(fd, okHead(id, 2) + "ok");
  }
  close(fd);
}

void client(const Endpoint &outbound, const std::string &id) {
  const int fd = connectTo(outbound);
  sendAll(fd, requestHead("POST", "/booking/2f", id, 5000, 4) + "book");
  Log.line("client: sent POST /booking/2f, request %s", id.c_str());
  Reader in(fd);
  Message m;
  const bool whole = in.message(m);
  Answered += whole && m.status() == 200 ? 1 : 0;
  Log.line("client: request %s got %s: %s", id.c_str(),
           whole ? m.Start.c_str() : "no whole answer", m.Body.c_str());
  close(fd);
}

// The first server is lost; after reuseAfterS, 2 s, another one has its
// address.
void replaceServer(Deployment &all, Machine &m1) {
  Now = Mode::Silent;
  Log.line("server %s falls silent for good", FirstId);
  sleepMs(2200);
  Now = Mode::Second;
  m1.Service = "depot-ledger";
  m1.writeSettings(all.Of.Temp, all.Platform.At);
  m1.signal(SIGHUP, "settings changed: service depot-ledger; SIGHUP");
  sleepMs(200);
  Beat next{SecondId, "depot-ledger", m1.Upstream.text()};
  next.Born = unixMs();
  const bool taken = next.send(m1.Admin);
  Log.line("server %s of depot-ledger has the address %s; heartbeat %s",
           SecondId, m1.Upstream.text().c_str(), taken ? "200" : "lost");
}

} // namespace

namespace {

/** acr-casa has eight servers of client-desk; one of them is lost. */
constexpr int Servers = 8;
/** Requests for each server: more than it has slots, so that some wait. */
constexpr int RequestsPerServer = FirstSlots + 3;

struct Site {
  std::vector<std::unique_ptr<Machine>> Machines;
  std::vector<std::unique_ptr<Server>> Backends;

  Site() {
    for (int i = 0; i <= Servers; ++i) {
      Machines.push_back(std::make_unique<Machine>(
          "m" + std::to_string(i + 1), "127.0.0." + std::to_string(11 + i),
          i < Servers ? "client-desk" : "depot-ledger"));
      Backends.push_back(std::make_unique<Server>());
      Backends.back()->start(Machines.back()->Upstream,
                             i == 0 ? serveAddress : serveSound);
    }
  }

  std::vector<Machine *> all() const {
    std::vector<Machine *> out;
    out.reserve(Machines.size());
    for (const auto &it : Machines) {
      out.push_back(it.get());
    }
    return out;
  }

  // One heartbeat each. @return whether all were acknowledged.
  bool beat() const {
    bool ok = true;
    for (std::size_t i = 0; i < Machines.size(); ++i) {
      const auto &machine = *Machines[i];
      Beat server{i == 0 ? FirstId : "i-55aa55aa0" + std::to_string(i),
                  machine.Service, machine.Upstream.text()};
      server.Slots = FirstSlots;
      server.Born = unixMs();
      ok = server.send(machine.Admin) && ok;
    }
    return ok;
  }
};

} // namespace

int main(int argc, char **argv) {
  const Case c(argc, argv);
  const Site site;
  Deployment all{c, {}, site.all()};
  all.start(configuration(1,
                          {{"pickup-booking", "/booking/", "unsafe",
                            "client-desk", 4500, 800, 1, 2},
                           {"credit-payout", "/payout/", "unsafe",
                            "depot-ledger", 3000, 500, 0, 2}},
                          {"client-desk", "depot-ledger"}));
  if (!site.beat()) {
    all.finish(2);
  }
  sleepMs(2500);
  std::vector<std::thread> clients;
  constexpr int requests = Servers * RequestsPerServer;
  clients.reserve(requests);
  for (int i = 0; i < requests; ++i) {
    clients.emplace_back(
        client,
        all.Machines[static_cast<std::size_t>(i % 2 == 0 ? 0 : i % Servers)]
            ->Outbound,
        "req-" + std::to_string(i));
    sleepMs(2);
  }
  if (c.Trouble) {
    replaceServer(all, *all.Machines[0]);
  }
  for (auto &it : clients) {
    it.join();
  }
  Log.line("bookings answered with success: %d of %d; run by the first server "
           "of m1: %d, by depot-ledger: %d",
           Answered.load(), requests, RunByFirst.load(), Foreign.load());
  if (!c.Trouble && (RunByFirst == 0 || 2 * Answered < requests)) {
    all.finish(2);
  }
  all.finish(Foreign > 0 ? 1 : 0);
}
