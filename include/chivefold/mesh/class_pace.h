/**
 * @file
 * How fast the queue of each kind of work drains.
 */
#ifndef CHIVEFOLD_MESH_CLASS_PACE_H
#define CHIVEFOLD_MESH_CLASS_PACE_H

#include "chivefold/core/types.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace chivefold {

/**
 * Measures the time between two starts of queued requests of one class of work.
 * Under lasting overload it tells a new request how long the queue of its class
 * takes, with all that goes before it meanwhile: more urgent requests that have
 * not arrived yet are in no queue. Not thread-safe.
 */
class ClassPace {
public:
  /** Maximum number of classes; further ones are not measured. */
  static constexpr std::size_t MaxClasses = 16;
  /** Weight of the newest interval. */
  static constexpr double Weight = 0.1;
  /** Starts after which the pace of a class is used. */
  static constexpr std::uint32_t MinStarts = 8;
  /** A class whose queue was empty for longer has no known pace. */
  static constexpr Duration MaxIdle = std::chrono::milliseconds(500);

  /** Records that a request of the class is queued. @param wasEmpty whether no
   * other request of the class was queued. */
  void queued(std::uint64_t cls, bool wasEmpty, TimePoint now);
  /** Records that a queued request of the class starts. */
  void started(std::uint64_t cls, TimePoint now);

  /** @return the time until a new request of the class starts behind
   * @p queued others of the class; zero if the pace is not known, and for the
   * most urgent class, before which nothing goes. */
  Duration wait(std::uint64_t cls, std::size_t queued, TimePoint now) const;

private:
  struct Pace {
    TimePoint Since{};
    double IntervalUs = 0;
    std::uint32_t Starts = 0;
  };
  std::map<std::uint64_t, Pace> Classes;
};

} // namespace chivefold

#endif
