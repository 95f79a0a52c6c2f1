#include "chivefold/io/logging.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <functional>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

using namespace chivefold;

// Guards against a log flooded by one repeated message, a value that forges a
// line, and a level that cannot be changed at runtime.
TEST_CASE("log lines are bounded, escaped and filtered", "[logging]") {
  initLogging(LogLevel::Info);
  std::FILE *captured = std::tmpfile();
  REQUIRE(captured != nullptr);
  const int saved = dup(STDERR_FILENO);
  dup2(fileno(captured), STDERR_FILENO);

  std::uint64_t now = 1;
  Logger logger("gate", [&now] { return now; });
  logger.debug("hidden");
  const bool known = setLogLevel("debug").hasValue();
  const bool unknown = setLogLevel("loud").hasValue();
  logger.debug("shown", {{"port", 80}, {"why", "a\n\"b\""}});
  for (std::uint64_t i = 0; i < 25; ++i) {
    logger.warn("repeated", {{"n", i}});
  }
  now = 2;
  logger.warn("repeated");
  dup2(saved, STDERR_FILENO);
  close(saved);

  std::string text(4096, ' ');
  std::rewind(captured);
  text.resize(std::fread(text.data(), 1, text.size(), captured));
  std::fclose(captured);
  CHECK(known);
  CHECK_FALSE(unknown);
  CHECK(std::count(text.begin(), text.end(), '\n') == 12);
  CHECK(text.find("DEBUG gate: shown port=80 why=\"a\\x0a\\\"b\\\"\"\n") !=
        std::string::npos);
  CHECK(text.find(" WARN gate: repeated n=9\n") != std::string::npos);
  CHECK(text.find("WARN gate: repeated suppressed=15\n") != std::string::npos);
}

// Guards against a process whose log does not say why it ended.
TEST_CASE("an uncaught exception is logged before the process ends",
          "[logging]") {
  std::array<int, 2> output{};
  REQUIRE(pipe(output.data()) == 0);
  const auto child = fork();
  if (child == 0) {
    dup2(output[1], STDERR_FILENO);
    // Catch2 handles SIGABRT to report the test case.
    std::signal(SIGABRT, SIG_DFL);
    initLogging(LogLevel::Info);
    logUncaughtExceptions();
    const std::function<void()> fail = [] {
      throw std::out_of_range("no such call");
    };
    [&fail]() noexcept { fail(); }();
  }
  close(output[1]);
  std::string text(4096, ' ');
  std::size_t n = 0;
  for (ssize_t got = 0;
       (got = read(output[0], text.data() + n, text.size() - n)) > 0;) {
    n += static_cast<std::size_t>(got);
  }
  text.resize(n);
  close(output[0]);
  int status = 0;
  REQUIRE(waitpid(child, &status, 0) == child);
  CHECK(WIFSIGNALED(status));
  CHECK(WTERMSIG(status) == SIGABRT);
  CHECK(text.find("ERROR process: an invariant is broken; the process ends "
                  "exception=\"no such call\"\n") != std::string::npos);
}
