/**
 * @file
 * All parts of a sidecar, wired together.
 */
#ifndef CHIVEFOLD_SIDECAR_SIDECAR_H
#define CHIVEFOLD_SIDECAR_SIDECAR_H

#include "chivefold/io/reactor.h"
#include "chivefold/sidecar/ports.h"
#include "chivefold/sidecar/sidecar_settings.h"

#include <memory>

namespace chivefold {

/** A sidecar on a reactor. Used on the reactor's thread only. */
class Sidecar {
public:
  /** @param ports and @param store of the platform; they outlive this object.
   * @param seed of all random choices. */
  Sidecar(Reactor &reactor, SidecarSettings settings,
          const PlatformPorts &ports, KeyedStore &store, std::uint64_t seed);
  ~Sidecar();
  Sidecar(const Sidecar &) = delete;
  Sidecar &operator=(const Sidecar &) = delete;

  /** Binds all addresses and starts. @return why an address is not free. */
  Status start();

  /** Takes changed settings: the service of this host and the log level;
   * addresses stay until a restart. */
  void reload(const SidecarSettings &settings);

  /** Planned stop: finishes what is in progress and stops the reactor within
   * the grace period. */
  void stop();

private:
  struct Parts;
  std::unique_ptr<Parts> All;
};

} // namespace chivefold

#endif
