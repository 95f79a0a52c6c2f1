/**
 * @file
 * Error rates of the move controller's test against two simpler tests.
 */
#include "move_simulation.h"

#include <CLI/CLI.hpp>

#include <atomic>
#include <cstdio>
#include <memory>
#include <thread>

namespace {

using namespace simulation;

/** One-sided p-value of Fisher's exact test that the new rate is higher. */
double fisher(double oldBad, double oldAll, double newBad, double newAll) {
  const auto choose = [](double n, double k) {
    return std::lgamma(n + 1) - std::lgamma(k + 1) - std::lgamma(n - k + 1);
  };
  const double bad = oldBad + newBad;
  const double all = choose(oldAll + newAll, bad);
  double p = 0;
  const auto last = static_cast<std::uint64_t>(std::min(bad, newAll));
  for (auto n = static_cast<std::uint64_t>(newBad); n <= last; ++n) {
    const auto k = static_cast<double>(n);
    if (bad - k <= oldAll) {
      p += std::exp(choose(newAll, k) + choose(oldAll, bad - k) - all);
    }
  }
  return p;
}

/** Whether the counts of one route, or of all, call the version bad. */
using Rule = bool (*)(const KindCounts &oldCounts, const KindCounts &newCounts);

bool fisherRule(const KindCounts &oldCounts, const KindCounts &newCounts) {
  return newCounts.Errors > 0 &&
         fisher(static_cast<double>(oldCounts.Errors),
                static_cast<double>(oldCounts.Calls),
                static_cast<double>(newCounts.Errors),
                static_cast<double>(newCounts.Calls)) < 0.01;
}

bool thresholdRule(const KindCounts &, const KindCounts &newCounts) {
  return newCounts.Calls >= 20 && newCounts.Errors * 20 > newCounts.Calls;
}

/** Raises the share in equal intervals and applies a rule at each look. */
class FixedSchedule {
public:
  FixedSchedule(Rule rule, double seconds) : IsBad(rule), Seconds(seconds) {}

  std::vector<MoveAction> tick(TimePoint now, const MoveView &view) {
    if (!Start) {
      Start = now;
    }
    if (looksBad(view)) {
      return {TakeBackNow{"rule", {}}};
    }
    const std::chrono::duration<double> passed = now - *Start;
    const auto step = static_cast<std::size_t>(
        passed.count() / (0.95 * Seconds / static_cast<double>(Shares.size())));
    if (step >= Shares.size()) {
      return {AppendEnd{LogOffset(1), MoveResult::Done, {}, {}}};
    }
    return {AppendStep{LogOffset(1), Shares[step]}};
  }

private:
  bool looksBad(const MoveView &view) const {
    KindCounts oldAll;
    KindCounts newAll;
    for (std::size_t n = 0; n < view.NewCounts.size(); ++n) {
      const auto &oldCounts = view.OldCounts[n];
      const auto &newCounts = view.NewCounts[n];
      if (IsBad(oldCounts, newCounts)) {
        return true;
      }
      oldAll.Calls += oldCounts.Calls;
      oldAll.Errors += oldCounts.Errors;
      newAll.Calls += newCounts.Calls;
      newAll.Errors += newCounts.Errors;
    }
    return IsBad(oldAll, newAll);
  }

