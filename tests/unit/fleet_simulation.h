/**
 * @file
 * Arrivals through the real choice of servers and the real gates, without a
 * network.
 */
#ifndef CHIVEFOLD_TESTS_FLEET_SIMULATION_H
#define CHIVEFOLD_TESTS_FLEET_SIMULATION_H

#include "chivefold/mesh/placement.h"
#include "chivefold/mesh/slot_gate.h"

#include "record_codec.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chivefold {

/** Servers of one service, the daemons that send requests to them, and the
 * requests. Times are in milliseconds. */
struct FleetLoad {
  unsigned DataCentres = 1;
  unsigned ServersPerCentre = 12;
  unsigned DaemonsPerCentre = 30;
  std::uint32_t Slots = 9;
  /** Service time relative to an average server, in turn. */
  std::vector<double> Slowness{1};
  /** Requests per second and data centre. */
  double PerSecond = 500;
  /** Amplitude of the demand, with a phase of its own in each data centre. */
  double Swing = 0;
  double PeriodMs = 6000;
  double ServiceMs = 140;
  /** Standard deviation of the logarithm of the service time. */
  double Spread = 0.3;
  double LongShare = 0;
  double LongFactor = 7;
  /** Share of servers that are disturbed, other ones every 600 ms. */
  double DisturbedShare = 0;
  double DisturbedFactor = 2.5;
  std::int64_t TargetMs = 500;
  std::int64_t DeadlineMs = 3000;
  std::int64_t RunMs = 20'000;
  /** Requests that arrive earlier are not counted. */
  std::int64_t CountFromMs = 8000;
};

struct FleetOutcome {
  int Arrived = 0;
  int InTime = 0;
  int Refused = 0;
  /** Attempts that had to wait or were refused while a third of the data
   * centre's servers had a free slot. */
  int AvoidableWaits = 0;
  int CrossedCentres = 0;
  /** Most requests running at one server. */
  std::size_t MostRunning = 0;
  /** Requests started at each server. */
  std::vector<int> StartsByServer;

  double inTime() const { return static_cast<double>(InTime) / Arrived; }
  double refused() const { return static_cast<double>(Refused) / Arrived; }
  double avoidableWaits() const {
    return static_cast<double>(AvoidableWaits) / Arrived;
  }
};

/** Plays the same arrivals and amounts of work for each strategy. */
class FleetSimulation {
public:
  explicit FleetSimulation(const FleetLoad &load, PlacementStrategy strategy)
      : Load(load),
        Disturbance(std::size_t{load.DataCentres} * load.ServersPerCentre, 1) {
    for (unsigned i = 0; i < Load.DataCentres * Load.ServersPerCentre; ++i) {
      addServer(i);
    }
    PlacementSettings settings;
    settings.Strategy = strategy;
    for (unsigned i = 0; i < Load.DataCentres * Load.DaemonsPerCentre; ++i) {
      const auto centre = i % Load.DataCentres;
      Daemons.push_back(std::make_unique<Placement>(
          Fleet, Orders, Versions,
          Address{"10.9." + std::to_string(i / 250) + "." +
                      std::to_string(i % 250),
                  1},
          centreName(centre), i + 1, settings));
      Daemons.back()->refresh();
    }
    Out.StartsByServer.resize(Servers.size());
  }

  FleetOutcome run() {
    for (std::int64_t ms = 0; ms < Load.RunMs; ++ms) {
      endRequests(ms);
      if (ms % 600 == 0) {
        disturb();
      }
      for (unsigned centre = 0; centre < Load.DataCentres; ++centre) {
        arrive(centre, ms);
      }
      for (std::size_t i = 0; i < Servers.size(); ++i) {
        wake(i, ms);
      }
    }
    return Out;
  }

private:
  struct Server {
    Address Peer;
    std::string Centre;
    SlotGate Gate;
    double Slowness = 1;
    std::size_t Running = 0;
  };
  struct Request {
    std::size_t Daemon = 0;
    std::size_t Server = 0;
    std::int64_t ArrivedMs = 0;
    std::int64_t SentMs = 0;
    std::int64_t StartedMs = 0;
    double WorkMs = 0;
    std::vector<Address> Tried;
  };

