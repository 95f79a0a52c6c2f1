/**
 * @file
 * The daemon: all parts, wired on one reactor.
 */
#ifndef CHIVEFOLD_DAEMON_DAEMON_H
#define CHIVEFOLD_DAEMON_DAEMON_H

#include "chivefold/core/error.h"
#include "chivefold/daemon/settings.h"
#include "chivefold/io/reactor.h"

#include <cstdint>
#include <memory>

namespace chivefold {

/**
 * One daemon beside one backend server. Used on the reactor's thread only.
 */
class Daemon {
public:
  /** @param seed of all random choices; another one for each start. */
  Daemon(Reactor &reactor, Settings settings, std::uint64_t seed);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /** Binds all addresses and begins to recover. */
  Status start();

  /**
   * Begins a planned stop: tells the fleet, refuses new work after callers had
   * time to follow, finishes open calls and stops the reactor, at the latest
   * after Settings::DrainMs.
   */
  void stop();

private:
  struct Parts;
  std::unique_ptr<Parts> All;
};

} // namespace chivefold

#endif
