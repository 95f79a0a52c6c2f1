/**
 * @file
 * HTTP messages shared by server and client.
 */
#ifndef CHIVEFOLD_IO_HTTP_H
#define CHIVEFOLD_IO_HTTP_H

#include "chivefold/io/body_stream.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chivefold {

struct HttpLimits {
  static constexpr std::size_t MaxBodyBytes = 1U << 20U;
  static constexpr std::size_t MaxHeaderBytes = 16U << 10U;
  static constexpr unsigned MaxConnections = 1024;
  /** What a response may have beside its body: heads, those of interim and
   * foreign responses too, and the framing of chunks. */
  static constexpr std::size_t MaxOverheadBytes = 256U << 10U;
  /** Interim and foreign responses before the one that is awaited. */
  static constexpr unsigned MaxSkippedResponses = 16;
  /** Bytes of unfinished responses that a client holds at once; of further ones
   * the largest is given up. */
  static constexpr std::size_t MaxHeldBytes = 8U << 20U;
};

struct HttpHeader {
  std::string Name;
  std::string Value;
};

using HttpHeaders = std::vector<HttpHeader>;

/** @return the first value of @p name (case-insensitive), or "". Thread-safe.
 */
std::string_view headerValue(const HttpHeaders &headers, std::string_view name);

/** @return whether a status is 2xx. Thread-safe. */
constexpr bool isSuccess(int status) { return status >= 200 && status < 300; }

/** Bytes of a body that its copies share, so that a large one is held once.
 * Copies may be used on several threads; one object on one thread at a time. */
class SharedBody {
public:
  SharedBody() = default;
  // A body is assigned from text wherever one is made.
  SharedBody(std::string text) // NOLINT(google-explicit-constructor)
      : Text(text.empty()
                 ? nullptr
                 : std::make_shared<const std::string>(std::move(text))) {}
  SharedBody(const char *text) // NOLINT(google-explicit-constructor)
      : SharedBody(std::string(text)) {}

  std::string_view view() const {
    return Text ? std::string_view(*Text) : std::string_view();
  }
  operator std::string_view() const { // NOLINT(google-explicit-constructor)
    return view();
  }
  std::size_t size() const { return view().size(); }
  bool empty() const { return view().empty(); }
  void clear() { Text.reset(); }
  const char *begin() const { return view().data(); }
  const char *end() const { return view().data() + size(); }

  friend bool operator==(const SharedBody &a, std::string_view b) {
    return a.view() == b;
  }
  friend bool operator!=(const SharedBody &a, std::string_view b) {
    return a.view() != b;
  }
  friend std::string operator+(std::string text, const SharedBody &body) {
    text.append(body.view());
    return text;
  }

private:
  std::shared_ptr<const std::string> Text;
};

struct HttpRequest {
  std::string Method;
  /** Path without the query, beginning with '/'. */
  std::string Path;
  /** Text after '?', or "". */
  std::string Query;
  HttpHeaders Headers;
  SharedBody Body;
  /** What follows Body, if the request was handed over before its end. */
  std::shared_ptr<BodyStream> Rest;
};

/** @return the decoded value of @p name in a query, or "". Thread-safe. */
std::string queryValue(std::string_view query, std::string_view name);

struct HttpResponse {
  int Status = 200;
  HttpHeaders Headers;
  std::string Body;
};

} // namespace chivefold

#endif
