#include "order_feed_fixture.h"

using namespace chivefold;

namespace {

void restore(Feeds &feeds, std::size_t count) {
  for (const auto &it : feeds.Stores) {
    it->restore(count);
  }
}

bool allKnow(Feeds &feeds, std::uint64_t version) {
  return feeds.runUntil(
      [&] { return feeds.knowing(version) == feeds.All.size(); });
}

std::size_t lists(const Feeds &feeds) {
  std::size_t sum = 0;
  for (const auto &it : feeds.Stores) {
    sum += it->Lists;
  }
  return sum;
}

} // namespace

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
    REQUIRE(allKnow(feeds, 4));
    restore(feeds, 2);
    for (int n = 0; n < rewritten; ++n) {
      feeds.write(4 + n);
    }
    feeds.write(20);
    CHECK(allKnow(feeds, 20));
  }
}

// Guards against an order that is written again at a known offset and missed
// when later records end the new history behind the old one.
TEST_CASE("an order below the known end is not missed", "[store_restored]") {
  Feeds feeds;
  feeds.write(2);
  feeds.write(3);
  REQUIRE(allKnow(feeds, 3));
  restore(feeds, 1);
  for (const auto &it : feeds.Stores) {
    it->write("evacuate/z", "{}");
  }
  feeds.write(3);
  feeds.write(5);
  CHECK(allKnow(feeds, 5));
  CHECK(feeds.runUntil([&] {
    return std::all_of(feeds.All.begin(), feeds.All.end(), [](const auto &it) {
      return it->State.isEvacuated("z");
    });
  }));
}

// Guards against listings by all hosts at once when the store comes back.
TEST_CASE("only readers list the store again", "[store_restored]") {
  Feeds feeds;
  feeds.write(2);
  REQUIRE(allKnow(feeds, 2));
  feeds.run(OrderFeed::ReaderCheckInterval * 2);
  const auto before = lists(feeds);
  restore(feeds, 1);
  feeds.write(2);
  feeds.write(7);
  CHECK(allKnow(feeds, 7));
  // A read that was cut off is repeated once before it meets the new history.
  CHECK(lists(feeds) - before <=
        2 * DataCentres * OrderReaders::ReadersPerDataCentre);
}

// Guards against hosts that have not noticed one return when the next one
// comes.
TEST_CASE("two returns follow each other", "[store_restored]") {
  Feeds feeds;
  feeds.write(2);
  feeds.write(3);
  feeds.write(4);
  REQUIRE(allKnow(feeds, 4));
  restore(feeds, 2);
  feeds.write(4);
  restore(feeds, 1);
  feeds.write(4);
  feeds.write(6);
  CHECK(allKnow(feeds, 6));
  for (const auto &it : feeds.All) {
    CHECK(it->State.end().Era == 3);
  }
}

// Guards against a data centre whose readers cannot reach the store and that
// keeps to the lost history.
TEST_CASE("a data centre that is turned away learns the new history",
          "[store_restored]") {
  Feeds feeds;
  feeds.write(2);
  feeds.write(3);
  REQUIRE(allKnow(feeds, 3));
  for (std::size_t i = 0; i < feeds.All.size(); ++i) {
    feeds.Stores[i]->Down = feeds.All[i]->DataCentre == "dc1";
  }
  restore(feeds, 1);
  feeds.write(3);
  feeds.write(8);
  CHECK(allKnow(feeds, 8));
}

// Guards against a listing whose pages are of two histories.
TEST_CASE("a listing across a return starts again", "[store_restored]") {
  Feeds feeds;
  for (const auto &it : feeds.Stores) {
    it->write("evacuate/a", "{}");
    it->write("evacuate/b", "{}");
    it->PageSize = 1;
  }
  feeds.write(2);
  REQUIRE(allKnow(feeds, 2));
  std::vector<bool> returned(feeds.Stores.size(), false);
  for (std::size_t i = 0; i < feeds.Stores.size(); ++i) {
    auto &store = *feeds.Stores[i];
    store.AfterPage = [&store, &returned, i] {
      if (!returned[i]) {
        returned[i] = true;
        store.restore(2);
        store.write("evacuate/b", "{}");
        store.write("evacuate/a", std::nullopt);
        store.write("config", configuration(9));
      }
    };
    store.restore(3);
    store.write("config", configuration(3));
  }
  CHECK(allKnow(feeds, 9));
  CHECK(feeds.runUntil([&] {
    return std::all_of(feeds.All.begin(), feeds.All.end(), [](const auto &it) {
      return it->State.isEvacuated("b") && !it->State.isEvacuated("a");
    });
  }));
}
