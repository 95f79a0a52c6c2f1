// Simulates daemon cores in one process over a transport with a fixed delay.
// Measures how long a change takes to reach the last daemon, and the bytes that
// a daemon sends per second, against a broadcast of the full state: each daemon
// sends its member record to all others once a second, and each change goes to
// each daemon as a snapshot.
#include "chivefold/core/dissemination.h"

#include "chivefold/daemon/wire_convert.h"
#include "peer_generated.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>

using namespace chivefold;

namespace {

constexpr Duration NetworkDelay = std::chrono::microseconds(1500);
constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr std::size_t DataCentreCount = 10;
constexpr std::size_t ServiceCount = 150;
constexpr int Changes = 20;
/** 3,100 changes per day. */
constexpr Duration ChangeInterval = std::chrono::seconds(86'400 / 3'100);
/** Frame length, and IP and TCP headers. */
constexpr std::size_t MessageOverhead = 4 + 40;
constexpr std::uint64_t Seed = 20261204;

Member memberOf(std::size_t n) {
  Member m;
  m.Peer = {"10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250),
            7000};
  m.DataCentre = "data-centre-" + std::to_string(n % DataCentreCount);
  m.Region = "region-" + std::to_string(n % 3);
  m.Service = "service-" + std::to_string(n % ServiceCount);
  m.ServiceVersion = "v1.0";
  m.BootId = n + 1;
  m.CallerPort = 7001;
  return m;
}

Service serviceOf(std::size_t n, std::uint32_t timeoutMs) {
  Service s;
  s.Name = "service-" + std::to_string(n);
  s.Versions = {"v1.0", "v1.1"};
  s.CurrentVersion = "v1.0";
  for (const auto *path : {"/search", "/book", "/cancel", "/stock"}) {
    s.Routes.push_back({"POST", path, path + 1, false, 3, timeoutMs});
  }
  return s;
}

template <class Body> std::size_t frameBytes(Body body) {
  wire::FrameT frame;
  frame.request_id = 1;
  frame.body.Set(std::move(body));
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(wire::Frame::Pack(fbb, &frame));
  return fbb.GetSize() + MessageOverhead;
}

/** Ping and Ack have the same fields. */
std::size_t probeBytes(const Member &from, const std::vector<Member> &updates) {
  wire::PingT ping;
  ping.from = toWire(from);
  ping.applied = raw(from.Floor);
  ping.state_digest = ~0ULL;
  ping.updates = toWire(updates);
  return frameBytes(std::move(ping));
}

std::size_t recordsBytes(const std::vector<LogEntry> &records) {
  wire::RecordsT w;
  w.from = addressToWire({"10.0.0.1", 1});
  for (const auto &it : records) {
    w.records.push_back(std::make_unique<wire::LogRecordT>());
    w.records.back()->offset = raw(it.Offset);
    w.records.back()->bytes.assign(it.Bytes.begin(), it.Bytes.end());
  }
  return frameBytes(std::move(w));
}

std::size_t fetchBytes(const Fetch &fetch) {
  wire::FetchRecordsT w;
  w.after = raw(fetch.After);
  return frameBytes(w);
}

struct Daemon {
  Daemon(std::size_t n, const ControlState &base)
      : State(base), Members(memberOf(n), Seed + n) {
    Core.recovery().logReached(LogOffset{1});
    Core.readiness();
  }
  ControlState State;
  MemberTable Members;
  Dissemination Core{State, Members};
  TimePoint ReachedAt{};
  bool ByPush = false;
};

/** Discrete event simulation of a fleet. */
class Simulation {
public:
  Simulation(std::size_t n, const ControlState &base) : Random(Seed) {
    for (std::size_t i = 0; i < n; ++i) {
      All.push_back(std::make_unique<Daemon>(i, base));
      Index[memberOf(i).Peer] = i;
    }
    for (std::size_t i = 0; i < n; ++i) {
      for (std::size_t k = 0; k < n; ++k) {
        All[i]->Members.merge(memberOf(k), Now);
      }
      // The fleet has been up for long: all joins have been gossiped.
      while (!All[i]->Members.takeUpdates().empty()) {
      }
      const auto phase = Duration(Random() % 1'000'000);
      at(Now + phase, [this, i] { everyTick(i); });
    }
  }

  void runUntil(TimePoint end) {
    while (!Events.empty() && Events.top().At <= end) {
      const auto event = Events.top();
      Events.pop();
      Now = event.At;
      event.Run();
    }
    Now = end;
  }

  /** Gives a change to one daemon as its log reader would. */
  void change(const LogEntry &entry) {
    Changed = entry.Offset;
    for (auto &it : All) {
      it->ReachedAt = TimePoint{};
    }
    accept(Random() % All.size(), {entry}, std::nullopt, true);
  }

  TimePoint Now{std::chrono::hours(1)};
  std::vector<std::unique_ptr<Daemon>> All;
  std::uint64_t SentBytes = 0;

private:
  struct Event {
    TimePoint At;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const Event &o) const {
      return At != o.At ? At > o.At : Order > o.Order;
    }
  };

  void at(TimePoint when, std::function<void()> run) {
    Events.push({when, ++Order, std::move(run)});
  }

  void send(std::size_t bytes, std::function<void()> deliver) {
    SentBytes += bytes;
    at(Now + NetworkDelay, std::move(deliver));
  }

  void everyTick(std::size_t n) {
    auto &d = *All[n];
    fetch(n, d.Core.tick(Now));
    if (const auto target = d.Members.nextProbe(Now)) {
      probe(n, Index.at(*target), true);
    }
    at(Now + TickInterval, [this, n] { everyTick(n); });
  }

