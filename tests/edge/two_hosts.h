/**
 * @file
 * Two real sidecar processes with one store, each the only one of its service.
 */
#ifndef CHIVEFOLD_TESTS_EDGE_TWO_HOSTS_H
#define CHIVEFOLD_TESTS_EDGE_TWO_HOSTS_H

#include "platform_lab.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace edge {

/** Services of the two hosts. */
constexpr const char *OwnService = "desk";
constexpr const char *OtherService = "ledger";

struct TwoHostsSettings {
  HostLimits Limits;
  unsigned Slots = 8;
  /** Addresses of the backend servers, which run already. */
  std::string OwnBackend;
  std::string OtherBackend;
};

/** One at a time in a process. */
class TwoHosts {
public:
  /** Starts both and waits until they know each other; ends the test with code
   * 2 if that does not happen. */
  TwoHosts(const std::string &program, const TwoHostsSettings &settings);
  ~TwoHosts();
  TwoHosts(const TwoHosts &) = delete;
  TwoHosts &operator=(const TwoHosts &) = delete;

  Host &own() { return *Own; }
  Host &other() { return *Other; }
  Store &store() { return Platform; }

  /** Reports both servers from now on, so that one that misbehaves is used
   * again. */
  void keepReporting();

  void awaitReady() const;

private:
  /** Its threads run until the process ends. */
  Store &Platform;
  std::unique_ptr<Host> Own;
  std::unique_ptr<Host> Other;
  std::atomic<bool> Ended{false};
  std::thread Reports;
};

} // namespace edge

#endif
