#include "chivefold/io/http_server.h"

#include "http_connection.h"
#include "listener.h"

#include <algorithm>
#include <unordered_map>

namespace chivefold {

namespace {

// Connections accepted in one turn of the loop.
constexpr int MaxAccepts = 64;

} // namespace

struct HttpServer::Impl : HttpConnectionOwner {
  Impl(Reactor &r, Address listen, HttpHandler handler)
      : Loop(r), Listen(std::move(listen)), Handler(std::move(handler)) {}
  ~Impl() override {
    quiesce();
    // A connection that is shut leaves the table.
    const auto open = Connections;
    for (const auto &it : open) {
      it.second->shut();
    }
    Loop.cancel(Shedding);
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  Status start();
  void quiesce();
  void acceptConnections();

  void onRequest(std::shared_ptr<HttpExchange> exchange) override {
    Handler(std::move(exchange));
  }
  void onClosed(HttpConnection &connection) override {
    const auto it = Connections.find(&connection);
    if (it != Connections.end()) {
      // Freed in the next turn: the connection may be on the call stack.
      Loop.schedule(Loop.now(), [kept = it->second] {});
      Connections.erase(it);
    }
  }

  void onOverflow() override;

  Reactor &Loop;
  Address Listen;
  HttpHandler Handler;
  Listener Socket;
  TimerId Shedding = TimerId::None;
  std::unordered_map<HttpConnection *, std::shared_ptr<HttpConnection>>
      Connections;
};

Status HttpServer::Impl::start() {
  return Socket.open(Loop, Listen, [this] { acceptConnections(); });
}

void HttpServer::Impl::quiesce() {
  Closing = true;
  Socket.close();
  const auto open = Connections;
  for (const auto &it : open) {
    if (it.first->isIdle()) {
      it.first->shut();
    }
  }
}

// Closes the connection whose client leaves the most bytes of answers unread.
void HttpServer::Impl::onOverflow() {
  if (Shedding != TimerId::None) {
    return;
  }
  // In the next turn: the connection may be on the call stack.
  Shedding = Loop.schedule(Loop.now(), [this] {
    Shedding = TimerId::None;
    const auto largest =
        std::max_element(Connections.begin(), Connections.end(),
                         [](const auto &a, const auto &b) {
                           return a.second->held() < b.second->held();
                         });
    if (HeldBytes > HttpServer::MaxHeldBytes && largest != Connections.end()) {
      const auto kept = largest->second;
      kept->shut();
    }
    if (HeldBytes > HttpServer::MaxHeldBytes) {
      onOverflow();
    }
  });
}

void HttpServer::Impl::acceptConnections() {
  for (int i = 0; i < MaxAccepts; ++i) {
    ACE_SOCK_Stream stream;
    ACE_INET_Addr from;
    if (!Socket.accept(stream, from)) {
      return;
    }
    stream.enable(ACE_NONBLOCK);
    if (Connections.size() >= HttpLimits::MaxConnections) {
      stream.close();
      continue;
    }
    auto connection =
        std::make_shared<HttpConnection>(Loop, *this, stream.get_handle());
    Connections.emplace(connection.get(), connection);
    connection->open();
  }
}

HttpServer::HttpServer(Reactor &reactor, Address listen, HttpHandler handler)
    : State(std::make_unique<Impl>(reactor, std::move(listen),
                                   std::move(handler))) {}

HttpServer::~HttpServer() = default;

Status HttpServer::start() { return State->start(); }

Address HttpServer::bound() const { return State->Listen; }

void HttpServer::setLimits(const HttpServerLimits &limits) {
  State->Limits = limits;
}

void HttpServer::closeAfterAnswers() { State->Closing = true; }

void HttpServer::quiesce() { State->quiesce(); }

std::size_t HttpServer::openRequests() const { return State->OpenRequests; }

} // namespace chivefold
