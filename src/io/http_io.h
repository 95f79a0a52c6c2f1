/**
 * @file
 * What the two ends of an HTTP connection have in common. Internal to io.
 */
#ifndef CHIVEFOLD_IO_HTTP_IO_H
#define CHIVEFOLD_IO_HTTP_IO_H

#include "chivefold/io/http.h"

#include <array>
#include <cerrno>
#include <charconv>
#include <cstddef>
#include <string>
#include <string_view>
#include <sys/socket.h>

namespace chivefold {

/** Sends as much of @p output behind @p written as the socket takes now.
 * @return false if the connection is broken. Thread-safe. */
inline bool sendAvailable(int fd, const std::string &output,
                          std::size_t &written) {
  while (written < output.size()) {
    const auto n = send(fd, output.data() + written, output.size() - written,
                        MSG_NOSIGNAL);
    if (n > 0) {
      written += static_cast<std::size_t>(n);
    } else if (n < 0 && errno == EAGAIN) {
      return true;
    } else if (n == 0 || errno != EINTR) {
      return false;
    }
  }
  return true;
}

/** @return @p bytes as a chunk of a chunked body; nothing for no bytes, which
 * would end the body. Thread-safe. */
inline std::string chunkOf(std::string_view bytes) {
  if (bytes.empty()) {
    return {};
  }
  std::array<char, 2 * sizeof(std::size_t)> size{};
  const auto end =
      std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
  std::string out(size.data(), end.ptr);
  out.reserve(out.size() + bytes.size() + 4);
  out += "\r\n";
  out += bytes;
  out += "\r\n";
  return out;
}

/** Ends a chunked body. */
constexpr std::string_view LastChunk = "0\r\n\r\n";

/** @return the headers of a Beast message. Thread-safe. */
template <class Message> HttpHeaders headersOf(const Message &message) {
  HttpHeaders out;
  for (const auto &it : message) {
    out.push_back({std::string(it.name_string()), std::string(it.value())});
  }
  return out;
}

} // namespace chivefold

#endif
