/**
 * @file
 * Seeded simulation of one move: calls, servers with cold start, and a judge.
 */
#ifndef CHIVEFOLD_BENCHMARK_MOVE_SIMULATION_H
#define CHIVEFOLD_BENCHMARK_MOVE_SIMULATION_H

#include "chivefold/core/move_controller.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace simulation {

using namespace chivefold;

constexpr std::size_t RouteCount = 4;

/** How the new version behaves. */
struct Behaviour {
  std::string Name = "good";
  /** Part of its calls that fail. */
  double ErrorRate = 0.005;
  double LatencyFactor = 1;
  /** It is bad only from this time after the share reached 50%; 0: always. */
  double BadAfterHalfSeconds = 0;
  /** Only this route is bad; -1: all. */
  int BadRoute = -1;
  /** Part of the calls of both versions that fail during an outage of a
   * dependency from OutageStart on. */
  double OutageErrorRate = 0;
  double OutageStart = 150;
  bool isBad() const { return ErrorRate > 0.005 || LatencyFactor > 1; }
};

struct Setup {
  unsigned Servers = 8;
  unsigned Slots = 10;
  double CallsPerSecond = 5;
  double DeadlineSeconds = 600;
  Behaviour NewVersion;
  std::uint64_t Seed = 1;
};

/** How a move ended. */
struct Ending {
  bool Done = false;
  bool TakenBack = false;
  double Seconds = 0;
  /** Calls spoiled by the fault: failed, or slow if latency is the fault. */
  std::uint64_t Spoiled = 0;
  std::string Reason;
  std::string Evidence;
  std::uint32_t MaxShare = 0;
};

/** Decides about the move once a second. */
using Judge = std::function<std::vector<MoveAction>(TimePoint, UtcTime,
                                                    const MoveView &)>;

/** One backend server; capacity grows with work while it is cold. */
struct Server {
  std::vector<double> BusyUntil;
  double Worked = 0;
};

class MoveSimulation {
public:
  explicit MoveSimulation(const Setup &setup)
      : Config(setup), Random(setup.Seed), Old(setup.Servers),
        New(setup.Servers) {
    for (auto &it : Old) {
      it.Worked = ColdWorkSeconds;
    }
    View.Move = LogOffset(7);
    View.Deadline = UtcStart + std::chrono::milliseconds(static_cast<long>(
                                   setup.DeadlineSeconds * 1000));
    View.AbleServers = setup.Servers;
    View.LogAvailable = true;
    for (std::size_t n = 0; n < RouteCount; ++n) {
      KindCounts counts;
      counts.PathPrefix = "/route" + std::to_string(n);
      counts.Kind = "kind" + std::to_string(n);
      View.OldCounts.push_back(counts);
      View.NewCounts.push_back(counts);
    }
    // The old version has served for some minutes when the move begins.
    for (int n = -300; n < 0; ++n) {
      serveSecond(n);
    }
  }

  /** Changes the view before each tick, to simulate faults. */
  std::function<void(double, MoveView &)> Disturb;

  Ending run(const Judge &judge) {
    Ending out;
    for (int second = 0; second <= Config.DeadlineSeconds + 5; ++second) {
      const auto now = at(second);
      View.LogAvailable = true;
      View.LogRead = View.CountsRead = now;
      if (View.HeldByThisDaemon && second % 10 == 0) {
        View.HolderSeen = now;
      }
      if (Disturb) {
        Disturb(second, View);
      }
      for (const auto &it :
           judge(now, UtcStart + std::chrono::seconds(second), View)) {
        apply(it, now, out);
      }
      out.Seconds = second;
      if (out.Done || out.TakenBack) {
        break;
      }
      serveSecond(second);
    }
    out.Spoiled = Spoiled;
    return out;
  }

  static TimePoint at(double second) {
    return TimePoint(std::chrono::microseconds(
        static_cast<std::int64_t>((second + 1000) * 1e6)));
  }

private:
  static constexpr double ColdWorkSeconds = 2;
  static constexpr double OutageSeconds = 20;
  static constexpr double MeanLatency = 0.04;
  static constexpr double LatencySigma = 0.6;
  static constexpr UtcTime UtcStart{std::chrono::hours(24)};

