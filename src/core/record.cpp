#include "chivefold/core/record.h"

#include "record_wire.h"

#include "chivefold/core/enum_names.h"

namespace chivefold {
namespace {

constexpr EnumNames<MoveResult, 2> MoveResultNames{{{
    {MoveResult::Done, "done"},
    {MoveResult::TakenBack, "taken-back"},
}}};

constexpr std::uint32_t MaxShareBasisPoints = 10'000;
/** The deepest tables of the schema are Record, Change, Section, Service and
 * Route. */
constexpr unsigned MaxTableDepth = 8;
/** Each table of a valid record takes at least 8 bytes. */
constexpr unsigned MaxTables = MaxRecordBytes / 8;

using WireSections = std::vector<std::unique_ptr<wire::SectionT>>;

std::vector<std::uint8_t> idToWire(const RecordId &id) {
  return {id.Bytes.begin(), id.Bytes.end()};
}

Result<RecordId> idFromWire(const std::vector<std::uint8_t> &bytes) {
  RecordId id;
  if (bytes.size() != id.Bytes.size()) {
    return invalidRecord("record id of " + std::to_string(bytes.size()) +
                         " bytes, expected " + std::to_string(id.Bytes.size()));
  }
  std::copy(bytes.begin(), bytes.end(), id.Bytes.begin());
  return id;
}

WireSections sectionsToWire(const std::vector<Section> &sections) {
  WireSections w;
  for (const auto &it : sections) {
    auto s = std::make_unique<wire::SectionT>();
    if (it.FleetSettings) {
      s->fleet = toWire(*it.FleetSettings);
    } else if (it.ChangedService) {
      s->service = toWire(*it.ChangedService);
    } else {
      s->removed_service = it.RemovedService;
    }
    w.push_back(std::move(s));
  }
  return w;
}

Result<Section> sectionFromWire(const wire::SectionT *section) {
  if (section == nullptr ||
      (section->fleet ? 1 : 0) + (section->service ? 1 : 0) +
              (section->removed_service.empty() ? 0 : 1) !=
          1) {
    return invalidRecord("section must hold exactly one of fleet, service and "
                         "removed_service");
  }
  Section s;
  s.RemovedService = section->removed_service;
  if (section->fleet) {
    auto fleet = fromWire(*section->fleet);
    if (!fleet) {
      return fleet.reason();
    }
    s.FleetSettings = std::move(*fleet);
  }
  if (section->service) {
    auto service = fromWire(*section->service);
    if (!service) {
      return service.reason();
    }
    s.ChangedService = std::move(*service);
  }
  return s;
}

Result<std::vector<Section>> sectionsFromWire(const WireSections &sections) {
  std::vector<Section> all;
  for (const auto &it : sections) {
    auto s = sectionFromWire(it.get());
    if (!s) {
      return s.reason();
    }
    all.push_back(std::move(*s));
  }
  return all;
}

/** Visitor that converts each record body to its wire type. */
struct ToWire {
  wire::RecordBodyUnion &To;

