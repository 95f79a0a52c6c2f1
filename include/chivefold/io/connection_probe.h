/**
 * @file
 * Tells whether a process listens at an address.
 */
#ifndef CHIVEFOLD_IO_CONNECTION_PROBE_H
#define CHIVEFOLD_IO_CONNECTION_PROBE_H

#include "chivefold/core/types.h"
#include "chivefold/io/reactor.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace chivefold {

/** Result of an attempt to connect. */
enum class ProbeResult : std::uint8_t {
  Accepted,
  /** No process listens at the address. */
  Refused,
  /** The attempt failed in another way, or took too long. */
  Unknown
};

/** Connects and closes the connection again, one attempt at a time. Used on the
 * reactor's thread only. */
class ConnectionProbe {
public:
  static constexpr Duration Timeout = std::chrono::seconds(1);

  using Done = std::function<void(ProbeResult)>;

  explicit ConnectionProbe(Reactor &reactor);
  ~ConnectionProbe();
  ConnectionProbe(const ConnectionProbe &) = delete;
  ConnectionProbe &operator=(const ConnectionProbe &) = delete;

  /** Starts an attempt, unless one is in progress. @p done runs once, later,
   * from the loop; not at all if there is an attempt already. */
  void start(const Address &to, Done done);

private:
  struct Attempt;

  void onReady();
  void finishLater(ProbeResult result);
  void finish(ProbeResult result);
  void close();

  Reactor &Loop;
  std::unique_ptr<Attempt> Open;
};

} // namespace chivefold

#endif
