/**
 * @file
 * Tables of text with aligned columns.
 */
#ifndef CHIVEFOLD_DAEMON_TEXT_TABLE_H
#define CHIVEFOLD_DAEMON_TEXT_TABLE_H

#include <string>
#include <vector>

namespace chivefold {

using TextRow = std::vector<std::string>;

/** @return the rows with columns padded to the widest cell. Thread-safe. */
std::string formatTable(const std::vector<TextRow> &rows);

} // namespace chivefold

#endif
