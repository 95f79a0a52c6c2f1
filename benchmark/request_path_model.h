/**
 * @file
 * Servers, calls and faults of the simulated deployments.
 */
#ifndef CHIVEFOLD_BENCHMARK_REQUEST_PATH_MODEL_H
#define CHIVEFOLD_BENCHMARK_REQUEST_PATH_MODEL_H

#include "chivefold/core/call_policy.h"
#include "chivefold/core/gate.h"
#include "chivefold/core/router.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivefold::benchmark {

using namespace std::chrono_literals;

constexpr TimePoint T0{};
constexpr TimePoint FaultAt = T0 + 8s;
constexpr TimePoint EndAt = T0 + 20s;
constexpr Duration CallTime = 1s;
constexpr int Fronts = 8;
constexpr int Servers = 11;
constexpr int ColdServer = 0;
constexpr int SlowServer = 1;
constexpr int FailingServer = 4;
constexpr int LostCentre = 2;
/** Calls that a cold server answers until it is warm. */
constexpr double WorkToWarm = 300;
constexpr Duration FrontWork = 40ms;
constexpr Duration BackWork = 20ms;

struct Deployment {
  const char *Name;
  std::uint32_t Slots;
};

struct Scenario {
  std::string Name;
  bool Cold = false;
  bool Slow = false;
  bool FailsFast = false;
  bool CentreOut = false;
  bool Overload = false;
};

struct Report {
  double WorthOffered = 0;
  double WorthAnswered = 0;
  std::uint64_t Offered = 0;
  std::uint64_t BackAttempts = 0;
  double WorstColdLoad = 0;
  std::vector<double> LatencyMs;
};

struct Attempt;

/** One call from a daemon to a service; the front service makes another. */
struct Hop {
  Hop(const CallParameters &terms, RetryTokens &tokens)
      : Policy(terms, tokens) {}
  CallPolicy Policy;
  int Origin = 0;
  bool IsFront = true;
  TimePoint Deadline{};
  std::uint32_t Worth = 1;
  bool Repeatable = false;
  int Retries = 0;
  std::function<void(const FinishCall &)> Done;
};
using HopPtr = std::shared_ptr<Hop>;

struct Attempt {
  HopPtr Caller;
  int Server = 0;
  std::uint64_t Id = 0;
  TimePoint SentAt{};
  TimePoint StartedAt{};
  TimePoint Deadline{};
  std::uint32_t RetryBudget = 0;
  /** The caller has its result. */
  bool IsOver = false;
  bool IsRunning = false;
};
using AttemptPtr = std::shared_ptr<Attempt>;

/** A backend server, its gate, and the daemon beside it. */
struct Host {
  Host(const ServerLimits &limits, int index, int centre)
      : Admission(limits),
        Routes(static_cast<std::uint64_t>(index) + 1, std::to_string(centre)),
        Tokens(T0), Slots(limits.Slots), Centre(centre) {}
  Gate Admission;
  Router Routes;
  RetryTokens Tokens;
  std::uint32_t Slots;
  int Centre;
  double Work = WorkToWarm;
  std::uint32_t InFlight = 0;
  double SlowFactor = 1;
  bool FailsFast = false;
  bool IsDead = false;
  std::unordered_map<std::uint64_t, AttemptPtr> Attempts;
  std::deque<std::uint64_t> PlainQueue;
  double capacity() const {
    return 1 + (Slots - 1) * std::min(1.0, Work / WorkToWarm);
  }
  double bearable() const { return 1.5 * capacity() + 1; }
};

} // namespace chivefold::benchmark

#endif
