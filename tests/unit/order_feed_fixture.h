/**
 * @file
 * Order feeds of several hosts, each with an in-memory store.
 */
#ifndef CHIVEFOLD_TESTS_ORDER_FEED_FIXTURE_H
#define CHIVEFOLD_TESTS_ORDER_FEED_FIXTURE_H

#include "chivefold/sidecar/order_feed.h"

#include "record_codec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

namespace chivefold {

/** In-memory store with the operator's stream. */
class FakeStore : public KeyedStore {
public:
  explicit FakeStore(Reactor &reactor) : Loop(reactor) {}

  /** Appends an operator's record and completes waiting reads. */
  void write(const std::string &key, std::optional<std::string> value) {
    Records.push_back({key, std::move(value), Records.size()});
    completeReads();
  }

  /** Comes back from a copy with the first @p count records. Waiting reads end
   * without an answer. */
  void restore(std::size_t count) {
    Records.resize(count);
    ++Era;
    Lost = true;
    completeReads();
    Lost = false;
  }

  void list(KeyedStream /*stream*/, const std::string &afterKey,
            TimePoint /*deadline*/, ReadDone done) override {
    ++Lists;
    if (Down) {
      return fail(done, ErrorCode::LogUnavailable);
    }
    Loop.schedule(Loop.now(), [this, afterKey, done] {
      std::map<std::string, KeyedRecord> newest;
      for (const auto &it : Records) {
        newest[it.Key] = it;
      }
      KeyedBatch batch;
      for (auto it = newest.upper_bound(afterKey); it != newest.end(); ++it) {
        batch.HasMore = batch.Records.size() == PageSize;
        if (batch.HasMore) {
          break;
        }
        if (it->second.Value) {
          batch.Records.push_back(it->second);
        }
      }
      batch.End = Records.size();
      batch.Era = Era;
      const bool hasMore = batch.HasMore;
      done(std::move(batch));
      if (hasMore && AfterPage) {
        AfterPage();
      }
    });
  }

  void read(KeyedStream /*stream*/, std::uint64_t from, TimePoint waitUntil,
            TimePoint /*deadline*/, ReadDone done) override {
    ++Reads;
    UnneededReads += IsUnneeded && IsUnneeded() ? 1 : 0;
    if (Down || from > Records.size()) {
      return fail(done,
                  Down ? ErrorCode::LogUnavailable : ErrorCode::LogTrimmed);
    }
    const auto ended = std::make_shared<bool>(false);
    const auto end = [this, from, done, ended] {
      if (*ended) {
        return;
      }
      *ended = true;
      if (Lost || from > Records.size()) {
        return fail(done, ErrorCode::ConnectionFailed);
      }
      KeyedBatch batch;
      batch.End = Records.size();
      batch.Era = Era;
      batch.Records.assign(Records.begin() + static_cast<std::ptrdiff_t>(from),
                           Records.end());
      done(std::move(batch));
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

  void appendAll(KeyedStream /*stream*/,
                 const std::vector<KeyedRecord> & /*records*/,
                 TimePoint /*deadline*/, AppendDone /*done*/) override {}

  bool Down = false;
  std::size_t Reads = 0;
  std::size_t Lists = 0;
  /** Maximum number of records in a page of a listing. */
  std::size_t PageSize = 500;
  /** Called after a page that has a next one. */
  std::function<void()> AfterPage;
  /** Whether a read at this moment is one that the host should leave to others,
   * and how many of those there were. */
  std::function<bool()> IsUnneeded;
  std::size_t UnneededReads = 0;

private:
  void fail(const ReadDone &done, ErrorCode code) {
    Loop.schedule(Loop.now(), [done, code] {
      done(Reason{code, "no answer"});
    });
  }

  void completeReads() {
    const auto waiting = std::move(Waiting);
    Waiting.clear();
    for (const auto &it : waiting) {
      it();
    }
  }

  Reactor &Loop;
  std::uint64_t Era = 1;
  /** Waiting reads get no answer. */
  bool Lost = false;
  std::vector<KeyedRecord> Records;
  std::vector<std::function<void()>> Waiting;
};

const platform::OperatorRecords OrderCodec;

inline std::string configuration(int version) {
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
    Store.IsUnneeded = [this] {
      return !Readers->includesSelf() && !Feed->mayBeStale();
    };
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
  OperatorState State{OrderCodec};
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
      Loop.schedule(Loop.now() + std::chrono::milliseconds(2), check);
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

} // namespace chivefold

#endif