  void operator()(const ChangeRecord &r) const {
    wire::ChangeT w;
    w.base = raw(r.Base);
    w.sections = sectionsToWire(r.Sections);
    To.Set(std::move(w));
  }
  void operator()(const ChangePartRecord &r) const {
    wire::ChangePartT w;
    w.change_id = idToWire(r.ChangeId);
    w.index = r.Index;
    w.sections = sectionsToWire(r.Sections);
    To.Set(std::move(w));
  }
  void operator()(const ChangeCommitRecord &r) const {
    wire::ChangeCommitT w;
    w.change_id = idToWire(r.ChangeId);
    w.base = raw(r.Base);
    w.part_count = r.PartCount;
    w.digest = r.Digest;
    To.Set(std::move(w));
  }
  void operator()(const LeaseTakeRecord &r) const {
    wire::LeaseTakeT w;
    w.service = r.Service;
    w.move = raw(r.Move);
    w.holder = toWire(r.Holder);
    w.expected_epoch = raw(r.ExpectedEpoch);
    To.Set(std::move(w));
  }
  void operator()(const MoveStepRecord &r) const {
    wire::MoveStepT w;
    w.service = r.Service;
    w.move = raw(r.Move);
    w.lease_epoch = raw(r.LeaseEpoch);
    w.share_basis_points = r.ShareBasisPoints;
    To.Set(std::move(w));
  }
  void operator()(const MoveEndRecord &r) const {
    wire::MoveEndT w;
    w.service = r.Service;
    w.move = raw(r.Move);
    w.lease_epoch = raw(r.LeaseEpoch);
    w.result = static_cast<std::uint8_t>(r.Result);
    w.reason = r.Reason;
    w.evidence = r.Evidence;
    To.Set(std::move(w));
  }
  void operator()(const DataCentreRecord &r) const {
    wire::DataCentreStateT w;
    w.data_centre = r.DataCentre;
    w.taken_out = r.TakenOut;
    To.Set(std::move(w));
  }
  void operator()(const AnnounceRecord &r) const {
    wire::AnnounceT w;
    w.peer = toWire(r.Peer);
    w.data_centre = r.DataCentre;
    w.region = r.Region;
    To.Set(std::move(w));
  }
  void operator()(const ClaimRecord &r) const {
    wire::ClaimT w;
    w.holder = toWire(r.Holder);
    for (const auto &it : r.Keys) {
      w.keys.emplace_back(it.High, it.Low);
    }
    To.Set(std::move(w));
  }
  void operator()(const SnapshotPartRecord &r) const {
    wire::SnapshotPartT w;
    w.snapshot_id = idToWire(r.SnapshotId);
    w.as_of = raw(r.AsOf);
    w.index = r.Index;
    w.part_count = r.PartCount;
    w.digest = r.Digest;
    w.bytes.assign(r.Bytes.begin(), r.Bytes.end());
    To.Set(std::move(w));
  }
};

Result<RecordBody> bodyFromWire(const wire::ChangeT &w) {
  auto sections = sectionsFromWire(w.sections);
  if (!sections) {
    return sections.reason();
  }
  return RecordBody(ChangeRecord{Version{w.base}, std::move(*sections)});
}

Result<RecordBody> bodyFromWire(const wire::ChangePartT &w) {
  const auto id = idFromWire(w.change_id);
  auto sections = sectionsFromWire(w.sections);
  if (!id || !sections) {
    return id ? sections.reason() : id.reason();
  }
  if (w.index >= MaxChangeParts) {
    return invalidRecord("change part index out of bounds");
  }
  return RecordBody(ChangePartRecord{*id, w.index, std::move(*sections)});
}

Result<RecordBody> bodyFromWire(const wire::ChangeCommitT &w) {
  const auto id = idFromWire(w.change_id);
  if (!id) {
    return id.reason();
  }
  if (w.part_count == 0 || w.part_count > MaxChangeParts) {
    return invalidRecord("change part count out of bounds");
  }
  return RecordBody(
      ChangeCommitRecord{*id, Version{w.base}, w.part_count, w.digest});
}

Result<RecordBody> bodyFromWire(const wire::LeaseTakeT &w) {
  const auto holder = fromWire(w.holder.get());
  if (!holder) {
    return holder.reason();
  }
  return RecordBody(LeaseTakeRecord{w.service, Version{w.move}, *holder,
                                    Epoch{w.expected_epoch}});
}

Result<RecordBody> bodyFromWire(const wire::MoveStepT &w) {
  if (w.share_basis_points > MaxShareBasisPoints) {
    return invalidRecord("share above 10000 basis points");
  }
  return RecordBody(MoveStepRecord{w.service, Version{w.move},
                                   Epoch{w.lease_epoch}, w.share_basis_points});
}

Result<RecordBody> bodyFromWire(const wire::MoveEndT &w) {
  const auto result = static_cast<MoveResult>(w.result);
  if (!moveResultFromName(moveResultName(result))) {
    return invalidRecord("unknown move result");
  }
  return RecordBody(MoveEndRecord{w.service, Version{w.move},
                                  Epoch{w.lease_epoch}, result, w.reason,
                                  w.evidence});
}

Result<RecordBody> bodyFromWire(const wire::DataCentreStateT &w) {
  return RecordBody(DataCentreRecord{w.data_centre, w.taken_out});
}

Result<RecordBody> bodyFromWire(const wire::AnnounceT &w) {
  const auto peer = fromWire(w.peer.get());
  if (!peer) {
    return peer.reason();
  }
  return RecordBody(AnnounceRecord{*peer, w.data_centre, w.region});
}

Result<RecordBody> bodyFromWire(const wire::ClaimT &w) {
  const auto holder = fromWire(w.holder.get());
  if (!holder) {
    return holder.reason();
  }
  if (w.keys.empty() || w.keys.size() > MaxClaimKeys) {
    return invalidRecord("number of claimed keys out of bounds");
  }
  ClaimRecord r{*holder, {}};
  for (const auto &it : w.keys) {
    r.Keys.push_back({it.high(), it.low()});
  }
  return RecordBody(std::move(r));
}

Result<RecordBody> bodyFromWire(const wire::SnapshotPartT &w) {
  const auto id = idFromWire(w.snapshot_id);
  if (!id) {
    return id.reason();
  }
  if (w.index >= w.part_count) {
    return invalidRecord("snapshot part index out of bounds");
  }
  return RecordBody(SnapshotPartRecord{
      *id, LogOffset{w.as_of}, w.index, w.part_count, w.digest,
      std::string(w.bytes.begin(), w.bytes.end())});
}

Result<RecordBody> bodyFromWire(const wire::RecordBodyUnion &body) {
  // The FlatBuffers verifier accepts a union type without a value.
  if (body.value == nullptr) {
    return invalidRecord("record without body");
  }
  switch (body.type) {
  case wire::RecordBody::Change:
    return bodyFromWire(*body.AsChange());
  case wire::RecordBody::ChangePart:
    return bodyFromWire(*body.AsChangePart());
  case wire::RecordBody::ChangeCommit:
    return bodyFromWire(*body.AsChangeCommit());
  case wire::RecordBody::LeaseTake:
    return bodyFromWire(*body.AsLeaseTake());
  case wire::RecordBody::MoveStep:
    return bodyFromWire(*body.AsMoveStep());
  case wire::RecordBody::MoveEnd:
    return bodyFromWire(*body.AsMoveEnd());
  case wire::RecordBody::DataCentreState:
    return bodyFromWire(*body.AsDataCentreState());
  case wire::RecordBody::Announce:
    return bodyFromWire(*body.AsAnnounce());
  case wire::RecordBody::Claim:
    return bodyFromWire(*body.AsClaim());
  case wire::RecordBody::SnapshotPart:
    return bodyFromWire(*body.AsSnapshotPart());
  case wire::RecordBody::NONE:
    break;
  }
  return invalidRecord("unknown record kind");
}

/** @return unsharedBytes() of the sections of @p record, or 0 if its kind has
 * no sections. The other kinds contain no lists of references, so they cannot
 * share content. */
std::size_t unsharedRecordBytes(const wire::Record *record) {
  if (const auto *change = record->body_as_Change()) {
    return unsharedBytes(change->sections());
  }
  const auto *part = record->body_as_ChangePart();
  return part == nullptr ? 0 : unsharedBytes(part->sections());
}

} // namespace

std::string_view moveResultName(MoveResult r) {
  return MoveResultNames.name(r);
}

std::optional<MoveResult> moveResultFromName(std::string_view name) {
  return MoveResultNames.value(name);
}

std::string encodeRecord(const Record &record) {
  wire::RecordT w;
  w.id = idToWire(record.Id);
  w.writer = record.Writer;
  std::visit(ToWire{w.body}, record.Body);
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(wire::Record::Pack(fbb, &w));
  return {reinterpret_cast<const char *>(fbb.GetBufferPointer()),
          fbb.GetSize()};
}

Result<Record> decodeRecord(std::string_view bytes) {
  if (bytes.size() > MaxRecordBytes) {
    return invalidRecord("record exceeds the maximum size");
  }
  // The verifier checks the alignment of addresses, and a view may be
  // unaligned.
  const std::vector<std::uint64_t> aligned = [&] {
    std::vector<std::uint64_t> buf((bytes.size() + 7) / 8);
    std::copy(bytes.begin(), bytes.end(), reinterpret_cast<char *>(buf.data()));
    return buf;
  }();
  const auto *data = reinterpret_cast<const std::uint8_t *>(aligned.data());
  flatbuffers::Verifier verifier(data, bytes.size(), MaxTableDepth, MaxTables);
  if (!verifier.VerifyBuffer<wire::Record>(nullptr)) {
    return invalidRecord("record is malformed");
  }
  const auto *root = flatbuffers::GetRoot<wire::Record>(data);
  if (unsharedRecordBytes(root) > MaxRecordBytes) {
    return invalidRecord("record exceeds the maximum size once unpacked");
  }
  wire::RecordT w;
  root->UnPackTo(&w);
  const auto id = idFromWire(w.id);
  if (!id) {
    return id.reason();
  }
  auto body = bodyFromWire(w.body);
  if (!body) {
    return body.reason();
  }
  return Record{*id, std::move(w.writer), std::move(*body)};
}

} // namespace chivefold
