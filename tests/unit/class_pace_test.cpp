#include "chivefold/mesh/class_pace.h"

#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

/** Lets a class start one queued request every @p intervalMs. @return the time
 * of the last start. */
std::int64_t startEvery(ClassPace &pace, std::uint64_t cls,
                        std::int64_t intervalMs, std::int64_t fromMs) {
  pace.queued(cls, true, at(fromMs));
  for (int i = 0; i < 100; ++i) {
    fromMs += intervalMs;
    pace.started(cls, at(fromMs));
  }
  return fromMs;
}

} // namespace

// Guards against a request that is queued although others, which have not
// arrived yet, will go before it until it is too late.
TEST_CASE("the wait of a class follows the pace of its starts",
          "[class_pace]") {
  ClassPace pace;
  startEvery(pace, 1, 5, 0);
  const auto end = startEvery(pace, 5, 40, 0);
  CHECK(pace.wait(5, 9, at(end)) == milliseconds(400));
  // Nothing goes before the most urgent class.
  CHECK(pace.wait(1, 9, at(end)) == Duration::zero());
  CHECK(pace.wait(7, 9, at(end)) == Duration::zero());
}

// Guards against a pace of long ago that keeps work out of an idle queue.
TEST_CASE("a pace is forgotten when the queue of its class was empty",
          "[class_pace]") {
  ClassPace pace;
  startEvery(pace, 1, 5, 0);
  const auto end = startEvery(pace, 5, 40, 0);
  CHECK(pace.wait(5, 0, at(end + 100)) == milliseconds(40));
  CHECK(pace.wait(5, 0, at(end + 600)) == Duration::zero());
  pace.queued(5, true, at(end + 600));
  CHECK(pace.wait(5, 1, at(end + 601)) == Duration::zero());
}

// Guards against a table that grows with the ranks of the configuration.
TEST_CASE("classes beyond the bound have no pace", "[class_pace]") {
  ClassPace pace;
  std::int64_t end = 0;
  for (std::uint64_t cls = 0; cls <= ClassPace::MaxClasses; ++cls) {
    end = startEvery(pace, cls, 10, 0);
  }
  CHECK(pace.wait(ClassPace::MaxClasses - 1, 0, at(end)) == milliseconds(10));
  CHECK(pace.wait(ClassPace::MaxClasses, 0, at(end)) == Duration::zero());
}
