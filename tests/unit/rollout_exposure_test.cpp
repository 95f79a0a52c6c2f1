#include "chivefold/mesh/rollout_driver.h"

#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

enum class Defect : std::uint8_t {
  None,
  Fails,
  FailsLater,
  FailsUnderLoad,
  FailsOnOneRoute,
  Slow,
  SlowLater,
  Count
};

constexpr std::array<const char *, static_cast<std::size_t>(Defect::Count)>
    DefectNames{"none",
                "fails",
                "fails later",
                "fails under load",
                "fails on one route",
                "slow",
                "slow later"};

constexpr std::size_t RouteCount = 3;
/** Interval between two decisions. */
constexpr std::int64_t TickMs = 200;
/** Time step of the simulation. */
constexpr std::int64_t StepMs = 50;
/** Delay from a decision to its effect on the traffic. */
constexpr std::int64_t EffectDelayMs = 250;

struct Scenario {
  Defect Kind = Defect::None;
  double Rate = 0;
  std::int64_t TimeMs = 0;
  std::int64_t TurnsBadMs = 0;
  /** Fraction of the answers that fail once the version is bad. */
  double FailureFraction = 0;
  /** Factor on the rate in the middle of the rollout. */
  double BurstFactor = 1;
  /** Factor on the rate while the new version receives most requests: requests
   * that overloaded servers of the old version refused arrive in addition to
   * those that were answered. */
  double BacklogFactor = 1;
  std::uint64_t Seed = 0;
};

struct Result {
  double Requests = 0;
  double Exposed = 0;
  RolloutAction End = RolloutAction::None;

  double exposureLimit() const { return 0.1 * Requests + 50; }
};

/** Simulates one rollout of one service: requests arrive at random, answers are
 * counted when they complete, and the driver decides on counts that are delayed
 * like the answers to a poll. */
class Simulation {
public:
  explicit Simulation(const Scenario &scenario)
      : Parameters(scenario), Random(scenario.Seed),
        Driver(shortRolloutSettings()) {
    View.OrderedAt = at(0);
    View.TimeAllowed = milliseconds(scenario.TimeMs);
    View.ReadyServers = 4;
  }

  Result run() {
    for (std::int64_t ms = 0; ms < Parameters.TimeMs; ms += StepMs) {
      applyEffects(ms);
      addArrivals(ms);
      countAnswers(ms);
      if (ms % TickMs == 0 && Out.End == RolloutAction::None) {
        decide(ms);
      }
    }
    return Out;
  }

private:
  struct Answer {
    std::int64_t Ms = 0;
    bool New = false;
    bool Failed = false;
    std::size_t Route = 0;
    double LatencyMs = 0;
  };
  struct Effect {
    std::int64_t Ms = 0;
    std::uint32_t Share = 0;
  };

  static TimePoint at(std::int64_t ms) {
    return TimePoint(std::chrono::hours(1) + milliseconds(ms));
  }

  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  bool isBad(std::int64_t ms, std::size_t route) const {
    switch (Parameters.Kind) {
    case Defect::None:
      return false;
    case Defect::FailsLater:
    case Defect::SlowLater:
      return ms >= Parameters.TurnsBadMs;
    case Defect::FailsUnderLoad:
      return Share > FullShare / 5;
    case Defect::FailsOnOneRoute:
      return route == RouteCount - 1;
    default:
      return true;
    }
  }

  void applyEffects(std::int64_t ms) {
    while (!Effects.empty() && Effects.front().Ms <= ms) {
      Share = Effects.front().Share;
      Effects.pop_front();
    }
  }

  void addArrivals(std::int64_t ms) {
    const bool burst = ms > Parameters.TimeMs / 3 && ms < Parameters.TimeMs / 2;
    const bool mostToNew = Share > FullShare / 2;
    const double mean = Parameters.Rate * (burst ? Parameters.BurstFactor : 1) *
                        (mostToNew ? Parameters.BacklogFactor : 1) * StepMs /
                        1000.0;
    const int n = std::poisson_distribution<int>(mean)(Random);
    for (int i = 0; i < n; ++i) {
      Answer answer;
      answer.Route = static_cast<std::size_t>(uniform() * RouteCount);
      answer.New = uniform() * FullShare < Share;
      const bool bad = answer.New && isBad(ms, answer.Route);
      const bool slow = Parameters.Kind == Defect::Slow ||
                        Parameters.Kind == Defect::SlowLater;
      answer.Failed = bad && !slow && uniform() < Parameters.FailureFraction;
      answer.LatencyMs = (0.5 + uniform()) * 250 * (bad && slow ? 6 : 1);
      answer.Ms = ms + static_cast<std::int64_t>(answer.LatencyMs);
      Answers.push_back(answer);
      Out.Requests += 1;
      Out.Exposed += answer.New ? 1 : 0;
    }
  }

