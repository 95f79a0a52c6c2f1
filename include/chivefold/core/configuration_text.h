/**
 * @file
 * The operators' text (TOML) and its compilation to a Configuration.
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
 * Compiles a text. The result is closed under references: every name that it
 * mentions is defined in it.
 * @return the configuration, or InvalidText (TooLarge for a text over
 * MaxTextBytes) with line, column and what was expected. Thread-safe.
 */
Result<Configuration> compileConfiguration(std::string_view text);

/**
 * Checks what depends on the time at which a text is applied.
 * @param now the operator's UTC clock.
 * @return InvalidText if a move's deadline is not after @p now. The reason
 * names the service; it has no line, as @p config keeps none. Thread-safe.
 */
Status checkDeadlines(const Configuration &config, UtcTime now);

/**
 * The same check with places.
 * @return compileConfiguration(@p text), refused at the deadline's place if it
 * is not after @p now. Thread-safe.
 */
Result<Configuration> compileConfiguration(std::string_view text, UtcTime now);

/** @return one line per section, for humans. Thread-safe. */
std::string describe(const std::vector<Section> &sections);

/** @return @p time as "2026-12-04T17:00:00Z". Thread-safe. */
std::string toString(UtcTime time);

} // namespace chivefold

#endif
