#include "chivefold/daemon/text_table.h"

#include <algorithm>

namespace chivefold {
namespace {

/** Replaces control characters by '?'. Cells may hold names taken from
 * requests, which must not break lines or send escape sequences to the
 * operator's terminal. */
std::string replaceControlCharacters(std::string cell) {
  std::replace_if(
      cell.begin(), cell.end(),
      [](unsigned char c) { return c < ' ' || c == 0x7F; }, '?');
  return cell;
}

} // namespace

std::string formatTable(const std::vector<TextRow> &rows) {
  std::vector<std::size_t> widths;
  for (const auto &row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], row[n].size());
    }
  }
  std::string text;
  for (const auto &row : rows) {
    for (std::size_t n = 0; n < row.size(); ++n) {
      text += replaceControlCharacters(row[n]);
      if (n + 1 < row.size()) {
        text.append(widths[n] - row[n].size() + 2, ' ');
      }
    }
    text += '\n';
  }
  return text;
}

} // namespace chivefold