  void countAnswers(std::int64_t ms) {
    for (auto it = Answers.begin(); it != Answers.end();) {
      if (it->Ms > ms) {
        ++it;
        continue;
      }
      auto &counts = (it->New ? New : Old)[it->Route];
      counts.PathPrefix = std::to_string(it->Route);
      ++counts.Calls;
      counts.Errors += it->Failed ? 1 : 0;
      counts.LatencySumUs += static_cast<std::uint64_t>(it->LatencyMs * 1000);
      counts.LatencySquareSumMs2 += it->LatencyMs * it->LatencyMs;
      *it = Answers.back();
      Answers.pop_back();
    }
  }

  void decide(std::int64_t ms) {
    const auto decision = Driver.tick(at(ms), View);
    // The driver sees the counts of the previous tick.
    View.OldCounts.assign(Old.begin(), Old.end());
    View.NewCounts.assign(New.begin(), New.end());
    View.NewByHost[{"10.0.0.1", 1}] = View.NewCounts;
    switch (decision.Action) {
    case RolloutAction::SetShare:
      View.ShareBasisPoints = decision.ShareBasisPoints;
      Effects.push_back({ms + EffectDelayMs, decision.ShareBasisPoints});
      return;
    case RolloutAction::RollBack:
      Effects.push_back({ms + EffectDelayMs, 0});
      break;
    default:
      break;
    }
    Out.End = decision.Action;
  }

  const Scenario Parameters;
  std::mt19937_64 Random;
  RolloutDriver Driver;
  RolloutView View;
  std::array<KindCounts, RouteCount> Old;
  std::array<KindCounts, RouteCount> New;
  std::vector<Answer> Answers;
  std::deque<Effect> Effects;
  std::uint32_t Share = 0;
  Result Out;
};

Scenario randomScenario(Defect kind, std::uint64_t seed) {
  constexpr std::array<double, 5> rates{15, 40, 120, 270, 900};
  constexpr std::array<std::int64_t, 4> times{10'000, 12'000, 16'000, 24'000};
  std::mt19937_64 random(seed);
  const auto pick = [&random](std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
  };
  Scenario out;
  out.Kind = kind;
  out.Rate = rates[pick(rates.size())];
  out.TimeMs = times[pick(times.size())];
  out.TurnsBadMs = static_cast<std::int64_t>(pick(100)) * out.TimeMs / 100;
  out.FailureFraction = 0.15 + 0.1 * static_cast<double>(pick(9));
  out.BurstFactor = 0.5 + 0.25 * static_cast<double>(pick(6));
  out.BacklogFactor = 1 + 0.1 * static_cast<double>(pick(5));
  out.Seed = seed;
  return out;
}

} // namespace

// Guards against a bad version that receives more requests than the exposure
// limit because it turns bad late, under load or on one route. Share increases
// on a fixed schedule send it half or all of the requests before the sequential
// test has enough evidence.
TEST_CASE("no bad version exceeds the bound of its exposure", "[rollout]") {
  constexpr std::uint64_t runsEach = 60;
  for (std::size_t kind = 1; kind < DefectNames.size(); ++kind) {
    std::size_t exceeded = 0;
    std::size_t rolledBack = 0;
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= runsEach; ++seed) {
      const auto result =
          Simulation(randomScenario(static_cast<Defect>(kind), seed)).run();
      exceeded += result.Exposed > result.exposureLimit() ? 1 : 0;
      worst = std::max(worst, result.Exposed / result.exposureLimit());
      rolledBack += result.End == RolloutAction::RollBack ? 1 : 0;
    }
    WARN(DefectNames[kind] << ": " << exceeded << " of " << runsEach
                           << " exceed the bound, the most at " << worst
                           << " of it; rolled back " << rolledBack);
    CHECK(exceeded == 0);
  }
}

// Guards against a good version that is not completed in time because of the
// exposure limit.
TEST_CASE("a good version is completed within the bound", "[rollout]") {
  constexpr std::uint64_t runs = 200;
  std::size_t completed = 0;
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    const auto result = Simulation(randomScenario(Defect::None, seed)).run();
    completed += result.End == RolloutAction::Complete ? 1 : 0;
    CHECK(result.Exposed <= result.exposureLimit());
  }
  WARN("good versions completed: " << completed << " of " << runs);
  CHECK(completed >= runs * 95 / 100);
}
