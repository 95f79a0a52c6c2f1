#include "chivefold/io/http_server.h"

#include "http_connection.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unordered_map>

namespace chivefold {

namespace {

// Connections accepted in one turn of the loop.
constexpr int MaxAccepts = 64;
constexpr int Backlog = 1024;

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

  Reactor &Loop;
  Address Listen;
  HttpHandler Handler;
  ACE_SOCK_Acceptor Acceptor;
  std::unique_ptr<DescriptorWatch> Watch;
  std::unordered_map<HttpConnection *, std::shared_ptr<HttpConnection>>
      Connections;
};

Status HttpServer::Impl::start() {
  ACE_INET_Addr local;
  if (local.set(Listen.Port, Listen.Ip.c_str()) != 0) {
    return Reason{ErrorCode::InvalidArgument, "not an IP address"};
  }
  if (Acceptor.open(local, 1, PF_UNSPEC, Backlog) != 0) {
    return Reason{ErrorCode::ConnectionFailed,
                  "cannot listen on " + toString(Listen)};
  }
  Acceptor.enable(ACE_NONBLOCK);
  Acceptor.get_local_addr(local);
  Listen.Port = local.get_port_number();
  Watch = std::make_unique<DescriptorWatch>(
      Loop.ace(), Acceptor.get_handle(),
      [this](ACE_Reactor_Mask /*mask*/) { acceptConnections(); });
  if (!Watch->watch(ACE_Event_Handler::READ_MASK)) {
    return Reason{ErrorCode::ConnectionFailed, "too many descriptors"};
  }
  return Done{};
}

void HttpServer::Impl::quiesce() {
  Closing = true;
  if (Watch) {
    Watch->watch(ACE_Event_Handler::NULL_MASK);
    Acceptor.close();
    Watch.reset();
    const auto open = Connections;
    for (const auto &it : open) {
      if (it.first->isIdle()) {
        it.first->shut();
      }
    }
  }
}

void HttpServer::Impl::acceptConnections() {
  for (int i = 0; i < MaxAccepts; ++i) {
    ACE_SOCK_Stream stream;
    if (Acceptor.accept(stream, nullptr, nullptr, false) != 0) {
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
