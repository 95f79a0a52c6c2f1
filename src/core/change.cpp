#include "chivefold/core/record.h"

namespace chivefold {
namespace {

/** @return how many sections from @p first fit one part; 0 if none does. */
std::size_t fittingSections(const std::vector<Section> &sections,
                            std::size_t first, const std::string &writer) {
  const auto fits = [&](std::size_t n) {
    const auto from = sections.begin() + static_cast<std::ptrdiff_t>(first);
    const Record r{
        {},
        writer,
        ChangePartRecord{
            {}, MaxChangeParts, {from, from + static_cast<std::ptrdiff_t>(n)}}};
    return encodeRecord(r).size() <= MaxRecordBytes;
  };
  // Doubling, then bisection, so that a part costs few encodings.
  const auto rest = sections.size() - first;
  std::size_t fitting = 0;
  std::size_t tooMany = 1;
  while (tooMany <= rest && fits(tooMany)) {
    fitting = tooMany;
    tooMany *= 2;
  }
  tooMany = std::min(tooMany, rest + 1);
  while (tooMany - fitting > 1) {
    const auto n = fitting + (tooMany - fitting) / 2;
    (fits(n) ? fitting : tooMany) = n;
  }
  return fitting;
}

} // namespace

std::uint64_t changeDigest(std::uint64_t digest, std::string_view part) {
  return hash64(part, digest);
}

Result<std::vector<Record>> makeChange(Version base,
                                       std::vector<Section> sections,
                                       const std::function<RecordId()> &newId,
                                       const std::string &writer) {
  Record single{newId(), writer, ChangeRecord{base, sections}};
  if (encodeRecord(single).size() <= MaxRecordBytes) {
    return std::vector<Record>{std::move(single)};
  }
  const auto changeId = single.Id;
  std::vector<Record> records;
  auto digest = InitialChangeDigest;
  for (std::size_t first = 0; first < sections.size();) {
    const auto n = fittingSections(sections, first, writer);
    if (n == 0 || records.size() == MaxChangeParts) {
      return Reason{ErrorCode::TooLarge,
                    n == 0 ? "one section does not fit a record"
                           : "the change needs too many records"};
    }
    const auto from = sections.begin() + static_cast<std::ptrdiff_t>(first);
    const auto index = static_cast<std::uint32_t>(records.size());
    records.push_back(
        {newId(), writer,
         ChangePartRecord{
             changeId, index, {from, from + static_cast<std::ptrdiff_t>(n)}}});
    digest = changeDigest(digest, encodeRecord(records.back()));
    first += n;
  }
  const auto count = static_cast<std::uint32_t>(records.size());
  // The commit has the identity of the change, so a lost answer to the change
  // is resolved by one id in both cases.
  records.push_back(
      {changeId, writer, ChangeCommitRecord{changeId, base, count, digest}});
  return records;
}

} // namespace chivefold
