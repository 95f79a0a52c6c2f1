// Encodes the control state as a ControlSnapshot buffer, and decodes it.
#include "chivefold/core/control_state.h"

#include "record_generated.h"

#include <algorithm>

namespace chivefold {
namespace {

std::vector<std::uint8_t> toBytes(std::string_view s) {
  return {s.begin(), s.end()};
}

std::string_view view(const std::vector<std::uint8_t> &bytes) {
  return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::unique_ptr<wire::AddressT> toWire(const Address &a) {
  auto w = std::make_unique<wire::AddressT>();
  w->ip = a.Ip;
  w->port = a.Port;
  return w;
}

Address fromWire(const std::unique_ptr<wire::AddressT> &w) {
  return w ? Address{w->ip, w->port} : Address{};
}

std::unique_ptr<wire::DaemonIdT> toWire(const DaemonId &id) {
  auto w = std::make_unique<wire::DaemonIdT>();
  w->peer = toWire(id.Peer);
  w->boot_id = id.BootId;
  return w;
}

DaemonId fromWire(const std::unique_ptr<wire::DaemonIdT> &w) {
  return w ? DaemonId{fromWire(w->peer), w->boot_id} : DaemonId{};
}

std::unique_ptr<wire::MoveStateT> toWire(const MoveState &m) {
  auto w = std::make_unique<wire::MoveStateT>();
  w->service = m.Service;
  w->move = raw(m.Move);
  w->to_version = m.ToVersion;
  w->from_version = m.FromVersion;
  w->deadline_utc_ms = m.Deadline.time_since_epoch().count();
  w->share_basis_points = m.ShareBasisPoints;
  w->step_offset = raw(m.StepOffset);
  w->ended = m.Ended;
  w->result = static_cast<std::uint8_t>(m.Result);
  w->end_offset = raw(m.EndOffset);
  w->reason = m.Reason;
  w->evidence = m.Evidence;
  return w;
}

MoveState fromWire(const wire::MoveStateT &w) {
  MoveState m;
  m.Service = w.service;
  m.Move = Version{w.move};
  m.FromVersion = w.from_version;
  m.ToVersion = w.to_version;
  m.Deadline = UtcTime(std::chrono::milliseconds(w.deadline_utc_ms));
  m.ShareBasisPoints = w.share_basis_points;
  m.StepOffset = LogOffset{w.step_offset};
  m.Ended = w.ended;
  m.Result = static_cast<MoveResult>(w.result);
  m.EndOffset = LogOffset{w.end_offset};
  m.Reason = w.reason;
  m.Evidence = w.evidence;
  return m;
}

/** Gives equal values the same index, so that each is encoded only once. */
template <class Key> class Interner {
public:
  /** @return the index of @p key and whether it is new. */
  std::pair<std::uint32_t, bool> intern(const Key &key) {
    const auto it =
        Indexes.emplace(key, static_cast<std::uint32_t>(Indexes.size()));
    return {it.first->second, it.second};
  }

private:
  std::map<Key, std::uint32_t> Indexes;
};

std::uint64_t word(const RecordId &id, std::size_t at) {
  std::uint64_t w = 0;
  for (std::size_t n = 0; n < 8; ++n) {
    w = w << 8U | id.Bytes[at + n];
  }
  return w;
}

RecordId toRecordId(std::uint64_t high, std::uint64_t low) {
  RecordId id;
  for (std::size_t n = 0; n < 8; ++n) {
    id.Bytes[n] = static_cast<std::uint8_t>(high >> (56 - 8 * n));
    id.Bytes[8 + n] = static_cast<std::uint8_t>(low >> (56 - 8 * n));
  }
  return id;
}

} // namespace

/** Converts the private state of ControlState to and from its wire type. */
class ControlSnapshotCodec {
public:
  static std::string encode(const ControlState &s);
  /** Decodes @p w into the default-constructed @p s. @return whether @p w is
   * valid; if not, @p s must be discarded. */
  static bool decode(const wire::ControlSnapshotT &w, ControlState &s);

private:
  static void putConfiguration(const ControlState &s,
                               wire::ControlSnapshotT &w);
  static void putMoves(const ControlState &s, wire::ControlSnapshotT &w);
  static void putClaims(const ControlState &s, wire::ControlSnapshotT &w);
  static void putVerdicts(const ControlState &s, wire::ControlSnapshotT &w);
  static void putRest(const ControlState &s, wire::ControlSnapshotT &w);
  static bool getConfiguration(const wire::ControlSnapshotT &w,
                               ControlState &s);
  static bool getMoves(const wire::ControlSnapshotT &w, ControlState &s);
  static bool getClaims(const wire::ControlSnapshotT &w, ControlState &s);
  static bool getVerdicts(const wire::ControlSnapshotT &w, ControlState &s);
  static bool getRest(const wire::ControlSnapshotT &w, ControlState &s);
};

void ControlSnapshotCodec::putConfiguration(const ControlState &s,
                                            wire::ControlSnapshotT &w) {
  for (auto &it : difference(Configuration{}, *s.Config)) {
    Record r;
    r.Body = ChangeRecord{Version::None, {std::move(it)}};
    w.configuration.push_back(std::make_unique<wire::ConfigurationSectionT>());
    w.configuration.back()->record = toBytes(encodeRecord(r));
  }
}

void ControlSnapshotCodec::putMoves(const ControlState &s,
                                    wire::ControlSnapshotT &w) {
  for (const auto &it : s.Moves) {
    w.moves.push_back(toWire(it.second));
  }
  for (const auto &it : s.Leases) {
    w.leases.push_back(std::make_unique<wire::LeaseT>());
    auto &lease = *w.leases.back();
    lease.service = it.first;
    lease.move = raw(it.second.Move);
    lease.holder = toWire(it.second.Holder);
    lease.epoch = raw(it.second.LeaseEpoch);
    lease.last_offset = raw(it.second.LastOffset);
  }
  for (const auto &it : s.Overrides) {
    w.overrides.push_back(std::make_unique<wire::VersionOverrideT>());
    w.overrides.back()->service = it.first;
    w.overrides.back()->to_version = it.second.ToVersion;
    w.overrides.back()->offset = raw(it.second.Offset);
  }
}

void ControlSnapshotCodec::putClaims(const ControlState &s,
                                     wire::ControlSnapshotT &w) {
  Interner<std::uint32_t> holders;
  for (const auto &it : s.Claims.entries()) {
    const auto n = holders.intern(it.Holder);
    if (n.second) {
      w.claim_holders.push_back(toWire(s.Claims.holder(it)));
    }
    w.claims.emplace_back(wire::KeyHash(it.Key.High, it.Key.Low),
                          raw(it.Offset), n.first);
  }
}

void ControlSnapshotCodec::putVerdicts(const ControlState &s,
                                       wire::ControlSnapshotT &w) {
  Interner<std::string> writers;
  for (const auto &it : s.Verdicts.entries()) {
    const auto n = writers.intern(it.Value.WinnerWriter);
    if (n.second) {
      w.verdict_writers.push_back(std::make_unique<wire::WriterNameT>());
      w.verdict_writers.back()->name = it.Value.WinnerWriter;
    }
    w.verdicts.emplace_back(word(it.Id, 0), word(it.Id, 8),
                            raw(it.Value.Offset), raw(it.Value.WinnerOffset),
                            static_cast<std::uint32_t>(it.Value.Kind), n.first);
  }
}

void ControlSnapshotCodec::putRest(const ControlState &s,
                                   wire::ControlSnapshotT &w) {
  for (const auto &it : s.DataCentres) {
    w.data_centres.push_back(std::make_unique<wire::DataCentreEntryT>());
    w.data_centres.back()->data_centre = it.first;
    w.data_centres.back()->taken_out = it.second.TakenOut;
    w.data_centres.back()->offset = raw(it.second.Offset);
  }
  for (const auto &it : s.Announces) {
    w.announces.push_back(std::make_unique<wire::AnnounceEntryT>());
    w.announces.back()->peer = toWire(it.Peer);
    w.announces.back()->data_centre = it.DataCentre;
    w.announces.back()->region = it.Region;
    w.announces.back()->offset = raw(it.Offset);
  }
  for (const auto &change : s.Pending) {
    for (const auto &it : change.Parts) {
      w.pending_parts.push_back(std::make_unique<wire::PendingPartT>());
      w.pending_parts.back()->bytes = toBytes(it.second.Bytes);
      w.pending_parts.back()->offset = raw(it.second.Offset);
    }
  }
}

std::string ControlSnapshotCodec::encode(const ControlState &s) {
  wire::ControlSnapshotT w;
  w.as_of = raw(s.Applied);
  w.version = raw(s.CurrentVersion);
  w.version_writer = s.VersionWriter;
  putConfiguration(s, w);
  putMoves(s, w);
  putClaims(s, w);
  putVerdicts(s, w);
  putRest(s, w);
  w.digest = s.digest();
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::ControlSnapshot::Pack(builder, &w));
  return {reinterpret_cast<const char *>(builder.GetBufferPointer()),
          builder.GetSize()};
}

bool ControlSnapshotCodec::getConfiguration(const wire::ControlSnapshotT &w,
                                            ControlState &s) {
  auto config = std::make_shared<Configuration>();
  for (const auto &it : w.configuration) {
    const auto record = decodeRecord(view(it->record));
    if (!record) {
      return false;
    }
    const auto *change = std::get_if<ChangeRecord>(&record->Body);
    if (change == nullptr) {
      return false;
    }
    applySections(*config, change->Sections);
  }
  if (!validateConfiguration(*config)) {
    return false;
  }
  s.setConfiguration(std::move(config));
  return true;
}

bool ControlSnapshotCodec::getMoves(const wire::ControlSnapshotT &w,
                                    ControlState &s) {
  if (w.moves.size() > ControlStateLimits::MaxMoves ||
      w.leases.size() > ControlStateLimits::MaxMoves ||
      w.overrides.size() > ConfigurationLimits::MaxServices) {
    return false;
  }
  for (const auto &it : w.moves) {
    if (it->result > static_cast<std::uint8_t>(MoveResult::TakenBack)) {
      return false;
    }
    s.Moves[it->service] = fromWire(*it);
  }
  for (const auto &it : w.leases) {
    s.Leases[it->service] = {it->service, Version{it->move},
                             fromWire(it->holder), Epoch{it->epoch},
                             LogOffset{it->last_offset}};
  }
  for (const auto &it : w.overrides) {
    s.Overrides[it->service] = {it->to_version, LogOffset{it->offset}};
  }
  return true;
}

bool ControlSnapshotCodec::getClaims(const wire::ControlSnapshotT &w,
                                     ControlState &s) {
  if (w.claims.size() > ClaimHistory::MaxEntries) {
    return false;
  }
  std::vector<DaemonId> holders;
  for (const auto &it : w.claim_holders) {
    holders.push_back(fromWire(it));
  }
  return std::all_of(w.claims.begin(), w.claims.end(), [&](const auto &it) {
    return it.holder() < holders.size() &&
           s.Claims.add({it.key().high(), it.key().low()},
                        LogOffset{it.offset()}, holders[it.holder()]);
  });
}

bool ControlSnapshotCodec::getVerdicts(const wire::ControlSnapshotT &w,
                                       ControlState &s) {
  if (w.verdicts.size() > VerdictHistory::MaxEntries) {
    return false;
  }
  for (const auto &it : w.verdicts) {
    const auto id = toRecordId(it.id_high(), it.id_low());
    if (it.kind() > static_cast<std::uint32_t>(VerdictKind::AlreadyApplied) ||
        it.winner_writer() >= w.verdict_writers.size() || s.Verdicts.find(id)) {
      return false;
    }
    s.Verdicts.add(id, {static_cast<VerdictKind>(it.kind()),
                        LogOffset{it.offset()}, LogOffset{it.winner()},
                        w.verdict_writers[it.winner_writer()]->name});
  }
  return true;
}

bool ControlSnapshotCodec::getRest(const wire::ControlSnapshotT &w,
                                   ControlState &s) {
  if (w.data_centres.size() > ConfigurationLimits::MaxDataCentres ||
      w.announces.size() > ControlStateLimits::MaxAnnounces) {
    return false;
  }
  for (const auto &it : w.data_centres) {
    s.DataCentres[it->data_centre] = {it->data_centre, it->taken_out,
                                      LogOffset{it->offset}};
  }
  for (const auto &it : w.announces) {
    s.Announces.push_back({fromWire(it->peer), it->data_centre, it->region,
                           LogOffset{it->offset}});
  }
  for (const auto &it : w.pending_parts) {
    const auto bytes = view(it->bytes);
    const auto record = decodeRecord(bytes);
    if (!record) {
      return false;
    }
    const auto *part = std::get_if<ChangePartRecord>(&record->Body);
    if (part == nullptr ||
        !s.addPart(part->ChangeId, part->Index,
                   {LogOffset{it->offset}, std::string(bytes)})) {
      return false;
    }
  }
  return true;
}

bool ControlSnapshotCodec::decode(const wire::ControlSnapshotT &w,
                                  ControlState &s) {
  s.Applied = LogOffset{w.as_of};
  s.CurrentVersion = Version{w.version};
  s.VersionWriter = w.version_writer;
  return getConfiguration(w, s) && getMoves(w, s) && getClaims(w, s) &&
         getVerdicts(w, s) && getRest(w, s) && s.digest() == w.digest;
}

std::string ControlState::encodeSnapshot() const {
  return ControlSnapshotCodec::encode(*this);
}

Result<ControlState> ControlState::decodeSnapshot(std::string_view bytes) {
  // The verifier requires aligned data, and a slice of a frame may be
  // unaligned.
  std::vector<std::uint64_t> aligned((bytes.size() + 7) / 8);
  std::copy(bytes.begin(), bytes.end(),
            reinterpret_cast<char *>(aligned.data()));
  const auto *data = reinterpret_cast<const std::uint8_t *>(aligned.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  ControlState state;
  if (verifier.VerifyBuffer<wire::ControlSnapshot>(nullptr)) {
    wire::ControlSnapshotT w;
    flatbuffers::GetRoot<wire::ControlSnapshot>(data)->UnPackTo(&w);
    if (ControlSnapshotCodec::decode(w, state)) {
      return state;
    }
  }
  return Reason{ErrorCode::InvalidRecord, "snapshot is damaged or incomplete"};
}

} // namespace chivefold
