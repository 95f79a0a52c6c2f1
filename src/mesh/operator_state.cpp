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

std::uint64_t digestOf(const KeyedRecord &record) {
  constexpr std::uint64_t deleted = 1;
  return hash64(record.Key, record.Value ? hash64(*record.Value) : deleted);
}

} // namespace

OperatorState::OperatorState(const OperatorCodec &codec) : Codec(codec) {}

StorePosition OperatorState::placeOf(const KeyedRecord &record) const {
  return History.place({record.Era, record.Offset});
}

void OperatorState::store(const KeyedRecord &record) {
  auto &known = Records[record.Key];
  Digest ^= known.Value ? digestOf(known) : 0;
  Digest ^= record.Value ? digestOf(record) : 0;
  known = record;
}

bool OperatorState::isLost(const KeyedRecord &record) const {
  return History.isLost(placeOf(record));
}

OperatorChange OperatorState::apply(const KeyedRecord &record) {
  History.enter(record.Era);
  if (record.Era == History.era()) {
    History.recordRead(record.Offset, digestOf(record));
  }
  auto placed = record;
  placed.Era = placeOf(record).Era;
  const auto it = Records.find(record.Key);
  if (it == Records.end()) {
    if (Records.size() >= MaxKeys) {
      return ignored(ErrorCode::TooLarge,
                     "maximum of " + std::to_string(MaxKeys) + " keys reached");
    }
    return record.Value ? applyValue(placed, true) : applyDeletion(placed);
  }
  auto &known = it->second;
  const auto place = placeOf(placed);
  const bool isNewer = placeOf(known) < place;
  const bool sameRecord =
      known.Offset == record.Offset || (isNewer && isLost(known));
  if (known.Value == record.Value && sameRecord) {
    takeRewritten(known, place);
    return {};
  }
  if (record.Value) {
    return applyValue(placed, isNewer);
  }
  return isNewer ? applyDeletion(placed) : OperatorChange();
}

// A lost record is in force already, and an order keeps its first place.
void OperatorState::takeRewritten(KeyedRecord &known,
                                  const StorePosition &place) {
  if (placeOf(known) < place) {
    Rewritten += isLost(known) ? 1 : 0;
    known.Era = place.Era;
    known.Offset = place.Offset;
  }
}

OperatorChange
OperatorState::applyConfiguration(const KeyedRecord &record,
                                  MeshConfiguration configuration) {
  const auto current = Routes ? Routes->configuration().Version : 0;
  if (configuration.Version < current) {
    return ignored(ErrorCode::Conflict,
                   "configuration version is not higher than the current one");
  }
  OperatorChange change;
  if (configuration.Version > current) {
    Routes = std::make_shared<const RouteTable>(std::move(configuration));
    ConfigurationKey = record.Key;
    store(record);
    change.Configuration = true;
  } else if (record.Key == ConfigurationKey) {
    takeRewritten(Records[record.Key], placeOf(record));
  }
  return change;
}

OperatorChange OperatorState::applyValue(const KeyedRecord &record,
                                         bool isNewer) {
  auto order = Codec.decode(record.Key, *record.Value);
  if (!order) {
    return ignored(order.reason().Code,
                   record.Key + ": " + order.reason().Message);
  }
  if (auto *next = std::get_if<MeshConfiguration>(&*order)) {
    return applyConfiguration(record, std::move(*next));
  }
  OperatorChange change;
  // Records of unknown kinds would take the room of orders.
  if (!isNewer || std::holds_alternative<std::monostate>(*order)) {
    return change;
  }
  store(record);
  if (auto *rollout = std::get_if<RolloutOrder>(&*order)) {
    rollout->Offset = record.Offset;
    rollout->Era = record.Era;
    rollout->Digest = hash64(*record.Value);
    Rollouts[rollout->Service] = *rollout;
    change.Rollouts = true;
  } else if (const auto *evacuation = std::get_if<EvacuationOrder>(&*order)) {
    change.Evacuations = Evacuated.insert(evacuation->DataCentre).second;
  }
  return change;
}

OperatorChange OperatorState::applyDeletion(const KeyedRecord &record) {
  if (Routes && record.Key == ConfigurationKey) {
    return ignored(ErrorCode::Conflict,
                   record.Key + ": deleted, but the version stays in force");
  }
  store(record);
  OperatorChange change;
  const auto order = Codec.decodeKey(record.Key);
  if (const auto *rollout = std::get_if<RolloutOrder>(&order)) {
    change.Rollouts = Rollouts.erase(rollout->Service) > 0;
  } else if (const auto *evacuation = std::get_if<EvacuationOrder>(&order)) {
    change.Evacuations = Evacuated.erase(evacuation->DataCentre) > 0;
  }
  return change;
}

OperatorChange OperatorState::applyListing(std::vector<KeyedRecord> listing,
                                           const StorePosition &end) {
  if (end.Era < History.era()) {
    return ignored(ErrorCode::Conflict,
                   "the listing is of an earlier era of the store");
  }
  History.enter(end.Era);
  // In the order of offsets, the first difference between two histories comes
  // before records that only happen to be equal.
  std::sort(listing.begin(), listing.end(),
            [](const auto &a, const auto &b) { return a.Offset < b.Offset; });
  OperatorChange change;
  for (auto &it : listing) {
    it.Era = end.Era;
    merge(change, apply(it));
  }
  merge(change, deleteUnlisted(listing, end));
  advance(end);
  return change;
}

OperatorChange
OperatorState::deleteUnlisted(const std::vector<KeyedRecord> &listing,
                              const StorePosition &end) {
  std::vector<KeyedRecord> deletions;
  for (const auto &it : Records) {
    const auto &known = it.second;
    const bool listed =
        std::any_of(listing.begin(), listing.end(),
                    [&](const auto &r) { return r.Key == known.Key; });
    if (!listed && known.Value && placeOf(known) < end && !isLost(known)) {
      // The offset of the deletion is not known. The highest possible one makes
      // the deletion part of the answer to each peer that asks for the records
      // after its own, lower offset.
      deletions.push_back({known.Key, std::nullopt, end.Offset - 1, end.Era});
    }
  }
  OperatorChange change;
  for (const auto &it : deletions) {
    merge(change, applyDeletion(it));
  }
  return change;
}

void OperatorState::advance(const StorePosition &end) {
  History.enter(end.Era);
  End = std::max(End, end);
}

void OperatorState::narrowStart(std::uint64_t era, const EraStart &bounds) {
  History.narrowStart(era, bounds);
}

std::vector<std::string> OperatorState::lostKeys() const {
  std::vector<std::string> out;
  for (const auto &it : Records) {
    if (isLost(it.second)) {
      out.push_back(it.first);
    }
  }
  return out;
}

bool OperatorState::isEvacuated(std::string_view dataCentre) const {
  return Evacuated.count(dataCentre) > 0;
}

std::vector<KeyedRecord>
OperatorState::recordsAfter(const StorePosition &after) const {
  std::vector<KeyedRecord> out;
  for (const auto &it : Records) {
    const auto place = placeOf(it.second);
    const bool known = place < after && !History.isLost(place);
    if (!known) {
      out.push_back(it.second);
      out.back().Era = place.Era;
    }
  }
  return out;
}

} // namespace chivefold
