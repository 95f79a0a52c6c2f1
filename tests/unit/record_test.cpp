#include "chivefold/core/record.h"

#include "record_generated.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck.h>
#include <tuple>

using namespace chivefold;

namespace {

using Text = std::string;

std::uint64_t number() { return *rc::gen::arbitrary<std::uint64_t>(); }
std::uint32_t below(std::uint32_t n) {
  return *rc::gen::inRange<std::uint32_t>(0, n);
}
Text text() { return *rc::gen::arbitrary<Text>(); }
std::vector<Text> texts() {
  return *rc::gen::container<std::vector<Text>>(rc::gen::arbitrary<Text>());
}
RecordId recordId() {
  return {*rc::gen::arbitrary<std::array<std::uint8_t, 16>>()};
}
Address address() {
  return {"127.0.0." + std::to_string(below(256)),
          static_cast<std::uint16_t>(below(65536))};
}

Section section() {
  Section s;
  switch (below(3)) {
  case 0:
    s.FleetSettings = Fleet{texts(), texts()};
    break;
  case 1: {
    Service v;
    v.Name = "s" + text();
    v.DependsOn = texts();
    v.Versions = texts();
    v.CurrentVersion = text();
    v.Limits = {below(99), below(99), below(99), below(99)};
    for (auto n = below(4); n > 0; --n) {
      v.Routes.push_back({text(), text(), text(), below(2) == 1, below(99),
                          below(99), (1 + below(98)) / 100.0});
    }
    if (below(2) == 1) {
      v.Move = MoveRequest{
          text(), UtcTime(std::chrono::milliseconds(below(1'000'000)))};
    }
    s.ChangedService = v;
    break;
  }
  default:
    s.RemovedService = "s" + text();
  }
  return s;
}

std::vector<Section> sections() {
  std::vector<Section> all(below(4));
  std::generate(all.begin(), all.end(), section);
  return all;
}

constexpr std::uint32_t Kinds = std::variant_size_v<RecordBody>;

RecordBody body(std::uint32_t kind) {
  const DaemonId daemon{address(), number()};
  switch (kind) {
  case 0:
    return ChangeRecord{Version{number()}, sections()};
  case 1:
    return ChangePartRecord{recordId(), below(MaxChangeParts), sections()};
  case 2:
    return ChangeCommitRecord{recordId(), Version{number()},
                              1 + below(MaxChangeParts), number()};
  case 3:
    return LeaseTakeRecord{text(), Version{number()}, daemon, Epoch{number()}};
  case 4:
    return MoveStepRecord{text(), Version{number()}, Epoch{number()},
                          below(10'001)};
  case 5:
    return MoveEndRecord{
        text(),
        Version{number()},
        Epoch{number()},
        below(2) == 0 ? MoveResult::Done : MoveResult::TakenBack,
        text(),
        text()};
  case 6:
    return DataCentreRecord{text(), below(2) == 1};
  case 7:
    return AnnounceRecord{address(), text(), text()};
  case 8:
    return ClaimRecord{daemon, {{number(), number()}, {number(), number()}}};
  default:
    return SnapshotPartRecord{
        recordId(), LogOffset{number()}, below(5), 5, number(), text()};
  }
}

bool same(const std::vector<Section> &a, const std::vector<Section> &b) {
  return std::equal(
      a.begin(), a.end(), b.begin(), b.end(),
      [](const Section &x, const Section &y) {
        return std::tie(x.FleetSettings, x.ChangedService, x.RemovedService) ==
               std::tie(y.FleetSettings, y.ChangedService, y.RemovedService);
      });
}

/** Compares every member of two bodies of the same kind. */
struct Same {
  const RecordBody &Other;

  bool operator()(const ChangeRecord &a) const {
    const auto &b = std::get<ChangeRecord>(Other);
    return a.Base == b.Base && same(a.Sections, b.Sections);
  }
  bool operator()(const ChangePartRecord &a) const {
    const auto &b = std::get<ChangePartRecord>(Other);
    return a.ChangeId == b.ChangeId && a.Index == b.Index &&
           same(a.Sections, b.Sections);
  }
  template <class T> bool operator()(const T &a) const {
    return members(a) == members(std::get<T>(Other));
  }

  static auto members(const ChangeCommitRecord &r) {
    return std::tie(r.ChangeId, r.Base, r.PartCount, r.Digest);
  }
  static auto members(const LeaseTakeRecord &r) {
    return std::tie(r.Service, r.Move, r.Holder, r.ExpectedEpoch);
  }
  static auto members(const MoveStepRecord &r) {
    return std::tie(r.Service, r.Move, r.LeaseEpoch, r.ShareBasisPoints);
  }
  static auto members(const MoveEndRecord &r) {
    return std::tie(r.Service, r.Move, r.LeaseEpoch, r.Result, r.Reason,
                    r.Evidence);
  }
  static auto members(const DataCentreRecord &r) {
    return std::tie(r.DataCentre, r.TakenOut);
  }
  static auto members(const AnnounceRecord &r) {
    return std::tie(r.Peer, r.DataCentre, r.Region);
  }
  static auto members(const ClaimRecord &r) {
    return std::tie(r.Holder, r.Keys);
  }
  static auto members(const SnapshotPartRecord &r) {
    return std::tie(r.SnapshotId, r.AsOf, r.Index, r.PartCount, r.Digest,
                    r.Bytes);
  }
};

Section largeService(int n, std::size_t bytes) {
  Section s;
  s.ChangedService = Service();
  s.ChangedService->Name = "s" + std::to_string(n);
  s.ChangedService->CurrentVersion = std::string(bytes, 'v');
  return s;
}

std::function<RecordId()> countingIds() {
  return [n = std::uint8_t(0)]() mutable { return RecordId{{++n}}; };
}

} // namespace

// Guards against a field that is lost or changed by encoding and decoding.
TEST_CASE("records of every kind survive encoding", "[record]") {
  for (std::uint32_t kind = 0; kind < Kinds; ++kind) {
    CHECK(rc::check("round trip of kind " + std::to_string(kind), [kind] {
      const Record r{recordId(), text(), body(kind)};
      RC_ASSERT(r.Body.index() == kind);
      const auto back = decodeRecord(encodeRecord(r));
      RC_ASSERT(back.hasValue());
      RC_ASSERT(back->Id == r.Id);
      RC_ASSERT(back->Writer == r.Writer);
      RC_ASSERT(back->Body.index() == kind);
      RC_ASSERT(std::visit(Same{back->Body}, r.Body));
    }));
  }
}

// Guards against out-of-bounds reads of damaged records, which the sanitizers
// report, and against truncated or oversized records being accepted.
TEST_CASE("damaged records never crash", "[record]") {
  CHECK(rc::check("truncated and flipped records", [] {
    const Record r{recordId(), text(), body(below(Kinds))};
    auto bytes = encodeRecord(r);
    RC_ASSERT_FALSE(
        decodeRecord(std::string_view(bytes).substr(0, below(12))).hasValue());
    (void)decodeRecord(std::string_view(bytes).substr(
        0, below(static_cast<std::uint32_t>(bytes.size()))));
    for (auto n = 1 + below(3); n > 0; --n) {
      bytes[below(static_cast<std::uint32_t>(bytes.size()))] ^=
          static_cast<char>(1U << below(8));
    }
    const auto damaged = decodeRecord(bytes);
    RC_ASSERT(damaged.hasValue() ||
              damaged.reason().Code == ErrorCode::InvalidRecord);
  }));
  CHECK_FALSE(decodeRecord(std::string(MaxRecordBytes + 1, '\0')).hasValue());
}

// Guards against decoding values that the encoding can represent but that are
// out of range.
TEST_CASE("records with impossible values are refused", "[record]") {
  const auto refused = [](RecordBody body) {
    return !decodeRecord(encodeRecord({{}, "w", std::move(body)}));
  };
  CHECK(refused(MoveStepRecord{"s", {}, {}, 10'001}));
  CHECK(
      refused(MoveEndRecord{"s", {}, {}, static_cast<MoveResult>(2), "", ""}));
  CHECK(refused(ChangeCommitRecord{{}, {}, 0, 0}));
  CHECK(refused(ChangeCommitRecord{{}, {}, MaxChangeParts + 1, 0}));
  CHECK(refused(ChangePartRecord{{}, MaxChangeParts, {}}));
  CHECK(refused(SnapshotPartRecord{{}, {}, 1, 1, 0, ""}));
  CHECK(refused(ClaimRecord{{{"127.0.0.1", 1}, 1}, {}}));
  CHECK(refused(ClaimRecord{{{"127.0.0.1", 1}, 1},
                            std::vector<KeyHash>(MaxClaimKeys + 1)}));
  CHECK(refused(ClaimRecord{{}, {{1, 1}}}));
  CHECK(refused(AnnounceRecord{}));
  CHECK(refused(ChangeRecord{{}, {Section()}}));
  for (const double objective : {0.0, 1.0, -0.5, std::nan("")}) {
    Section s;
    s.ChangedService.emplace().Name = "s";
    s.ChangedService->Routes = {{"GET", "/", "k", true, 1, 1, objective}};
    CHECK(refused(ChangeRecord{{}, {s}}));
  }
}

// Guards against parts that exceed the record size, a lost section, and a
// digest that readers cannot reproduce.
TEST_CASE("large changes are split", "[record]") {
  const auto small =
      makeChange(Version{7}, {largeService(0, 9)}, countingIds(), "w");
  REQUIRE(small->size() == 1);
  CHECK(std::get<ChangeRecord>(small->front().Body).Base == Version{7});

  std::vector<Section> all;
  all.reserve(50);
  for (int n = 0; n < 50; ++n) {
    all.push_back(largeService(n, 700 * static_cast<std::size_t>(n % 5 + 1)));
  }
  const auto records = makeChange(Version{7}, all, countingIds(), "w");
  REQUIRE(records->size() > 3);
  std::vector<Section> parts;
  auto digest = InitialChangeDigest;
  const auto &commit = std::get<ChangeCommitRecord>(records->back().Body);
  for (std::size_t n = 0; n + 1 < records->size(); ++n) {
    const auto bytes = encodeRecord((*records)[n]);
    CHECK(bytes.size() <= MaxRecordBytes);
    const auto decoded = decodeRecord(bytes);
    REQUIRE(decoded.hasValue());
    const auto &part = std::get<ChangePartRecord>(decoded->Body);
    CHECK(part.Index == n);
    CHECK(part.ChangeId == commit.ChangeId);
    parts.insert(parts.end(), part.Sections.begin(), part.Sections.end());
    digest = changeDigest(digest, bytes);
  }
  CHECK(same(parts, all));
  CHECK(commit.PartCount == records->size() - 1);
  CHECK(commit.Base == Version{7});
  CHECK(commit.Digest == digest);

  const auto tooLarge = makeChange(
      Version{7}, {largeService(0, MaxRecordBytes)}, countingIds(), "w");
  REQUIRE_FALSE(tooLarge.hasValue());
  CHECK(tooLarge.reason().Code == ErrorCode::TooLarge);
}

// The static analyzer reports a leak in FlatBuffers' buffer growth for code
// that builds buffers directly. It is a false positive: the sanitizers find
// none.
#ifndef __clang_analyzer__
namespace {

/** @return an encoded record with @p change as its body. */
std::string finish(flatbuffers::FlatBufferBuilder &fbb,
                   flatbuffers::Offset<void> change) {
  const auto id = fbb.CreateVector(std::vector<std::uint8_t>(16));
  fbb.Finish(wire::CreateRecord(fbb, id, 0, wire::RecordBody::Change, change));
  return {reinterpret_cast<const char *>(fbb.GetBufferPointer()),
          fbb.GetSize()};
}

} // namespace

// Guards against a small record that refers to one string many times and takes
// gigabytes of memory once unpacked.
TEST_CASE("records with shared content are refused", "[record]") {
  const auto write = [](std::size_t references) {
    flatbuffers::FlatBufferBuilder fbb;
    const auto shared = fbb.CreateString(std::string(1000, 'v'));
    const auto names =
        fbb.CreateVector(std::vector<flatbuffers::Offset<flatbuffers::String>>(
            references, shared));
    const auto fleet = wire::CreateFleet(fbb, names);
    const auto sections =
        fbb.CreateVector(std::vector<flatbuffers::Offset<wire::Section>>{
            wire::CreateSection(fbb, fleet)});
    const auto change = wire::CreateChange(fbb, 0, sections);
    return finish(fbb, change.Union());
  };
  CHECK(decodeRecord(write(10)).hasValue());
  const auto bytes = write(5000);
  REQUIRE(bytes.size() <= MaxRecordBytes);
  CHECK_FALSE(decodeRecord(bytes).hasValue());
}

// Guards against a record with a body type but no body, which the FlatBuffers
// verifier accepts.
TEST_CASE("records without a body are refused", "[record]") {
  flatbuffers::FlatBufferBuilder fbb;
  CHECK_FALSE(decodeRecord(finish(fbb, 0)).hasValue());
}
#endif