  void apply(const MoveAction &action, TimePoint now, Ending &out) {
    if (std::holds_alternative<TakeLease>(action)) {
      View.CurrentEpoch = LogOffset(raw(View.CurrentEpoch) + 1);
      View.HeldByThisDaemon = true;
      View.HolderSeen = now;
    } else if (const auto *step = std::get_if<AppendStep>(&action)) {
      View.ShareBasisPoints = step->ShareBasisPoints;
      out.MaxShare = step->ShareBasisPoints;
    } else if (const auto *back = std::get_if<TakeBackNow>(&action)) {
      out.TakenBack = true;
      out.Reason = back->Reason;
      out.Evidence = back->Evidence;
    } else if (const auto *end = std::get_if<AppendEnd>(&action)) {
      out.Done = end->Result == MoveResult::Done && !out.TakenBack;
    }
  }

  void serveSecond(int second) {
    std::poisson_distribution<int> calls(Config.CallsPerSecond);
    std::uniform_real_distribution<double> uniform(0, 1);
    if (View.ShareBasisPoints >= 5000 && HalfSince < 0) {
      HalfSince = second;
    }
    for (int n = calls(Random); n > 0; --n) {
      const bool toNew = uniform(Random) * 10000 < View.ShareBasisPoints;
      serve(second + uniform(Random), toNew, uniform(Random));
    }
  }

  bool isBadNow(double time, std::size_t route) const {
    const auto &it = Config.NewVersion;
    const bool late = it.BadAfterHalfSeconds > 0;
    return it.isBad() &&
           (it.BadRoute < 0 || it.BadRoute == static_cast<int>(route)) &&
           (!late ||
            (HalfSince >= 0 && time >= HalfSince + it.BadAfterHalfSeconds));
  }

  void serve(double time, bool toNew, double routePoint) {
    const std::size_t route = routePoint < 0.4   ? 0
                              : routePoint < 0.7 ? 1
                              : routePoint < 0.9 ? 2
                                                 : 3;
    auto &servers = toNew ? New : Old;
    auto &counts = (toNew ? View.NewCounts : View.OldCounts)[route];
    auto &server = servers[Random() % servers.size()];
    auto &busy = server.BusyUntil;
    busy.erase(std::remove_if(busy.begin(), busy.end(),
                              [&](double it) { return it <= time; }),
               busy.end());
    const double warm = std::min(1.0, server.Worked / ColdWorkSeconds);
    if (static_cast<double>(busy.size()) >= 1 + warm * (Config.Slots - 1)) {
      ++counts.Refusals;
      return;
    }
    const bool bad = toNew && isBadNow(time, route);
    std::lognormal_distribution<double> shape(-LatencySigma * LatencySigma / 2,
                                              LatencySigma);
    // A cold server is up to 30% slower within its limit.
    const double latency =
        MeanLatency * (1 + 0.5 * static_cast<double>(route)) *
        (1.3 - 0.3 * warm) * (bad ? Config.NewVersion.LatencyFactor : 1) *
        shape(Random);
    const auto &behaviour = Config.NewVersion;
    double rate = bad ? behaviour.ErrorRate : 0.005;
    if (time >= behaviour.OutageStart &&
        time < behaviour.OutageStart + OutageSeconds) {
      rate = std::max(rate, behaviour.OutageErrorRate);
    }
    const bool failed =
        std::uniform_real_distribution<double>(0, 1)(Random) < rate;
    server.Worked += latency;
    busy.push_back(time + latency);
    ++counts.Calls;
    counts.Errors += failed ? 1 : 0;
    counts.LatencySumUs += static_cast<std::uint64_t>(latency * 1e6);
    counts.LatencySquareSumMs2 += latency * latency * 1e6;
    Spoiled += bad && (failed || Config.NewVersion.LatencyFactor > 1) ? 1 : 0;
  }

  Setup Config;
  std::mt19937_64 Random;
  std::vector<Server> Old;
  std::vector<Server> New;
  MoveView View;
  std::uint64_t Spoiled = 0;
  double HalfSince = -1;
};

} // namespace simulation

#endif
