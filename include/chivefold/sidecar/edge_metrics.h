/**
 * @file
 * Figures of the edge for operators.
 */
#ifndef CHIVEFOLD_SIDECAR_EDGE_METRICS_H
#define CHIVEFOLD_SIDECAR_EDGE_METRICS_H

#include "chivefold/io/byte_budget.h"
#include "chivefold/io/http_server.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace chivefold {

/** @return what connections hold and what @p servers have refused, by the name
 * of their address, in the Prometheus text format. Used on the reactor's
 * thread. */
std::string edgeMetrics(
    const ByteBudget &budget,
    std::initializer_list<std::pair<std::string_view, const HttpServer *>>
        servers);

} // namespace chivefold

#endif
