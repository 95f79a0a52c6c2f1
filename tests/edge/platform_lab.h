/**
 * @file
 * One real sidecar process with stand-ins for the platform's store and for the
 * backend server, on loopback addresses. Independent of the code under test.
 */
#ifndef CHIVEFOLD_TESTS_EDGE_PLATFORM_LAB_H
#define CHIVEFOLD_TESTS_EDGE_PLATFORM_LAB_H

#include "loopback.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace edge {

/** The platform's store: keyed topics of one partition. Thread-safe. */
class Store {
public:
  /** Listens and serves until the process ends. @return the address. */
  std::string start();
  void put(const std::string &topic, const std::string &key,
           const std::string &value);

private:
  using Item = std::pair<std::string, std::string>;

  HttpMessage answer(const HttpMessage &request);
  HttpMessage append(const std::string &topic, const HttpMessage &request);
  HttpMessage read(const std::string &target, std::vector<Item> &items,
                   std::unique_lock<std::mutex> &lock);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::vector<Item>> Topics;
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

/** A sidecar process, its store and its backend server. */
class Host {
public:
  Host(std::string program, HostLimits limits);
  ~Host();
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;

  /** Starts all parts and waits until a request is served; exits the test with
   * code 2 if that does not happen. */
  void start();
  ProcessFigures figures() const;
  /** @return the status of a POST with a body of @p bodyBytes; 0 without a
   * whole answer. */
  int request(std::size_t bodyBytes = 4) const;
  /** @return a value of the metrics text, if it is there. */
  std::string metric(const std::string &name) const;

  /** Addresses of the sidecar, by purpose. */
  std::string Callers, Readiness, Admin, Peers;

private:
  void spawn();
  void writeSettings() const;
  bool isReady() const;
  bool report() const;

  std::string Program;
  HostLimits Limits;
  std::string Folder;
  std::string Backend;
  Store Platform;
  std::string StoreAddress;
  mutable int Sequence = 0;
  pid_t Pid = -1;
};

} // namespace edge

#endif
