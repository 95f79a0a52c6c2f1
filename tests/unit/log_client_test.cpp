#include "chivefold/io/http_server.h"
#include "chivefold/io/log_client.h"

#include "raw_socket.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace chivefold;

namespace {

std::string encodeEntry(std::uint64_t offset, const std::string &bytes) {
  std::string out;
  for (unsigned i = 0; i < 8; ++i) {
    out += static_cast<char>(offset >> (8 * i) & 0xffU);
  }
  for (unsigned i = 0; i < 4; ++i) {
    out += static_cast<char>(bytes.size() >> (8 * i) & 0xffU);
  }
  return out + bytes;
}

// A log whose answers to appends can be lost.
struct LogFixture {
  Reactor Loop;
  std::vector<std::string> Records{"other"};
  /** Answers of the next appends: status, or 0 to lose the answer after the
   * append took effect, or 1 to lose the request. */
  std::vector<int> Script;
  int Appends = 0;
  int Reads = 0;
  HttpServer Server{Loop, {"127.0.0.1", 0}, [this](const auto &exchange) {
                      if (exchange->request().Path == "/append") {
                        append(*exchange);
                      } else {
                        read(*exchange);
                      }
                    }};
  HttpClient Http{Loop, 4};
  std::unique_ptr<LogClient> Log;
  Result<LogOffset> Offset = Reason{ErrorCode::NotReady, ""};
  bool MayHave = false;
  int Calls = 0;

  LogFixture() {
    REQUIRE(Server.start());
    Log = std::make_unique<LogClient>(Loop, Http,
                                      "http://" + toString(Server.bound()), 1);
  }
  void append(HttpExchange &exchange) {
    ++Appends;
    const int step = Script.empty() ? 200 : Script.front();
    if (!Script.empty()) {
      Script.erase(Script.begin());
    }
    if (step == 0 || step == 200) {
      Records.emplace_back(exchange.request().Body.view());
    }
    // Any status but 200 leaves open whether the record was stored.
    exchange.respond(
        {step < 2 ? 500 : step, {}, std::to_string(Records.size())});
  }
  void read(HttpExchange &exchange) {
    ++Reads;
    const auto from = std::stoul(queryValue(exchange.request().Query, "from"));
    std::string body;
    // Two records at most, so that a search needs several reads.
    for (auto i = from; i <= Records.size() && i < from + 2; ++i) {
      body += encodeEntry(i, Records[i - 1]);
    }
    exchange.respond(
        {200,
         {{"Log-First", "1"}, {"Log-Next", std::to_string(Records.size() + 1)}},
         body});
  }
  void confirm(Duration limit = std::chrono::seconds(15)) {
    Log->appendConfirmed(
        "mine", [](std::string_view b) { return b == "mine"; },
        static_cast<LogOffset>(1), Loop.now() + limit,
        [this](Result<LogOffset> offset, bool mayHave) {
          Offset = std::move(offset);
          MayHave = mayHave;
          ++Calls;
        });
    REQUIRE(runUntil(Loop, [&] { return Calls == 1; }));
  }
};

} // namespace

// Guards against a record that is appended twice, or reported as failed, when
// only the answer was lost.
TEST_CASE("a lost append answer is found by reading", "[log_client]") {
  LogFixture f;
  f.Records.resize(6, "other");
  f.Script = {0};
  f.confirm();
  REQUIRE(f.Offset);
  CHECK(raw(*f.Offset) == 7);
  CHECK(f.Appends == 1);
  CHECK(f.Reads == 4);
}

// Guards against the offset of a later copy, which readers ignore.
TEST_CASE("the first copy in log order counts", "[log_client]") {
  LogFixture f;
  f.Script = {1, 200};
  f.confirm();
  REQUIRE(f.Offset);
  CHECK(raw(*f.Offset) == 2);
  CHECK(f.Appends == 2);
  // The record may have been stored before the repeated append.
  CHECK(f.Reads == 2);
}

