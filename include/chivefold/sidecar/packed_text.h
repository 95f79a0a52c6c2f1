/**
 * @file
 * Compression of the operator's records for transfer between daemons.
 */
#ifndef CHIVEFOLD_SIDECAR_PACKED_TEXT_H
#define CHIVEFOLD_SIDECAR_PACKED_TEXT_H

#include "chivefold/core/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivefold {

/** Maximum size of a decompressed text. Larger records are sent uncompressed.
 */
constexpr std::size_t MaxDecompressedBytes = 1U << 20U;

/** @return @p text compressed with zlib at its fastest level, since a small
 * host has only a tenth of a core. Thread-safe. */
std::vector<std::uint8_t> compressText(std::string_view text);

/** @return the decompressed text, or InvalidRecord if @p packed is not valid
 * zlib data, its text is not exactly @p size bytes long, or @p size exceeds
 * MaxDecompressedBytes. Thread-safe. */
Result<std::string> decompressText(const std::vector<std::uint8_t> &packed,
                                   std::size_t size);

} // namespace chivefold

#endif
