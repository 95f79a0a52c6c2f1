#include "chivefold/daemon/operator_commands.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace chivefold;

namespace {

enum class AppendFault { None, ResponseLost, RequestLost, Down };

/** In-memory log. Each append consumes the next entry of Faults. */
class FakeLog : public BlockingHttpClient {
public:
  std::vector<std::string> Records;
  std::deque<AppendFault> Faults;
  /** Record of another operator, inserted just before the next append. */
  std::string CompetingRecord;
  bool Down = false;
  /** URLs of PUT requests, which go to a daemon, and the status of its
   * responses. */
  std::vector<std::string> PutUrls;
  int PutStatus = 200;

  Result<BlockingHttpResponse> request(const std::string &method,
                                       const std::string &url,
                                       const std::string &body) override {
    if (method == "PUT") {
      PutUrls.push_back(url);
      return BlockingHttpResponse{PutStatus, "", {}, {}};
    }
    if (Down) {
      return Reason{ErrorCode::ConnectionFailed, "refused"};
    }
    return method == "POST" ? append(body) : read(url);
  }

private:
  Result<BlockingHttpResponse> append(const std::string &body) {
    const auto fault = Faults.empty() ? AppendFault::None : Faults.front();
    if (!Faults.empty()) {
      Faults.pop_front();
    }
    if (!CompetingRecord.empty()) {
      Records.push_back(std::exchange(CompetingRecord, ""));
    }
    Down = fault == AppendFault::Down;
    if (fault != AppendFault::RequestLost && fault != AppendFault::Down) {
      Records.push_back(body);
    }
    if (fault != AppendFault::None) {
      return Reason{ErrorCode::ConnectionFailed, "timed out"};
    }
    return BlockingHttpResponse{200, std::to_string(Records.size()), {}, {}};
  }

  BlockingHttpResponse read(const std::string &url) {
    const auto from = std::stoul(url.substr(url.find("from=") + 5));
    BlockingHttpResponse response{200, "", LogOffset{Records.size() + 1},
                                  LogOffset{1}};
    for (auto n = from; n <= Records.size(); ++n) {
      const auto add = [&](std::uint64_t value, int bytes) {
        for (; bytes > 0; --bytes, value >>= 8U) {
          response.Body += static_cast<char>(value & 0xFFU);
        }
      };
      add(n, 8);
      add(Records[n - 1].size(), 4);
      response.Body += Records[n - 1];
    }
    return response;
  }
};

struct Fixture {
  FakeLog Log;
  std::uint8_t LastId = 0;
  OperatorContext Context{Log, [this] { return RecordId{{++LastId}}; },
                          [] { return UtcTime(); },
                          [](std::chrono::milliseconds) {}, "asha"};

  OperatorResult apply(const std::string &text,
                       std::optional<Version> base = std::nullopt) {
    return applyConfiguration(text, Context,
                              {"http://127.0.0.1:1", base, false});
  }
};

std::string configurationWith(const char *centres) {
  return std::string("[fleet]\ndata_centres = ") + centres + "\n";
}

std::string competingChange(Version base) {
  Section s;
  s.FleetSettings = Fleet{{"z"}, {}};
  return encodeRecord({RecordId{{99}}, "bilal", ChangeRecord{base, {s}}});
}

} // namespace

// Guards against appending a record for an invalid or unchanged configuration.
TEST_CASE("apply appends only real changes", "[operator]") {
  Fixture f;
  const auto bad = f.apply("[fleet]\n");
  CHECK(bad.Exit == OperatorExitCode::BadInput);
  CHECK_THAT(bad.Error, Catch::StartsWith("line 1, column 1: "));
  CHECK(f.Log.Records.empty());
  CHECK(f.apply(configurationWith("['a']")).Output == "accepted at offset 1\n");
  const auto same = f.apply(configurationWith("['a']"));
  CHECK(same.Exit == OperatorExitCode::Ok);
  CHECK_THAT(same.Output, Catch::Contains("nothing was appended"));
  CHECK(f.Log.Records.size() == 1);
}

// Guards against reporting a change as accepted after another operator's change
// to the same version came first.
TEST_CASE("apply reports a lost race", "[operator]") {
  Fixture f;
  f.Log.CompetingRecord = competingChange(Version::None);
  const auto lost = f.apply(configurationWith("['a']"));
  CHECK(lost.Exit == OperatorExitCode::Refused);
  CHECK(lost.Error == "refused, not in force: lost race to offset 1 by bilal");
  // A stale base version loses even without a concurrent change.
  CHECK(f.apply(configurationWith("['a']"), Version::None).Exit ==
        OperatorExitCode::Refused);
}

// Guards against reporting a failure, or appending the record a second time,
// when the append succeeded but its response was lost.
TEST_CASE("apply resolves lost answers", "[operator]") {
  Fixture f;
  f.Log.Faults = {AppendFault::ResponseLost};
  CHECK(f.apply(configurationWith("['a']")).Output == "accepted at offset 1\n");
  CHECK(f.Log.Records.size() == 1);
  f.Log.Faults = {AppendFault::RequestLost};
  CHECK(f.apply(configurationWith("['b']")).Output == "accepted at offset 2\n");
  CHECK(f.Log.Records.size() == 2);
}

