// A server falls silent while requests wait for it at its daemon; its address
// goes to a server of another service, which then reports to that daemon.
#include "../standins/lab.h"

using namespace lab;

namespace {

enum class Mode { First, Silent, Second };

std::atomic<Mode> Now{Mode::First};
std::atomic<int> Foreign{0};
std::atomic<int> RunByFirst{0};

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

// The server of depot-ledger on machine m2.
void serveLedger(int fd) {
  Reader in(fd);
  Message m;
  while (in.message(m)) {
    const auto id = m.header("Chivefold-Request-Id");
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

int main(int argc, char **argv) {
  const Case c(argc, argv);
  Machine m1("m1", "127.0.0.11", "client-desk");
  Machine m2("m2", "127.0.0.12", "depot-ledger");
  Server first;
  Server ledger;
  first.start(m1.Upstream, serveAddress);
  ledger.start(m2.Upstream, serveLedger);
  Deployment all{c, {}, {&m1, &m2}};
  all.start(configuration(1,
                          {{"pickup-booking", "/booking/", "unsafe",
                            "client-desk", 4500, 800, 1, 2},
                           {"credit-payout", "/payout/", "unsafe",
                            "depot-ledger", 3000, 500, 0, 2}},
                          {"client-desk", "depot-ledger"}));
  Beat one{FirstId, "client-desk", m1.Upstream.text()};
  one.Slots = FirstSlots;
  one.Born = unixMs();
  Beat two{"i-55aa55aa03", "depot-ledger", m2.Upstream.text()};
  two.Born = unixMs();
  if (!one.send(m1.Admin) || !two.send(m2.Admin)) {
    all.finish(2);
  }
  sleepMs(2500);
  // As many requests as the server has slots, and three that wait.
  std::vector<std::thread> clients;
  for (int i = 0; i < 5; ++i) {
    clients.emplace_back(client, (i % 2 == 0 ? m1 : m2).Outbound,
                         "req-" + std::to_string(i));
    sleepMs(10);
  }
  if (c.Trouble) {
    replaceServer(all, m1);
  }
  for (auto &it : clients) {
    it.join();
  }
  Log.line("run by client-desk: %d; bookings run by depot-ledger: %d",
           RunByFirst.load(), Foreign.load());
  if (!c.Trouble && RunByFirst != 5) {
    all.finish(2);
  }
  all.finish(Foreign > 0 ? 1 : 0);
}
