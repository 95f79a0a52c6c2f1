/**
 * @file
 * Usage of each customer by window of time, on its way from the daemons beside
 * the servers to the one report of a window.
 */
#ifndef CHIVEFOLD_MESH_USAGE_WINDOWS_H
#define CHIVEFOLD_MESH_USAGE_WINDOWS_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivefold {

/** Number of a window: window n begins n window lengths after the start of
 * 1970 in UTC. */
using WindowNumber = std::uint64_t;

/** Requests that began to run, by customer. */
using UsageCounts = std::map<std::string, std::uint64_t, std::less<>>;

/** Part of a window's usage. */
struct UsageShare {
  UsageCounts Counts;
  /** Daemons whose whole window it contains. */
  std::uint32_t Hosts = 0;
};

/** Usage by window. Bounded; the oldest windows are dropped. Not thread-safe.
 */
class UsagePool {
public:
  static constexpr std::size_t MaxWindows = 64;
  /** Maximum number of customers in a window; requests of others are counted as
   * dropped. */
  static constexpr std::size_t MaxCustomers = 4096;

  void add(WindowNumber window, std::string_view customer, std::uint64_t n);
  void add(WindowNumber window, const UsageShare &share);
  /** Takes one request back; no effect if the window was taken. */
  void takeBack(WindowNumber window, std::string_view customer);

  /** Removes and returns the windows up to @p last. */
  std::map<WindowNumber, UsageShare> takeThrough(WindowNumber last);

  const std::map<WindowNumber, UsageShare> &windows() const { return Windows; }
  /** @return requests that were counted and dropped. */
  std::uint64_t dropped() const { return Dropped; }

private:
  void trim();

  std::map<WindowNumber, UsageShare> Windows;
  std::uint64_t Dropped = 0;
};

/** A window whose counts are fixed. */
struct ClosedWindow {
  WindowNumber Number = 0;
  UsageCounts Counts;
};

/**
 * Windows that the holder of the duty has closed. The counts of a window are
 * fixed by its record in the store, before anybody else is told of them; they
 * are reported in order and repeated as they were until a report is accepted.
 * Not thread-safe.
 */
class UsageLedger {
public:
  /** Maximum number of closed windows that wait to be reported; the oldest are
   * given up. */
  static constexpr std::size_t MaxPending = 32;

  /** Takes what the store has, in place of all that was known. @param closed
   * windows, of which those up to @p reported were reported. */
  void load(std::vector<ClosedWindow> closed, WindowNumber reported);

  /** Takes a window that is fixed in the store. No effect unless it is later
   * than all before. */
  void closed(ClosedWindow window);

  /** @return the window that is to be reported next, or null. */
  const ClosedWindow *next() const;
  /** Takes that the window was accepted. */
  void reported(WindowNumber window);

  /** No window up to this one may be closed again; 0 at first. */
  WindowNumber lastClosed() const { return LastClosed; }
  WindowNumber lastReported() const { return LastReported; }
  std::uint64_t givenUp() const { return GivenUp; }
  std::size_t pending() const { return Pending.size(); }

  /** Excludes all windows up to @p window, since another holder may have closed
   * them in a history that the store has lost. */
  void skipThrough(WindowNumber window);

private:
  std::map<WindowNumber, ClosedWindow> Pending;
  WindowNumber LastClosed = 0;
  WindowNumber LastReported = 0;
  std::uint64_t GivenUp = 0;
};

/**
 * UTC as most of a few hosts have it, since the clock of a single one may be
 * wrong. Not thread-safe.
 */
class CommonClock {
public:
  /** Clocks that are considered besides the own; the oldest are replaced. */
  static constexpr std::size_t MaxSamples = 16;
  static constexpr Duration MaxSampleAge = std::chrono::seconds(30);

  /** Notes that the clock of @p source showed @p utc at @p now. */
  void record(const std::string &source, UtcTime utc, TimePoint now);

  /** @return UTC at @p now: the median of the noted clocks and @p own. */
  UtcTime at(TimePoint now, UtcTime own) const;

private:
  struct Sample {
    std::chrono::milliseconds Offset{};
    TimePoint At{};
  };
  std::map<std::string, Sample> Samples;
};

/** @return the window that contains @p time. Thread-safe. */
WindowNumber windowAt(UtcTime time, Duration length);
/** @return when the window begins. Thread-safe. */
UtcTime windowStart(WindowNumber window, Duration length);

} // namespace chivefold

#endif
