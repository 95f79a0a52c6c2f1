#include "chivefold/core/verdict.h"

#include "chivefold/core/enum_names.h"

namespace chivefold {
namespace {

constexpr EnumNames<VerdictKind, 10> VerdictNames{{{
    {VerdictKind::Counted, "counted"},
    {VerdictKind::LostRace, "lost-race"},
    {VerdictKind::StaleEpoch, "stale-epoch"},
    {VerdictKind::DuplicateId, "duplicate-id"},
    {VerdictKind::Unknown, "unknown"},
    {VerdictKind::DigestMismatch, "digest-mismatch"},
    {VerdictKind::Incomplete, "incomplete"},
    {VerdictKind::BrokenReference, "broken-reference"},
    {VerdictKind::Undecodable, "undecodable"},
    {VerdictKind::AlreadyApplied, "already-applied"},
}}};

std::uint64_t hashEntry(const VerdictHistory::Entry &e) {
  const std::uint64_t words[] = {raw(e.Value.Offset), raw(e.Value.WinnerOffset),
                                 static_cast<std::uint64_t>(e.Value.Kind)};
  auto h = hash64({reinterpret_cast<const char *>(words), sizeof words});
  h = hash64(
      {reinterpret_cast<const char *>(e.Id.Bytes.data()), e.Id.Bytes.size()},
      h);
  return hash64(e.Value.WinnerWriter, h);
}

} // namespace

std::string_view verdictName(VerdictKind kind) {
  return VerdictNames.name(kind);
}

std::optional<VerdictKind> verdictFromName(std::string_view name) {
  return VerdictNames.value(name);
}

std::optional<Verdict> VerdictHistory::find(const RecordId &id) const {
  const auto it = Index.find(id);
  if (it == Index.end()) {
    return std::nullopt;
  }
  return Entries[it->second - Dropped].Value;
}

void VerdictHistory::add(const RecordId &id, Verdict verdict) {
  if (Entries.size() == MaxEntries) {
    Digest -= hashEntry(Entries.front());
    Index.erase(Entries.front().Id);
    Entries.pop_front();
    ++Dropped;
  }
  Index.emplace(id, Dropped + Entries.size());
  Entries.push_back({id, std::move(verdict)});
  Digest += hashEntry(Entries.back());
}

} // namespace chivefold
