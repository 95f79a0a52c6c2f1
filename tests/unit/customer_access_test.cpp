#include "sidecar_lab.h"

#include "chivefold/io/logging.h"
#include "chivefold/sidecar/backend_service.h"

#include <cstdio>
#include <unistd.h>

using namespace chivefold;

namespace {

HttpHeaders bearing(const std::string &key) {
  return {{"Authorization", "Bearer " + key}};
}

/** Two hosts; the server of service "s" is beside the second one. */
struct KeyLab : SidecarLab {
  KeyLab() {
    customers({{"a", {"key-a1", "key-a2"}}, {"b", {"key-b"}}});
    configure(1, "s");
    Caller = &addHost("t", "z");
    Server = &addHost("s", "z");
    Caller->report();
    Server->report();
    REQUIRE(reached([this] { return statusOf("key-a1") == 200; }));
  }

  void
  customers(const std::map<std::string, std::vector<std::string>> &keysByName) {
    Customers = nlohmann::json::array();
    for (const auto &it : keysByName) {
      Customers.push_back(
          {{"name", it.first}, {"apiKeys", it.second}, {"priority", 1}});
    }
  }

  std::shared_ptr<LabCall> ended(const HttpHeaders &headers,
                                 const std::string &path = "/x/1") {
    auto out = call(*Caller, path, headers);
    REQUIRE(reached([&] { return out->done(); }));
    return out;
  }

  int statusOf(const std::string &key) { return ended(bearing(key))->status(); }

  /** @return a header of the request as its server received it. */
  std::string received(const LabCall &call, std::string_view name) const {
    const auto runs = runsOf(call);
    REQUIRE(runs.size() == 1);
    return std::string(headerValue(runs.front().Headers, name));
  }

  LabHost *Caller = nullptr;
  LabHost *Server = nullptr;
};

/** Captures standard error, to which tests log. */
class CapturedLog {
public:
  CapturedLog() : File(std::tmpfile()), Saved(dup(STDERR_FILENO)) {
    REQUIRE(File != nullptr);
    dup2(fileno(File), STDERR_FILENO);
  }
  ~CapturedLog() { end(); }
  CapturedLog(const CapturedLog &) = delete;
  CapturedLog &operator=(const CapturedLog &) = delete;

  std::string end() {
    if (File == nullptr) {
      return "";
    }
    dup2(Saved, STDERR_FILENO);
    close(Saved);
    std::rewind(File);
    std::string out(4U << 20U, ' ');
    out.resize(std::fread(out.data(), 1, out.size(), File));
    std::fclose(std::exchange(File, nullptr));
    return out;
  }

private:
  std::FILE *File;
  int Saved;
};

} // namespace

// Guards against a server that runs a request without a valid key, or learns
// the key, or another name than that of the customer that holds it.
TEST_CASE("a key lets its customer's requests in", "[customer_access]") {
  KeyLab lab;
  const auto good = lab.ended({{"Authorization", "Bearer key-b"},
                               {"Chivefold-Tenant-Id", "a"},
                               {"chivefold-tenant-id", "c"}});
  CHECK(good->status() == 200);
  CHECK(lab.received(*good, "Chivefold-Tenant-Id") == "b");
  CHECK(lab.received(*good, "Authorization").empty());
  const auto unknown = lab.ended(bearing("key-c"));
  CHECK(unknown->status() == 401);
  CHECK(lab.runsOf(*unknown).empty());
  const auto other = lab.ended({{"Authorization", "Basic key-b"}});
  CHECK(other->status() == 401);
}

// Guards against calls of a server that are refused since they carry no key,
// and against a client without a key that is let in.
TEST_CASE("only a host whose server is at work lets requests without a key in",
          "[customer_access]") {
  KeyLab lab;
  lab.PublicPaths = {"/t/"};
  lab.configure(2, "s");
  REQUIRE(lab.reached([&] { return lab.statusOf("key-a1") == 200; }));
  lab.pass(BackendService::MaxRunAfterSend);
  const auto client = lab.ended({});
  CHECK(client->status() == 401);
  CHECK(lab.runsOf(*client).empty());
  // A public route needs no key, and the run there may make calls.
  REQUIRE(lab.reached([&] { return lab.ended({}, "/t/1")->status() == 200; }));
  const auto call = lab.ended({{"Chivefold-Tenant-Id", "a"}});
  CHECK(call->status() == 200);
  CHECK(lab.received(*call, "Chivefold-Tenant-Id").empty());
}

