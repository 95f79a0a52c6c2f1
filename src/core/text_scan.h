/**
 * @file
 * Validation of a text before TOML parsing, and source positions of errors.
 */
#ifndef CHIVEFOLD_SRC_CORE_TEXT_SCAN_H
#define CHIVEFOLD_SRC_CORE_TEXT_SCAN_H

#include "chivefold/core/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace chivefold {

/** @return InvalidText with @p message at the line and column of byte @p pos of
 * @p text. */
Reason reasonAt(std::string_view text, std::size_t pos, std::string message);

/** @return untrusted @p text in quotes for a single-line message, truncated and
 * with control characters replaced. */
std::string quotedText(std::string_view text);

/**
 * Rejects input that toml11 wrongly accepts or cannot parse safely: invalid
 * UTF-8, control characters, multi-line strings, and nesting or dotted keys so
 * deep that its recursion could exhaust the stack.
 */
Status validateText(std::string_view text);

/** @return InvalidText with the position and description extracted from
 * @p parserMessage, the toml11 message of a syntax error in @p text. */
Reason syntaxErrorReason(std::string_view text, std::string_view parserMessage);

} // namespace chivefold

#endif
