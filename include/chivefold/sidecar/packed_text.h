/**
 * @file
 * Compression of the operator's records on the way between daemons.
 */
#ifndef CHIVEFOLD_SIDECAR_PACKED_TEXT_H
#define CHIVEFOLD_SIDECAR_PACKED_TEXT_H

#include "chivefold/core/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivefold {

/** Records above this size are not sent on, nor unpacked. */
constexpr std::size_t MaxPackedTextBytes = 1U << 20U;

/** @return @p text compressed by zlib, quickly rather than well: a small host
 * has a tenth of a core. Thread-safe. */
std::vector<std::uint8_t> packText(std::string_view text);

/** @return the text of @p size bytes that @p packed holds, or InvalidRecord if
 * it holds another size, more than MaxPackedTextBytes or what is no compressed
 * text. Thread-safe. */
Result<std::string> unpackText(const std::vector<std::uint8_t> &packed,
                               std::size_t size);

} // namespace chivefold

#endif
