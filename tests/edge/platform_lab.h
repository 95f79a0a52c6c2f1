/**
 * @file
 * One real sidecar process with stand-ins for the platform's store and for the
 * backend server, on loopback addresses. Independent of the code under test.
 */
#ifndef CHIVEFOLD_TESTS_EDGE_PLATFORM_LAB_H
#define CHIVEFOLD_TESTS_EDGE_PLATFORM_LAB_H

#include "loopback.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace edge {

/** What becomes of a call of the store. Calls take effect all the same. */
enum class StoreFault : std::uint8_t {
  None,
  /** The connection is reset before, within or behind the answer. */
  ResetBefore,
  ResetWithin,
  ResetBehind,
  /** There is no answer, and the connection stays open. */
  Silence,
  /** The answer has another body. */
  Garbage
};

/** The platform's store: keyed topics of one partition. Thread-safe. */
class Store {
public:
  /** Draws the fault of a call. */
  using FaultSource = std::function<StoreFault()>;

  /** Listens and serves until the process ends. @return the address. */
  std::string start();
  void put(const std::string &topic, const std::string &key,
           const std::string &value);

  using Item = std::pair<std::string, std::string>;
  using Records = std::map<std::string, std::vector<Item>>;

  /** While it is away, every call is refused. */
  void setAway(bool isAway);
  /** @return a copy of all records. */
  Records copy();
  /** Comes back from an older copy, in a new era. */
  void restore(Records copy);
  /** Asks @p faults at each call, one at a time; empty for none. */
  void setFaults(FaultSource faults);

private:
  void serveConnection(int fd);
  StoreFault drawFault();
  HttpMessage answer(const HttpMessage &request);
  HttpMessage answerLocked(const HttpMessage &request,
                           std::unique_lock<std::mutex> &lock);
  HttpMessage append(const std::string &topic, const HttpMessage &request);
  HttpMessage read(const std::string &target, std::vector<Item> &items,
                   std::unique_lock<std::mutex> &lock);

  std::mutex Mutex;
  std::condition_variable Changed;
  Records Topics;
  unsigned Era = 0;
  bool IsAway = false;
  FaultSource Faults;
  std::atomic<unsigned> Garbled{0};
};

/** What a test states about its host and its clients. */
struct HostLimits {
  std::size_t MemoryMb = 64;
  std::size_t Descriptors = 200;
  std::size_t MaxHeaderBytes = 16384;
  std::size_t MaxBodyBytes = 4U << 20U;
};

/** What the kernel says about a process. */
struct ProcessFigures {
  bool IsAlive = false;
  std::size_t PeakKb = 0;
  std::size_t ResidentKb = 0;
  std::size_t Descriptors = 0;
};

/** What a host of a fleet shares with others; by default it has a store and a
 * backend server of its own. */
struct HostRole {
  std::string Service = "desk";
  std::string Instance = "i-1a2b3c4d01";
  unsigned Slots = 8;
  /** Address of a store that runs already, or "". */
  std::string StoreAddress;
  /** Address of a backend server that runs already, or "". */
  std::string Backend;
};

/** @return a configuration with a route "/SERVICE/" to each of the services.
 */
std::string configuration(const HostLimits &limits,
                          const std::vector<std::string> &services,
                          unsigned version = 1);

/** Tries for the time that a process may take to start. @return whether the
 * condition held once. */
bool eventually(const std::function<bool()> &holds);

/** Ends the test with code 2 if a precondition does not hold. */
void require(bool holds, const char *what);

/** A sidecar process, its store and its backend server. */
class Host {
public:
  Host(std::string program, HostLimits limits, HostRole role = {});
  ~Host();
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;

  /** Starts all parts and waits until a request is served; exits the test with
   * code 2 if that does not happen. */
  void start();
  ProcessFigures figures() const;
  /** Sends SIGTERM. */
  void terminate() const;
  /** Ends the process at once. May run on another thread than respawn(). */
  void kill();
  /** Starts the process again, without waiting for it. Precondition: it has
   * ended, or kill() is under way. */
  void respawn();
  bool isReady() const;
  /** Sends a report of an instance, or with @p text empty the notice of its
   * end. @return the status of the answer; 0 without one. */
  int tell(const std::string &instance, const std::string &text) const;
  /** @return whether the process ended by itself with code 0. */
  bool hasEnded();
  /** Reports the backend server to the sidecar. @return whether that was
   * acknowledged. Thread-safe. */
  bool report() const;
  /** @return the status of a POST with a body of @p bodyBytes to a service, by
   * default that of the host; 0 without a whole answer. */
  int request(std::size_t bodyBytes = 4, const std::string &service = "") const;
  /** @return the status of a POST with a short body to @p path. The same path
   * makes it the same request. */
  int post(const std::string &path, int deadlineMs = 5000) const;
  /** @return a value of the metrics text, if it is there. */
  std::string metric(const std::string &name) const;

  /** Addresses of the sidecar, by purpose. */
  std::string Callers, Readiness, Admin, Peers;

private:
  void spawn();
  void writeSettings() const;

  std::string Program;
  HostLimits Limits;
  HostRole Role;
  std::string Folder;
  Store Platform;
  mutable std::atomic<int> Sequence{0};
  std::mutex Mutex;
  std::atomic<pid_t> Pid{-1};
};

} // namespace edge

#endif
