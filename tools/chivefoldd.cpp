/**
 * @file
 * The daemon chivefoldd: parses its settings and runs until SIGTERM or SIGINT.
 */
#include "chivefold/daemon/daemon.h"
#include "chivefold/io/logging.h"

#include <csignal>
#include <cstdio>
#include <random>

using namespace chivefold;

int main(int argc, char **argv) {
  auto parsed = parseSettings(argc, argv);
  if (!parsed.Value) {
    std::fputs(parsed.Output.c_str(), parsed.ExitCode == 0 ? stdout : stderr);
    return parsed.ExitCode;
  }
  initLogging(LogLevel::Info);
  logUncaughtExceptions();
  if (!setLogLevel(parsed.Value->LogLevel)) {
    return 2;
  }
  std::random_device device;
  const auto seed = (std::uint64_t{device()} << 32U) | device();
  Reactor reactor;
  Daemon daemon(reactor, std::move(*parsed.Value), seed);
  const auto started = daemon.start();
  if (!started) {
    std::fprintf(stderr, "chivefoldd: %s\n",
                 toString(started.reason()).c_str());
    return 1;
  }
  reactor.onSignal(SIGTERM, [&daemon] { daemon.stop(); });
  reactor.onSignal(SIGINT, [&daemon] { daemon.stop(); });
  reactor.run();
  return 0;
}
