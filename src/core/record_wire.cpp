#include "record_wire.h"

namespace chivefold {
namespace {

/** Fewest bytes of a string or table besides its content: the offset that
 * refers to it and its size field. */
constexpr std::size_t ReferenceBytes = 8;

using Strings = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

/** The overloads return a lower bound of the encoded size without sharing. */
std::size_t minBytes(const flatbuffers::String *s) {
  return s == nullptr ? 0 : ReferenceBytes + s->size();
}

std::size_t minBytes(const Strings *list) {
  std::size_t n = 0;
  for (flatbuffers::uoffset_t i = 0; list != nullptr && i < list->size(); ++i) {
    n += minBytes(list->Get(i));
  }
  return n;
}

std::size_t minBytes(const wire::Service *s) {
  if (s == nullptr) {
    return 0;
  }
  auto n = ReferenceBytes + minBytes(s->name()) + minBytes(s->depends_on()) +
           minBytes(s->versions()) + minBytes(s->current_version());
  const auto *routes = s->routes();
  for (flatbuffers::uoffset_t i = 0; routes != nullptr && i < routes->size();
       ++i) {
    const auto *r = routes->Get(i);
    n += ReferenceBytes + minBytes(r->method()) + minBytes(r->path_prefix()) +
         minBytes(r->kind());
  }
  return n;
}

} // namespace

std::size_t unsharedBytes(
    const flatbuffers::Vector<flatbuffers::Offset<wire::Section>> *sections) {
  std::size_t n = 0;
  for (flatbuffers::uoffset_t i = 0;
       sections != nullptr && i < sections->size() && n <= MaxRecordBytes;
       ++i) {
    const auto *s = sections->Get(i);
    n += ReferenceBytes + minBytes(s->service()) +
         minBytes(s->removed_service());
    if (s->fleet() != nullptr) {
      n += minBytes(s->fleet()->data_centres()) +
           minBytes(s->fleet()->taken_out());
    }
  }
  return n;
}

std::unique_ptr<wire::FleetT> toWire(const Fleet &fleet) {
  auto w = std::make_unique<wire::FleetT>();
  w->data_centres = fleet.DataCentres;
  w->taken_out = fleet.TakenOut;
  return w;
}

std::unique_ptr<wire::ServiceT> toWire(const Service &service) {
  auto w = std::make_unique<wire::ServiceT>();
  w->name = service.Name;
  w->depends_on = service.DependsOn;
  w->versions = service.Versions;
  w->current_version = service.CurrentVersion;
  w->limits = std::make_unique<wire::ServerLimitsT>();
  w->limits->slots = service.Limits.Slots;
  w->limits->connections = service.Limits.Connections;
  w->limits->queue = service.Limits.Queue;
  w->limits->cold_slots = service.Limits.ColdSlots;
  for (const auto &it : service.Routes) {
    auto r = std::make_unique<wire::RouteT>();
    r->method = it.Method;
    r->path_prefix = it.PathPrefix;
    r->kind = it.Kind;
    r->repeatable = it.Repeatable;
    r->worth = it.Worth;
    r->timeout_ms = it.TimeoutMs;
    r->objective = it.Objective;
    w->routes.push_back(std::move(r));
  }
  if (service.Move) {
    w->move = std::make_unique<wire::MoveRequestT>();
    w->move->to_version = service.Move->ToVersion;
    w->move->deadline_utc_ms =
        service.Move->Deadline.time_since_epoch().count();
  }
  return w;
}

std::unique_ptr<wire::AddressT> toWire(const Address &address) {
  auto w = std::make_unique<wire::AddressT>();
  w->ip = address.Ip;
  w->port = address.Port;
  return w;
}

std::unique_ptr<wire::DaemonIdT> toWire(const DaemonId &id) {
  auto w = std::make_unique<wire::DaemonIdT>();
  w->peer = toWire(id.Peer);
  w->boot_id = id.BootId;
  return w;
}

Result<Fleet> fromWire(const wire::FleetT &fleet) {
  return Fleet{fleet.data_centres, fleet.taken_out};
}

Result<Service> fromWire(const wire::ServiceT &service) {
  if (service.name.empty()) {
    return invalidRecord("service without name");
  }
  if (!service.limits) {
    return invalidRecord("service without limits");
  }
  Service s;
  s.Name = service.name;
  s.DependsOn = service.depends_on;
  s.Versions = service.versions;
  s.CurrentVersion = service.current_version;
  s.Limits = {service.limits->slots, service.limits->connections,
              service.limits->queue, service.limits->cold_slots};
  for (const auto &it : service.routes) {
    if (!it) {
      return invalidRecord("route is null");
    }
    // The negated form also rejects NaN.
    if (!(it->objective > 0 && it->objective < 1)) {
      return invalidRecord("objective is not between 0 and 1");
    }
    s.Routes.push_back({it->method, it->path_prefix, it->kind, it->repeatable,
                        it->worth, it->timeout_ms, it->objective});
  }
  if (service.move) {
    s.Move = MoveRequest{
        service.move->to_version,
        UtcTime(std::chrono::milliseconds(service.move->deadline_utc_ms))};
  }
  return s;
}

Result<Address> fromWire(const wire::AddressT *address) {
  if (address == nullptr || address->ip.empty()) {
    return invalidRecord("record without peer address");
  }
  return Address{address->ip, address->port};
}

Result<DaemonId> fromWire(const wire::DaemonIdT *id) {
  if (id == nullptr) {
    return invalidRecord("record without daemon id");
  }
  const auto peer = fromWire(id->peer.get());
  if (!peer) {
    return peer.reason();
  }
  return DaemonId{*peer, id->boot_id};
}

} // namespace chivefold
