#include "chivefold/daemon/gate_service.h"
#include "chivefold/daemon/operator_commands.h"

#include "backend_fixture.h"
#include "log_builder.h"
#include "raw_backend.h"
#include "sidecar_lab.h"

#include <array>
#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

/** Statuses that are three digits and no HTTP status. */
const std::vector<std::string> InvalidStatuses{"000", "001", "099", "600",
                                               "999"};

/** What follows the request ID in the head of an answer, with its body. */
struct Framing {
  const char *Name;
  std::string Bytes;
};

const std::vector<Framing> Framings{
    {"with a length", "Content-Length: 4\r\n\r\nbody"},
    {"without a body", "Content-Length: 0\r\n\r\n"},
    {"in chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
    {"in chunks without an end",
     "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
    {"without a length", "\r\nbody"},
    {"as a stated refusal",
     "Chivefold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"}};

std::string answerText(const std::string &status, const Framing &framing) {
  return "HTTP/1.1 " + status +
         " X\r\nChivefold-Request-Id: q\r\nChivefold-Server-Signature: s\r\n" +
         framing.Bytes;
}

struct InvalidStatus : BackendFixture {
  InvalidStatus() {
    configure();
    REQUIRE(Backend.report(report("i", 1, 1)));
  }

  CallResult finish(bool repeatable) {
    std::optional<CallResult> result;
    auto message = call();
    message.Body = "work";
    message.Repeatable = repeatable;
    Backend.run(std::move(message),
                [&](CallResult r) { result = std::move(r); });
    REQUIRE(runUntil(Loop, [&] { return result.has_value(); }));
    return std::move(*result);
  }
};

/** Where the server is at which a client's request runs. */
enum class Place { OwnServer, OtherHost };

const std::vector<std::pair<Place, const char *>> Places{
    {Place::OwnServer, "own server"}, {Place::OtherHost, "other host"}};

/** A host with a client, and one whose server sends given statuses. */
struct RawServerLab {
  RawServerLab(Place place, const std::string &kind) {
    Lab.configure(1, "s", kind);
    Server = &Lab.addHost("s", "a");
    Caller = place == Place::OtherHost ? &Lab.addHost("t", "a") : Server;
    Server->RawServer = Backend.address();
    for (const auto &host : Lab.Hosts) {
      host->report();
    }
  }

  std::shared_ptr<LabCall> finish() {
    auto call = Lab.call(*Caller);
    REQUIRE(Lab.reached([&] { return call->done(); }));
    return call;
  }

  RawBackend Backend;
  /** Closes its connections to the server first. */
  SidecarLab Lab;
  LabHost *Server = nullptr;
  LabHost *Caller = nullptr;
};

bool isSigned(const LabCall &call) {
  return call.Outcome->Response && !headerValue(call.Outcome->Response->Headers,
                                                "Chivefold-Server-Signature")
                                        .empty();
}

} // namespace

// Guards against bytes that are no HTTP answer and are used as one: a server in
// trouble sent the status 000, and its client got it with the signature.
TEST_CASE("a status out of range is no answer", "[invalid_status]") {
  for (const auto &status : InvalidStatuses) {
    for (const auto &framing : Framings) {
      for (const bool isSafe : {false, true}) {
        for (const bool isKept : {false, true}) {
          INFO(status << " " << framing.Name << (isSafe ? ", safe" : ", unsafe")
                      << (isKept ? ", kept connection" : ""));
          InvalidStatus f;
          bool closed = false;
          std::thread server([&] {
            const auto s = f.Listener.accepted();
            if (isKept) {
              s.readUntil("work");
              s.write(answerText("200", Framings.front()));
            }
            s.readUntil("work");
            s.write(answerText(status, framing));
            s.setReceiveTimeout({1, 0});
            s.readAll();
            closed = s.atEnd();
            // The next request comes on another connection.
            const auto next = f.Listener.accepted();
            next.readUntil("work");
            next.write(answerText("200", Framings.front()));
          });
          if (isKept) {
            CHECK(f.finish(isSafe).Result == Outcome::Answered);
          }
          const auto result = f.finish(isSafe);
          CHECK(result.Result == Outcome::Unknown);
          CHECK(result.Status == 502);
          CHECK(result.Body.empty());
          // A connection that stays open would be used by this request.
          f.Client.closeIdle();
          CHECK(f.finish(isSafe).Result == Outcome::Answered);
          server.join();
          CHECK(closed);
        }
      }
    }
  }
}

// Guards against a server that is taken out for all routes because of a request
// that it always answers with an invalid status.
TEST_CASE("invalid statuses take no server out", "[invalid_status]") {
  constexpr int requests = 5;
  InvalidStatus f;
  std::thread server([&] {
    for (int i = 0; i <= requests; ++i) {
      const auto s = f.Listener.accepted();
      s.readUntil("work");
      s.write(answerText(i < requests ? "000" : "200", Framings.front()));
    }
  });
  for (int i = 0; i < requests; ++i) {
    CHECK(f.finish(false).Result == Outcome::Unknown);
  }
  CHECK(f.Backend.gate().Limit > 0);
  CHECK(f.finish(false).Result == Outcome::Answered);
  server.join();
}

// Guards against a limit that is too narrow: all other statuses are the
// server's to choose, and a 1xx precedes the answer.
TEST_CASE("statuses from 200 to 599 are answers", "[invalid_status]") {
  const std::array<const char *, 6> finals{"200", "299", "418",
                                           "499", "500", "599"};
  const std::array<const char *, 4> interims{"100", "101", "103", "199"};
  const auto finish = [](const std::string &bytes) {
    InvalidStatus f;
    std::thread server([&] {
      const auto s = f.Listener.accepted();
      s.readUntil("work");
      s.write(bytes);
    });
    auto result = f.finish(false);
    server.join();
    return result;
  };
  for (const auto *status : finals) {
    INFO(status);
    const auto result = finish(answerText(status, Framings.front()));
    CHECK(result.Result == Outcome::Answered);
    CHECK(std::to_string(result.Status) == status);
    CHECK(result.Body == "body");
  }
  for (const auto *status : interims) {
    INFO(status);
    const auto interim = "HTTP/1.1 " + std::string(status) + " X\r\n\r\n";
    CHECK(finish(interim + answerText("200", Framings.front())).Status == 200);
    CHECK(finish(interim).Result == Outcome::Unknown);
    CHECK(finish(interim + answerText("000", Framings.front())).Result ==
          Outcome::Unknown);
  }
}

// Guards against a client that gets an invalid status, and against the use of
// its connection for other requests.
TEST_CASE("clients get 502 for a status out of range", "[invalid_status]") {
  for (const auto &[place, placeName] : Places) {
    for (const std::string kind : {"unsafe", "safe"}) {
      for (const bool isKept : {false, true}) {
        RawServerLab lab(place, kind);
        for (const auto &status : InvalidStatuses) {
          INFO(placeName << ", " << kind << ", " << status
                         << (isKept ? ", kept connection" : ""));
          lab.Backend.answerWith("200", isKept);
          // The server answers again, however often it failed before.
          lab.Server->report();
          lab.Lab.awaitService(*lab.Caller, "/x/1");
          const auto before = lab.Backend.runs().back().Connection;
          lab.Backend.answerWith(status, true);
          const auto call = lab.finish();
          CHECK(call->status() == 502);
          CHECK_FALSE(isSigned(*call));
          const auto runs = lab.Backend.runsOf(call->Id);
          REQUIRE_FALSE(runs.empty());
          CHECK((runs.front().Connection == before) == isKept);
          CHECK(runs.size() <= (kind == "safe" ? 2U : 1U));
          lab.Backend.answerWith("200", isKept);
          lab.Server->report();
          lab.Lab.awaitService(*lab.Caller, "/x/1");
          CHECK(lab.Backend.runs().back().Connection > runs.back().Connection);
        }
      }
    }
  }
}

// Guards against a request that may run once and is repeated, and against a
// safe one that fails although another server is well.
TEST_CASE("only safe requests are repeated after an invalid status",
          "[invalid_status]") {
  for (const std::string kind : {"unsafe", "safe"}) {
    INFO(kind);
    RawServerLab lab(Place::OtherHost, kind);
    const auto &good = lab.Lab.addHost("s", "a");
    lab.Lab.Hosts.back()->report();
    lab.Lab.awaitRunAt(*lab.Caller, good, "/x/1");
    lab.Backend.answerWith("000", true);
    std::vector<std::shared_ptr<LabCall>> met;
    REQUIRE(lab.Lab.reached([&] {
      const auto call = lab.finish();
      if (!lab.Backend.runsOf(call->Id).empty()) {
        met.push_back(call);
      }
      return !met.empty();
    }));
    const auto &call = *met.front();
    const auto elsewhere = lab.Lab.runsOf(call).size();
    CHECK(lab.Backend.runsOf(call.Id).size() == 1);
    CHECK(elsewhere == (kind == "safe" ? 1U : 0U));
    CHECK(call.status() == (kind == "safe" ? 200 : 502));
  }
}

// Guards against an invalid status that a daemon of an earlier version passes
// on in a frame.
TEST_CASE("a frame with a status out of range is no answer",
          "[invalid_status]") {
  const TimePoint now{};
  const auto received = [now](std::uint16_t status, Outcome outcome) {
    CallResult sent = failedCall(outcome, ErrorCode::Ok, status,
                                 std::chrono::milliseconds(7));
    sent.Headers = {{"Chivefold-Server-Signature", "s"}};
    sent.Body = "body";
    sent.Gate.Limit = 3;
    PeerOutcome frame;
    frame.Answer = std::make_unique<wire::FrameBodyUnion>();
    frame.Answer->Set(toWire(sent, now));
    return callAnswer(frame, now);
  };
  for (const std::uint16_t status :
       {0, 1, 99, 100, 101, 199, 600, 999, 1000, 65535}) {
    INFO(status);
    const auto result = received(status, Outcome::Answered);
    REQUIRE(result);
    CHECK(result->Result == Outcome::Unknown);
    CHECK(result->Code == ErrorCode::OutcomeUnknown);
    CHECK(result->Status == 502);
    CHECK(result->Headers.empty());
    CHECK(result->Body.empty());
    // The state of the gate beside the server holds all the same.
    CHECK(result->Gate.Limit == 3);
  }
  for (const std::uint16_t status : {200, 404, 599}) {
    const auto result = received(status, Outcome::Answered);
    REQUIRE(result);
    CHECK(result->Result == Outcome::Answered);
    CHECK(result->Status == status);
    CHECK(result->Body == "body");
  }
  // A refusal stays one: that the request has not run is known.
  const auto refusal = received(0, Outcome::NotRun);
  REQUIRE(refusal);
  CHECK(refusal->Result == Outcome::NotRun);
  CHECK(refusal->Status == 503);
  CHECK(refusal->RetryAfter == std::chrono::milliseconds(7));
}

// Guards against the same at the gate of chivefoldd, and against the request
// being taken for one that kills servers.
TEST_CASE("the gate passes on no invalid status", "[invalid_status]") {
  for (const auto &status : InvalidStatuses) {
    for (const bool isKept : {false, true}) {
      INFO(status << (isKept ? ", kept connection" : ""));
      RawBackend backend;
      Reactor loop;
      HttpClient client(loop, 4);
      PeerNetwork network(loop, {"127.0.0.1", 0}, [](auto &&...) {});
      PoisonService poison(
          loop, network, [](std::size_t) { return std::vector<Address>(); }, 1);
      LogBuilder log;
      ControlState state;
      const auto apply = [&](Section section) {
        const ChangeRecord record{state.version(), {std::move(section)}};
        REQUIRE(*state.apply(log.append(record, "op")) == VerdictKind::Counted);
      };
      apply(fleetSection());
      apply(serviceSection(makeService("s")));
      Settings settings;
      settings.Service = "s";
      settings.BackendServer = backend.address();
      GateService gate(loop, client, settings, state, poison);
      gate.configurationChanged();
      const auto run = [&] {
        CallMessage call;
        call.Service = "s";
        call.Method = "POST";
        call.Target = "/x";
        call.Body = "work";
        call.Repeatable = true;
        call.Deadline = loop.now() + std::chrono::seconds(10);
        std::optional<CallResult> result;
        gate.run(std::move(call), [&](CallResult r) { result = std::move(r); });
        REQUIRE(runUntil(loop, [&] { return result.has_value(); }));
        return *result;
      };
      if (isKept) {
        CHECK(run().Result == Outcome::Answered);
      }
      backend.answerWith(status, true);
      const auto result = run();
      CHECK(result.Result == Outcome::Unknown);
      CHECK(result.Status == 504);
      CHECK(result.Body.empty());
      CHECK(poison.isEmpty());
      backend.answerWith("200", true);
      CHECK(run().Result == Outcome::Answered);
      const auto runs = backend.runs();
      CHECK(runs[runs.size() - 1].Connection >
            runs[runs.size() - 2].Connection);
    }
  }
}

// Guards against an operator's command that takes an invalid status for the
// answer of a daemon or of the log.
TEST_CASE("a blocking request fails by an invalid status", "[invalid_status]") {
  for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
    INFO(status);
    RawBackend backend;
    backend.answerWith(status, false);
    const auto client = makeBlockingHttpClient(std::chrono::seconds(1));
    const auto response = client->request(
        "POST", "http://" + toString(backend.address()) + "/", "work");
    CHECK_FALSE(response);
  }
}
