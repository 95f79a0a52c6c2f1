#include "chivefold/io/http_server.h"

#include "chivefold/io/logging.h"
#include "http_connection.h"
#include "listener.h"

#include <algorithm>
#include <unordered_map>

namespace chivefold {

namespace {

// Connections accepted in one turn of the loop.
constexpr std::size_t MaxAccepts = 64;

} // namespace

struct HttpServer::Impl : HttpConnectionOwner {
  Impl(Reactor &r, Address listen, HttpHandler handler,
       std::shared_ptr<ByteBudget> budget)
      : HttpConnectionOwner(std::move(budget)), Loop(r),
        Listen(std::move(listen)), Handler(std::move(handler)) {}
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
  bool makeRoom();

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
  void onRefused(EdgeRefusal reason, std::size_t held) override;

  Reactor &Loop;
  Address Listen;
  HttpHandler Handler;
  Listener Socket;
  TimerId Shedding = TimerId::None;
  EdgeCounts Refusals{};
  Logger Lines{"edge"};
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

void HttpServer::Impl::onRefused(EdgeRefusal reason, std::size_t held) {
  ++Refusals[static_cast<std::size_t>(reason)];
  Lines.info("refused by the edge", {{"reason", edgeRefusalName(reason)},
                                     {"address", toString(Listen)},
                                     {"held_bytes", held},
                                     {"all_held_bytes", Budget->held()},
                                     {"budget_bytes", Budget->limit()},
                                     {"connections", Connections.size()}});
}

// Closes the connection without an open request that was silent longest, first
// those that never had a request. @return whether there is room for another.
bool HttpServer::Impl::makeRoom() {
  if (Connections.size() < Limits.MaxConnections) {
    return true;
  }
  std::shared_ptr<HttpConnection> oldest;
  for (const auto &it : Connections) {
    const auto &open = it.second;
    if (open->isReplaceable() &&
        (!oldest ||
         std::make_pair(open->hasServed(), open->heardAt()) <
             std::make_pair(oldest->hasServed(), oldest->heardAt()))) {
      oldest = open;
    }
  }
  onRefused(EdgeRefusal::Connections, oldest ? oldest->held() : 0);
  if (oldest) {
    oldest->shut();
  }
  return oldest != nullptr;
}

// A part of the connections a turn, so that those accepted are read before they
// have to make room.
void HttpServer::Impl::acceptConnections() {
  const auto most =
      std::min<std::size_t>(MaxAccepts, Limits.MaxConnections / 4 + 1);
  for (std::size_t i = 0; i < most; ++i) {
    ACE_SOCK_Stream stream;
    ACE_INET_Addr from;
    if (!Socket.accept(stream, from)) {
      return;
    }
    stream.enable(ACE_NONBLOCK);
    if (!makeRoom()) {
      stream.close();
      continue;
    }
    auto connection =
        std::make_shared<HttpConnection>(Loop, *this, stream.get_handle());
    Connections.emplace(connection.get(), connection);
    connection->open();
  }
}

HttpServer::HttpServer(Reactor &reactor, Address listen, HttpHandler handler,
                       std::shared_ptr<ByteBudget> budget)
    : State(std::make_unique<Impl>(
          reactor, std::move(listen), std::move(handler),
          budget ? std::move(budget)
                 : std::make_shared<ByteBudget>(EdgeLimits().budgetBytes()))) {}

HttpServer::~HttpServer() = default;

Status HttpServer::start() { return State->start(); }

Address HttpServer::bound() const { return State->Listen; }

void HttpServer::setLimits(const HttpServerLimits &limits) {
  State->Limits = limits;
}

void HttpServer::closeAfterAnswers() { State->Closing = true; }

void HttpServer::quiesce() { State->quiesce(); }

std::size_t HttpServer::openRequests() const { return State->OpenRequests; }

const EdgeCounts &HttpServer::refusals() const { return State->Refusals; }

} // namespace chivefold