  static TimePoint at(std::int64_t ms) {
    return TimePoint(std::chrono::milliseconds(ms));
  }
  static std::string centreName(unsigned centre) {
    return "dc" + std::to_string(centre);
  }

  void addServer(unsigned i) {
    auto server = std::make_unique<Server>();
    const auto centre = i % Load.DataCentres;
    server->Peer = {"10." + std::to_string(centre) + ".0." +
                        std::to_string(i / Load.DataCentres + 1),
                    1};
    server->Centre = centreName(centre);
    server->Slowness =
        Load.Slowness[i / Load.DataCentres % Load.Slowness.size()];
    server->Gate.open(Load.Slots, 0);
    HostState host;
    host.Peer = server->Peer;
    host.DataCentre = server->Centre;
    host.BootId = 1;
    host.Server = {"i" + std::to_string(i), "s", "v1", Load.Slots,
                   ServerPhase::Ready};
    Fleet.update(host, at(0));
    ServerAt[server->Peer] = i;
    Servers.push_back(std::move(server));
  }

  void disturb() {
    for (auto &it : Disturbance) {
      const bool isDisturbed = std::uniform_real_distribution<double>()(
                                   WorkRandom) < Load.DisturbedShare;
      it = isDisturbed ? Load.DisturbedFactor : 1;
    }
  }

  void arrive(unsigned centre, std::int64_t ms) {
    constexpr double fullTurn = 6.283185307179586;
    const double phase = static_cast<double>(centre) / Load.DataCentres;
    const double rate =
        Load.PerSecond *
        (1 + Load.Swing *
                 std::sin(fullTurn *
                          (static_cast<double>(ms) / Load.PeriodMs + phase)));
    std::poisson_distribution<int> count(rate / 1000);
    for (int n = count(ArrivalRandom); n > 0; --n) {
      Request request;
      const auto inCentre = std::uniform_int_distribution<std::size_t>(
          0, Load.DaemonsPerCentre - 1)(ArrivalRandom);
      request.Daemon = inCentre * Load.DataCentres + centre;
      request.ArrivedMs = ms;
      std::lognormal_distribution<double> work(
          std::log(Load.ServiceMs) - Load.Spread * Load.Spread / 2,
          Load.Spread);
      request.WorkMs = work(ArrivalRandom);
      if (std::uniform_real_distribution<double>()(ArrivalRandom) <
          Load.LongShare) {
        request.WorkMs *= Load.LongFactor;
      }
      Out.Arrived += ms >= Load.CountFromMs ? 1 : 0;
      send(std::move(request), centre, ms);
    }
  }

  bool hasRoomElsewhere(unsigned centre) const {
    const auto name = centreName(centre);
    const auto free =
        std::count_if(Servers.begin(), Servers.end(), [&](const auto &it) {
          return it->Centre == name && it->Running < Load.Slots;
        });
    return 3 * static_cast<unsigned>(free) >= Load.ServersPerCentre;
  }

