#include "record_codec.h"
#include "request_headers.h"
#include "store_client.h"

#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

HttpRequest put(const std::string &body) {
  HttpRequest out;
  out.Method = "PUT";
  out.Path = "/-/instances/i-1";
  out.Body = body;
  return out;
}

} // namespace

// Guards against using a server from a malformed or incomplete report.
TEST_CASE("reports are read whole or not at all", "[platform]") {
  const platform::ServerReports codec;
  const auto good = codec.report(put(
      R"({"address":"10.0.0.9:80","info":{"service":"s","version":"v1","zone":"z",
          "slots":12},"status":{"state":"draining","seqNo":4,"warmupLeftMs":30},
          "born":17})"));
  REQUIRE(good);
  CHECK(good->State.Instance == "i-1");
  CHECK(good->State.Phase == ServerPhase::Draining);
  CHECK(good->Sequence == 4);
  CHECK(good->ColdFor == std::chrono::milliseconds(30));
  CHECK(good->StartedAtMs == 17);
  for (
      const auto *body :
      {"", "[]", "{\"address\":1}",
       R"({"address":"10.0.0.9:80","info":{"service":"s","version":"v1","slots":"12"},
            "status":{"state":"ready","seqNo":4}})",
       R"({"address":"10.0.0.9:80","info":{"service":"s","version":"v1","slots":12},
            "status":{"state":"odd","seqNo":4}})",
       R"({"address":"x","info":{"service":"s","version":"v1","slots":12},
            "status":{"state":"ready","seqNo":4}})"}) {
    INFO(body);
    CHECK_FALSE(codec.report(put(body)));
  }
}

// Guards against forwarding hop-by-hop headers, and a deadline, caller or
// instance ID that a client has set itself.
TEST_CASE("the system sets its own headers", "[platform]") {
  const platform::RequestHeaders headers;
  const auto sent = headers.forServer(
      {{"Host", "h"},
       {"Chivefold-Request-Id", "q"},
       {"chivefold-caller-service", "forged"},
       {"Chivefold-Deadline-Ms", "99999"},
       {"Connection", "X-Hop, close"},
       {"X-Hop", "1"},
       {"X-Other", "2"}},
      {std::chrono::milliseconds(250), "i-1", "s", false, ""});
  CHECK(headerValue(sent, "Chivefold-Caller-Service") == "s");
  CHECK(headerValue(sent, "Chivefold-Deadline-Ms") == "250");
  CHECK(headerValue(sent, "Chivefold-Expected-Instance") == "i-1");
  CHECK(headerValue(sent, "Chivefold-Request-Id") == "q");
  CHECK(headerValue(sent, "Host") == "h");
  CHECK(headerValue(sent, "X-Other") == "2");
  CHECK(headerValue(sent, "X-Hop").empty());
  CHECK(headerValue(sent, "Connection").empty());
}

// Guards against confusing a refused request with an answered one.
TEST_CASE("only a stated refusal has not run", "[platform]") {
  const platform::RequestHeaders headers;
  CHECK_FALSE(headers.readServer({503, {}, ""}).NotRun);
  CHECK(
      headers.readServer({503, {{"Chivefold-Not-Executed", "1"}}, ""}).NotRun);
  CHECK(headers.readServer({421, {}, ""}).NotRun);
  CHECK(headers.readServer({200, {{"Chivefold-Server-Signature", "x"}}, ""})
            .Authentic);
}

// Guards against wrong offsets and against accepting a truncated read.
TEST_CASE("records of the store are decoded", "[platform]") {
  std::string body(7, '\0');
  body += '\x09';
  body += std::string(8, '\0');
  body += platform::encodeRecord("config", "value");
  body += platform::encodeRecord("gone", "");
  const auto batch = platform::parseRecords(body, 7);
  REQUIRE(batch);
  CHECK(batch->End == 9);
  REQUIRE(batch->Records.size() == 2);
  CHECK(batch->Records[0].Key == "config");
  CHECK(batch->Records[0].Value == "value");
  CHECK(batch->Records[0].Offset == 7);
  CHECK_FALSE(batch->Records[1].Value);
  body.pop_back();
  CHECK_FALSE(platform::parseRecords(body, 7));
}

// Guards against values that lose or gain bytes because of base64 padding.
TEST_CASE("a listing of the store is decoded", "[platform]") {
  const auto batch = platform::parseListing(
      R"({"items":[{"key":"a","value":"YQ==","offset":4},
          {"key":"b","value":"YWI=","offset":5},
          {"key":"c","value":"YWJj","offset":6}],"hasMore":true,"endOffset":9})");
  REQUIRE(batch);
  CHECK(batch->HasMore);
  CHECK(batch->End == 9);
  CHECK(batch->Records[0].Value == "a");
  CHECK(batch->Records[1].Value == "ab");
  CHECK(batch->Records[2].Value == "abc");
  CHECK(batch->Unreadable == 0);
  // An entry that cannot be read is not mistaken for a deleted one.
  const auto odd = platform::parseListing(R"({"items":[{"key":"a","value":"?",
      "offset":4}],"hasMore":false,"endOffset":9})");
  REQUIRE(odd);
  REQUIRE(odd->Records.size() == 1);
  CHECK(odd->Records[0].Key == "a");
  CHECK(odd->Records[0].Value == "");
  CHECK(odd->Unreadable == 1);
  CHECK_FALSE(platform::parseListing("{}"));
}
