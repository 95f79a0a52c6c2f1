#include "order_feed_fixture.h"

using namespace chivefold;

// Guards against store load that grows with the fleet. This happened when every
// daemon held a long poll, and each new configuration completed all of them.
TEST_CASE("a few hosts read the orders for all", "[orders]") {
  Feeds feeds;
  feeds.run(OrderFeed::ReaderCheckInterval * 2);
  CHECK(feeds.readers() == DataCentres * OrderReaders::ReadersPerDataCentre);
  feeds.write(2);
  CHECK(feeds.runUntil([&] { return feeds.knowing(2) == feeds.All.size(); }));
  for (std::size_t i = 0; i < feeds.All.size(); ++i) {
    // On a slow machine a host may miss its confirmations and read by itself.
    const bool reads = feeds.All[i]->Readers->includesSelf();
    CHECK((!reads || feeds.Stores[i]->Reads > 0));
    CHECK(feeds.Stores[i]->UnneededReads == 0);
  }
}

// Guards against sending a configuration between data centres once per host
// instead of once per data centre.
TEST_CASE("hosts fetch orders within their data centre", "[orders]") {
  Feeds feeds;
  feeds.run(OrderFeed::ReaderCheckInterval * 2);
  const auto writtenAt = feeds.Loop.now();
  feeds.write(2);
  CHECK(feeds.runUntil([&] { return feeds.knowing(2) == feeds.All.size(); }));
  // If the machine is too slow, hosts may fetch from other data centres.
  const bool inTime =
      feeds.Loop.now() < writtenAt + OrderFeed::RemoteFetchDelay;
  // Each host except the readers is served once, by a host of its data centre.
  std::map<std::string, std::size_t> served;
  for (const auto &it : feeds.All) {
    served[it->DataCentre] += it->Fetches;
  }
  for (const auto &it : served) {
    CHECK((!inTime ||
           it.second == HostsEach - OrderReaders::ReadersPerDataCentre));
  }
}

// Guards against a data centre that misses a configuration because the store is
// unavailable to its readers, and against a daemon that answers requests by a
// replaced configuration.
TEST_CASE("hosts whose readers are turned away learn from others", "[orders]") {
  Feeds feeds;
  feeds.run(OrderFeed::ReaderCheckInterval * 2);
  for (std::size_t i = 0; i < feeds.All.size(); ++i) {
    feeds.Stores[i]->Down = feeds.All[i]->DataCentre == "dc0";
  }
  feeds.run(OrderFeed::LongPollTime);
  feeds.write(3);
  CHECK(feeds.runUntil([&] { return feeds.knowing(3) == feeds.All.size(); }));
}

// Guards against a fleet that misses changes because all readers have lost the
// store, although it is available to the other hosts.
TEST_CASE("others read if no reader can", "[orders]") {
  Feeds feeds;
  feeds.run(OrderFeed::ReaderCheckInterval * 2);
  for (std::size_t i = 0; i < feeds.All.size(); ++i) {
    feeds.Stores[i]->Down = feeds.All[i]->Readers->includesSelf();
  }
  feeds.run(OrderFeed::LongPollTime);
  feeds.write(4);
  CHECK(feeds.runUntil([&] { return feeds.knowing(4) == feeds.All.size(); }));
}

// Guards against treating an old confirmation as a new one, or accepting a
// confirmation of an earlier end offset.
TEST_CASE("a confirmation counts from when the store gave it", "[orders]") {
  Feeds feeds;
  auto &host = *feeds.All[0];
  const auto before = host.Feed->unconfirmedFor();
  PiggybackedState piggybacked;
  piggybacked.OperatorEnd = host.State.end();
  piggybacked.Unconfirmed = before + std::chrono::hours(1);
  host.Feed->onPeer(feeds.All[1]->Network.bound(), piggybacked);
  CHECK(host.Feed->unconfirmedFor() >= before);
  CHECK(host.Feed->unconfirmedFor() < std::chrono::hours(1));
}