  void send(Request request, unsigned centre, std::int64_t ms) {
    const bool isCounted = request.ArrivedMs >= Load.CountFromMs;
    auto &daemon = *Daemons[request.Daemon];
    constexpr std::size_t maxAttempts = 3;
    while (request.Tried.size() < maxAttempts) {
      PlacementRequest wanted;
      wanted.Service = "s";
      wanted.Route = "r";
      wanted.Priority = 2;
      wanted.TargetLatency = std::chrono::milliseconds(Load.TargetMs);
      wanted.InTimeUntil = at(request.ArrivedMs + Load.TargetMs);
      wanted.Tried = &request.Tried;
      const auto choice = daemon.choose(wanted, at(ms));
      if (!choice.Peer) {
        break;
      }
      request.Server = ServerAt.at(*choice.Peer);
      request.SentMs = ms;
      request.Tried.push_back(*choice.Peer);
      auto &server = *Servers[request.Server];
      Out.CrossedCentres +=
          isCounted && server.Centre != centreName(centre) ? 1 : 0;
      daemon.started(*choice.Peer);
      const GateRequestId id{++LastId};
      const auto admission =
          server.Gate.admit({id, 2, at(request.ArrivedMs + Load.DeadlineMs),
                             "r", wanted.InTimeUntil},
                            at(ms));
      const bool isAvoidable = isCounted &&
                               admission.Kind != AdmissionKind::Run &&
                               hasRoomElsewhere(centre);
      Out.AvoidableWaits += isAvoidable ? 1 : 0;
      if (admission.Kind != AdmissionKind::Rejected) {
        Open[id] = std::move(request);
        if (admission.Kind == AdmissionKind::Run) {
          start(id, ms);
        }
        return;
      }
      daemon.refused(*choice.Peer, server.Gate.state(at(ms)), 2,
                     admission.RetryAfter, at(ms));
    }
    Out.Refused += isCounted ? 1 : 0;
  }

  void start(GateRequestId id, std::int64_t ms) {
    auto &request = Open.at(id);
    auto &server = *Servers[request.Server];
    request.StartedMs = ms;
    ++Out.StartsByServer[request.Server];
    Out.MostRunning = std::max(Out.MostRunning, ++server.Running);
    const double serviceMs =
        request.WorkMs * server.Slowness * Disturbance[request.Server];
    Ends.emplace(ms + 1 + static_cast<std::int64_t>(serviceMs), id);
  }

  void endRequests(std::int64_t ms) {
    while (!Ends.empty() && Ends.begin()->first <= ms) {
      const auto id = Ends.begin()->second;
      Ends.erase(Ends.begin());
      const auto request = std::move(Open.at(id));
      Open.erase(id);
      auto &server = *Servers[request.Server];
      --server.Running;
      const std::chrono::milliseconds took(ms - request.StartedMs);
      server.Gate.finished(id, took);
      wake(request.Server, ms);
      auto state = server.Gate.state(at(ms));
      state.ServiceTime = took;
      state.TypicalServiceTime = server.Gate.work().pace().typical("r");
      Daemons[request.Daemon]->answered(
          server.Peer, "r", std::chrono::milliseconds(ms - request.SentMs),
          1000, false, state, at(ms));
      const bool inTime = ms - request.ArrivedMs <= Load.TargetMs;
      Out.InTime += inTime && request.ArrivedMs >= Load.CountFromMs ? 1 : 0;
    }
  }

  void wake(std::size_t i, std::int64_t ms) {
    auto &server = *Servers[i];
    for (const auto id : server.Gate.expire(at(ms))) {
      auto request = std::move(Open.at(id));
      Open.erase(id);
      Daemons[request.Daemon]->refused(server.Peer, server.Gate.state(at(ms)),
                                       2, std::chrono::milliseconds(50),
                                       at(ms));
      Out.Refused += request.ArrivedMs >= Load.CountFromMs ? 1 : 0;
    }
    for (const auto id : server.Gate.start(at(ms))) {
      start(id, ms);
    }
  }

  const FleetLoad Load;
  platform::OperatorRecords Codec;
  OperatorState Orders{Codec};
  VersionPolicy Versions{Orders};
  FleetTable Fleet{1};
  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<double> Disturbance;
  std::unordered_map<Address, std::size_t> ServerAt;
  std::vector<std::unique_ptr<Placement>> Daemons;
  std::unordered_map<GateRequestId, Request> Open;
  std::multimap<std::int64_t, GateRequestId> Ends;
  std::mt19937_64 ArrivalRandom{1};
  std::mt19937_64 WorkRandom{2};
  std::uint64_t LastId = 0;
  FleetOutcome Out;
};

} // namespace chivefold

#endif
