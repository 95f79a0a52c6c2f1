#include "chivefold/sidecar/order_feed.h"

#include "record_codec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;

/** In-memory store with the operator's stream. */
class FakeStore : public KeyedStore {
public:
  explicit FakeStore(Reactor &reactor) : Loop(reactor) {}

  /** Appends an operator's record and completes waiting reads. */
  void write(const std::string &key, const std::string &value) {
    Records.push_back({key, value, Records.size()});
    const auto waiting = std::move(Waiting);
    Waiting.clear();
    for (const auto &it : waiting) {
      it();
    }
  }

  void list(KeyedStream /*stream*/, const std::string & /*afterKey*/,
            TimePoint /*deadline*/, ReadDone done) override {
    Loop.schedule(Loop.now(), [this, done] {
      KeyedBatch batch;
      batch.Records = Records;
      batch.End = Records.size();
      done(std::move(batch));
    });
  }

  void read(KeyedStream /*stream*/, std::uint64_t from, TimePoint waitUntil,
            TimePoint /*deadline*/, ReadDone done) override {
    ++Reads;
    if (Down) {
      Loop.schedule(Loop.now(), [done] {
        done(Reason{ErrorCode::LogUnavailable, "turned away"});
      });
      return;
    }
    const auto ended = std::make_shared<bool>(false);
    const auto end = [this, from, done, ended] {
      if (!*ended) {
        *ended = true;
        KeyedBatch batch;
        batch.End = Records.size();
        for (auto n = from; n < Records.size(); ++n) {
          batch.Records.push_back(Records[n]);
        }
        done(std::move(batch));
      }
    };
    if (from < Records.size()) {
      Loop.schedule(Loop.now(), end);
      return;
    }
    Waiting.push_back(end);
    Loop.schedule(waitUntil, end);
  }

  void append(KeyedStream /*stream*/, const std::string & /*key*/,
              std::string_view /*value*/, std::optional<std::uint64_t> /*at*/,
              TimePoint /*deadline*/, AppendDone /*done*/) override {}

  bool Down = false;
  std::size_t Reads = 0;

private:
  Reactor &Loop;
  std::vector<KeyedRecord> Records;
  std::vector<std::function<void()>> Waiting;
};

const platform::OperatorRecords Codec;

std::string configuration(int version) {
  return R"({"version":"r)" + std::to_string(version) +
         R"(","routes":[],"services":[],"limits":{}})";
}

/** An OrderFeed with its dependencies, as in one daemon. */
struct Host {
  Host(Reactor &loop, FakeStore &store, std::string dataCentre,
       std::uint64_t seed)
      : Store(store), DataCentre(std::move(dataCentre)),
        Network(loop, {"127.0.0.1", 0},
                [this](const Address & /*from*/, wire::FrameBodyUnion &body,
                       const PeerResponder &respond) {
                  if (const auto *notice = body.AsOrdersNotice()) {
                    ++Notices;
                    Feed->onNotice(*notice);
                  } else if (const auto *fetch = body.AsFetchOrders()) {
                    ++Fetches;
                    Feed->onFetch(*fetch, respond);
                  }
                }),
        Hosts(seed), Seed(seed) {
    REQUIRE(Network.start());
  }

  void start(Reactor &loop) {
    Plan.emplace(Hosts, Network.bound(), DataCentre, Seed);
    Readers.emplace(Hosts, Network.bound(), DataCentre);
    Feed.emplace(
        loop, OrderFeedDependencies{Store, Network, State, *Plan, *Readers},
        Network.bound(), [](const OperatorChange &) {}, Seed);
    Feed->start();
  }

  std::uint64_t version() const {
    return State.routes() ? State.routes()->configuration().Version : 0;
  }

  FakeStore &Store;
  std::string DataCentre;
  PeerNetwork Network;
  FleetTable Hosts;
  std::uint64_t Seed;
  OperatorState State{Codec};
  std::optional<AnnouncePlan> Plan;
  std::optional<OrderReaders> Readers;
  std::optional<OrderFeed> Feed;
  std::size_t Notices = 0;
  std::size_t Fetches = 0;
};

constexpr std::size_t DataCentres = 3;
constexpr std::size_t HostsEach = 8;

/** Hosts that know each other, each with its own store, so that the store can
 * be unavailable to some of them. */
struct Feeds {
  Feeds() {
    for (std::size_t i = 0; i < DataCentres * HostsEach; ++i) {
      Stores.push_back(std::make_unique<FakeStore>(Loop));
      All.push_back(std::make_unique<Host>(
          Loop, *Stores.back(), "dc" + std::to_string(i % DataCentres), i + 1));
    }
    for (const auto &to : All) {
      for (const auto &it : All) {
        HostState state;
        state.Peer = it->Network.bound();
        state.DataCentre = it->DataCentre;
        to->Hosts.update(state, Loop.now());
      }
    }
    write(1);
    for (const auto &it : All) {
      it->start(Loop);
    }
    REQUIRE(runUntil([this] { return knowing(1) == All.size(); }));
  }

  void write(int version) {
    for (const auto &it : Stores) {
      it->write("config", configuration(version));
    }
  }

  std::size_t knowing(std::uint64_t version) const {
    return static_cast<std::size_t>(
        std::count_if(All.begin(), All.end(), [version](const auto &it) {
          return it->version() == version;
        }));
  }

  std::size_t readers() const {
    return static_cast<std::size_t>(
        std::count_if(All.begin(), All.end(), [](const auto &it) {
          return it->Readers->includesSelf();
        }));
  }

  /** Runs the loop until @p done returns true, for at most ten seconds. */
  bool runUntil(const std::function<bool()> &done) {
    const auto end = Loop.now() + std::chrono::seconds(10);
    bool ok = false;
    std::function<void()> check = [&] {
      ok = done();
      if (ok || Loop.now() >= end) {
        return Loop.stop();
      }
      Loop.schedule(Loop.now() + milliseconds(2), check);
    };
    check();
    if (!ok) {
      Loop.run();
    }
    return ok;
  }

  void run(Duration time) {
    const auto end = Loop.now() + time;
    runUntil([&] { return Loop.now() >= end; });
  }

  Reactor Loop;
  std::vector<std::unique_ptr<FakeStore>> Stores;
  std::vector<std::unique_ptr<Host>> All;
};

} // namespace

// Guards against store load that grows with the fleet. This happened when every
// daemon held a long poll, and each new configuration completed all of them.
TEST_CASE("a few hosts read the orders for all", "[orders]") {
  Feeds feeds;
  feeds.run(OrderFeed::ReaderCheckInterval * 2);
  CHECK(feeds.readers() == DataCentres * OrderReaders::ReadersPerDataCentre);
  feeds.write(2);
  CHECK(feeds.runUntil([&] { return feeds.knowing(2) == feeds.All.size(); }));
  for (std::size_t i = 0; i < feeds.All.size(); ++i) {
    const bool reads = feeds.All[i]->Readers->includesSelf();
    CHECK((feeds.Stores[i]->Reads > 0) == reads);
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
