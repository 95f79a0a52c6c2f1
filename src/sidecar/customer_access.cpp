#include "chivefold/sidecar/customer_access.h"

namespace chivefold {

CustomerAccess::CustomerAccess(const RequestProtocol &protocol,
                               const OrderFeed &feed,
                               const BackendService &backend)
    : Protocol(protocol), Feed(feed), Backend(backend) {}

AccessDecision CustomerAccess::check(const RouteTable &table,
                                     const MeshRoute &route,
                                     const std::optional<std::string> &key,
                                     const std::string &request) {
  const auto *keys = table.keys();
  if (keys == nullptr) {
    return {};
  }
  AccessDecision out;
  out.Customer = key ? keys->find(*key) : nullptr;
  KeyFacts facts;
  facts.HasKey = key.has_value();
  facts.IsKnown = out.Customer != nullptr;
  facts.IsPublic = route.Public;
  // Asks for the gate's state, which only a request without a key needs.
  facts.MayBeServersCall = !key && !route.Public && Backend.mayBeRunning();
  const auto verdict = judgeKey(facts);
  if (verdict == KeyVerdict::Allowed) {
    return out;
  }
  // A later configuration may hold the key, or make the route public.
  out.RefusalStatus = Feed.mayBeStale() || Feed.isBehindPeer() ? 503 : 401;
  countRefusal(verdict, out.RefusalStatus);
  Lines.info("refused a request because of its key",
             {{"request", request},
              {"route", route.Name},
              {"reason", keyVerdictName(verdict)},
              {"status", static_cast<std::uint64_t>(out.RefusalStatus)},
              {"version", table.configuration().Version}});
  return out;
}

void CustomerAccess::countRefusal(KeyVerdict verdict, int status) {
  if (status == 503) {
    ++Counts.Unsure;
  } else if (verdict == KeyVerdict::UnknownKey) {
    ++Counts.UnknownKey;
  } else {
    ++Counts.MissingKey;
  }
}

void CustomerAccess::apply(const AccessDecision &decision,
                           const RouteTable &table, const MeshRoute &route,
                           const std::optional<std::string> &key,
                           CallMessage &call) const {
  call.Worth = table.priority(decision.Customer, route);
  call.Customer.clear();
  call.KeyDigest = 0;
  if (table.keys() == nullptr) {
    return;
  }
  call.Headers = Protocol.withoutCustomer(call.Headers);
  if (decision.Customer != nullptr) {
    call.Customer = decision.Customer->Name;
    call.KeyDigest = static_cast<std::uint64_t>(digestOfKey(*key));
  }
}

} // namespace chivefold
