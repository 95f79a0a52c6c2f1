#include "chivefold/io/http.h"

#include <curl/curl.h>
#include <memory>
#include <strings.h>

namespace chivefold {

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
      const auto raw = field.substr(eq + 1);
      int n = 0;
      const std::unique_ptr<char, decltype(&curl_free)> buf(
          curl_easy_unescape(nullptr, raw.data(), static_cast<int>(raw.size()),
                             &n),
          &curl_free);
      return buf ? std::string(buf.get(), static_cast<std::size_t>(n)) : "";
    }
    if (end == std::string_view::npos) {
      break;
    }
    query = query.substr(end + 1);
  }
  return {};
}

} // namespace chivefold
