/**
 * @file
 * A request of ProxyService, for the files that implement it.
 */
#ifndef CHIVEFOLD_SIDECAR_PROXY_REQUEST_H
#define CHIVEFOLD_SIDECAR_PROXY_REQUEST_H

#include "chivefold/sidecar/proxy_service.h"

#include <algorithm>

namespace chivefold {

/** Retry-After value for refusals for which no other value is known. */
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(500);

/** @return whole milliseconds, 0 if negative. Thread-safe. */
inline std::uint64_t toMs(Duration d) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(d.count(), 0) /
                                    1000);
}

struct ProxyService::Request {
  std::shared_ptr<HttpExchange> Exchange;
  std::string Hostname;
  /** Key that the client stated. */
  std::optional<std::string> Key;
  /** Configuration of the route, which it keeps alive. */
  std::shared_ptr<const RouteTable> Table;
  const MeshRoute *Route = nullptr;
  CallMessage Call;
  TimePoint ReceivedAt{};
  TimePoint Deadline{};
  TimerId Timer = TimerId::None;
  /** Ends the wait for a later configuration. */
  TimerId OrdersTimer = TimerId::None;
  std::vector<Address> Tried;
  std::uint32_t Attempts = 0;
  std::uint32_t Runs = 0;
  /** Host of the current attempt. */
  Address Peer;
  TimePoint AttemptAt{};
  bool InProgress = false;
  PeerRequestId PeerCall = PeerRequestId::None;
  BackendCallId LocalCall = BackendCallId::None;
  /** Last answer with a server error; delivered if the retry has no known
   * outcome. */
  std::optional<CallResult> ErrorAnswer;
  Duration RetryAfter{};
  bool Done = false;
};

} // namespace chivefold

#endif
