#include "chivefold/sidecar/packed_text.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace chivefold;

// Guards against a configuration that compression changes in transit.
TEST_CASE("packed text comes back whole", "[packed]") {
  CHECK(rc::check("any text", [](const std::string &text) {
    const auto back = decompressText(compressText(text), text.size());
    RC_ASSERT(back.hasValue());
    RC_ASSERT(*back == text);
  }));
}

// Guards against a damaged or malicious record that crashes the process, is
// accepted in part, or allocates more memory than a record may have.
TEST_CASE("damaged packed text is refused", "[packed]") {
  const std::string text(5000, 'x');
  auto packed = compressText(text);
  CHECK_FALSE(decompressText(packed, text.size() - 1));
  CHECK_FALSE(decompressText(packed, text.size() + 1));
  CHECK_FALSE(decompressText(packed, MaxDecompressedBytes + 1));
  CHECK_FALSE(decompressText({}, text.size()));
  packed.pop_back();
  CHECK_FALSE(decompressText(packed, text.size()));
  CHECK(rc::check("any bytes", [](const std::vector<std::uint8_t> &bytes) {
    const auto out = decompressText(bytes, 64);
    RC_ASSERT(!out || out->size() == 64U);
  }));
}
