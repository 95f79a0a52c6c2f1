/**
 * @file
 * A RolloutService that controls a rollout of service "s" from v1 to v2, with
 * an in-memory store and a host of each version.
 */
#ifndef CHIVEFOLD_TESTS_ROLLOUT_FIXTURE_H
#define CHIVEFOLD_TESTS_ROLLOUT_FIXTURE_H

#include "backend_fixture.h"
#include "chivefold/daemon/wire_convert.h"
#include "chivefold/sidecar/rollout_service.h"

#include <catch2/catch.hpp>

namespace chivefold {

/** In-memory streams of progress and of statuses for the operator. */
class RolloutStore : public KeyedStore {
public:
  explicit RolloutStore(Reactor &reactor) : Loop(reactor) {}

  void list(KeyedStream stream, const std::string & /*afterKey*/,
            TimePoint /*deadline*/, ReadDone done) override {
    ++Lists;
    Loop.schedule(Loop.now(), [this, stream, done] {
      KeyedBatch batch;
      std::map<std::string, KeyedRecord> newest;
      for (const auto &it : Streams[stream]) {
        newest[it.Key] = it;
      }
      for (const auto &it : newest) {
        batch.Records.push_back(it.second);
      }
      batch.End = Streams[stream].size();
      batch.Era = Era;
      done(std::move(batch));
    });
  }

  void read(KeyedStream /*stream*/, std::uint64_t /*from*/,
            TimePoint /*waitUntil*/, TimePoint /*deadline*/,
            ReadDone /*done*/) override {}

  void append(KeyedStream stream, const std::string &key,
              std::string_view value, std::optional<std::uint64_t> at,
              TimePoint deadline, AppendDone done) override {
    auto &records = Streams[stream];
    const std::string text(value);
    if (at && *at != records.size()) {
      ++Conflicts;
      return answer({AppendOutcome::Conflict,
                     records.size(),
                     Era,
                     {ErrorCode::LogUnavailable, "other end"}},
                    done);
    }
    records.push_back({key, text, records.size(), Era});
    const AppendResult written{
        AppendOutcome::Written, records.size() - 1, Era, {}};
    if (!Hold || !Hold(stream, text)) {
      return answer(written, done);
    }
    // The answer comes as late as it may.
    Loop.schedule(deadline - std::chrono::milliseconds(50),
                  [done, written] { done(written); });
  }

  void appendAll(KeyedStream stream, const std::vector<KeyedRecord> &records,
                 TimePoint /*deadline*/, AppendDone done) override {
    auto &stored = Streams[stream];
    const auto first = stored.size();
    for (const auto &it : records) {
      stored.push_back({it.Key, it.Value, stored.size(), Era});
    }
    answer({AppendOutcome::Written, first, Era, {}}, done);
  }

  /** Comes back from a copy that has @p count records of each stream. */
  void restore(std::size_t count) {
    for (auto &it : Streams) {
      it.second.resize(std::min(count, it.second.size()));
    }
    ++Era;
  }

  /** @return the states that the operator was told, without repetitions. */
  std::vector<std::string> told() const { return Told; }

  std::map<KeyedStream, std::vector<KeyedRecord>> Streams;
  std::uint64_t Era = 1;
  std::size_t Conflicts = 0;
  std::size_t Lists = 0;
  /** Which appends are answered late. */
  std::function<bool(KeyedStream, const std::string &)> Hold;
  /** Values of the status stream that differ from the one before. */
  std::vector<std::string> Told;

private:
  void answer(const AppendResult &result, const AppendDone &done) {
    Loop.schedule(Loop.now(), [this, result, done] {
      note();
      done(result);
    });
  }

  void note() {
    const auto &statuses = Streams[KeyedStream::RolloutStatus];
    if (!statuses.empty() &&
        (Told.empty() || Told.back() != *statuses.back().Value)) {
      Told.push_back(*statuses.back().Value);
    }
  }

