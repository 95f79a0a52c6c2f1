#include "host_memory_wire.h"

#include "chivefold/daemon/wire_convert.h"

#include <algorithm>

namespace chivefold {

namespace {

/** Older crashes do not count. */
constexpr std::int64_t MaxAgeMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(
        PoisonTable::QuarantineTime)
        .count();

} // namespace

DeparturesOnWire toWire(const std::vector<Departure> &from) {
  DeparturesOnWire out;
  for (const auto &it : from) {
    auto to = std::make_unique<wire::DepartureT>();
    to->instance = it.Instance;
    to->start_known = it.StartedAtMs.has_value();
    to->started_at_ms = it.StartedAtMs.value_or(0);
    to->announced_at_ms = it.AnnouncedAtMs;
    out.push_back(std::move(to));
  }
  return out;
}

std::vector<Departure> fromWire(const DeparturesOnWire &from) {
  std::vector<Departure> out;
  for (const auto &it : from) {
    if (!it || it->instance.empty()) {
      continue;
    }
    Departure to;
    to.Instance = it->instance;
    if (it->start_known) {
      to.StartedAtMs = it->started_at_ms;
    }
    to.AnnouncedAtMs = it->announced_at_ms;
    out.push_back(std::move(to));
    if (out.size() >= MaxDeparturesOnWire) {
      break;
    }
  }
  return out;
}

CrashesOnWire crashesToWire(const std::vector<PoisonUpdate> &from,
                            const Address &own, std::int64_t nowMs) {
  CrashesOnWire out;
  for (const auto &it : from) {
    auto to = std::make_unique<wire::KeptCrashT>();
    to->digest = static_cast<std::uint64_t>(it.Digest);
    to->id = static_cast<std::uint64_t>(it.Id);
    to->at_ms =
        nowMs -
        std::chrono::duration_cast<std::chrono::milliseconds>(it.Age).count();
    to->server = it.Server == own ? nullptr : addressToWire(it.Server);
    to->inferred = it.Evidence == CrashEvidence::Inferred;
    out.push_back(std::move(to));
  }
  return out;
}

std::vector<PoisonUpdate> crashesFromWire(const CrashesOnWire &from,
                                          const Address &host,
                                          std::int64_t nowMs) {
  std::vector<PoisonUpdate> out;
  for (const auto &it : from) {
    const auto server = it && it->server ? fromWire(it->server.get())
                                         : std::optional<Address>(host);
    if (!it || !server || it->digest == 0 || it->id == 0) {
      continue;
    }
    PoisonUpdate to;
    to.Digest = static_cast<RequestDigest>(it->digest);
    to.Server = *server;
    to.Age = std::chrono::milliseconds(
        std::clamp<std::int64_t>(nowMs - it->at_ms, 0, MaxAgeMs));
    to.Id = static_cast<CrashId>(it->id);
    to.Evidence =
        it->inferred ? CrashEvidence::Inferred : CrashEvidence::Direct;
    out.push_back(to);
  }
  return out;
}

std::string encodeHostMemory(const wire::HostMemoryT &from) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::HostMemory::Pack(builder, &from));
  return {reinterpret_cast<const char *>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::optional<wire::HostMemoryT> decodeHostMemory(const std::string &bytes) {
  // FlatBuffers are read in place, so the bytes are copied to aligned memory.
  const std::vector<std::uint8_t> aligned(bytes.begin(), bytes.end());
  flatbuffers::Verifier verifier(aligned.data(), aligned.size());
  if (!verifier.VerifyBuffer<wire::HostMemory>(nullptr)) {
    return std::nullopt;
  }
  wire::HostMemoryT out;
  flatbuffers::GetRoot<wire::HostMemory>(aligned.data())->UnPackTo(&out);
  return out;
}

} // namespace chivefold
