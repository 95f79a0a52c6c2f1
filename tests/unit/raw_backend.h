/**
 * @file
 * A backend server that answers with given statuses.
 */
#ifndef CHIVEFOLD_TESTS_RAW_BACKEND_H
#define CHIVEFOLD_TESTS_RAW_BACKEND_H

#include "raw_socket.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace chivefold {

/** A request that a RawBackend read. */
struct RawRun {
  /** Connections are counted from 1. */
  std::size_t Connection = 0;
  std::string Id;
  /** The status that the server sent. */
  std::string Status;
};

/**
 * Answers each request whose body ends with "work". Its users must close their
 * connections before it is destroyed. Thread-safe.
 */
class RawBackend {
public:
  RawBackend() : Thread([this] { serve(); }) {}
  ~RawBackend() {
    Listener.shutDown();
    Thread.join();
  }
  RawBackend(const RawBackend &) = delete;
  RawBackend &operator=(const RawBackend &) = delete;

  Address address() const { return Listener.address(); }
  /** Sets the three digits of the next answers, and whether their connection
   * may be used again. */
  void answerWith(const std::string &status, bool keep) {
    const std::lock_guard<std::mutex> lock(Mutex);
    Status = status;
    Keep = keep;
  }
  std::vector<RawRun> runs() const {
    const std::lock_guard<std::mutex> lock(Mutex);
    return Runs;
  }
  std::vector<RawRun> runsOf(const std::string &id) const {
    const auto all = runs();
    std::vector<RawRun> out;
    std::copy_if(all.begin(), all.end(), std::back_inserter(out),
                 [&id](const RawRun &it) { return it.Id == id; });
    return out;
  }

private:
  static std::string idIn(const std::string &request) {
    const std::string name = "Chivefold-Request-Id: ";
    const auto from = request.find(name);
    return from == std::string::npos
               ? ""
               : request.substr(from + name.size(),
                                request.find('\r', from) - from - name.size());
  }

  std::string answer(std::size_t connection, const std::string &id) {
    const std::lock_guard<std::mutex> lock(Mutex);
    Runs.push_back({connection, id, Status});
    return "HTTP/1.1 " + Status + " X\r\nChivefold-Request-Id: " + id +
           "\r\nChivefold-Server-Signature: s." + id + "\r\n" +
           (Keep ? "" : "Connection: close\r\n") +
           "Content-Length: 4\r\n\r\nbody";
  }

  void serve() {
    std::vector<std::thread> connections;
    for (std::size_t connection = 1;; ++connection) {
      auto accepted = std::make_shared<RawSocket>(Listener.accepted());
      if (!accepted->isOpen()) {
        break;
      }
      connections.emplace_back([this, connection, s = std::move(accepted)] {
        for (auto request = s->readUntil("work");
             request.find("work") != std::string::npos;
             request = s->readUntil("work")) {
          s->write(answer(connection, idIn(request)));
        }
      });
    }
    for (auto &it : connections) {
      it.join();
    }
  }

  RawSocket Listener = RawSocket::listening();
  mutable std::mutex Mutex;
  std::string Status = "200";
  bool Keep = true;
  std::vector<RawRun> Runs;
  /** Last member, since it uses the others. */
  std::thread Thread;
};

} // namespace chivefold

#endif
