/**
 * @file
 * Checks the customers' keys of requests at the daemon that receives them.
 */
#ifndef CHIVEFOLD_SIDECAR_CUSTOMER_ACCESS_H
#define CHIVEFOLD_SIDECAR_CUSTOMER_ACCESS_H

#include "chivefold/daemon/call_message.h"
#include "chivefold/io/logging.h"
#include "chivefold/mesh/mesh_configuration.h"
#include "chivefold/sidecar/backend_service.h"
#include "chivefold/sidecar/order_feed.h"
#include "chivefold/sidecar/ports.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chivefold {

/** Whether a request may run, and for which customer. */
struct AccessDecision {
  /** Status of the refusal; 0 if the request may run. */
  int RefusalStatus = 0;
  /** Customer that holds the key, or null. */
  const MeshCustomer *Customer = nullptr;
};

/** Requests refused because of their key. */
struct AccessCounts {
  std::uint64_t UnknownKey = 0;
  std::uint64_t MissingKey = 0;
  /** Refused with 503, since a later configuration may hold the key. */
  std::uint64_t Unsure = 0;
};

/**
 * Decides by the configuration with which a request is routed. Without
 * customers in it, every request is allowed and nothing is changed. The key of
 * a request stays in this daemon: calls to others carry its digest. Used on the
 * reactor's thread only.
 */
class CustomerAccess {
public:
  /** The references must outlive this object. */
  CustomerAccess(const RequestProtocol &protocol, const OrderFeed &feed,
                 const BackendService &backend);

  /** Decides on a request that @p table routes by @p route. @param key that the
   * client stated, or nothing. @param request identifies it in the log. */
  AccessDecision check(const RouteTable &table, const MeshRoute &route,
                       const std::optional<std::string> &key,
                       const std::string &request);

  /** Sets the customer, the key's digest and the worth of a call that check()
   * allowed, and removes the key and the client's own customer header. */
  void apply(const AccessDecision &decision, const RouteTable &table,
             const MeshRoute &route, const std::optional<std::string> &key,
             CallMessage &call) const;

  const AccessCounts &counts() const { return Counts; }

private:
  void countRefusal(KeyVerdict verdict, int status);

  const RequestProtocol &Protocol;
  const OrderFeed &Feed;
  const BackendService &Backend;
  AccessCounts Counts;
  Logger Lines{"access"};
};

} // namespace chivefold

#endif
