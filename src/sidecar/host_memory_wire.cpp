#include "host_memory_wire.h"

namespace chivefold {

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
