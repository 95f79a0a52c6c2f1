/**
 * @file
 * HTTP/1.1 client driven by the reactor.
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
  SharedBody Body;
  /** What follows Body; passed on as it arrives. */
  std::shared_ptr<BodyStream> Rest;
  /** The call fails with DeadlineExceeded at this time. */
  TimePoint Deadline;
  /** Uses a new connection in place of an idle one. */
  bool FreshConnection = false;
  /** An idle connection is reused only if it was in use at or after this time,
   * since servers close idle connections without notice. */
  TimePoint ReuseUsedSince{};
  /** Takes a response without a length, which ends with its connection. */
  bool AcceptUnframed = false;
  /** Responses that it refuses belong to another request: they are dropped and
   * the next one is awaited. @param isFirst whether the connection has carried
   * no other request. Empty accepts any. */
  std::function<bool(const HttpResponse &, bool isFirst)> Accepts;
  /** A response with a larger body fails with TooLarge, and so does one whose
   * bytes go on without end. */
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

/**
 * Runs HTTP calls concurrently and keeps idle connections for reuse. A request
 * is sent once: the client never repeats one by itself. Used on the reactor's
 * thread only.
 *
 * Each callback runs as a task of the loop by itself: never inside a function
 * of the client, whatever the connections do meanwhile, and never inside
 * another callback. It may therefore call any function of the client, and
 * destroy it. A call that has ended keeps its outcome until its callback runs,
 * even if its deadline passes.
 *
 * Calls that wait for a connection get one in the order of their start, from a
 * task of the loop too. HttpCall::Accepts runs while a response is read and
 * must not use the client; taking bytes of HttpCall::Rest may run a task of
 * its producer, which may cancel calls.
 */
class HttpClient {
public:
  using Callback = std::function<void(HttpOutcome)>;

  /** Time in which a connection must be established. */
  static constexpr Duration ConnectTimeout = std::chrono::seconds(1);
  /** An idle connection is closed after this time, or sooner if the server
   * states a shorter Keep-Alive. */
  static constexpr Duration MaxIdleTime = std::chrono::seconds(8);
  /** Part of a stated Keep-Alive in which a connection is reused; the rest
   * covers the way of a request to the server. */
  static constexpr double KeepAlivePart = 0.8;

  /** @param maxConnections bound of open connections; calls beyond it queue
   * until their deadline. */
  HttpClient(Reactor &reactor, std::size_t maxConnections);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /** Starts a call; @p done runs once, later, from the loop, unless the call is
   * cancelled or the client destroyed before. A request that is not well-formed
   * ends with InvalidArgument. */
  HttpCallId start(HttpCall call, Callback done);

  /** Changes the bound of open connections, idle ones included; at least 1.
   * Idle connections over a lower bound are closed, the others as their calls
   * end; a higher bound lets calls start that wait. */
  void setMaxConnections(std::size_t max);

  /** Aborts a call, closing its connection, without running its callback. Does
   * nothing for a call whose callback has run. */
  void cancel(HttpCallId id);

  /** Aborts a call like cancel(), unless a byte of its request may have reached
   * the server. @return whether the call was aborted, so that its callback does
   * not run. */
  bool cancelUnsent(HttpCallId id);

  /** Closes all idle connections, for example when the server was replaced. */
  void closeIdle();

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace chivefold

#endif
