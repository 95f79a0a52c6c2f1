/**
 * @file
 * Checks of a text before the TOML parser sees it, and places in texts.
 */
#ifndef CHIVEFOLD_SRC_CORE_TEXT_SCAN_H
#define CHIVEFOLD_SRC_CORE_TEXT_SCAN_H

#include "chivefold/core/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace chivefold {

/** @return InvalidText at the line and column of byte @p pos of @p text. */
Reason reasonAt(std::string_view text, std::size_t pos, std::string message);

/** @return a short form of untrusted @p text that is safe to print in a line.
 */
std::string quotedText(std::string_view text);

/**
 * Refuses what toml11 accepts or cannot bear: invalid UTF-8, control
 * characters, strings over several lines, and nesting or dotted keys so deep
 * that its recursion could exhaust the stack.
 */
Status validateText(std::string_view text);

/** @return the place and cause in the message of a toml11 syntax error. */
Reason syntaxErrorReason(std::string_view text, std::string_view parserMessage);

} // namespace chivefold

#endif
