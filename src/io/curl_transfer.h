/**
 * @file
 * One HTTP call as a libcurl transfer. Internal to io.
 */
#ifndef CHIVEFOLD_IO_CURL_TRANSFER_H
#define CHIVEFOLD_IO_CURL_TRANSFER_H

#include "chivefold/io/http_client.h"

#include <cstdint>
#include <curl/curl.h>
#include <string_view>

namespace chivefold {

/** Owns an easy handle. @p call outlives it. Not thread-safe. */
class CurlTransfer {
public:
  CurlTransfer(std::uint64_t id, const HttpCall &call);
  ~CurlTransfer();
  CurlTransfer(const CurlTransfer &) = delete;
  CurlTransfer &operator=(const CurlTransfer &) = delete;

  /** @return why @p call cannot be sent, or Ok. A line break in a header would
   * start another header or request. */
  static Reason check(const HttpCall &call);

  static std::uint64_t idOf(CURL *handle);
  CURL *handle() const { return Easy; }

  /** @return false only if no connection was made for the request, so that
   * none of its bytes can have been sent. */
  bool mayHaveRun() const;

  /** @return the outcome of a transfer that ended with @p code. */
  HttpOutcome outcome(CURLcode code);

private:
  void configure(const HttpCall &call);
  void addHeaders(const HttpCall &call);
  void startHeaders(std::string_view line);
  bool addHeader(std::string_view line);
  bool addBody(std::string_view data);
  Result<HttpResponse> response(CURLcode code);

  static std::size_t headerCallback(char *data, std::size_t size,
                                    std::size_t count, void *cls);
  static std::size_t bodyCallback(char *data, std::size_t size,
                                  std::size_t count, void *cls);

  std::uint64_t Id;
  CURL *Easy;
  curl_slist *Fields = nullptr;
  HttpResponse Received;
  std::size_t MaxBodyBytes;
  std::size_t HeaderBytes = 0;
  bool IsHead = false;
  bool TooLarge = false;
  char ErrorText[CURL_ERROR_SIZE] = {}; // NOLINT: type required by libcurl
};

} // namespace chivefold

#endif
