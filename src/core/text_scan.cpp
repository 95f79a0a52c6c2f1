#include "text_scan.h"

#include <algorithm>
#include <charconv>

namespace chivefold {
namespace {

/** The configuration format needs 2 levels. The limit bounds the stack usage of
 * the parser, which recurses at each level. */
constexpr int MaxNesting = 8;
/** The configuration format needs 3 parts per key. The limit bounds the stack
 * usage of the parser, which recurses for each part. */
constexpr int MaxDotsPerLine = 64;
constexpr std::size_t MaxQuotedBytes = 80;

/** @return the length of the UTF-8 sequence at the start of @p text, or 0 if it
 * is invalid (overlong, surrogate, out of range or truncated). */
std::size_t utf8Length(std::string_view text) {
  const auto byteAt = [&](std::size_t n) {
    return n < text.size() ? static_cast<unsigned char>(text[n]) : 0U;
  };
  const auto isContinuation = [&](std::size_t n) {
    return (byteAt(n) & 0xC0U) == 0x80U;
  };
  const auto leadByte = byteAt(0);
  if (leadByte < 0x80U) {
    return 1;
  }
  if (leadByte >= 0xC2U && leadByte <= 0xDFU && isContinuation(1)) {
    return 2;
  }
  if (leadByte >= 0xE0U && leadByte <= 0xEFU && isContinuation(1) &&
      isContinuation(2)) {
    const bool overlong = leadByte == 0xE0U && byteAt(1) < 0xA0U;
    const bool surrogate = leadByte == 0xEDU && byteAt(1) >= 0xA0U;
    return overlong || surrogate ? 0 : 3;
  }
  if (leadByte >= 0xF0U && leadByte <= 0xF4U && isContinuation(1) &&
      isContinuation(2) && isContinuation(3)) {
    const bool overlong = leadByte == 0xF0U && byteAt(1) < 0x90U;
    const bool outOfRange = leadByte == 0xF4U && byteAt(1) >= 0x90U;
    return overlong || outOfRange ? 0 : 4;
  }
  return 0;
}

Status validateCharacters(std::string_view text) {
  for (std::size_t pos = 0; pos < text.size();) {
    const auto n = utf8Length(text.substr(pos));
    if (n == 0) {
      return reasonAt(text, pos, "expected UTF-8");
    }
    const auto c = static_cast<unsigned char>(text[pos]);
    const bool crlf = c == '\r' && text.substr(pos, 2) == "\r\n";
    if ((c < 0x20 && c != '\n' && c != '\t' && !crlf) || c == 0x7F) {
      return reasonAt(text, pos, "expected no control characters");
    }
    pos += n;
  }
  return Done{};
}

/** Counts the brackets and dots of the syntax. Skips strings and comments,
 * which end at the end of their line at the latest. */
class NestingScanner {
public:
  explicit NestingScanner(std::string_view text) : Text(text) {}

