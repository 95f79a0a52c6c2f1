/**
 * @file
 * Whole sidecars with their backend servers and clients on one event loop, and
 * an in-memory store.
 */
#ifndef CHIVEFOLD_TESTS_SIDECAR_LAB_H
#define CHIVEFOLD_TESTS_SIDECAR_LAB_H

#include "chivefold/io/http_client.h"
#include "chivefold/io/http_server.h"
#include "chivefold/sidecar/sidecar.h"

#include "raw_socket.h"
#include "record_codec.h"
#include "request_headers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace chivefold {

/** In-memory streams; a read waits for records. */
class MemoryStore : public KeyedStore {
public:
  static constexpr std::uint64_t Era = 1;

  explicit MemoryStore(Reactor &reactor) : Loop(reactor) {}

  /** Every call fails. */
  bool IsAway = false;

  /** @return a copy of all records. */
  std::map<KeyedStream, std::vector<KeyedRecord>> copy() const {
    return Streams;
  }
  /** Comes back from an older copy, in a new era. */
  void restore(std::map<KeyedStream, std::vector<KeyedRecord>> copy) {
    Streams = std::move(copy);
    ++CurrentEra;
  }
  std::uint64_t currentEra() const { return CurrentEra; }

  void write(KeyedStream stream, const std::string &key,
             std::optional<std::string> value) {
    auto &records = Streams[stream];
    records.push_back({key, std::move(value), records.size(), CurrentEra});
    const auto waiting = std::exchange(Reads[stream], {});
    for (const auto &it : waiting) {
      Loop.schedule(Loop.now(), it);
    }
  }

  void list(KeyedStream stream, const std::string & /*afterKey*/,
            TimePoint /*deadline*/, ReadDone done) override {
    Loop.schedule(Loop.now(), [this, stream, done] {
      if (IsAway) {
        return done(Away);
      }
      std::map<std::string, KeyedRecord> newest;
      for (const auto &it : Streams[stream]) {
        newest[it.Key] = it;
      }
      KeyedBatch batch;
      for (const auto &it : newest) {
        if (it.second.Value) {
          batch.Records.push_back(it.second);
        }
      }
      batch.End = Streams[stream].size();
      batch.Era = CurrentEra;
      done(std::move(batch));
    });
  }

  void read(KeyedStream stream, std::uint64_t from, TimePoint waitUntil,
            TimePoint /*deadline*/, ReadDone done) override {
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, stream, from, done, answered] {
      if (std::exchange(*answered, true)) {
        return;
      }
      if (IsAway) {
        return done(Away);
      }
      const auto &records = Streams[stream];
      KeyedBatch batch;
      if (from < records.size()) {
        batch.Records.assign(
            records.begin() + static_cast<std::ptrdiff_t>(from), records.end());
      }
      batch.End = records.size();
      batch.Era = CurrentEra;
      done(std::move(batch));
    };
    if (from < Streams[stream].size()) {
      Loop.schedule(Loop.now(), answer);
      return;
    }
    Reads[stream].push_back(answer);
    Loop.schedule(waitUntil, answer);
  }

  void append(KeyedStream stream, const std::string &key,
              std::string_view value, std::optional<std::uint64_t> at,
              TimePoint deadline, AppendDone done) override {
    const auto end = Streams[stream].size();
    if (!IsAway && at && *at != end) {
      Loop.schedule(Loop.now(), [done, end, era = CurrentEra] {
        done({AppendOutcome::Conflict,
              end,
              era,
              {ErrorCode::LogUnavailable, "other end"}});
      });
      return;
    }
    appendAll(stream, {{key, std::string(value)}}, deadline, std::move(done));
  }

  void appendAll(KeyedStream stream, const std::vector<KeyedRecord> &records,
                 TimePoint /*deadline*/, AppendDone done) override {
    if (IsAway) {
      Loop.schedule(Loop.now(), [done, era = CurrentEra] {
        done({AppendOutcome::Refused, std::nullopt, era, Away});
      });
      return;
    }
    const auto first = Streams[stream].size();
    for (const auto &it : records) {
      write(stream, it.Key, it.Value);
    }
    Loop.schedule(Loop.now(), [done, first, era = CurrentEra] {
      done({AppendOutcome::Written, first, era, {}});
    });
  }

private:
  static inline const Reason Away{ErrorCode::LogUnavailable, "away"};

  Reactor &Loop;
  std::uint64_t CurrentEra = Era;
  std::map<KeyedStream, std::vector<KeyedRecord>> Streams;
  std::map<KeyedStream, std::vector<Reactor::Task>> Reads;
};

/** @return a loopback address whose port was free a moment ago. */
inline Address freeAddress() { return RawSocket::listening().address(); }

