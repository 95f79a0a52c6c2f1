#include "sidecar_lab.h"

#include "chivefold/mesh/usage_tree.h"

#include <set>

using namespace chivefold;
using namespace std::chrono_literals;

namespace {

struct TakenReport {
  std::string Holder;
  std::uint64_t Fence = 0;
  std::uint64_t Window = 0;
  std::string Body;
};

/** Three hosts and the platform that takes their reports. */
struct UsageLab : SidecarLab {
  UsageLab()
      : Platform(Loop, {"127.0.0.1", 0},
                 [this](const std::shared_ptr<HttpExchange> &exchange) {
                   onReport(exchange);
                 }) {
    REQUIRE(Platform.start());
    Usage.Reports = Platform.bound();
    Usage.WindowLength = 1s;
    Usage.LeaseTime = 1s;
    Customers = {{{"name", "a"}, {"apiKeys", {"key-a"}}, {"priority", 1}},
                 {{"name", "b"}, {"apiKeys", {"key-b"}}, {"priority", 1}}};
    configure(1, "s");
    for (int i = 0; i < 3; ++i) {
      addHost("s", "z").report();
    }
    for (const auto &host : Hosts) {
      REQUIRE(reached([&] { return send(*host, "key-a") == 200; }));
    }
    // In an era of the store without a record, the windows before the duty was
    // taken are left out.
    REQUIRE(reached([&] { return !Reports.empty(); }, 15s));
    Sent.clear();
  }

  int send(const LabHost &host, const std::string &key) {
    const auto out = call(host, "/x/1", {{"Authorization", "Bearer " + key}});
    REQUIRE(reached([&] { return out->done(); }));
    Sent[key == "key-a" ? "a" : "b"] += out->status() == 200 ? 1 : 0;
    return out->status();
  }

  void onReport(const std::shared_ptr<HttpExchange> &exchange) {
    const auto &request = exchange->request();
    TakenReport out;
    out.Holder = headerValue(request.Headers, "Chivefold-Lease-Holder");
    out.Fence = std::stoull(
        std::string(headerValue(request.Headers, "Chivefold-Fencing-Token")));
    const auto json = nlohmann::json::parse(request.Body);
    out.Window = json.at("window");
    out.Body = request.Body;
    Reports.push_back(out);
    if (Refusals > 0) {
      --Refusals;
      return exchange->respond({503, {}, ""});
    }
    if (Bodies.emplace(out.Window, out.Body).second) {
      for (const auto &it : json.at("counts").items()) {
        Reported[it.key()] += it.value().get<std::uint64_t>();
      }
    }
    exchange->respond({200, {}, ""});
  }

  /** Checks the rules that hold for any sequence of reports. */
  void checkReports() const {
    std::uint64_t fence = 0;
    std::map<std::uint64_t, std::string> holders;
    std::map<std::uint64_t, std::string> bodies;
    for (const auto &it : Reports) {
      CHECK(it.Fence >= fence);
      fence = it.Fence;
      CHECK(holders.emplace(it.Fence, it.Holder).first->second == it.Holder);
      CHECK(bodies.emplace(it.Window, it.Body).first->second == it.Body);
    }
  }

  HttpServer Platform;
  int Refusals = 0;
  std::vector<TakenReport> Reports;
  std::map<std::uint64_t, std::string> Bodies;
  std::map<std::string, std::uint64_t> Reported;
  std::map<std::string, std::uint64_t> Sent;
};

} // namespace

// Guards against usage that is lost, doubled or given to another customer on
// its way from the daemons beside the servers, and against windows without a
// report.
TEST_CASE("each window is reported once with all its requests", "[usage]") {
  UsageLab lab;
  for (int i = 0; i < 30; ++i) {
    lab.send(*lab.Hosts[static_cast<std::size_t>(i % 3)],
             i % 5 == 0 ? "key-b" : "key-a");
    lab.pass(30ms);
  }
  lab.send(*lab.Hosts[0], "key-c");
  CHECK(lab.reached([&] { return lab.Reported == lab.Sent; }, 15s));
  CHECK(lab.Reported == lab.Sent);
  lab.checkReports();
  REQUIRE_FALSE(lab.Bodies.empty());
  const auto first = lab.Bodies.begin()->first;
  CHECK(lab.Bodies.rbegin()->first - first + 1 == lab.Bodies.size());
}

// Guards against a report that changes when it is repeated, and against one
// that overtakes another.
TEST_CASE("a failed report is repeated as it was", "[usage]") {
  UsageLab lab;
  lab.Refusals = 2;
  const auto n = lab.Reports.size();
  lab.send(*lab.Hosts[0], "key-a");
  REQUIRE(lab.reached([&] { return lab.Reports.size() >= n + 4; }, 15s));
  CHECK(lab.Reports[n].Body == lab.Reports[n + 1].Body);
  CHECK(lab.Reports[n + 1].Body == lab.Reports[n + 2].Body);
  CHECK(lab.Reports[n + 3].Window == lab.Reports[n + 2].Window + 1);
  lab.checkReports();
}

// Guards against a duty that stays where the counts no longer go, or has two
// holders while it moves.
TEST_CASE("the duty moves to the new root", "[usage]") {
  UsageLab lab;
  const auto before = lab.Reports.back();
  // The new host has an address that makes it the root.
  FleetTable fleet(1);
  for (const auto &it : lab.Hosts) {
    HostState state;
    state.Peer = it->Settings.PeerListen;
    fleet.update(state, lab.Loop.now());
  }
  auto address = freeAddress();
  for (int i = 0; i < 1000 && usageTreePlace(fleet, address, false).Parent;
       ++i) {
    address = freeAddress();
  }
  REQUIRE_FALSE(usageTreePlace(fleet, address, false).Parent);
  lab.addHost("s", "z", address);
  const auto root = lab.Hosts.back()->Settings.Usage.Host;
  REQUIRE(lab.reached([&] { return lab.Reports.back().Holder == root; }, 15s));
  CHECK(lab.Reports.back().Fence > before.Fence);
  const auto taken = lab.Reports.back().Window;
  CHECK(
      lab.reached([&] { return lab.Reports.back().Window > taken + 2; }, 15s));
  CHECK(lab.Reports.back().Holder == root);
  lab.checkReports();
  CHECK(lab.Bodies.rbegin()->first - lab.Bodies.begin()->first + 1 ==
        lab.Bodies.size());
}

// Guards against reports, or messages about them, that nobody asked for.
TEST_CASE("without an address nothing is reported", "[usage]") {
  SidecarLab lab;
  lab.configure(1, "s");
  auto &host = lab.addHost("s", "z");
  host.report();
  lab.awaitService(host, "/x/1");
  lab.pass(1500ms);
  bool listed = false;
  lab.Store.list(KeyedStream::Usage, "", lab.Loop.now() + 1s,
                 [&](const Result<KeyedBatch> &batch) {
                   listed = true;
                   REQUIRE(batch);
                   CHECK(batch->End == 0);
                 });
  REQUIRE(lab.reached([&] { return listed; }));
}
