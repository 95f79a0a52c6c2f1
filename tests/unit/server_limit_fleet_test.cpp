#include "chivefold/mesh/placement.h"
#include "chivefold/mesh/server_statements.h"
#include "chivefold/mesh/slot_gate.h"

#include "record_codec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

constexpr std::int64_t DelayMs = 2;
constexpr std::int64_t ServiceMs = 100;
constexpr std::int64_t TargetMs = 300;
constexpr std::int64_t DeadlineMs = 1'500;
constexpr std::uint32_t Slots = 12;
/** More requests than a server gets, in requests per second. */
constexpr double NoLimit = 1e6;

/** A request that a server received. */
struct Arrival {
  std::int64_t AtMs;
  std::uint64_t ServerStart;
  /** The host where the request began had passed on the limit half a second
   * before, and has not restarted since. */
  bool WasTold;
};

/** A host: a caller with its placement, and a gate before a server. */
struct SimulatedHost {
  platform::OperatorRecords Codec;
  OperatorState Orders{Codec};
  VersionPolicy Versions{Orders};
  FleetTable Fleet{1};
  std::unique_ptr<Placement> Servers;
  std::unique_ptr<SlotGate> Gate;
  ServerStatements Statements;
  std::uint64_t ServerStart = 0;
  /** Limit that the server states; none if empty. */
  std::optional<double> Limit;
  /** Limits that the server has stated, by time of change. */
  std::vector<std::pair<std::int64_t, double>> Limits;
  std::int64_t CutUntilMs = 0;
  std::uint64_t Boot = 1;
  std::vector<Arrival> Arrivals;
  /** Time at which a limit of a server start was first passed on. */
  std::map<std::uint64_t, std::int64_t> ToldAtMs;
};

struct SimulatedRequest {
  std::size_t Caller;
  std::uint64_t CallerBoot;
  std::vector<Address> Tried;
  std::size_t Server = 0;
  std::uint64_t ServerBoot = 0;
  RequestLimit Known;
  std::int64_t SentMs = 0;
  std::int64_t BeganMs = 0;
};

/** Hosts of one service in two data centres, in steps of 1 ms. */
class SimulatedFleet {
public:
  SimulatedFleet(std::size_t size, std::uint64_t seed)
      : Random(seed), Hosts(size) {
    for (std::size_t i = 0; i < size; ++i) {
      Hosts[i].ServerStart = ++LastStart;
      restart(i);
    }
    for (std::size_t i = 0; i < size; ++i) {
      announce(i);
    }
  }

  /** The daemon of a host restarts; its server lives on. */
  void restart(std::size_t i) {
    auto &host = Hosts[i];
    ++host.Boot;
    host.Gate = std::make_unique<SlotGate>();
    host.Gate->open(Slots, 0);
    host.Statements.reset(host.ServerStart);
    host.Servers =
        std::make_unique<Placement>(host.Fleet, host.Orders, host.Versions,
                                    address(i), dataCentre(i), Random());
    host.Servers->refresh();
    host.ToldAtMs.clear();
  }

  /** The server of a host starts again; the new one states no limit. */
  void restartServer(std::size_t i) {
    Hosts[i].ServerStart = ++LastStart;
    Hosts[i].Statements.reset(Hosts[i].ServerStart);
    Hosts[i].Gate->setRequestLimit(std::nullopt, at(NowMs));
    setLimit(i, std::nullopt);
    announce(i);
  }

  void setLimit(std::size_t i, std::optional<double> limit) {
    Hosts[i].Limit = limit;
    Hosts[i].Limits.emplace_back(NowMs, limit.value_or(NoLimit));
  }

  void cut(std::size_t i, std::int64_t ms) { Hosts[i].CutUntilMs = NowMs + ms; }

  /** @param perSecond arrivals at each host. */
  void run(std::int64_t ms, double perSecond) {
    std::bernoulli_distribution arrives(perSecond / 1000);
    for (const auto end = NowMs + ms; NowMs < end; ++NowMs) {
      for (std::size_t i = 0; i < Hosts.size(); ++i) {
        if (arrives(Random)) {
          ++Offered;
          attempt({i, Hosts[i].Boot, {}, 0, 0, {}, 0, NowMs});
        }
      }
      const auto due = Events.equal_range(NowMs);
      std::vector<std::function<void()>> tasks;
      for (auto it = due.first; it != due.second; ++it) {
        tasks.push_back(std::move(it->second));
      }
      Events.erase(due.first, due.second);
      for (const auto &it : tasks) {
        it();
      }
      for (auto &host : Hosts) {
        startQueued(host);
      }
    }
  }

  std::size_t size() const { return Hosts.size(); }
  std::mt19937_64 &random() { return Random; }

