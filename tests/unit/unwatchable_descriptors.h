/**
 * @file
 * Descriptors that a reactor refuses to watch.
 */
#ifndef CHIVEFOLD_TESTS_UNWATCHABLE_DESCRIPTORS_H
#define CHIVEFOLD_TESTS_UNWATCHABLE_DESCRIPTORS_H

#include "raw_socket.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <memory>
#include <sys/resource.h>
#include <vector>

namespace chivefold {

/** Takes all descriptors that a reactor can watch and that are free, so that
 * the next one is refused. */
class UnwatchableDescriptors {
public:
  /** The reactor's bound, to which it sets that of the process. */
  static constexpr int Watchable = 4096;

  UnwatchableDescriptors() {
    getrlimit(RLIMIT_NOFILE, &Before);
    auto raised = Before;
    raised.rlim_cur = Watchable + 64;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &raised) == 0);
    do {
      Taken.push_back(std::make_unique<RawSocket>(open("/dev/null", O_RDONLY)));
    } while (Taken.back()->number() < Watchable - 1);
  }
  ~UnwatchableDescriptors() { setrlimit(RLIMIT_NOFILE, &Before); }
  UnwatchableDescriptors(const UnwatchableDescriptors &) = delete;
  UnwatchableDescriptors &operator=(const UnwatchableDescriptors &) = delete;

private:
  rlimit Before{};
  std::vector<std::unique_ptr<RawSocket>> Taken;
};

/** Puts a file that cannot be watched in the place of the socket in this
 * process that is connected to @p client. */
inline void makeUnwatchable(const RawSocket &client) {
  const auto wanted = client.address().Port;
  for (int fd = 0; fd < UnwatchableDescriptors::Watchable; ++fd) {
    sockaddr_in peer{};
    socklen_t n = sizeof(peer);
    if (getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &n) == 0 &&
        peer.sin_family == AF_INET && ntohs(peer.sin_port) == wanted) {
      const RawSocket file(open("/dev/null", O_RDONLY));
      dup2(file.number(), fd);
      return;
    }
  }
  FAIL("no socket is connected to the client");
}

} // namespace chivefold

#endif
