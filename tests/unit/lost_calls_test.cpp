#include "chivefold/mesh/lost_calls.h"

#include <catch2/catch.hpp>

using namespace chivefold;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint T0{};
constexpr auto Crashing = static_cast<RequestDigest>(1);
const Address First{"10.0.0.1", 1};
const Address Second{"10.0.0.2", 1};

} // namespace

// Guards against a crash that no one reports, since the daemon beside the
// server ended with it, and against calls that are taken for a crash although
// their server still runs.
TEST_CASE("a lost call counts when its server has started again",
          "[quarantine]") {
  LostCalls lost;
  lost.add({First, 10, Crashing, T0});
  lost.add({Second, 20, Crashing, T0 + 1s});
  // Neither tells which start got the call, or which request it was.
  lost.add({First, 0, Crashing, T0});
  lost.add({First, 10, RequestDigest::None, T0});
  std::uint64_t first = 0;
  const auto current = [&first](const Address &peer) {
    return peer == First ? first : std::uint64_t{20};
  };
  CHECK(lost.takeCrashed(current, T0 + 2s).empty());
  first = 10;
  CHECK(lost.takeCrashed(current, T0 + 2s).empty());
  first = 11;
  const auto crashed = lost.takeCrashed(current, T0 + 2s);
  REQUIRE(crashed.size() == 1);
  CHECK(crashed.front().Peer == First);
  CHECK(crashed.front().At == T0);
  CHECK(lost.takeCrashed(current, T0 + 2s).empty());
  CHECK_FALSE(lost.isEmpty());
}

// Guards against a start long after the loss, which has another cause, and
// against a list that grows.
TEST_CASE("lost calls are forgotten", "[quarantine]") {
  LostCalls lost;
  const auto restarted = [](const Address &) { return std::uint64_t{11}; };
  lost.add({First, 10, Crashing, T0});
  CHECK(lost.takeCrashed(restarted, T0 + LostCalls::MaxAge).empty());
  for (std::uint64_t n = 1; n <= 2 * LostCalls::MaxCalls; ++n) {
    lost.add({First, 10, static_cast<RequestDigest>(n), T0});
  }
  CHECK(lost.takeCrashed(restarted, T0).size() == LostCalls::MaxCalls);
  CHECK(lost.isEmpty());
}
