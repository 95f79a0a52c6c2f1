#include "chivefold/io/reactor.h"

#include <ace/Reactor.h>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <string>
#include <thread>
#include <unistd.h>

using namespace chivefold;

// Guards against timers that run out of order, run after they were cancelled,
// or starve the loop when a task schedules another that is already due.
TEST_CASE("timers run in the order of their deadlines", "[reactor]") {
  Reactor reactor;
  std::string order;
  const auto now = reactor.now();
  reactor.schedule(now + std::chrono::milliseconds(20), [&] { order += 'c'; });
  reactor.schedule(now + std::chrono::milliseconds(10), [&] { order += 'b'; });
  reactor.schedule(now, [&] { order += 'a'; });
  const auto id = reactor.schedule(now, [&] { order += 'x'; });
  reactor.cancel(id);
  reactor.cancel(id);
  reactor.schedule(now + std::chrono::milliseconds(30),
                   [&] { reactor.stop(); });
  reactor.run();
  CHECK(order == "abc");
  CHECK(reactor.now() >= now + std::chrono::milliseconds(30));
}

// Guards against a signal that is lost or whose task runs inside the signal
// handler, and against stop() from another thread that does not wake the loop.
TEST_CASE("signals and stop() wake the loop", "[reactor]") {
  Reactor reactor;
  int seen = 0;
  reactor.onSignal(SIGUSR1, [&] { ++seen; });
  reactor.schedule(reactor.now(), [&] {
    std::raise(SIGUSR1);
    CHECK(seen == 0);
    reactor.schedule(reactor.now() + std::chrono::milliseconds(20),
                     [&] { reactor.stop(); });
  });
  reactor.run();
  CHECK(seen == 1);
  bool late = false;
  reactor.schedule(reactor.now() + std::chrono::seconds(20), [&] {
    late = true;
    reactor.stop();
  });
  std::thread other([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    reactor.stop();
  });
  reactor.run();
  other.join();
  CHECK_FALSE(late);
}

// Guards against work that is started for a caller that left while this process
// was paused: the task that was due ran before what had arrived was read.
TEST_CASE("after a pause what arrived comes before what is due", "[reactor]") {
  Reactor reactor;
  std::string order;
  struct Handler : ACE_Event_Handler {
    int handle_input(ACE_HANDLE fd) override {
      char byte = 0;
      CHECK(read(fd, &byte, 1) == 1);
      *Order += byte;
      return 0;
    }
    std::string *Order = nullptr;
  };
  constexpr std::size_t n = 3;
  std::array<std::array<int, 2>, n> pipes{};
  std::array<Handler, n> handlers;
  for (std::size_t i = 0; i < n; ++i) {
    REQUIRE(pipe(pipes[i].data()) == 0);
    handlers[i].Order = &order;
    REQUIRE(reactor.ace().register_handler(pipes[i][0], &handlers[i],
                                           ACE_Event_Handler::READ_MASK) == 0);
  }
  const auto start = reactor.now();
  reactor.schedule(start, [&] {
    for (const auto &it : pipes) {
      CHECK(write(it[1], "r", 1) == 1);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(120));
  });
  reactor.schedule(start + std::chrono::milliseconds(1), [&] {
    order += 't';
    reactor.stop();
  });
  reactor.run();
  CHECK(order == "rrrt");
  for (std::size_t i = 0; i < n; ++i) {
    reactor.ace().remove_handler(pipes[i][0], ACE_Event_Handler::READ_MASK |
                                                  ACE_Event_Handler::DONT_CALL);
    close(pipes[i][0]);
    close(pipes[i][1]);
  }
}

// Guards against a handle table or a process limit that is too small for the
// callers, links and calls of a daemon.
TEST_CASE("the loop holds 2,048 descriptors", "[reactor]") {
  Reactor reactor;
  int fds[2] = {}; // NOLINT: type required by pipe()
  REQUIRE(pipe(fds) == 0);
  const int last = fcntl(fds[0], F_DUPFD, 2047);
  REQUIRE(last >= 2047);
  struct Handler : ACE_Event_Handler {};
  Handler handler;
  CHECK(reactor.ace().register_handler(last, &handler,
                                       ACE_Event_Handler::READ_MASK) == 0);
  reactor.ace().remove_handler(last, ACE_Event_Handler::READ_MASK |
                                         ACE_Event_Handler::DONT_CALL);
  for (const int fd : {fds[0], fds[1], last}) {
    close(fd);
  }
}
