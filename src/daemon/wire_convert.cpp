#include "chivefold/daemon/wire_convert.h"

#include <algorithm>
#include <limits>

namespace chivefold {

std::unique_ptr<wire::PeerAddressT> addressToWire(const Address &address) {
  auto to = std::make_unique<wire::PeerAddressT>();
  to->ip = address.Ip;
  to->port = address.Port;
  return to;
}

std::optional<Address> fromWire(const wire::PeerAddressT *address) {
  if (address == nullptr || address->port == 0) {
    return std::nullopt;
  }
  // Parsing checks that the text is an IP number.
  return parseAddress(toString(Address{address->ip, address->port}));
}

std::unique_ptr<wire::MemberT> toWire(const Member &member) {
  auto to = std::make_unique<wire::MemberT>();
  to->address = addressToWire(member.Peer);
  to->data_centre = member.DataCentre;
  to->region = member.Region;
  to->service = member.Service;
  to->service_version = member.ServiceVersion;
  to->state = static_cast<std::uint8_t>(member.State);
  to->incarnation = member.Incarnation;
  to->boot_id = member.BootId;
  to->floor = raw(member.Floor);
  to->caller_port = member.CallerPort;
  to->admin_port = member.AdminPort;
  return to;
}

std::optional<Member> fromWire(const wire::MemberT *member) {
  if (member == nullptr ||
      member->state > static_cast<std::uint8_t>(MemberState::Left)) {
    return std::nullopt;
  }
  const auto address = fromWire(member->address.get());
  if (!address) {
    return std::nullopt;
  }
  Member m;
  m.Peer = *address;
  m.DataCentre = member->data_centre;
  m.Region = member->region;
  m.Service = member->service;
  m.ServiceVersion = member->service_version;
  m.State = static_cast<MemberState>(member->state);
  m.Incarnation = member->incarnation;
  m.BootId = member->boot_id;
  m.Floor = LogOffset{member->floor};
  m.CallerPort = member->caller_port;
  m.AdminPort = member->admin_port;
  return m;
}

std::vector<std::unique_ptr<wire::MemberT>>
toWire(const std::vector<Member> &members) {
  std::vector<std::unique_ptr<wire::MemberT>> to;
  to.reserve(members.size());
  for (const auto &it : members) {
    to.push_back(toWire(it));
  }
  return to;
}

std::vector<Member>
fromWire(const std::vector<std::unique_ptr<wire::MemberT>> &members) {
  std::vector<Member> to;
  to.reserve(members.size());
  for (const auto &it : members) {
    if (auto m = fromWire(it.get())) {
      to.push_back(std::move(*m));
    }
  }
  return to;
}

std::unique_ptr<wire::SafeStepT> stepToWire(const SafeStep &step) {
  auto to = std::make_unique<wire::SafeStepT>();
  to->kind = static_cast<std::uint8_t>(step.Kind);
  to->subject = step.Subject;
  to->move = raw(step.Move);
  to->after_offset = raw(step.AfterOffset);
  to->reason = step.Reason;
  return to;
}

std::optional<SafeStep> stepFromWire(const wire::SafeStepT &step) {
  if (step.kind > static_cast<std::uint8_t>(SafeStepKind::TakeOut)) {
    return std::nullopt;
  }
  SafeStep s;
  s.Kind = static_cast<SafeStepKind>(step.kind);
  s.Subject = step.subject;
  s.Move = Version{step.move};
  s.AfterOffset = LogOffset{step.after_offset};
  s.Reason = step.reason;
  return s;
}

std::unique_ptr<wire::PoisonDeathT> poisonToWire(const PoisonUpdate &step) {
  auto to = std::make_unique<wire::PoisonDeathT>();
  to->digest = static_cast<std::uint64_t>(step.Digest);
  to->server = addressToWire(step.Server);
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(step.Age).count();
  to->age_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      ms, 0, std::numeric_limits<std::uint32_t>::max()));
  to->cleared = step.Cleared;
  to->id = static_cast<std::uint64_t>(step.Id);
  to->hops = step.Hops;
  to->inferred = step.Evidence == CrashEvidence::Inferred;
  return to;
}

std::optional<PoisonUpdate> poisonFromWire(const wire::PoisonDeathT &death) {
  const auto server = fromWire(death.server.get());
  if (!server) {
    return std::nullopt;
  }
  PoisonUpdate out;
  out.Digest = static_cast<RequestDigest>(death.digest);
  out.Server = *server;
  out.Age = std::chrono::milliseconds(death.age_ms);
  out.Cleared = death.cleared;
  out.Id = static_cast<CrashId>(death.id);
  out.Hops = death.hops;
  out.Evidence =
      death.inferred ? CrashEvidence::Inferred : CrashEvidence::Direct;
  return out;
}

std::vector<std::unique_ptr<wire::KindStatsT>>
statsToWire(const std::vector<KindCounts> &counts, const std::string &version) {
  std::vector<std::unique_ptr<wire::KindStatsT>> to;
  to.reserve(counts.size());
  for (const auto &it : counts) {
    auto stats = std::make_unique<wire::KindStatsT>();
    stats->version = version;
    stats->path_prefix = it.PathPrefix;
    stats->kind = it.Kind;
    stats->calls = it.Calls;
    stats->errors = it.Errors;
    stats->refusals = it.Refusals;
    stats->latency_sum_us = it.LatencySumUs;
    stats->latency_square_sum_ms2 = it.LatencySquareSumMs2;
    to.push_back(std::move(stats));
  }
  return to;
}

std::vector<KindCounts>
statsFromWire(const std::vector<std::unique_ptr<wire::KindStatsT>> &stats) {
  std::vector<KindCounts> to;
  to.reserve(stats.size());
  for (const auto &it : stats) {
    KindCounts counts;
    counts.PathPrefix = it->path_prefix;
    counts.Kind = it->kind;
    counts.Calls = it->calls;
    counts.Errors = it->errors;
    counts.Refusals = it->refusals;
    counts.LatencySumUs = it->latency_sum_us;
    counts.LatencySquareSumMs2 = it->latency_square_sum_ms2;
    to.push_back(std::move(counts));
  }
  return to;
}

} // namespace chivefold