// Guards against taking another writer's equal change for the own record.
TEST_CASE("a record is found by its id", "[log_client]") {
  LogFixture f;
  Record record;
  record.Body = DataCentreRecord{"bouskoura", true};
  record.Id.Bytes[0] = 1;
  f.Records = {encodeRecord(record), "not a record"};
  record.Id.Bytes[0] = 2;
  f.Script = {0};
  f.Log->appendConfirmed(record, LogOffset::None,
                         f.Loop.now() + std::chrono::seconds(15),
                         [&](const Result<LogOffset> &offset, bool) {
                           f.Offset = offset;
                           ++f.Calls;
                         });
  REQUIRE(runUntil(f.Loop, [&] { return f.Calls == 1; }));
  REQUIRE(f.Offset);
  CHECK(raw(*f.Offset) == 3);
}

// Guards against endless appends, and a failure that hides that the record may
// have taken effect.
TEST_CASE("a failed append says what is known", "[log_client]") {
  LogFixture f;
  f.Script = std::vector<int>(20, 1);
  f.confirm();
  CHECK(f.Offset.reason().Code == ErrorCode::LogUnavailable);
  CHECK(f.Offset.reason().Message.find("may have") != std::string::npos);
  CHECK(f.MayHave);
  CHECK(f.Appends == LogLimits::MaxAppends);

  auto closed = RawSocket::listening();
  f.Log = std::make_unique<LogClient>(
      f.Loop, f.Http, "http://" + toString(closed.address()), 1);
  closed.reset();
  f.Calls = 0;
  f.confirm(std::chrono::milliseconds(300));
  CHECK(f.Offset.reason().Code == ErrorCode::LogUnavailable);
  CHECK_FALSE(f.MayHave);
}

// Guards against trimmed and malformed reads that are taken for data.
TEST_CASE("reads report what the log says", "[log_client]") {
  Reactor loop;
  HttpClient http(loop, 1);
  HttpResponse answer;
  HttpServer server(loop, {"127.0.0.1", 0},
                    [&](const auto &exchange) { exchange->respond(answer); });
  REQUIRE(server.start());
  LogClient log(loop, http, "http://" + toString(server.bound()), 1);
  const auto read = [&](HttpResponse response) {
    answer = std::move(response);
    std::optional<Result<LogBatch>> out;
    log.read(static_cast<LogOffset>(5), 2, Duration::zero(),
             loop.now() + std::chrono::seconds(15),
             [&](Result<LogBatch> b) { out = std::move(b); });
    REQUIRE(runUntil(loop, [&] { return out.has_value(); }));
    return *out;
  };
  const HttpHeaders headers{{"Log-First", "3"}, {"Log-Next", "8"}};
  const auto five = encodeEntry(5, "a");
  const auto good = read({200, headers, five + encodeEntry(7, "")});
  REQUIRE(good);
  CHECK(good->Entries.size() == 2);
  CHECK(good->Entries[0].Bytes == "a");
  CHECK(raw(good->First) == 3);
  CHECK(raw(good->Next) == 8);
  CHECK(read({410, {}, ""}).reason().Code == ErrorCode::LogTrimmed);
  CHECK(read({503, {}, ""}).reason().Code == ErrorCode::LogUnavailable);
  CHECK(read({200, {}, five}).reason().Code == ErrorCode::InvalidRecord);
  for (const auto &body : {five + five, encodeEntry(4, "a"), five.substr(0, 12),
                           five + five.substr(0, 3), encodeEntry(8, "a"),
                           std::string(9U << 20U, 'x'),
                           five + encodeEntry(6, "") + encodeEntry(7, "")}) {
    CHECK(read({200, headers, body}).reason().Code == ErrorCode::InvalidRecord);
  }
}

// Guards against a body of any bytes that is read beyond its end.
TEST_CASE("parsing log entries survives any bytes", "[log_client]") {
  rc::check([](const std::string &bytes) {
    const auto entries = parseLogEntries(bytes, LogOffset::None);
    std::size_t n = 0;
    if (entries) {
      for (const auto &it : *entries) {
        n += 12 + it.Bytes.size();
      }
    }
    RC_ASSERT(!entries || n == bytes.size());
  });
}
