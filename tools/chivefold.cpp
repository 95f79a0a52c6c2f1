/**
 * @file
 * The command `chivefold`, which operators use to check and apply
 * configurations and to inspect daemons.
 */
#include "chivefold/daemon/operator_commands.h"

#include <iostream>
#include <random>
#include <thread>
#include <unistd.h>

using namespace chivefold;

namespace {

/** Timeout of one HTTP request. Retries are limited in number, so a command
 * does not hang on an unresponsive server. */
constexpr std::chrono::milliseconds RequestTimeout{5000};

RecordId randomId() {
  std::random_device device;
  RecordId id;
  for (auto &it : id.Bytes) {
    it = static_cast<std::uint8_t>(device());
  }
  return id;
}

/** @return "user@host", the writer name in this operator's records. */
std::string writerName() {
  char host[64] = {};
  gethostname(host, sizeof host - 1);
  const char *user = getenv("USER");
  return std::string(user == nullptr ? "operator" : user) + "@" + host;
}

UtcTime utcNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

} // namespace

int main(int argc, char **argv) {
  const auto http = makeBlockingHttpClient(RequestTimeout);
  OperatorContext context{
      *http, randomId, utcNow,
      [](std::chrono::milliseconds t) { std::this_thread::sleep_for(t); },
      writerName()};
  const auto result = runOperator(argc, argv, context);
  std::cout << result.Output;
  if (!result.Error.empty()) {
    std::cerr << "chivefold: " << result.Error << "\n";
  }
  return static_cast<int>(result.Exit);
}