  const std::vector<std::uint32_t> Shares = {500, 1000, 2500, 5000, 10000};
  Rule IsBad;
  double Seconds;
  std::optional<TimePoint> Start;
};

enum class Method { Sequential, Fisher, Threshold };
constexpr std::array<const char *, 3> MethodNames = {"sequential", "fisher",
                                                     "threshold"};

Ending runOnce(const Setup &setup, Method method) {
  MoveSimulation sim(setup);
  if (method == Method::Sequential) {
    MoveController controller{MoveSettings()};
    return sim.run([&](TimePoint now, UtcTime utc, const MoveView &view) {
      return controller.tick(now, utc, view);
    });
  }
  FixedSchedule schedule(method == Method::Fisher ? fisherRule : thresholdRule,
                         setup.DeadlineSeconds);
  return sim.run([&](TimePoint now, UtcTime, const MoveView &view) {
    return schedule.tick(now, view);
  });
}

struct Cell {
  Setup Base;
  Method Judge = Method::Sequential;
  unsigned Done = 0;
  unsigned TakenBack = 0;
  std::uint64_t Spoiled = 0;
  std::uint64_t MaxSpoiled = 0;
  double Seconds = 0;
};

void runCell(Cell &cell, unsigned runs) {
  for (unsigned n = 0; n < runs; ++n) {
    auto setup = cell.Base;
    setup.Seed = cell.Base.Seed + n;
    const auto end = runOnce(setup, cell.Judge);
    cell.Done += end.Done ? 1 : 0;
    cell.TakenBack += end.TakenBack ? 1 : 0;
    cell.Spoiled += end.Spoiled;
    cell.MaxSpoiled = std::max(cell.MaxSpoiled, end.Spoiled);
    cell.Seconds += end.Seconds;
  }
}

std::vector<Behaviour> behaviours() {
  Behaviour outage;
  outage.Name = "good, outage";
  outage.OutageErrorRate = 0.3;
  return {{"good 0.5%", 0.005, 1, 0, -1}, outage,
          {"errors 5%", 0.05, 1, 0, -1},  {"errors 20%", 0.2, 1, 0, -1},
          {"errors 100%", 1, 1, 0, -1},   {"latency x2", 0.005, 2, 0, -1},
          {"late 20%", 0.2, 1, 20, -1},   {"late 100%", 1, 1, 20, -1},
          {"route 20%", 0.2, 1, 0, 2},    {"route 100%", 1, 1, 0, 2}};
}

} // namespace

int main(int argc, char **argv) {
  unsigned runs = 400;
  unsigned threads = 4;
  std::uint64_t seed = 20261204;
  double deadline = 600;
  CLI::App app("Error rates of the tests that judge a move");
  app.add_option("--runs", runs, "runs per cell");
  app.add_option("--threads", threads);
  app.add_option("--seed", seed);
  app.add_option("--deadline", deadline, "seconds from start to deadline");
  CLI11_PARSE(app, argc, argv);
  std::vector<Cell> cells;
  for (const auto &behaviour : behaviours()) {
    for (const auto &[servers, slots] :
         {std::pair{8U, 20U}, std::pair{3U, 20U}, std::pair{8U, 10U},
          std::pair{3U, 10U}}) {
      for (const double rate : {2.0, 5.0, 20.0}) {
        for (const auto method :
             {Method::Sequential, Method::Fisher, Method::Threshold}) {
          Cell cell;
          cell.Base = {servers, slots, rate, deadline, behaviour, seed};
          cell.Judge = method;
          cells.push_back(cell);
        }
      }
    }
  }
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> workers;
  for (unsigned n = 0; n < threads; ++n) {
    workers.emplace_back([&] {
      for (auto it = next++; it < cells.size(); it = next++) {
        runCell(cells[it], runs);
      }
    });
  }
  for (auto &it : workers) {
    it.join();
  }
  std::printf("%u runs per cell, seed %lu, deadline %.0f s\n", runs,
              static_cast<unsigned long>(seed), deadline);
  std::printf("%-12s %7s %5s %6s %-10s %8s %11s %9s %8s %8s\n", "version",
              "servers", "slots", "calls/s", "test", "done %", "taken back%",
              "spoiled", "max", "end s");
  for (const auto &it : cells) {
    std::printf("%-12s %7u %5u %6.0f %-10s %8.2f %11.2f %9.1f %8lu %8.1f\n",
                it.Base.NewVersion.Name.c_str(), it.Base.Servers, it.Base.Slots,
                it.Base.CallsPerSecond,
                MethodNames[static_cast<std::size_t>(it.Judge)],
                100.0 * it.Done / runs, 100.0 * it.TakenBack / runs,
                static_cast<double>(it.Spoiled) / runs,
                static_cast<unsigned long>(it.MaxSpoiled), it.Seconds / runs);
  }
  return 0;
}
