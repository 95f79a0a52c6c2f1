/**
 * @file
 * Tells an operator where a request would go.
 */
#ifndef CHIVEFOLD_SIDECAR_EXPLANATION_H
#define CHIVEFOLD_SIDECAR_EXPLANATION_H

#include "chivefold/io/http.h"
#include "chivefold/mesh/operator_state.h"
#include "chivefold/mesh/placement.h"
#include "chivefold/mesh/version_policy.h"

#include <string>

namespace chivefold {

/** What decides on a request. */
struct ExplanationParts {
  const OperatorState &Orders;
  const VersionPolicy &Versions;
  const Placement &Servers;
  /** Data centre of this daemon. */
  const std::string &DataCentre;
  /** A later configuration may exist. */
  bool MayBeStale = false;
};

/** Servers of a service that an explanation lists. */
constexpr std::size_t MaxExplainedServers = 200;

/** @return a JSON object with the route of a request for @p path at host name
 * @p host, and the servers that it might reach. Status 400 if the request
 * cannot exist, 404 without a route, 503 without a configuration. Sends nothing
 * and changes nothing. */
HttpResponse explain(const ExplanationParts &parts, const std::string &host,
                     const std::string &path, TimePoint now);

} // namespace chivefold

#endif
