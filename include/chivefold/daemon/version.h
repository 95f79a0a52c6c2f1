/**
 * @file
 * Name and version that the programs print.
 */
#ifndef CHIVEFOLD_DAEMON_VERSION_H
#define CHIVEFOLD_DAEMON_VERSION_H

#include <string_view>

namespace chivefold {

/** Output of --version. */
constexpr std::string_view ProgramVersion = "chivefold 0.1.0";

} // namespace chivefold

#endif