/** A request that a backend server ran. */
struct ServerRun {
  std::string Id;
  std::string Service;
  std::string Instance;
  std::string Version;
  /** As the server received them. */
  HttpHeaders Headers;
};

/** A host: its sidecar and its backend server, which refuses requests for other
 * instances as the platform's servers do. */
class LabHost {
public:
  LabHost(Reactor &reactor, HttpClient &client, const PlatformPorts &ports,
          const StoreAccess &store, const std::string &service,
          const std::string &dataCentre, std::uint64_t number,
          const UsageSettings &usage, const Address &peer)
      : Instance("i-" + std::to_string(number)), Service(service),
        Loop(reactor), Http(client),
        Server(reactor, {"127.0.0.1", 0},
               [this](const std::shared_ptr<HttpExchange> &exchange) {
                 onRequest(exchange);
               }) {
    REQUIRE(Server.start());
    Settings.CallerListen = freeAddress();
    Settings.ReadinessListen = freeAddress();
    Settings.AdminListen = freeAddress();
    Settings.PeerListen = peer;
    Settings.BackendServer = Server.bound();
    Settings.DataCentre = dataCentre;
    Settings.Service = service;
    Settings.Usage = usage;
    Settings.Usage.Host = "host-" + std::to_string(number);
    Daemon = std::make_unique<Sidecar>(reactor, Settings, ports, store, number);
    REQUIRE(Daemon->start());
  }

  /** Sends a report of the server. */
  void report(const std::string &state = "ready") {
    using Json = nlohmann::json;
    HttpCall call;
    call.Method = "PUT";
    call.Url =
        "http://" + toString(Settings.AdminListen) + "/-/instances/" + Instance;
    call.Body =
        Json{{"address", toString(RawServer.value_or(Server.bound()))},
             {"born", BornMs},
             {"info",
              {{"service", Service},
               {"version", Version},
               {"zone", Settings.DataCentre},
               {"slots", Slots}}},
             {"status",
              {{"state", state}, {"seqNo", ++Sequence}, {"warmupLeftMs", 0}}}}
            .dump();
    call.Deadline = Loop.now() + std::chrono::seconds(5);
    std::optional<int> status;
    Http.start(std::move(call), [&](const HttpOutcome &out) {
      status = out.Response ? out.Response->Status : 0;
    });
    REQUIRE(runUntil(Loop, [&] { return status.has_value(); }));
    CHECK(*status == 200);
  }

  /** Another server takes over the address. */
  void replaceServer(const std::string &instance, const std::string &service,
                     std::int64_t bornMs) {
    Instance = instance;
    Service = service;
    BornMs = bornMs;
    Sequence = 0;
    IsSilent = false;
    Running.clear();
  }

  std::string Instance;
  std::string Service;
  std::string Version = "v1";
  std::int64_t BornMs = 1;
  std::uint64_t Sequence = 0;
  std::uint32_t Slots = 8;
  /** Stands in place of the backend server from its next start on. */
  std::optional<Address> RawServer;
  /** The server runs requests and never answers. */
  bool IsSilent = false;
  std::vector<ServerRun> Runs;
  /** Exchanges of a silent server. */
  std::vector<std::shared_ptr<HttpExchange>> Running;
  SidecarSettings Settings;
  std::unique_ptr<Sidecar> Daemon;

private:
  void onRequest(const std::shared_ptr<HttpExchange> &exchange) {
    const auto &headers = exchange->request().Headers;
    const auto expected = headerValue(headers, "Chivefold-Expected-Instance");
    if (!expected.empty() && expected != Instance) {
      return exchange->respond({421, {}, ""});
    }
    const std::string id(headerValue(headers, "Chivefold-Request-Id"));
    Runs.push_back({id, Service, Instance, Version, headers});
    if (IsSilent) {
      Running.push_back(exchange);
      return;
    }
    exchange->respond({200,
                       {{"Chivefold-Request-Id", id},
                        {"Chivefold-Server-Signature", "s." + id}},
                       Service});
  }

  Reactor &Loop;
  HttpClient &Http;
  HttpServer Server;
};

/** A client's request and its answer. */
struct LabCall {
  std::string Id;
  std::optional<HttpOutcome> Outcome;

  bool done() const { return Outcome.has_value(); }
  /** @return the status of the answer; 0 without one. */
  int status() const {
    return Outcome && Outcome->Response ? Outcome->Response->Status : 0;
  }
  std::string body() const {
    return Outcome && Outcome->Response ? Outcome->Response->Body : "";
  }
};