  /** @return an excess over 1.5 times the limit and 5 in any 4 s, or "". */
  std::string excess() const {
    for (const auto &host : Hosts) {
      for (std::size_t i = 0; i < host.Arrivals.size(); ++i) {
        const auto &last = host.Arrivals[i];
        double limit = 0;
        for (std::size_t k = 0; k < host.Limits.size(); ++k) {
          const auto next = k + 1 < host.Limits.size()
                                ? host.Limits[k + 1].first
                                : last.AtMs + 1;
          // A limit counts until half a second after its successor.
          if (host.Limits[k].first <= last.AtMs &&
              next + 500 > last.AtMs - 4'000) {
            limit = std::max(limit, host.Limits[k].second);
          }
        }
        std::size_t n = 0;
        for (auto k = i + 1;
             k-- > 0 && host.Arrivals[k].AtMs > last.AtMs - 4'000;) {
          n += host.Arrivals[k].WasTold &&
                       host.Arrivals[k].ServerStart == last.ServerStart
                   ? 1
                   : 0;
        }
        if (static_cast<double>(n) > 6 * limit + 5) {
          return std::to_string(n) + " requests in 4 s before " +
                 std::to_string(last.AtMs) + " ms with a limit of " +
                 std::to_string(limit);
        }
      }
    }
    return "";
  }

  std::size_t Offered = 0;
  std::size_t InTime = 0;
  std::size_t Refused = 0;

private:
  static Address address(std::size_t i) {
    return {"10.0." + std::to_string(i / 250) + "." +
                std::to_string(i % 250 + 1),
            1};
  }
  static std::string dataCentre(std::size_t i) {
    return i % 2 == 0 ? "even" : "odd";
  }
  bool isCut(std::size_t i) const { return NowMs < Hosts[i].CutUntilMs; }

  void later(std::int64_t ms, std::function<void()> task) {
    Events.emplace(NowMs + ms, std::move(task));
  }

  void announce(std::size_t i) {
    HostState state;
    state.Peer = address(i);
    state.DataCentre = dataCentre(i);
    state.BootId = 1;
    state.Sequence = ++Sequence;
    state.Server = {
        "i", "s", "v1", Slots, ServerPhase::Ready, Hosts[i].ServerStart};
    for (auto &host : Hosts) {
      host.Fleet.update(state, at(NowMs));
      host.Servers->refresh();
    }
  }

  void attempt(SimulatedRequest request) {
    auto &caller = Hosts[request.Caller];
    if (caller.Boot != request.CallerBoot) {
      return;
    }
    PlacementRequest wanted;
    wanted.Service = "s";
    wanted.Route = "r";
    wanted.TargetLatency = milliseconds(TargetMs);
    wanted.Tried = &request.Tried;
    const auto choice = caller.Servers->choose(wanted, at(NowMs));
    if (!choice.Peer || request.Tried.size() >= 5) {
      ++Refused;
      return;
    }
    for (std::size_t i = 0; i < Hosts.size(); ++i) {
      if (address(i) == *choice.Peer) {
        request.Server = i;
      }
    }
    caller.Servers->started(*choice.Peer);
    request.Tried.push_back(*choice.Peer);
    request.Known = caller.Servers->knownLimit(*choice.Peer);
    request.SentMs = NowMs;
    const bool lost = request.Caller != request.Server &&
                      (isCut(request.Caller) || isCut(request.Server));
    if (lost) {
      caller.Servers->cancelled(*choice.Peer);
      return;
    }
    later(DelayMs, [this, request] { receive(request); });
  }

  void receive(SimulatedRequest request) {
    auto &host = Hosts[request.Server];
    request.ServerBoot = host.Boot;
    if (host.Statements.onCopy(request.Known) != LimitChange::None) {
      host.Gate->setRequestLimit(host.Statements.limit().PerSecond, at(NowMs));
    }
    const GateRequestId id{++LastId};
    const auto began = at(request.BeganMs);
    const auto admission =
        host.Gate->admit({id, 0, began + milliseconds(DeadlineMs), "r",
                          began + milliseconds(TargetMs)},
                         at(NowMs));
    Waiting[id] = request;
    if (admission.Kind == AdmissionKind::Run) {
      send(host, id);
    } else if (admission.Kind == AdmissionKind::Rejected) {
      refuse(host, id, admission.RetryAfter);
    }
  }

  void startQueued(SimulatedHost &host) {
    for (const auto it : host.Gate->expire(at(NowMs))) {
      refuse(host, it, milliseconds(100));
    }
    for (const auto it : host.Gate->start(at(NowMs))) {
      send(host, it);
    }
  }

  void refuse(SimulatedHost &host, GateRequestId id, Duration retryAfter) {
    const auto request = take(id);
    auto state = host.Gate->state(at(NowMs));
    state.StatedLimit = host.Statements.limit();
    later(DelayMs, [this, request, state, retryAfter] {
      auto &caller = Hosts[request.Caller];
      if (caller.Boot == request.CallerBoot) {
        caller.Servers->refused(request.Tried.back(), state, 0, retryAfter,
                                at(NowMs));
        attempt(request);
      }
    });
  }

