/**
 * @file
 * HTTP/1.1 server driven by the reactor.
 */
#ifndef CHIVEFOLD_IO_HTTP_SERVER_H
#define CHIVEFOLD_IO_HTTP_SERVER_H

#include "chivefold/core/error.h"
#include "chivefold/core/types.h"
#include "chivefold/io/byte_budget.h"
#include "chivefold/io/edge_limits.h"
#include "chivefold/io/http.h"
#include "chivefold/io/reactor.h"

#include <functional>
#include <memory>

namespace chivefold {

/**
 * One request that waits for its response. Used on the reactor's thread only.
 * If the last reference goes without respond(), the caller gets 503.
 */
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest &request() const = 0;
  /** Answers the request; later calls are ignored. */
  virtual void respond(HttpResponse response) = 0;
  /** Runs @p task if the caller closes the connection before the answer. */
  virtual void onAbandoned(std::function<void()> task) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/** What callers may send, and for how long they may be silent. */
struct HttpServerLimits {
  std::size_t MaxHeaderBytes = HttpLimits::MaxHeaderBytes;
  std::size_t MaxBodyBytes = HttpLimits::MaxBodyBytes;
  /** Hands requests with bodies of more than BodyStream::HeldBytes over before
   * their end, with HttpRequest::Rest. */
  bool StreamsBodies = false;
  /** From the first byte of a request to the end of its headers. */
  Duration HeaderTimeout = std::chrono::seconds(10);
  /** Without a byte between two requests, or within a body, or while answers
   * wait for the client to read them. */
  Duration IdleTimeout = std::chrono::seconds(60);
  /** From the first byte of a request to the end of its body. */
  Duration BodyTimeout = EdgeLimits().BodyTimeout;
  /** Beyond it, the connection that was silent longest makes room. */
  std::size_t MaxConnections = HttpLimits::MaxConnections;
};

/**
 * Accepts requests without a thread per call. Requests that are sent behind
 * another on one connection are handled concurrently and answered in order. A
 * body over the limit is answered with 413, headers, trailers and chunk
 * extensions over the limit with 431, ambiguous framing with 400, and a request
 * that held too much of the byte budget with 503, without the handler being
 * called. A body that is handed over before its end is read at the pace at
 * which it is taken; if the client does not end it, the request is abandoned,
 * and if the answer comes before its end, the connection closes. Used on the
 * reactor's thread only.
 */
class HttpServer {
public:
  /** Requests of one connection handled concurrently; further ones are read
   * later. */
  static constexpr std::size_t MaxPipelined = 32;
  /** Further requests of a connection are read only while its requests in
   * progress, each with an answer like the last one, stay below this size. */
  static constexpr std::size_t MaxPipelinedBytes = 2U << 20U;
  /** Further requests of a connection are read only while fewer bytes of
   * answers wait for its client to read them. */
  static constexpr std::size_t MaxUnwrittenBytes = 256U << 10U;
  /** Bound of the answers that wait for all clients. Above it, requests are
   * read only from connections without waiting answers, and the connection with
   * the most waiting bytes is closed. */
  static constexpr std::size_t MaxHeldBytes = 24U << 20U;

  /** @param listen address to bind; port 0 picks a free one.
   * @param budget what its connections share with others; without one, that of
   * EdgeLimits by default for this server alone. */
  HttpServer(Reactor &reactor, Address listen, HttpHandler handler,
             std::shared_ptr<ByteBudget> budget = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /** Binds and listens. @return ConnectionFailed if the address is in use. */
  Status start();

  /** @return the address with the port that was bound. Precondition: started.
   */
  Address bound() const;

  /** Replaces the limits; a request that is being read keeps its own. */
  void setLimits(const HttpServerLimits &limits);

  /** Makes each answer from now on close its connection, so that callers move
   * to another connection; new ones are still accepted. */
  void closeAfterAnswers();

  /** Stops accepting connections and closes idle ones; requests in progress go
   * on, and their answers close their connections. */
  void quiesce();

  /** @return the number of requests that were given to the handler and whose
   * answers are not written in full. */
  std::size_t openRequests() const;

  /** @return what was refused without the handler being called. */
  const EdgeCounts &refusals() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace chivefold

#endif
