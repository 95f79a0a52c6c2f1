#include "chivefold/core/error.h"
#include "chivefold/core/types.h"

#include <catch2/catch.hpp>

using namespace chivefold;

// Guards against accepting an address that is not a numeric IP address and a
// port, since daemons never resolve host names.
TEST_CASE("addresses are IP numbers with a port", "[types]") {
  const auto v4 = parseAddress("127.0.0.1:80");
  REQUIRE(v4.has_value());
  CHECK(toString(*v4) == "127.0.0.1:80");
  const auto v6 = parseAddress("[::1]:8080");
  REQUIRE(v6.has_value());
  CHECK(toString(*v6) == "[::1]:8080");
  for (const auto *text : {"", "127.0.0.1", "localhost:80",
                           "1.2.3.4:", "1.2.3.4:70000", "1.2.3.4:8x"}) {
    CHECK_FALSE(parseAddress(text).has_value());
  }
}

// Guards against error codes whose printed name cannot be parsed back.
TEST_CASE("error names parse back to their codes", "[types]") {
  for (int n = 0; n <= static_cast<int>(ErrorCode::Conflict); ++n) {
    const auto ec = static_cast<ErrorCode>(n);
    CHECK(errorFromName(errorName(ec)) == ec);
  }
}
