/**
 * @file
 * The sidecar daemon, assembled from its services.
 */
#ifndef CHIVEFOLD_SIDECAR_SIDECAR_H
#define CHIVEFOLD_SIDECAR_SIDECAR_H

#include "chivefold/io/reactor.h"
#include "chivefold/sidecar/ports.h"
#include "chivefold/sidecar/sidecar_settings.h"

#include <memory>

namespace chivefold {

/** Proxy and gate beside one backend server. Used on the reactor's thread only.
 */
class Sidecar {
public:
  /** @param ports and @param store of the platform, which must outlive this
   * object. @param seed seeds all random choices. */
  Sidecar(Reactor &reactor, SidecarSettings settings,
          const PlatformPorts &ports, const StoreAccess &store,
          std::uint64_t seed);
  ~Sidecar();
  Sidecar(const Sidecar &) = delete;
  Sidecar &operator=(const Sidecar &) = delete;

  /** Binds all addresses and starts the services. @return the error if an
   * address cannot be bound. */
  Status start();

  /** Applies changed settings: the service of this host and the log level.
   * Other changes need a restart. */
  void reload(const SidecarSettings &settings);

  /** Begins a planned stop: requests in progress finish, and the reactor stops
   * within the grace period. */
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace chivefold

#endif