  Status run() {
    for (std::size_t pos = 0; pos < Text.size(); ++pos) {
      const char c = Text[pos];
      if (c == '\n') {
        OpenDelimiter = '\0';
        Dots = 0;
      } else if (OpenDelimiter == '\0') {
        const auto *error = scanSyntaxCharacter(pos);
        if (error != nullptr) {
          return reasonAt(Text, pos, error);
        }
      } else if (OpenDelimiter == '"' && c == '\\' &&
                 Text.substr(pos + 1, 1) != "\n") {
        ++pos;
      } else if (OpenDelimiter != '#' && c == OpenDelimiter) {
        OpenDelimiter = '\0';
      }
    }
    return Done{};
  }

private:
  const char *scanSyntaxCharacter(std::size_t pos) {
    const char c = Text[pos];
    if (c == '"' || c == '\'') {
      const auto next = Text.substr(pos, 3);
      if (next == R"(""")" || next == "'''") {
        return "expected a string on a single line";
      }
    }
    if (c == '"' || c == '\'' || c == '#') {
      OpenDelimiter = c;
    } else if (c == '[' || c == '{') {
      ++Depth;
    } else if (c == ']' || c == '}') {
      Depth = std::max(0, Depth - 1);
    } else if (c == '.') {
      ++Dots;
    }
    if (Depth > MaxNesting) {
      return "expected at most 8 levels of brackets";
    }
    return Dots > MaxDotsPerLine ? "expected at most 64 dots in a line"
                                 : nullptr;
  }

  std::string_view Text;
  /** The quote or '#' that opened the current string or comment, or 0 outside
   * of both. */
  char OpenDelimiter = '\0';
  int Depth = 0;
  int Dots = 0;
};

std::string_view firstLine(std::string_view text) {
  return text.substr(0, text.find('\n'));
}

/** The last source position marked in a toml11 error message. Each is a row
 * " N | source" followed by a row "   | ^--- comment". */
struct ErrorMarker {
  int Line = 1;
  std::size_t Column = 0;
  std::string_view Source;
  std::string_view Comment;
};

ErrorMarker lastErrorMarker(std::string_view parserMessage) {
  ErrorMarker marker;
  std::string_view previous;
  while (!parserMessage.empty()) {
    const auto row = firstLine(parserMessage);
    parserMessage.remove_prefix(std::min(parserMessage.size(), row.size() + 1));
    const auto separator = row.find(" | ");
    const auto markerStart = separator == std::string_view::npos
                                 ? std::string_view::npos
                                 : row.find_first_not_of(' ', separator + 3);
    const auto isMarkerRow =
        markerStart != std::string_view::npos &&
        row.find_first_not_of(' ') == separator + 1 &&
        (row[markerStart] == '^' || row[markerStart] == '~');
    const auto digit = previous.find_first_not_of(' ');
    if (isMarkerRow && digit != std::string_view::npos &&
        std::from_chars(previous.data() + digit,
                        previous.data() + previous.size(), marker.Line)
                .ec == std::errc()) {
      marker.Column = markerStart - separator - 3;
      marker.Source = previous.substr(std::min(previous.size(), separator + 3));
      const auto comment = row.find_first_not_of("^~- ", markerStart);
      marker.Comment = comment == std::string_view::npos ? std::string_view()
                                                         : row.substr(comment);
    }
    previous = row;
  }
  return marker;
}

std::size_t lineStart(std::string_view text, int line) {
  std::size_t pos = 0;
  for (; line > 1; --line) {
    const auto end = text.find('\n', pos);
    if (end == std::string_view::npos) {
      return pos;
    }
    pos = end + 1;
  }
  return pos;
}

} // namespace

Reason reasonAt(std::string_view text, std::size_t pos, std::string message) {
  const auto before = text.substr(0, pos);
  const auto lines = std::count(before.begin(), before.end(), '\n');
  const auto start = before.rfind('\n');
  const auto column =
      start == std::string_view::npos ? pos + 1 : before.size() - start;
  return {ErrorCode::InvalidText, std::move(message),
          static_cast<int>(lines) + 1, static_cast<int>(column)};
}

std::string quotedText(std::string_view text) {
  std::string s = "'";
  for (const char c : text.substr(0, MaxQuotedBytes)) {
    s += static_cast<unsigned char>(c) < 0x20 || c == 0x7F ? '?' : c;
  }
  s += text.size() > MaxQuotedBytes ? "...'" : "'";
  return s;
}

Status validateText(std::string_view text) {
  auto status = validateCharacters(text);
  return status ? NestingScanner(text).run() : status;
}

Reason syntaxErrorReason(std::string_view text,
                         std::string_view parserMessage) {
  constexpr std::string_view prefix = "[error] ";
  auto description = firstLine(parserMessage);
  if (description.substr(0, prefix.size()) == prefix) {
    description.remove_prefix(prefix.size());
  }
  if (description.substr(0, 6) == "toml::") {
    const auto end = description.find(": ");
    description.remove_prefix(end == std::string_view::npos ? 6 : end + 2);
  }
  std::string message(description);
  const auto marker = lastErrorMarker(parserMessage);
  if (!marker.Comment.empty()) {
    message += " (" + std::string(marker.Comment) + ")";
  }
  // For an invalid date, toml11 counts lines from the date instead of the start
  // of the text. If the quoted source is not at the start of the reported line,
  // it is searched for in the text.
  auto start = lineStart(text, marker.Line);
  if (text.substr(start, marker.Source.size()) != marker.Source) {
    const auto found = text.find(marker.Source);
    start = found == std::string_view::npos ? start : found;
  }
  return reasonAt(text, std::min(text.size(), start + marker.Column),
                  std::move(message));
}

} // namespace chivefold
