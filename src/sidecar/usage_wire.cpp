#include "usage_wire.h"

namespace chivefold {

WireCounts countsToWire(const UsageCounts &counts) {
  WireCounts out;
  for (const auto &it : counts) {
    auto count = std::make_unique<wire::UsageCountT>();
    count->customer = it.first;
    count->requests = it.second;
    out.push_back(std::move(count));
  }
  return out;
}

UsageCounts countsFromWire(const WireCounts &counts) {
  UsageCounts out;
  for (const auto &it : counts) {
    out[it->customer] += it->requests;
  }
  return out;
}

std::string encodeUsageRecord(const UsageRecord &record) {
  wire::UsageRecordT content;
  content.fence = record.Term.Fence;
  content.holder = record.Term.Holder;
  content.boot_id = record.Term.Boot;
  content.reported = record.Reported;
  if (record.Closed) {
    content.closed = true;
    content.window = record.Closed->Number;
    content.counts = countsToWire(record.Closed->Counts);
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::UsageRecord::Pack(builder, &content));
  return {reinterpret_cast<const char *>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::optional<UsageRecord> decodeUsageRecord(const KeyedRecord &record) {
  if (!record.Value) {
    return std::nullopt;
  }
  // FlatBuffers are read in place, so the bytes are copied to aligned memory.
  const std::vector<std::uint8_t> bytes(record.Value->begin(),
                                        record.Value->end());
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!verifier.VerifyBuffer<wire::UsageRecord>(nullptr)) {
    return std::nullopt;
  }
  wire::UsageRecordT content;
  flatbuffers::GetRoot<wire::UsageRecord>(bytes.data())->UnPackTo(&content);
  UsageRecord out;
  out.Term = {content.fence, content.holder, content.boot_id};
  out.Reported = content.reported;
  if (content.closed) {
    out.Closed = ClosedWindow{content.window, countsFromWire(content.counts)};
  }
  return out;
}

} // namespace chivefold
