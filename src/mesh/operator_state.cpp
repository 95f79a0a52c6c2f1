#include "chivefold/mesh/operator_state.h"

#include <algorithm>

namespace chivefold {

namespace {

OperatorChange ignored(ErrorCode code, std::string message) {
  OperatorChange out;
  out.Ignored = {code, std::move(message)};
  return out;
}

void merge(OperatorChange &into, const OperatorChange &from) {
  into.Configuration |= from.Configuration;
  into.Rollouts |= from.Rollouts;
  into.Evacuations |= from.Evacuations;
  if (from.Ignored.Code != ErrorCode::Ok) {
    into.Ignored = from.Ignored;
  }
}

} // namespace

OperatorState::OperatorState(const OperatorCodec &codec) : Codec(codec) {}

OperatorChange OperatorState::apply(const KeyedRecord &record) {
  const auto it = Records.find(record.Key);
  if (it != Records.end() && record.Offset <= it->second.Offset) {
    return {};
  }
  if (it == Records.end() && Records.size() >= MaxKeys) {
    return ignored(ErrorCode::TooLarge,
                   "maximum of " + std::to_string(MaxKeys) + " keys reached");
  }
  Records[record.Key] = record;
  return record.Value ? applyValue(record) : applyDeletion(record);
}

OperatorChange OperatorState::applyValue(const KeyedRecord &record) {
  auto order = Codec.decode(record.Key, *record.Value);
  if (!order) {
    return ignored(order.reason().Code,
                   record.Key + ": " + order.reason().Message);
  }
  OperatorChange change;
  if (auto *next = std::get_if<MeshConfiguration>(&*order)) {
    const auto current = Routes ? Routes->configuration().Version : 0;
    if (next->Version <= current) {
      return ignored(
          ErrorCode::Conflict,
          "configuration version is not higher than the current one");
    }
    Routes = std::make_shared<const RouteTable>(std::move(*next));
    change.Configuration = true;
  } else if (auto *rollout = std::get_if<RolloutOrder>(&*order)) {
    rollout->Offset = record.Offset;
    Rollouts[rollout->Service] = *rollout;
    change.Rollouts = true;
  } else if (const auto *evacuation = std::get_if<EvacuationOrder>(&*order)) {
    change.Evacuations = Evacuated.insert(evacuation->DataCentre).second;
  }
  return change;
}

OperatorChange OperatorState::applyDeletion(const KeyedRecord &record) {
  OperatorChange change;
  const auto order = Codec.decodeKey(record.Key);
  if (const auto *rollout = std::get_if<RolloutOrder>(&order)) {
    change.Rollouts = Rollouts.erase(rollout->Service) > 0;
  } else if (const auto *evacuation = std::get_if<EvacuationOrder>(&order)) {
    change.Evacuations = Evacuated.erase(evacuation->DataCentre) > 0;
  }
  return change;
}

OperatorChange
OperatorState::applyListing(const std::vector<KeyedRecord> &listing,
                            std::uint64_t end) {
  OperatorChange change;
  for (const auto &it : listing) {
    merge(change, apply(it));
  }
  for (auto &it : Records) {
    auto &known = it.second;
    const bool listed =
        std::any_of(listing.begin(), listing.end(),
                    [&](const auto &r) { return r.Key == known.Key; });
    if (!listed && known.Value && known.Offset < end) {
      known.Value.reset();
      // The offset of the deletion is not known. The highest possible one makes
      // the deletion part of the answer to each peer that asks for the records
      // after its own, lower offset.
      known.Offset = end - 1;
      merge(change, applyDeletion(known));
    }
  }
  advance(end);
  return change;
}

void OperatorState::advance(std::uint64_t end) { End = std::max(End, end); }

bool OperatorState::isEvacuated(std::string_view dataCentre) const {
  return Evacuated.count(dataCentre) > 0;
}

std::vector<KeyedRecord> OperatorState::records() const {
  std::vector<KeyedRecord> out;
  out.reserve(Records.size());
  for (const auto &it : Records) {
    out.push_back(it.second);
  }
  return out;
}

} // namespace chivefold
