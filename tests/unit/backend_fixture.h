/**
 * @file
 * A BackendService with the platform's codecs and a listening socket in place
 * of its server.
 */
#ifndef CHIVEFOLD_TESTS_BACKEND_FIXTURE_H
#define CHIVEFOLD_TESTS_BACKEND_FIXTURE_H

#include "chivefold/sidecar/backend_service.h"

#include "raw_socket.h"
#include "record_codec.h"
#include "request_headers.h"

namespace chivefold {

struct BackendFixture {
  platform::RequestHeaders Requests;
  platform::ServerReports Reports;
  platform::OperatorRecords Records;
  platform::RolloutStatuses Statuses;
  const PlatformPorts Ports{Requests, Reports, Records, Statuses};
  Reactor Loop;
  HttpClient Client{Loop, 4};
  OperatorState Orders{Records};
  VersionPolicy Versions{Orders};
  RawSocket Listener = RawSocket::listening();
  PeerNetwork Network{Loop, {"127.0.0.1", 0}, [](auto &&...) {}};
  PoisonService Poison{Loop, Network,
                       [](std::size_t) { return std::vector<Address>(); }, 1};
  Departures Departed;
  BackendService Backend{Loop,
                         Client,
                         {Ports, Orders, Versions, Poison, Departed},
                         {Listener.address(), {"10.0.0.1", 1}, "z"},
                         [] {}};

  /** @param knowsDepartures whether the daemon has heard which servers left. */
  explicit BackendFixture(bool knowsDepartures = true) {
    if (knowsDepartures) {
      Departed.setComplete();
    }
  }

  ServerReport report(const std::string &instance, std::int64_t startedAt,
                      std::uint64_t sequence,
                      ServerPhase phase = ServerPhase::Ready) const {
    ServerReport out;
    out.Server = Listener.address();
    out.State = {instance, "s", "v1", 4, phase};
    out.StartedAtMs = startedAt;
    out.Sequence = sequence;
    return out;
  }

  void configure() {
    Orders.apply({"config",
                  R"({"version":"r1","routes":[],"services":[{"name":"s",
                      "maxConnections":100,"warmupRpsS":2}]})",
                  0});
    Backend.ordersChanged();
  }

  CallMessage call() const {
    CallMessage out;
    out.Service = "s";
    out.Method = "POST";
    out.Target = "/x";
    out.RequestId = "q";
    out.Deadline = Loop.now() + std::chrono::seconds(10);
    return out;
  }
};

} // namespace chivefold

#endif
