#include "chivefold/daemon/settings.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace chivefold;

namespace {

std::vector<const char *> completeFlags() {
  return {"chivefoldd",
          "--caller-listen",
          "127.0.0.1:1",
          "--peer-listen",
          "127.0.0.1:2",
          "--admin-listen",
          "127.0.0.1:3",
          "--backend-server",
          "127.0.0.1:4",
          "--data-centre",
          "ain-sebaa",
          "--region",
          "west",
          "--service",
          "client-desk",
          "--service-version",
          "v1",
          "--log-url",
          "http://127.0.0.1:5"};
}

ParsedSettings parse(const std::vector<const char *> &argv) {
  return parseSettings(static_cast<int>(argv.size()), argv.data());
}

} // namespace

// Guards against starting the daemon with an invalid or missing setting.
TEST_CASE("a bad setting gives one line and exit code 2", "[settings]") {
  auto argv = completeFlags();
  argv[2] = "localhost:1";
  const auto parsed = parse(argv);
  CHECK_FALSE(parsed.Value.has_value());
  CHECK(parsed.ExitCode == 2);
  CHECK(parsed.Output.find("expected IP:PORT") != std::string::npos);
  CHECK(std::count(parsed.Output.begin(), parsed.Output.end(), '\n') == 1);

  argv = completeFlags();
  argv.resize(argv.size() - 2);
  CHECK(parse(argv).ExitCode == 2);
}

// Guards against settings that ignore their environment variable.
TEST_CASE("every setting has an environment variable", "[settings]") {
  setenv("CHIVEFOLD_SEEDS", "127.0.0.1:7,127.0.0.1:8", 1);
  setenv("CHIVEFOLD_DRAIN_MS", "1234", 1);
  const auto parsed = parse(completeFlags());
  unsetenv("CHIVEFOLD_SEEDS");
  unsetenv("CHIVEFOLD_DRAIN_MS");
  REQUIRE(parsed.Value.has_value());
  CHECK(parsed.Value->Seeds.size() == 2);
  CHECK(parsed.Value->DrainMs == 1234);
  CHECK(toString(parsed.Value->CallerListen) == "127.0.0.1:1");
}