  void probe(std::size_t n, std::size_t to, bool wantsAck) {
    auto updates = All[n]->Members.takeUpdates();
    const auto self = All[n]->Members.self();
    send(probeBytes(self, updates), [this, n, to, wantsAck, self, updates] {
      auto &d = *All[to];
      d.Members.mergeFromSender(self, Now);
      for (const auto &it : updates) {
        d.Members.merge(it, Now);
      }
      fetch(to, d.Core.peerApplied(self.Peer, self.Floor, Now));
      if (wantsAck) {
        probe(to, n, false);
      }
    });
  }

  void accept(std::size_t n, const std::vector<LogEntry> &records,
              const std::optional<Address> &from, bool pushed) {
    auto &d = *All[n];
    auto result = d.Core.accept(records, from, Now);
    if (d.State.applied() >= Changed && d.ReachedAt == TimePoint{}) {
      d.ReachedAt = Now;
      d.ByPush = pushed;
    }
    const auto self = d.Members.self().Peer;
    for (auto &it : result.Pushes) {
      const auto to = Index.at(it.Peer);
      send(recordsBytes(it.Records),
           [this, to, self, r = it.Records] { accept(to, r, self, true); });
    }
    fetch(n, result.Next);
  }

  void fetch(std::size_t n, const std::optional<Fetch> &request) {
    if (!request) {
      return;
    }
    const auto to = Index.at(request->Peer);
    send(fetchBytes(*request), [this, n, to, r = *request] {
      const auto served = All[to]->Core.recordsAfter(r.After);
      send(recordsBytes(served.Records),
           [this, n, from = r.Peer, records = served.Records] {
             accept(n, records, from, false);
           });
    });
  }

  std::mt19937_64 Random;
  std::map<Address, std::size_t> Index;
  std::priority_queue<Event> Events;
  std::uint64_t Order = 0;
  LogOffset Changed = LogOffset::None;
};

LogEntry changeEntry(const ControlState &state, std::size_t n,
                     std::uint32_t timeoutMs) {
  Record r;
  const auto offset = raw(state.applied()) + 1;
  std::memcpy(r.Id.Bytes.data(), &offset, sizeof offset);
  r.Writer = "operator";
  Section s;
  s.ChangedService = serviceOf(n, timeoutMs);
  r.Body = ChangeRecord{state.version(), {std::move(s)}};
  return {LogOffset{offset}, encodeRecord(r)};
}

void applyCounted(ControlState &state, const LogEntry &entry) {
  const auto verdict = state.apply(entry);
  if (!verdict || *verdict != VerdictKind::Counted) {
    std::abort();
  }
}

ControlState baseState() {
  ControlState state;
  for (std::size_t n = 0; n < ServiceCount; ++n) {
    applyCounted(state, changeEntry(state, n, 2000));
  }
  return state;
}

double milliseconds(Duration d) { return static_cast<double>(d.count()) / 1e3; }

void measure(std::size_t n) {
  auto log = baseState();
  Simulation sim(n, log);
  sim.runUntil(sim.Now + std::chrono::seconds(5));
  std::vector<double> last;
  std::vector<double> lastPush;
  std::size_t pushed = 0;
  const auto before = sim.SentBytes;
  const auto start = sim.Now;
  std::size_t changeBytes = 0;
  for (int i = 0; i < Changes; ++i) {
    const auto entry = changeEntry(log, static_cast<std::size_t>(i), 3000);
    changeBytes = entry.Bytes.size();
    applyCounted(log, entry);
    const auto at = sim.Now;
    sim.change(entry);
    // One member changes its state per change, which is gossiped.
    sim.All[static_cast<std::size_t>(i)]->Members.updateSelf(
        "v1.1", MemberState::Alive);
    sim.runUntil(at + ChangeInterval);
    Duration all{};
    Duration push{};
    for (const auto &it : sim.All) {
      all = std::max(all, it->ReachedAt == TimePoint{} ? ChangeInterval
                                                       : it->ReachedAt - at);
      pushed += it->ByPush ? 1 : 0;
      push = it->ByPush ? std::max(push, it->ReachedAt - at) : push;
    }
    last.push_back(milliseconds(all));
    lastPush.push_back(milliseconds(push) / milliseconds(NetworkDelay));
  }
  std::sort(last.begin(), last.end());
  const auto seconds = std::chrono::duration<double>(sim.Now - start).count();
  const auto perDaemon = [&](double bytes) {
    return bytes / static_cast<double>(n) / seconds;
  };
  const auto ours = perDaemon(static_cast<double>(sim.SentBytes - before));
  const auto heartbeat = static_cast<double>(probeBytes(memberOf(0), {}));
  const auto snapshot = static_cast<double>(log.encodeSnapshot().size());
  const auto broadcast =
      heartbeat * static_cast<double>(n - 1) + snapshot * Changes / seconds;
  std::printf("%5zu %9.1f %9.1f %6.0f %7.2f %9zu %8.0f %10.0f %7.1f\n", n,
              last[last.size() / 2], last.back(),
              *std::max_element(lastPush.begin(), lastPush.end()),
              100.0 * static_cast<double>(pushed) /
                  static_cast<double>(n * Changes),
              changeBytes, ours, broadcast, broadcast / ours);
}

} // namespace

int main() {
  std::printf("seed %llu, delay 1.5 ms, %d changes, one per %lld s\n",
              static_cast<unsigned long long>(Seed), Changes,
              static_cast<long long>(ChangeInterval.count() / 1'000'000));
  std::printf("    n  last(ms)       max   hops push(%%)  change B   sent/s  "
              "broadcast   ratio\n");
  for (const auto n : {50, 100, 200, 400}) {
    measure(static_cast<std::size_t>(n));
  }
  return 0;
}
