/**
 * @file
 * A backend server that ends and starts again at its address.
 */
#ifndef CHIVEFOLD_TESTS_EDGE_RESTARTING_SERVER_H
#define CHIVEFOLD_TESTS_EDGE_RESTARTING_SERVER_H

#include "loopback.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace edge {

/** Answers requests for its current instance and refuses others with 421, as
 * the platform's servers do. Thread-safe. */
class RestartingServer {
public:
  RestartingServer() : Address(freeAddress()) {}

  const std::string &address() const { return Address; }

  /** Listens as a new instance. Precondition: it is not running. */
  void start(const std::string &instance);
  /** Ends at once: connections are reset. */
  void crash();

  /** @return the ids of the requests that ran, of all instances. */
  std::vector<std::string> runs();
  /** @return how many requests with @p part in their path ran. */
  std::size_t runsOf(const std::string &part);

  /** States in its answers that it shuts down. */
  std::atomic<bool> StatesLeaving{false};
  /** Decides whether a request crashes the server as it begins to run. To be
   * set before start(). */
  std::function<bool(const HttpMessage &)> IsCrashing;
  /** Runs at the moment of such a crash, before anything is closed. */
  std::function<void()> OnCrash;
  /** Time that requests with "slow" in their path take. */
  std::chrono::milliseconds SlowTime{400};

private:
  void accept(int listener, unsigned epoch);
  void serve(int fd, unsigned epoch);
  bool answer(int fd, const HttpMessage &request, unsigned epoch);

  struct Run {
    std::string Id;
    std::string Path;
  };

  const std::string Address;
  std::mutex Mutex;
  std::string Instance;
  unsigned Epoch = 0;
  bool IsUp = false;
  int Listener = -1;
  std::set<int> Connections;
  std::vector<Run> Runs;
};

} // namespace edge

#endif
