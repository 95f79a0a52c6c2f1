#include "chivefold/core/control_state.h"

#include <algorithm>

namespace chivefold {
namespace {

/** Chains the hashes of a sequence of values of different types. */
class Hasher {
public:
  Hasher &add(std::uint64_t n) {
    Value = hash64({reinterpret_cast<const char *>(&n), sizeof n}, Value);
    return *this;
  }
  Hasher &add(std::string_view s) {
    Value = hash64(s, Value);
    return add(s.size());
  }
  Hasher &add(LogOffset o) { return add(raw(o)); }
  Hasher &add(const DaemonId &id) {
    return add(id.Peer.Ip).add(id.Peer.Port).add(id.BootId);
  }
  std::uint64_t value() const { return Value; }

private:
  std::uint64_t Value = 0;
};

void addMove(Hasher &h, const MoveState &m) {
  h.add(m.Service).add(m.Move).add(m.FromVersion).add(m.ToVersion);
  h.add(static_cast<std::uint64_t>(m.Deadline.time_since_epoch().count()));
  h.add(m.ShareBasisPoints).add(m.StepOffset).add(m.Ended ? 1U : 0U);
  h.add(static_cast<std::uint64_t>(m.Result)).add(m.EndOffset);
  h.add(m.Reason).add(m.Evidence);
}

/** @return a hash over the encoded sections of @p config. */
std::uint64_t hashConfiguration(const Configuration &config) {
  std::uint64_t h = 0;
  for (auto &it : difference(Configuration{}, config)) {
    Record r;
    r.Body = ChangeRecord{Version::None, {std::move(it)}};
    h = hash64(encodeRecord(r), h);
  }
  return h;
}

template <class Map>
const auto *findOrNull(const Map &map, std::string_view key) {
  const auto it = map.find(key);
  return it == map.end() ? nullptr : &it->second;
}

} // namespace

ControlState::ControlState() : Config(std::make_shared<Configuration>()) {
  ConfigDigest = hashConfiguration(*Config);
}

Result<VerdictKind> ControlState::apply(const LogEntry &entry) {
  if (raw(entry.Offset) <= raw(Applied)) {
    return VerdictKind::AlreadyApplied;
  }
  if (raw(entry.Offset) != raw(Applied) + 1) {
    return Reason{ErrorCode::Conflict, "records are missing before " +
                                           std::to_string(raw(entry.Offset))};
  }
  Applied = entry.Offset;
  CachedDigest.reset();
  const auto record = decodeRecord(entry.Bytes);
  if (!record) {
    return VerdictKind::Undecodable;
  }
  if (Verdicts.find(record->Id)) {
    return VerdictKind::DuplicateId;
  }
  auto verdict = applyRecord({entry.Offset, *record, entry.Bytes});
  verdict.Offset = entry.Offset;
  const auto kind = verdict.Kind;
  Verdicts.add(record->Id, std::move(verdict));
  return kind;
}

Verdict ControlState::applyRecord(const RecordContext &context) {
  return std::visit([&](const auto &body) { return applyBody(context, body); },
                    context.Source.Body);
}

Verdict ControlState::applyBody(const RecordContext &context,
                                const DataCentreRecord &r) {
  const auto &known = Config->FleetSettings.DataCentres;
  if (std::find(known.begin(), known.end(), r.DataCentre) == known.end()) {
    return Verdict(VerdictKind::Unknown);
  }
  DataCentres[r.DataCentre] = {r.DataCentre, r.TakenOut, context.Offset};
  return {};
}

Verdict ControlState::applyBody(const RecordContext &context,
                                const AnnounceRecord &r) {
  const auto it =
      std::find_if(Announces.begin(), Announces.end(),
                   [&](const Announce &a) { return a.Peer == r.Peer; });
  if (it != Announces.end()) {
    Announces.erase(it);
  }
  Announces.push_back({r.Peer, r.DataCentre, r.Region, context.Offset});
  if (Announces.size() > ControlStateLimits::MaxAnnounces) {
    Announces.pop_front();
  }
  return {};
}

Verdict ControlState::applyBody(const RecordContext &context,
                                const ClaimRecord &r) {
  bool any = r.Keys.empty();
  for (const auto &it : r.Keys) {
    any = Claims.add(it, context.Offset, r.Holder) || any;
  }
  if (any) {
    return {};
  }
  const auto winner = Claims.find(r.Keys.front());
  return {VerdictKind::LostRace, LogOffset::None, winner->Offset,
          toString(winner->Holder.Peer)};
}

// Snapshot parts do not change the state. Only daemons that start read them,
// by SnapshotAssembler.
Verdict ControlState::applyBody(const RecordContext & /*context*/,
                                const SnapshotPartRecord & /*r*/) {
  return {};
}

std::vector<MoveState> ControlState::moves() const {
  std::vector<MoveState> all;
  all.reserve(Moves.size());
  for (const auto &it : Moves) {
    all.push_back(it.second);
  }
  return all;
}

const MoveState *ControlState::move(std::string_view service) const {
  return findOrNull(Moves, service);
}

const Lease *ControlState::lease(std::string_view service) const {
  return findOrNull(Leases, service);
}

std::string ControlState::effectiveVersion(std::string_view service) const {
  if (const auto *it = findOrNull(Overrides, service)) {
    return it->ToVersion;
  }
  const auto *s = Config->service(service);
  return s == nullptr ? std::string() : s->CurrentVersion;
}

const DataCentreState *
ControlState::dataCentre(std::string_view dataCentre) const {
  return findOrNull(DataCentres, dataCentre);
}

bool ControlState::takenOut(std::string_view dataCentre) const {
  const auto *it = findOrNull(DataCentres, dataCentre);
  return it != nullptr && it->TakenOut;
}

void ControlState::setConfiguration(std::shared_ptr<const Configuration> next) {
  Config = std::move(next);
  ConfigDigest = hashConfiguration(*Config);
}

std::uint64_t ControlState::digest() const {
  if (!CachedDigest) {
    CachedDigest = computeDigest();
  }
  return *CachedDigest;
}

std::uint64_t ControlState::computeDigest() const {
  Hasher h;
  h.add(Applied).add(CurrentVersion).add(VersionWriter).add(ConfigDigest);
  for (const auto &it : Moves) {
    addMove(h, it.second);
  }
  for (const auto &it : Leases) {
    h.add(it.first).add(it.second.Move).add(it.second.Holder);
    h.add(it.second.LeaseEpoch).add(it.second.LastOffset);
  }
  for (const auto &it : Overrides) {
    h.add(it.first).add(it.second.ToVersion).add(it.second.Offset);
  }
  for (const auto &it : DataCentres) {
    h.add(it.first).add(it.second.TakenOut ? 1U : 0U).add(it.second.Offset);
  }
  for (const auto &it : Announces) {
    h.add(it.Peer.Ip).add(it.Peer.Port).add(it.DataCentre);
    h.add(it.Region).add(it.Offset);
  }
  for (const auto &change : Pending) {
    for (const auto &it : change.Parts) {
      h.add(it.second.Offset).add(it.second.Bytes);
    }
  }
  return h.add(Claims.digest()).add(Verdicts.digest()).value();
}

} // namespace chivefold
