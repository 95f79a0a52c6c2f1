/**
 * @file
 * Formatting of plain-text tables.
 */
#ifndef CHIVEFOLD_DAEMON_TEXT_TABLE_H
#define CHIVEFOLD_DAEMON_TEXT_TABLE_H

#include <string>
#include <vector>

namespace chivefold {

using TextRow = std::vector<std::string>;

/** @return one line per row, each column padded to its widest cell. Control
 * characters in cells are replaced by '?'. Thread-safe. */
std::string formatTable(const std::vector<TextRow> &rows);

} // namespace chivefold

#endif