// Guards against a removed key that works on, a new one that is refused, and a
// key that still counts for its former customer.
TEST_CASE("keys follow the versions of the configuration",
          "[customer_access]") {
  KeyLab lab;
  lab.customers({{"a", {"key-a1"}}, {"b", {"key-a2", "key-new"}}});
  lab.configure(2, "s");
  REQUIRE(lab.reached([&] { return lab.statusOf("key-new") == 200; }));
  CHECK(lab.statusOf("key-b") == 401);
  const auto moved = lab.ended(bearing("key-a2"));
  CHECK(lab.received(*moved, "Chivefold-Tenant-Id") == "b");
  // Without customers, headers are passed on as they are.
  lab.Customers = {};
  lab.configure(3, "s");
  std::shared_ptr<LabCall> open;
  REQUIRE(lab.reached([&] {
    open = lab.ended(
        {{"Authorization", "Bearer any"}, {"Chivefold-Tenant-Id", "mine"}});
    return open->status() == 200;
  }));
  CHECK(lab.received(*open, "Authorization") == "Bearer any");
  CHECK(lab.received(*open, "Chivefold-Tenant-Id") == "mine");
}

// Guards against a request that waits at a gate and runs by a key that has been
// taken away or given to another customer meanwhile.
TEST_CASE("waiting requests follow changed keys", "[customer_access]") {
  KeyLab lab;
  lab.Server->Slots = 1;
  lab.Server->report();
  lab.pass(std::chrono::milliseconds(200));
  lab.Server->IsSilent = true;
  const auto running = lab.call(*lab.Caller, "/x/1", bearing("key-a1"));
  REQUIRE(lab.reached([&] { return lab.Server->Running.size() == 1; }));
  const auto removed = lab.call(*lab.Caller, "/x/1", bearing("key-b"));
  const auto moved = lab.call(*lab.Caller, "/x/1", bearing("key-a2"));
  lab.pass(std::chrono::milliseconds(200));
  CHECK_FALSE(removed->done());
  lab.customers({{"a", {"key-a1"}}, {"c", {"key-a2"}}});
  lab.configure(2, "s");
  REQUIRE(
      lab.reached([&] { return removed->done(); }, std::chrono::seconds(3)));
  CHECK(removed->status() == 401);
  CHECK(lab.runsOf(*removed).empty());
  lab.Server->IsSilent = false;
  for (const auto &it : lab.Server->Running) {
    it->respond({200,
                 {{"Chivefold-Request-Id", running->Id},
                  {"Chivefold-Server-Signature", "s"}},
                 ""});
  }
  REQUIRE(lab.reached([&] { return moved->done() && running->done(); }));
  CHECK(running->status() == 200);
  REQUIRE(moved->status() == 200);
  CHECK(lab.received(*moved, "Chivefold-Tenant-Id") == "c");
}

// Guards against keys in the log, where many may read them.
TEST_CASE("no key is logged", "[customer_access]") {
  KeyLab lab;
  initLogging(LogLevel::Info);
  REQUIRE(setLogLevel("debug"));
  CapturedLog log;
  const int good = lab.statusOf("key-a1");
  const int bad = lab.statusOf("key-forged");
  const int unrouted = lab.ended(bearing("key-a1"), "/none/1")->status();
  lab.customers({{"a", {"key-a1", "key-late"}}, {"b", {"key-a1"}}});
  lab.configure(2, "s");
  lab.pass(std::chrono::milliseconds(300));
  const auto text = log.end();
  REQUIRE(setLogLevel("info"));
  CHECK(good == 200);
  CHECK(bad == 401);
  CHECK(unrouted == 404);
  CHECK(text.find("unknown key") != std::string::npos);
  CHECK(text.find("listed twice") != std::string::npos);
  for (const auto *it : {"key-a1", "key-late", "key-forged"}) {
    CHECK(text.find(it) == std::string::npos);
  }
}
