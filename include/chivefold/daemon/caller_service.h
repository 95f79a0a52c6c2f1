/**
 * @file
 * Accepts calls by HTTP and answers each with one of three outcomes.
 */
#ifndef CHIVEFOLD_DAEMON_CALLER_SERVICE_H
#define CHIVEFOLD_DAEMON_CALLER_SERVICE_H

#include "chivefold/core/metrics.h"
#include "chivefold/daemon/call_runner.h"
#include "chivefold/daemon/claim_service.h"
#include "chivefold/daemon/control_service.h"
#include "chivefold/io/http_server.h"

#include <memory>

namespace chivefold {

/** What the caller service hands calls to. */
struct CallerParts {
  ControlService &Control;
  const ControlState &State;
  CallRunner &Runner;
  ClaimService &Claims;
  Metrics &Figures;
  const PoisonService &Poison;
};

/** Used on the reactor's thread only. */
class CallerService {
public:
  /** @param seed of the keys for requests that bring none. */
  CallerService(Reactor &reactor, CallerParts parts, std::uint64_t seed);

  /** Handles a request from a caller. */
  void handle(const std::shared_ptr<HttpExchange> &exchange);

private:
  /** A valid request with its route, in the snapshot that it started with. */
  struct Accepted {
    std::shared_ptr<const Configuration> Config;
    const Service *Target = nullptr;
    const Route *Matched = nullptr;
    CallMessage Call;
  };

  std::optional<CallResult> refuseEarly(const HttpRequest &request) const;
  std::optional<CallResult> refusePoison(const HttpRequest &request,
                                         const Accepted &accepted) const;
  Result<Accepted> accept(const HttpRequest &request);
  Status readHeaders(const HttpRequest &request, Accepted &accepted);
  std::string randomKey();
  void run(const std::shared_ptr<HttpExchange> &exchange, Accepted accepted);
  void respond(const std::shared_ptr<HttpExchange> &exchange,
               CallResult result) const;
  void record(const Accepted &accepted, const CallResult &result,
              TimePoint startedAt);

  Reactor &Loop;
  CallerParts Parts;
  std::mt19937_64 Random;
};

} // namespace chivefold

#endif
