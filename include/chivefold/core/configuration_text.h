/**
 * @file
 * Compilation of the operators' TOML text to a Configuration.
 */
#ifndef CHIVEFOLD_CORE_CONFIGURATION_TEXT_H
#define CHIVEFOLD_CORE_CONFIGURATION_TEXT_H

#include "chivefold/core/configuration.h"
#include "chivefold/core/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace chivefold {

/** Longest timeout of a route, in milliseconds. */
constexpr std::uint32_t MaxRouteTimeoutMs = 10 * 60 * 1000;

/** Longest path prefix of a route, in bytes. */
constexpr std::size_t MaxPathBytes = 1024;

/**
 * Compiles a TOML text. Every name that the result refers to is defined in it.
 * @return the configuration, or InvalidText with the line, the column and the
 * expected input. TooLarge if the text exceeds MaxTextBytes. Thread-safe.
 */
Result<Configuration> compileConfiguration(std::string_view text);

/**
 * Checks that the deadlines of all moves are in the future.
 * @param now the current time by the operator's UTC clock.
 * @return InvalidText if a move's deadline is not after @p now. The reason
 * names the service. It has no line, since @p config does not store source
 * positions. Thread-safe.
 */
Status checkDeadlines(const Configuration &config, UtcTime now);

/**
 * Compiles a TOML text and checks the deadlines of its moves.
 * @return the result of compileConfiguration(text), or InvalidText with the
 * line and column of a deadline that is not after @p now. Thread-safe.
 */
Result<Configuration> compileConfiguration(std::string_view text, UtcTime now);

/** @return one human-readable line per section. Thread-safe. */
std::string describe(const std::vector<Section> &sections);

/** @return @p time in RFC 3339 format with whole seconds, such as
 * "2026-12-04T17:00:00Z". Thread-safe. */
std::string toString(UtcTime time);

} // namespace chivefold

#endif
