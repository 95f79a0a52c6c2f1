#include "chivefold/core/record.h"

namespace chivefold {
namespace {

/** @return how many sections starting at @p first fit one part record; 0 if
 * even one section is too large. */
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
  // Doubling and then bisection, to need few trial encodings for each part.
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
                    n == 0 ? "a section exceeds the maximum record size"
                           : "the change exceeds the maximum number of parts"};
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
  // The commit reuses the id of the change: after a lost response to an append,
  // the same id then gives the verdict for a single record and a split change.
  records.push_back(
      {changeId, writer, ChangeCommitRecord{changeId, base, count, digest}});
  return records;
}

} // namespace chivefold
