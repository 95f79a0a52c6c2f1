#include "chivefold/daemon/operator_commands.h"

#include "chivefold/io/http_status.h"

#include <cstdlib>
#include <curl/curl.h>

namespace chivefold {
namespace {

/** Largest accepted body. It has room for a full batch of log records or the
 * state of a large fleet. */
constexpr std::size_t MaxResponseBytes = 64U << 20U;

/** CURLOPT_WRITEFUNCTION. Returning 0 aborts the request. */
std::size_t appendBody(char *data, std::size_t size, std::size_t count,
                       void *to) {
  auto &body = *static_cast<std::string *>(to);
  if (body.size() + size * count > MaxResponseBytes) {
    return 0;
  }
  body.append(data, size * count);
  return size * count;
}

/** CURLOPT_HEADERFUNCTION. Stores the offsets in Log-Next and Log-First. */
std::size_t readHeader(char *data, std::size_t size, std::size_t count,
                       void *to) {
  auto &response = *static_cast<BlockingHttpResponse *>(to);
  const std::string line(data, size * count);
  const auto colon = line.find(':');
  if (colon != std::string::npos) {
    const auto name = line.substr(0, colon);
    const auto is = [&](const char *wanted) {
      return name.size() == std::string_view(wanted).size() &&
             curl_strequal(name.c_str(), wanted) != 0;
    };
    const auto value =
        LogOffset{std::strtoull(line.c_str() + colon + 1, nullptr, 10)};
    if (is("Log-Next")) {
      response.LogNext = value;
    } else if (is("Log-First")) {
      response.LogFirst = value;
    }
  }
  return size * count;
}

class CurlHttpClient : public BlockingHttpClient {
public:
  explicit CurlHttpClient(std::chrono::milliseconds timeout)
      : Timeout(timeout) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
  }
  ~CurlHttpClient() override { curl_global_cleanup(); }

  Result<BlockingHttpResponse> request(const std::string &method,
                                       const std::string &url,
                                       const std::string &body) override {
    const std::unique_ptr<CURL, void (*)(CURL *)> curl(curl_easy_init(),
                                                       curl_easy_cleanup);
    BlockingHttpResponse response;
    auto *c = curl.get();
    curl_easy_setopt(c, CURLOPT_URL, url.c_str());
    curl_easy_setopt(c, CURLOPT_PROXY, "");
    curl_easy_setopt(c, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(c, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(c, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, static_cast<long>(Timeout.count()));
    curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(c, CURLOPT_WRITEDATA, &response.Body);
    curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, readHeader);
    curl_easy_setopt(c, CURLOPT_HEADERDATA, &response);
    if (method != "GET") {
      // CURLOPT_POST makes libcurl send the body; CURLOPT_CUSTOMREQUEST then
      // replaces the method name.
      curl_easy_setopt(c, CURLOPT_POST, 1L);
      curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method.c_str());
      curl_easy_setopt(c, CURLOPT_POSTFIELDS, body.data());
      curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(body.size()));
    }
    const auto rc = curl_easy_perform(c);
    if (rc != CURLE_OK) {
      return Reason{ErrorCode::ConnectionFailed, curl_easy_strerror(rc)};
    }
    long status = 0;
    curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
    if (!isFinalStatus(static_cast<int>(status))) {
      return Reason{ErrorCode::ConnectionFailed, "the status " +
                                                     std::to_string(status) +
                                                     " is out of range"};
    }
    response.Status = static_cast<int>(status);
    return response;
  }

private:
  std::chrono::milliseconds Timeout;
};

} // namespace

std::unique_ptr<BlockingHttpClient>
makeBlockingHttpClient(std::chrono::milliseconds timeout) {
  return std::make_unique<CurlHttpClient>(timeout);
}

} // namespace chivefold
