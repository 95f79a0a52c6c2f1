/**
 * @file
 * HTTP client on libcurl's multi interface, driven by the reactor.
 */
#ifndef CHIVEFOLD_IO_HTTP_CLIENT_H
#define CHIVEFOLD_IO_HTTP_CLIENT_H

#include "chivefold/core/error.h"
#include "chivefold/core/types.h"
#include "chivefold/io/http.h"
#include "chivefold/io/reactor.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace chivefold {

struct HttpCall {
  std::string Method;
  /** "http://ip:port/path?query". */
  std::string Url;
  HttpHeaders Headers;
  std::string Body;
  /** The call fails with DeadlineExceeded at this time. */
  TimePoint Deadline;
  /**
   * Uses a new connection. libcurl sends a request again by itself when a
   * reused connection turns out to be closed, which could run non-idempotent
   * work twice, so such calls set this.
   */
  bool FreshConnection = false;
  /** A response with a larger body fails with TooLarge. */
  std::size_t MaxResponseBytes = HttpLimits::MaxBodyBytes;
};

/** How a call ended. */
struct HttpOutcome {
  /** The complete response, or why there is none. A truncated one is an error.
   */
  Result<HttpResponse> Response;
  /** False only when it is certain that no byte of the request reached the
   * server. */
  bool MayHaveRun = true;
};

enum class HttpCallId : std::uint64_t { None = 0 };

/** Runs HTTP calls concurrently. Used on the reactor's thread only. */
class HttpClient {
public:
  using Callback = std::function<void(HttpOutcome)>;

  /** @param maxConnections bound of open connections; calls beyond it queue
   * until their deadline. */
  HttpClient(Reactor &reactor, std::size_t maxConnections);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /** Starts a call; @p done runs once, later, from the loop, unless cancelled.
   */
  HttpCallId start(HttpCall call, Callback done);

  /** Changes the bound of open connections, idle ones included; at least 1.
   * Connections over a lower bound are closed as calls end. */
  void setMaxConnections(std::size_t max);

  /** Aborts a call without running its callback. */
  void cancel(HttpCallId id);

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace chivefold

#endif