struct SidecarLab {
  platform::RequestHeaders Requests;
  platform::ServerReports Reports;
  platform::OperatorRecords Records;
  platform::RolloutStatuses Statuses;
  platform::UsageReports Usages;
  const PlatformPorts Ports{Requests, Reports, Records, Statuses, &Usages};
  Reactor Loop;
  MemoryStore Store{Loop};
  StoreEra Era;
  const StoreAccess Access{Store, Era};
  HttpClient Http{Loop, 64};
  /** Of the hosts that are added. */
  UsageSettings Usage;
  std::vector<std::unique_ptr<LabHost>> Hosts;
  std::vector<std::shared_ptr<LabCall>> Calls;

  SidecarLab() { Era.observe(MemoryStore::Era); }

  LabHost &addHost(const std::string &service, const std::string &dataCentre,
                   const Address &peer = freeAddress()) {
    Hosts.push_back(std::make_unique<LabHost>(Loop, Http, Ports, Access,
                                              service, dataCentre,
                                              Hosts.size() + 1, Usage, peer));
    return *Hosts.back();
  }

  /** Customers of the configurations that are written; none if empty. */
  nlohmann::json Customers;
  /** Routes of these configurations that need no key. */
  std::vector<std::string> PublicPaths;

  /** Writes a configuration that routes the path "/x/" to @p service, if it is
   * not empty, and "/t/" to service "t". */
  void configure(std::uint64_t version, const std::string &service,
                 const std::string &kind = "unsafe") {
    using Json = nlohmann::json;
    const auto route = [&](const std::string &prefix, const std::string &to) {
      return Json{{"name", prefix},
                  {"hostname", "shop.example"},
                  {"pathPrefix", prefix},
                  {"routeType", kind},
                  {"service", to},
                  {"timeoutMs", 8000},
                  {"priority", 1},
                  {"maxAttempts", 2},
                  {"public", std::count(PublicPaths.begin(), PublicPaths.end(),
                                        prefix) > 0}};
    };
    Json out{{"version", "r" + std::to_string(version)},
             {"routes", {route("/t/", "t")}},
             {"services",
              {{{"name", "s"}, {"maxConnections", 100}},
               {{"name", "t"}, {"maxConnections", 100}}}}};
    if (!service.empty()) {
      out["routes"].push_back(route("/x/", service));
    }
    if (!Customers.empty()) {
      out["tenants"] = Customers;
    }
    Store.write(KeyedStream::Orders, "config", out.dump());
  }

  /** Sends a request of a client on @p host. */
  std::shared_ptr<LabCall> call(const LabHost &host,
                                const std::string &path = "/x/1",
                                const HttpHeaders &headers = {}) {
    auto out = std::make_shared<LabCall>();
    out->Id = "q-" + std::to_string(Calls.size());
    Calls.push_back(out);
    HttpCall http;
    http.Method = "POST";
    http.Url = "http://" + toString(host.Settings.CallerListen) + path;
    http.Headers = {{"Host", "shop.example"},
                    {"Chivefold-Request-Id", out->Id},
                    {"Chivefold-Deadline-Ms", "6000"}};
    http.Headers.insert(http.Headers.end(), headers.begin(), headers.end());
    http.Body = "work";
    http.Deadline = Loop.now() + std::chrono::seconds(10);
    http.FreshConnection = true;
    Http.start(std::move(http),
               [out](HttpOutcome result) { out->Outcome = std::move(result); });
    return out;
  }

  bool reached(const std::function<bool()> &done,
               Duration limit = std::chrono::seconds(8)) {
    const auto end = Loop.now() + limit;
    runUntil(Loop, [&] { return done() || Loop.now() >= end; });
    return done();
  }

  void pass(Duration time) { runFor(Loop, time); }

  /** Calls @p path on @p host until a server answers. */
  void awaitService(const LabHost &host, const std::string &path) {
    std::shared_ptr<LabCall> last;
    REQUIRE(reached([&] {
      if (!last || (last->done() && last->status() != 200)) {
        last = call(host, path);
      }
      return last->status() == 200;
    }));
  }

  /** Sends requests on @p caller until one of them runs at @p server, so that
   * the caller's daemon is known to use it. */
  void awaitRunAt(const LabHost &caller, const LabHost &server,
                  const std::string &path) {
    std::vector<std::shared_ptr<LabCall>> sent;
    REQUIRE(reached([&] {
      sent.push_back(call(caller, path));
      pass(std::chrono::milliseconds(20));
      return std::any_of(sent.begin(), sent.end(), [&](const auto &it) {
        const auto runs = runsOf(*it);
        return !runs.empty() && runs.front().Instance == server.Instance;
      });
    }));
  }

  /** @return the runs of a request at all servers. */
  std::vector<ServerRun> runsOf(const LabCall &call) const {
    std::vector<ServerRun> out;
    for (const auto &host : Hosts) {
      std::copy_if(host->Runs.begin(), host->Runs.end(),
                   std::back_inserter(out),
                   [&](const ServerRun &it) { return it.Id == call.Id; });
    }
    return out;
  }
};

} // namespace chivefold

#endif