  void send(SimulatedHost &host, GateRequestId id) {
    const auto request = take(id);
    const auto told = Hosts[request.Caller].ToldAtMs.find(host.ServerStart);
    const bool wasTold = told != Hosts[request.Caller].ToldAtMs.end() &&
                         told->second + 500 <= NowMs;
    host.Arrivals.push_back({NowMs, host.ServerStart, wasTold});
    const auto start = host.ServerStart;
    const auto boot = host.Boot;
    later(ServiceMs, [this, &host, id, request, start, boot] {
      if (host.Boot != boot) {
        return;
      }
      if (host.ServerStart != start) {
        return host.Gate->finished(id, std::nullopt);
      }
      answer(host, id, request);
    });
  }

  void answer(SimulatedHost &host, GateRequestId id,
              const SimulatedRequest &request) {
    ServerStatement statement;
    if (host.Limit) {
      statement.Limit = LimitHeader::Valid;
      statement.PerSecond = *host.Limit;
    }
    const auto change =
        host.Statements.onAnswer(statement, host.ServerStart, true, at(NowMs));
    if (change != LimitChange::None) {
      host.Gate->setRequestLimit(host.Limit, at(NowMs));
    }
    host.Gate->finished(id, milliseconds(ServiceMs));
    auto state = host.Gate->state(at(NowMs));
    state.StatedLimit = host.Statements.limit();
    const auto start = host.ServerStart;
    later(DelayMs, [this, request, state, start] {
      auto &caller = Hosts[request.Caller];
      if (caller.Boot != request.CallerBoot) {
        return;
      }
      caller.Servers->answered(request.Tried.back(), "r",
                               milliseconds(NowMs - request.SentMs), 1000,
                               false, state, at(NowMs));
      InTime += NowMs - request.BeganMs <= TargetMs ? 1 : 0;
      if (state.StatedLimit.Known == LimitKnowledge::Stated) {
        caller.ToldAtMs.emplace(start, NowMs);
      }
    });
  }

  SimulatedRequest take(GateRequestId id) {
    const auto it = Waiting.find(id);
    auto out = it->second;
    Waiting.erase(it);
    return out;
  }

  std::mt19937_64 Random;
  std::vector<SimulatedHost> Hosts;
  std::multimap<std::int64_t, std::function<void()>> Events;
  std::map<GateRequestId, SimulatedRequest> Waiting;
  std::int64_t NowMs = 0;
  std::uint64_t LastStart = 0;
  std::uint64_t LastId = 0;
  std::uint64_t Sequence = 0;
};

} // namespace

// Guards against a limit that the sum of all hosts exceeds while daemons and
// servers restart, hosts are cut off, and limits begin, change and end.
TEST_CASE("hosts together keep a limit beside restarts and cuts",
          "[server_limit]") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    SimulatedFleet fleet(seed % 2 == 0 ? 12 : 7, seed);
    const auto pick = [&fleet](std::size_t n) {
      return std::uniform_int_distribution<std::size_t>(0,
                                                        n - 1)(fleet.random());
    };
    constexpr std::array<double, 5> limits{0.5, 2, 7.5, 20, 60};
    fleet.run(2'000, 60);
    for (int step = 0; step < 40; ++step) {
      const auto host = pick(fleet.size());
      switch (pick(6)) {
      case 0:
        fleet.restart(host);
        break;
      case 1:
        fleet.restartServer(host);
        break;
      case 2:
        fleet.cut(host, 1'500);
        break;
      case 3:
        fleet.setLimit(host, std::nullopt);
        break;
      default:
        fleet.setLimit(host, limits[pick(limits.size())]);
      }
      fleet.run(500, 60);
    }
    const auto excess = fleet.excess();
    INFO(excess);
    CHECK(excess.empty());
    CHECK(fleet.InTime > 0);
  }
}

// Guards against requests that wait or are refused at limited servers while
// others have room, which replays the load of capped.toml: most servers state
// half of what they get.
TEST_CASE("requests go to servers with room before they are refused",
          "[server_limit]") {
  SimulatedFleet fleet(12, 1);
  fleet.run(3'000, 40);
  const auto served = [&fleet](double before, double offered) {
    return (static_cast<double>(fleet.InTime) - before) /
           (static_cast<double>(fleet.Offered) - offered);
  };
  // The other six servers have room for 120 a second each.
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.setLimit(i, 20);
  }
  fleet.run(1'000, 40);
  const auto before = static_cast<double>(fleet.InTime);
  const auto offered = static_cast<double>(fleet.Offered);
  const auto refused = fleet.Refused;
  fleet.run(10'000, 40);
  CHECK(served(before, offered) > 0.97);
  CHECK(fleet.Refused == refused);
  const auto excess = fleet.excess();
  INFO(excess);
  CHECK(excess.empty());
}
