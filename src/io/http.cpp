#include "chivefold/io/http.h"

#include <charconv>
#include <strings.h>

namespace chivefold {

namespace {

// Decodes %XX; a sign that is not followed by two digits stands for itself.
std::string unescape(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned code = 0;
    const auto *first = text.data() + i + 1;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(first, first + 2, code, 16).ptr == first + 2) {
      out += static_cast<char>(code);
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

} // namespace

std::string_view headerValue(const HttpHeaders &headers,
                             std::string_view name) {
  for (const auto &it : headers) {
    if (it.Name.size() == name.size() &&
        strncasecmp(it.Name.data(), name.data(), name.size()) == 0) {
      return it.Value;
    }
  }
  return {};
}

std::string queryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const auto end = query.find('&');
    const auto field = query.substr(0, end);
    const auto eq = field.find('=');
    if (eq != std::string_view::npos && field.substr(0, eq) == name) {
      return unescape(field.substr(eq + 1));
    }
    if (end == std::string_view::npos) {
      break;
    }
    query = query.substr(end + 1);
  }
  return {};
}

} // namespace chivefold
