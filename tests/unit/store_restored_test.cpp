#include "order_feed_fixture.h"

using namespace chivefold;

// Guards against hosts that miss changes for good, because they compare offsets
// of the lost history with those of the new one.
TEST_CASE("a change after the store's return reaches all hosts",
          "[store_restored]") {
  // End of the new history when the hosts ask next: below the old end, at it,
  // and behind it.
  for (const int rewritten : {1, 2, 4}) {
    INFO("records written again: " << rewritten);
    Feeds feeds;
    feeds.write(2);
    feeds.write(3);
    feeds.write(4);
    REQUIRE(
        feeds.runUntil([&] { return feeds.knowing(4) == feeds.All.size(); }));
    for (const auto &it : feeds.Stores) {
      it->restore(2);
    }
    for (int n = 0; n < rewritten; ++n) {
      feeds.write(4 + n);
    }
    feeds.write(20);
    CHECK(
        feeds.runUntil([&] { return feeds.knowing(20) == feeds.All.size(); }));
  }
}