// Guards against reporting success or failure while the outcome of an append
// cannot be read from the log.
TEST_CASE("apply says unknown while the log is down", "[operator]") {
  Fixture f;
  f.Log.Faults = {AppendFault::Down};
  const auto unknown = f.apply(configurationWith("['a']"));
  CHECK(unknown.Exit == OperatorExitCode::Unknown);
  CHECK_THAT(
      unknown.Error,
      Catch::Contains("apply --resume 01000000000000000000000000000000"));
  f.Log.Down = true;
  const auto unread = f.apply(configurationWith("['a']"));
  CHECK(unread.Exit == OperatorExitCode::Unknown);
  CHECK_THAT(unread.Error, Catch::Contains("nothing was appended"));
  f.Log.Down = false;
  CHECK(resumeApply(RecordId{{1}}, f.Context, {"http://x", {}, false}).Exit ==
        OperatorExitCode::Unknown);
  CHECK(f.apply(configurationWith("['a']")).Exit == OperatorExitCode::Ok);
  CHECK(resumeApply(RecordId{{2}}, f.Context, {"http://x", {}, false}).Output ==
        "accepted at offset 1\n");
}

// Guards against accepting invalid or incomplete flags.
TEST_CASE("operator flags are checked", "[operator]") {
  Fixture f;
  const auto exit = [&](std::vector<const char *> args) {
    args.insert(args.begin(), "chivefold");
    return runOperator(static_cast<int>(args.size()), args.data(), f.Context)
        .Exit;
  };
  CHECK(exit({"--version"}) == OperatorExitCode::Ok);
  CHECK(exit({"apply", "--help"}) == OperatorExitCode::Ok);
  CHECK(exit({}) == OperatorExitCode::BadInput);
  CHECK(exit({"check", "/nonexistent"}) == OperatorExitCode::BadInput);
  CHECK(exit({"status", "--admin", "localhost"}) == OperatorExitCode::BadInput);
  CHECK(exit({"apply", "--log-url", "http://127.0.0.1:1"}) ==
        OperatorExitCode::BadInput);
  CHECK(exit({"apply", "--resume", "12", "--log-url", "http://127.0.0.1:1"}) ==
        OperatorExitCode::BadInput);
}

// Guards against a take-out that needs the log before a daemon propagates it,
// and against output that does not state what took effect.
TEST_CASE("take-out says whether it is spread and recorded", "[operator]") {
  Fixture f;
  REQUIRE(f.apply(configurationWith("['a', 'b']")).Exit ==
          OperatorExitCode::Ok);
  const auto set = [&](bool takenOut, bool json = false) {
    return setDataCentreTakenOut("b", takenOut, f.Context,
                                 {"http://x", Address{"127.0.0.1", 3}, json});
  };
  f.Log.Down = true;
  const auto outage = set(true);
  CHECK(outage.Exit == OperatorExitCode::Unknown);
  CHECK(outage.Output == "spread now by 127.0.0.1:3\nrecorded not yet\n");
  CHECK(f.Log.PutUrls.at(0) == "http://127.0.0.1:3/-/take-out?data_centre=b");
  CHECK_THAT(set(true, true).Output,
             Catch::Contains("\"spread\": true") &&
                 Catch::Contains("\"recorded\": false"));
  f.Log.Down = false;
  f.Log.PutStatus = 404;
  const auto recorded = set(true);
  INFO(recorded.Error);
  CHECK(recorded.Exit == OperatorExitCode::Ok);
  CHECK(recorded.Output ==
        "not spread by 127.0.0.1:3: status 404\nrecorded at offset 2\n");
  const auto puts = f.Log.PutUrls.size();
  CHECK(set(false).Output == "accepted at offset 3\n");
  CHECK(f.Log.PutUrls.size() == puts);
  const auto odd =
      setDataCentreTakenOut("b&x", true, f.Context, {"http://x", {}, true});
  CHECK(odd.Exit == OperatorExitCode::BadInput);
  CHECK_THAT(odd.Output, Catch::Contains("\"outcome\": \"bad-name\""));
}

// Guards against a diff that appends records or omits a change.
TEST_CASE("diff shows changes and appends nothing", "[operator]") {
  Fixture f;
  REQUIRE(f.apply(configurationWith("['a']")).Exit == OperatorExitCode::Ok);
  const auto diff = [&](const char *centres, bool json) {
    return diffConfiguration(configurationWith(centres), f.Context, "http://x",
                             json)
        .Output;
  };
  CHECK(diff("['a']", false) == "no difference\n");
  CHECK_THAT(diff("['a', 'z']", false), Catch::Contains("data centres a, z"));
  CHECK_THAT(diff("['a', 'z']", true),
             Catch::Contains("\"outcome\": \"different\""));
  CHECK(f.Log.Records.size() == 1);
}
