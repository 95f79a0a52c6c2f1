/**
 * @file
 * HTTP server on libmicrohttpd, driven by the reactor.
 */
#ifndef CHIVEFOLD_IO_HTTP_SERVER_H
#define CHIVEFOLD_IO_HTTP_SERVER_H

#include "chivefold/core/error.h"
#include "chivefold/core/types.h"
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

/**
 * Accepts requests without a thread per call: libmicrohttpd's epoll descriptor
 * is handled by the reactor, and a connection is suspended until its answer.
 * A body over HttpLimits::MaxBodyBytes is answered with 413, headers over the
 * limit with 431, without the handler being called. Used on the reactor's
 * thread only.
 */
class HttpServer {
public:
  /** @param listen address to bind; port 0 picks a free one. */
  HttpServer(Reactor &reactor, Address listen, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /** Binds and listens. @return ConnectionFailed if the address is in use. */
  Status start();

  /** @return the address with the port that was bound. Precondition: started.
   */
  Address bound() const;

  /** Stops accepting connections; requests in progress go on. */
  void quiesce();

  /** @return the number of requests that were given to the handler and not
   * answered in full. */
  std::size_t openRequests() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace chivefold

#endif