  Reactor &Loop;
};

/** @return the phase that an encoded record of progress states. */
inline RolloutPhase phaseOf(const std::string &record) {
  const std::vector<std::uint8_t> bytes(record.begin(), record.end());
  wire::RolloutProgressT content;
  flatbuffers::GetRoot<wire::RolloutProgress>(bytes.data())->UnPackTo(&content);
  return static_cast<RolloutPhase>(content.phase);
}

struct RolloutFixture : BackendFixture {
  /** A host with a server of one version, which answers requests for counts. */
  struct Peer {
    Peer(RolloutFixture &fixture, std::string version)
        : Version(std::move(version)),
          Network(fixture.Loop, {"127.0.0.1", 0},
                  [this](const Address &, wire::FrameBodyUnion &body,
                         const PeerResponder &respond) {
                    if (body.AsStatsRequest() != nullptr && respond) {
                      answer(respond);
                    }
                  }) {
      REQUIRE(Network.start());
    }

    void answer(const PeerResponder &respond) {
      Counts.Calls += 3;
      Counts.Errors += Failing ? 3 : 0;
      Counts.LatencySumUs += 30'000;
      Counts.LatencySquareSumMs2 += 3 * 110;
      wire::StatsAnswerT out;
      out.stats = statsToWire({Counts}, Version);
      respond(frameBody(std::move(out)));
    }

    std::string Version;
    KindCounts Counts;
    bool Failing = false;
    PeerNetwork Network;
  };

  explicit RolloutFixture(std::uint64_t orderOffset = 1) {
    REQUIRE(Network.start());
    configure();
    for (const auto *it : {&Old, &New}) {
      HostState host;
      host.Peer = it->Network.bound();
      host.DataCentre = "z";
      host.BootId = 1;
      host.Server = {"i-" + it->Version, "s", it->Version, 4,
                     ServerPhase::Ready};
      Fleet.update(host, Loop.now());
    }
    Versions.addReadyVersion("s", "v1");
    Servers.refresh();
    order(orderOffset);
  }

  /** The lowest rank makes this host the driver. */
  Address driverAddress() const {
    const auto rank = [](const Address &it) {
      return hash64(toString(it) + "/s");
    };
    Address out{"10.9.9.9", 1};
    while (rank(out) > rank(Old.Network.bound()) ||
           rank(out) > rank(New.Network.bound())) {
      ++out.Port;
    }
    return out;
  }

  void order(std::uint64_t offset) {
    Orders.apply({"rollout/s", R"({"targetVersion":"v2","durationS":3})",
                  offset, Store.Era});
    Service.ordersChanged();
  }

  void startService() { Service.start(); }

  /** An answer of the store has told this host of its era. */
  void noticeEra() { Era.observe(Store.Era); }

  bool reached(const std::function<bool()> &done,
               Duration limit = std::chrono::seconds(8)) {
    const auto end = Loop.now() + limit;
    runUntil(Loop, [&] { return done() || Loop.now() >= end; });
    return done();
  }

  RolloutPhase agreedPhase() const {
    const auto *known = Versions.progress("s");
    return known == nullptr ? RolloutPhase::Running : known->Phase;
  }

  bool hasTold(const std::string &state) const {
    const auto &told = Store.Told;
    return std::any_of(told.begin(), told.end(), [&](const auto &it) {
      return it.find("\"" + state + "\"") != std::string::npos;
    });
  }

  RolloutStore Store{Loop};
  StoreEra Era;
  StoreAccess Access{Store, Era};
  Peer Old{*this, "v1"};
  Peer New{*this, "v2"};
  FleetTable Fleet{1};
  Address Self = driverAddress();
  Placement Servers{Fleet, Orders, Versions, Self, "z", 1};
  RolloutService Service{
      Loop,
      Network,
      {Access, Ports, Orders, Fleet, Servers, Backend, Versions},
      shortRolloutSettings(),
      Self,
      [] {}};
};

} // namespace chivefold

#endif
