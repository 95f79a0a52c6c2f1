/**
 * @file
 * Backend servers of one host that have announced their end.
 */
#ifndef CHIVEFOLD_MESH_DEPARTURES_H
#define CHIVEFOLD_MESH_DEPARTURES_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chivefold {

/** Announcement of a server's end. */
struct Departure {
  std::string Instance;
  /** Which start of the instance, in milliseconds by the server's clock. Absent
   * if the daemon that was told did not know the server: then all starts up to
   * the announcement are meant. */
  std::optional<std::int64_t> StartedAtMs;
  /** When it was announced, in milliseconds of UTC by the host's clock. */
  std::int64_t AnnouncedAtMs = 0;
};

/**
 * The starts of a host's backend servers that get no new requests, since they
 * announced their end: by a report, a notice or an answer. An announcement is
 * final for its start. A daemon that has just started does not know what was
 * announced to its predecessor, and its list is complete only after it has read
 * the store or heard from a peer. Holds at most MaxCount announcements; the
 * oldest are dropped. Not thread-safe.
 */
class Departures {
public:
  static constexpr std::size_t MaxCount = 64;
  /** Time for which an announcement without a start counts. It covers late
   * reports and the time for which a server goes on after the announcement; a
   * server whose clock went back before it started again under its id is used
   * after it. */
  static constexpr Duration UnknownStartTime = std::chrono::seconds(60);

  using Observer = std::function<void()>;

  /** Sets what runs after an announcement to this daemon. */
  void onAnnounced(Observer observer) { Announced = std::move(observer); }

  /** Adds an announcement that this daemon was told. */
  void announce(Departure departure);

  /** Adds an announcement that another process was told. @return whether it was
   * not known. */
  bool add(Departure departure);

  /** @return whether the start of an instance has announced its end. @param
   * startedAtMs absent if its report does not state it. @param nowMs UTC. */
  bool covers(const std::string &instance,
              std::optional<std::int64_t> startedAtMs,
              std::int64_t nowMs) const;

  /** @return the last @p max announcements, oldest first. */
  std::vector<Departure> newest(std::size_t max) const;
  bool isEmpty() const { return All.empty(); }

  /** @return whether this daemon knows what its predecessors were told. */
  bool isComplete() const { return Complete; }
  void setComplete() { Complete = true; }

private:
  std::deque<Departure> All;
  bool Complete = false;
  Observer Announced;
};

} // namespace chivefold

#endif
