/**
 * @file
 * The event loop of a process: one thread, timers, signals.
 */
#ifndef CHIVEFOLD_IO_REACTOR_H
#define CHIVEFOLD_IO_REACTOR_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <functional>
#include <memory>

class ACE_Reactor;

namespace chivefold {

/** Identifies a scheduled task; 0 is never used. */
enum class TimerId : std::uint64_t { None = 0 };

/**
 * Wraps an ACE reactor with epoll. Not thread-safe: all methods but stop()
 * are called on the thread that calls run(), or before run().
 */
class Reactor {
public:
  using Task = std::function<void()>;

  Reactor();
  ~Reactor();
  Reactor(const Reactor &) = delete;
  Reactor &operator=(const Reactor &) = delete;

  /**
   * @return the time since boot, which also advances while the host is
   * suspended, so that a lease lapses during a suspension.
   */
  TimePoint now() const;

  /** @return the wall clock in UTC. */
  UtcTime utcNow() const;

  /**
   * Runs @p task once, at or after @p deadline.
   * @return the id for cancel().
   */
  TimerId schedule(TimePoint deadline, Task task);

  /** Cancels a task that has not run; does nothing for an unknown id. */
  void cancel(TimerId id);

  /** Runs @p task on the loop when signal @p number arrives. */
  void onSignal(int number, Task task);

  /** Handles events until stop(). Precondition: not running already. */
  void run();

  /** Makes run() return. Thread-safe and callable from a task. */
  void stop();

  /** @return the ACE reactor for event handlers of this library. */
  ACE_Reactor &ace();

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace chivefold

#endif
