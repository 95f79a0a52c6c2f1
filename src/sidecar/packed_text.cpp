#include "chivefold/sidecar/packed_text.h"

#include <zlib.h>

namespace chivefold {

std::vector<std::uint8_t> compressText(std::string_view text) {
  auto n = compressBound(static_cast<uLong>(text.size()));
  std::vector<std::uint8_t> out(n);
  // Can fail only if the buffer is too small, which compressBound() rules out.
  compress2(out.data(), &n, reinterpret_cast<const Bytef *>(text.data()),
            static_cast<uLong>(text.size()), Z_BEST_SPEED);
  out.resize(n);
  return out;
}

Result<std::string> decompressText(const std::vector<std::uint8_t> &packed,
                                   std::size_t size) {
  if (size > MaxDecompressedBytes) {
    return Reason{ErrorCode::InvalidRecord,
                  "a compressed record exceeds the size limit"};
  }
  std::string out(size, '\0');
  auto n = static_cast<uLongf>(size);
  const int ec = uncompress(reinterpret_cast<Bytef *>(out.data()), &n,
                            packed.data(), static_cast<uLong>(packed.size()));
  if (ec != Z_OK || n != size) {
    return Reason{ErrorCode::InvalidRecord, "a compressed record is damaged"};
  }
  return out;
}

} // namespace chivefold
