#include "curl_transfer.h"

#include <strings.h>

namespace chivefold {

namespace {

std::string_view trim(std::string_view text) {
  const auto *const space = " \t\r\n";
  const auto first = text.find_first_not_of(space);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(space) - first + 1);
}

bool isClean(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) ==
         std::string_view::npos;
}

bool isToken(std::string_view text) {
  return !text.empty() && isClean(text) &&
         text.find_first_of(" \t:") == std::string_view::npos;
}

// libcurl writes these itself; a second one could change the framing.
bool setByClient(const std::string &name) {
  for (const auto *it :
       {"Content-Length", "Transfer-Encoding", "Connection", "Expect"}) {
    if (strcasecmp(name.c_str(), it) == 0) {
      return true;
    }
  }
  return false;
}

} // namespace

CurlTransfer::CurlTransfer(std::uint64_t id, const HttpCall &call)
    : Id(id), Easy(curl_easy_init()), MaxBodyBytes(call.MaxResponseBytes) {
  configure(call);
  addHeaders(call);
}

CurlTransfer::~CurlTransfer() {
  curl_easy_cleanup(Easy);
  curl_slist_free_all(Fields);
}

Reason CurlTransfer::check(const HttpCall &call) {
  bool good = isToken(call.Method) && isClean(call.Url);
  for (const auto &it : call.Headers) {
    good = good && isToken(it.Name) && isClean(it.Value);
  }
  return good ? Reason{}
              : Reason{ErrorCode::InvalidArgument, "malformed request"};
}

void CurlTransfer::configure(const HttpCall &call) {
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(Easy, CURLOPT_ERRORBUFFER, ErrorText);
  curl_easy_setopt(Easy, CURLOPT_URL, call.Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &headerCallback);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &bodyCallback);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, this);
  IsHead = call.Method == "HEAD";
  if (IsHead) {
    curl_easy_setopt(Easy, CURLOPT_NOBODY, 1L);
  } else if (!call.Body.empty() || call.Method == "POST" ||
             call.Method == "PUT" || call.Method == "PATCH") {
    curl_easy_setopt(Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.Body.size()));
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, call.Body.data());
  }
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, call.Method.c_str());
  if (call.FreshConnection) {
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, 1L);
  }
}

void CurlTransfer::addHeaders(const HttpCall &call) {
  const auto add = [this](const std::string &line) {
    Fields = curl_slist_append(Fields, line.c_str());
  };
  add("Expect:");
  for (const auto *it : {"Content-Type", "Accept", "User-Agent"}) {
    if (headerValue(call.Headers, it).empty()) {
      add(std::string(it) + ":"); // Keeps libcurl from adding its own.
    }
  }
  for (const auto &it : call.Headers) {
    if (!setByClient(it.Name)) {
      // libcurl's notation of an empty value.
      add(it.Value.empty() ? it.Name + ";" : it.Name + ": " + it.Value);
    }
  }
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Fields);
}

std::uint64_t CurlTransfer::idOf(CURL *handle) {
  CurlTransfer *self = nullptr;
  curl_easy_getinfo(handle, CURLINFO_PRIVATE, &self);
  return self->Id;
}

// PRETRANSFER_TIME becomes non-zero before the first byte of a request is
// sent, and stays so if libcurl repeats the request on another connection.
bool CurlTransfer::mayHaveRun() const {
  curl_off_t pretransfer = 0;
  long sent = 0;
  if (curl_easy_getinfo(Easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer) !=
          CURLE_OK ||
      curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &sent) != CURLE_OK) {
    return true;
  }
  return pretransfer != 0 || sent != 0;
}

HttpOutcome CurlTransfer::outcome(CURLcode code) {
  const bool run = mayHaveRun();
  return {response(code), code == CURLE_OK || run};
}

Result<HttpResponse> CurlTransfer::response(CURLcode code) {
  if (TooLarge) {
    return Reason{ErrorCode::TooLarge, "response over the size limit"};
  }
  if (code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL) {
    return Reason{ErrorCode::InvalidArgument, "malformed URL"};
  }
  if (code != CURLE_OK) {
    return Reason{ErrorCode::ConnectionFailed,
                  ErrorText[0] != 0 ? ErrorText : curl_easy_strerror(code)};
  }
  const int status = Received.Status;
  // Without a length the end of the body cannot be told from a crash of the
  // server.
  if (!IsHead && status != 204 && status != 304 &&
      headerValue(Received.Headers, "Content-Length").empty() &&
      headerValue(Received.Headers, "Transfer-Encoding").empty()) {
    return Reason{ErrorCode::ConnectionFailed, "response without a length"};
  }
  return std::move(Received);
}

// A status line also follows each informational response, whose headers do
// not belong to the final one.
void CurlTransfer::startHeaders(std::string_view line) {
  Received = {};
  const auto space = line.find(' ');
  Received.Status = space == std::string_view::npos
                        ? 0
                        : std::atoi(std::string(line.substr(space)).c_str());
}

bool CurlTransfer::addHeader(std::string_view line) {
  HeaderBytes += line.size();
  if (HeaderBytes > HttpLimits::MaxHeaderBytes) {
    TooLarge = true;
    return false;
  }
  const auto colon = line.find(':');
  if (line.substr(0, 5) == "HTTP/") {
    startHeaders(line);
  } else if (colon != std::string_view::npos) {
    Received.Headers.push_back({std::string(trim(line.substr(0, colon))),
                                std::string(trim(line.substr(colon + 1)))});
  }
  return true;
}

bool CurlTransfer::addBody(std::string_view data) {
  if (Received.Body.size() + data.size() > MaxBodyBytes) {
    TooLarge = true;
    return false;
  }
  Received.Body.append(data);
  return true;
}

std::size_t CurlTransfer::headerCallback(char *data, std::size_t size,
                                         std::size_t count, void *cls) {
  const auto n = size * count;
  return static_cast<CurlTransfer *>(cls)->addHeader({data, n}) ? n : 0;
}

std::size_t CurlTransfer::bodyCallback(char *data, std::size_t size,
                                       std::size_t count, void *cls) {
  const auto n = size * count;
  return static_cast<CurlTransfer *>(cls)->addBody({data, n}) ? n : 0;
}

} // namespace chivefold
