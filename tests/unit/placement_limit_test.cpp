#include "chivefold/mesh/placement.h"

#include "record_codec.h"

#include <catch2/catch.hpp>

using namespace chivefold;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

/** A server in this data centre and one in another. */
struct LimitedFleet {
  platform::OperatorRecords Codec;
  OperatorState Orders{Codec};
  VersionPolicy Versions{Orders};
  FleetTable Fleet{1};
  Placement Servers{Fleet, Orders, Versions, {"10.0.0.9", 1}, "local", 1};
  const Address Local{"10.0.0.1", 1};
  const Address Remote{"10.1.0.1", 1};
  std::uint64_t Sequence = 0;

  LimitedFleet() {
    setServer(Local, "local", 1);
    setServer(Remote, "remote", 2);
  }

  void setServer(const Address &peer, const std::string &dataCentre,
                 std::uint64_t start) {
    HostState host;
    host.Peer = peer;
    host.DataCentre = dataCentre;
    host.BootId = 1;
    host.Sequence = ++Sequence;
    host.Server = {"i", "s", "v1", 4, ServerPhase::Ready, start};
    Fleet.update(host, at(0));
    Servers.refresh();
  }

  static GateState gate(std::uint64_t start, LimitKnowledge known,
                        double perSecond = 0, Duration wait = {}) {
    GateState out;
    out.Limit = 4;
    out.StatedLimit.Known = known;
    out.StatedLimit.PerSecond = perSecond;
    out.StatedLimit.ServerStart = start;
    out.LimitWait = wait;
    return out;
  }

  void answer(const Address &peer, const GateState &gate) {
    Servers.started(peer);
    Servers.answered(peer, "r", milliseconds(100), 1000, false, gate, at(0));
  }

  PlacementChoice choose(std::int64_t ms) {
    PlacementRequest request;
    request.Service = "s";
    request.Route = "r";
    request.Priority = 2;
    request.TargetLatency = milliseconds(300);
    return Servers.choose(request, at(ms));
  }
};

} // namespace

// Guards against requests that wait for a limit, or are rejected by it, while
// another server has room, also one in another data centre with a short queue.
TEST_CASE("a held-up limit sends requests to other servers", "[server_limit]") {
  LimitedFleet f;
  f.answer(f.Local, f.gate(1, LimitKnowledge::None));
  f.answer(f.Remote, f.gate(2, LimitKnowledge::None));
  CHECK(f.choose(0).Peer == f.Local);
  f.answer(f.Local, f.gate(1, LimitKnowledge::Stated, 1, seconds(2)));
  CHECK(f.choose(0).Peer == f.Remote);
  auto full = f.gate(2, LimitKnowledge::None);
  full.InFlight = 4;
  f.answer(f.Remote, full);
  CHECK(f.choose(0).Peer == f.Remote);
  // The wait has passed.
  CHECK(f.choose(2'500).Peer == f.Local);
}

// Guards against a copy of a limit that outlives its server, and against one
// that is lost because the daemon beside the server restarted.
TEST_CASE("callers keep the limit of the current server", "[server_limit]") {
  LimitedFleet f;
  const auto known = [&f] { return f.Servers.knownLimit(f.Local).Known; };
  f.answer(f.Local, f.gate(1, LimitKnowledge::Stated, 5));
  CHECK(f.Servers.knownLimit(f.Local).PerSecond == 5);
  f.answer(f.Local, f.gate(1, LimitKnowledge::Unknown));
  CHECK(known() == LimitKnowledge::Stated);
  f.answer(f.Local, f.gate(0, LimitKnowledge::Unknown));
  CHECK(known() == LimitKnowledge::Stated);
  f.setServer(f.Local, "local", 3);
  CHECK(known() == LimitKnowledge::Unknown);
  f.answer(f.Local, f.gate(3, LimitKnowledge::Unknown));
  CHECK(known() == LimitKnowledge::Unknown);
  f.answer(f.Local, f.gate(3, LimitKnowledge::Stated, 7));
  f.answer(f.Local, f.gate(3, LimitKnowledge::None));
  CHECK(known() != LimitKnowledge::Stated);
}

// Guards against a retry-after time that is shorter than all limits need.
TEST_CASE("a refusal states the time that the limits need", "[server_limit]") {
  LimitedFleet f;
  for (const auto &it : {std::make_pair(f.Local, 1), {f.Remote, 2}}) {
    const auto start = static_cast<std::uint64_t>(it.second);
    f.Servers.started(it.first);
    f.Servers.refused(it.first,
                      f.gate(start, LimitKnowledge::Stated, 0.5, seconds(4)), 2,
                      seconds(it.second + 3), at(0));
  }
  const auto choice = f.choose(100);
  CHECK_FALSE(choice.Peer);
  CHECK(choice.RetryAfter == milliseconds(3'900));
}

// Guards against using a server that has left after the daemon beside it has
// restarted and announces it as ready, from an old report.
TEST_CASE("callers remember which start of a server has left",
          "[server_limit]") {
  LimitedFleet f;
  auto leaving = f.gate(1, LimitKnowledge::None);
  leaving.ServerLeaving = true;
  f.answer(f.Local, leaving);
  f.setServer(f.Local, "local", 1);
  CHECK(f.choose(0).Peer == f.Remote);
  f.setServer(f.Local, "local", 5);
  CHECK(f.choose(0).Peer == f.Local);
}
