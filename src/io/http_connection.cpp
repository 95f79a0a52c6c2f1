#include "http_connection.h"

#include "http_io.h"

#include <array>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace chivefold {

namespace http = boost::beast::http;

/** The place of one response in the order of its connection. */
class HttpSlot {
public:
  std::optional<HttpResponse> Response;
  bool Head = false;
  /** Runs if the caller leaves before the answer. */
  std::function<void()> Abandoned;
  bool Dispatched = false;
};

namespace {

constexpr std::size_t ReadBytes = 64U << 10U;
/** Time in which a caller may read the last answer before its connection is
 * closed. */
constexpr Duration LingerTimeout = std::chrono::seconds(2);
/** Bytes of a refused request that are read and dropped so that the caller
 * gets the refusal in place of a reset. */
constexpr std::size_t MaxDiscardedBytes = 8 * HttpLimits::MaxBodyBytes;

/** Written bytes that are kept in front of unwritten ones. */
constexpr std::size_t TrimBytes = 1U << 20U;

class Exchange : public HttpExchange {
public:
  Exchange(std::weak_ptr<HttpConnection> connection,
           std::shared_ptr<HttpSlot> slot, HttpRequest request)
      : Connection(std::move(connection)), Slot(std::move(slot)),
        Received(std::move(request)) {}
  ~Exchange() override {
    if (!Slot->Response) {
      answer({503, {}, ""});
    }
  }
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  const HttpRequest &request() const override { return Received; }

  void respond(HttpResponse response) override { answer(std::move(response)); }

  void answer(HttpResponse response) {
    const auto open = Connection.lock();
    if (Slot->Response || !open) {
      return;
    }
    open->answer(*Slot, std::move(response));
  }

  void onAbandoned(std::function<void()> task) override {
    Slot->Abandoned = std::move(task);
  }

private:
  std::weak_ptr<HttpConnection> Connection;
  std::shared_ptr<HttpSlot> Slot;
  HttpRequest Received;
};

bool setByServer(const std::string &name) {
  for (const auto *it :
       {"Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive"}) {
    if (strcasecmp(name.c_str(), it) == 0) {
      return true;
    }
  }
  return false;
}

int refusalOf(const boost::system::error_code &ec) {
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
    return 431;
  }
  return ec == http::error::body_limit ? 413 : 400;
}

HttpRequest requestOf(http::request<http::string_body> &&message) {
  HttpRequest out;
  out.Method = std::string(message.method_string());
  const std::string target(message.target());
  const auto n = target.find('?');
  out.Path = target.substr(0, n);
  out.Query = n == std::string::npos ? "" : target.substr(n + 1);
  out.Headers = headersOf(message);
  out.Body = std::move(message.body());
  return out;
}

} // namespace

HttpConnection::HttpConnection(Reactor &reactor, HttpConnectionOwner &owner,
                               int fd)
    : Loop(reactor), Owner(owner), Fd(fd), TakenAt(Loop.now()),
      HeardAt(TakenAt), RequestBegan(TakenAt) {}

HttpConnection::~HttpConnection() {
  if (Fd >= 0) {
    Watch.reset();
    ::close(Fd);
  }
  Loop.cancel(Timer);
}

void HttpConnection::open() {
  const int on = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  Watch = std::make_unique<DescriptorWatch>(
      Loop.ace(), Fd, [this](ACE_Reactor_Mask mask) { onReady(mask); });
  updateWatch();
  arm();
}

void HttpConnection::shut() {
  if (Fd < 0) {
    return;
  }
  Watch->watch(ACE_Event_Handler::NULL_MASK);
  ::close(Fd);
  Fd = -1;
  Loop.cancel(Timer);
  Timer = TimerId::None;
  Owner.OpenRequests -= std::exchange(Unwritten, 0);
  Output.clear();
  Written = 0;
  SlotBytes = 0;
  updateHeld();
  const auto slots = std::move(Slots);
  Slots.clear();
  for (const auto &it : slots) {
    Owner.OpenRequests -= it->Dispatched ? 1 : 0;
    const auto task = std::move(it->Abandoned);
    it->Abandoned = nullptr;
    if (task) {
      task();
    }
  }
  Owner.onClosed(*this);
}

void HttpConnection::onReady(ACE_Reactor_Mask mask) {
  if (mask == ACE_Event_Handler::WRITE_MASK) {
    write();
  } else {
    receive();
  }
}

// A client that reads its answers slowly gets no further requests read, so that
// the answers that wait for it stay bounded.
bool HttpConnection::mayRead() const {
  if (Slots.empty() && Held == 0) {
    return true;
  }
  return Slots.size() < HttpServer::MaxPipelined &&
         Slots.size() * LastAnswerBytes < HttpServer::MaxPipelinedBytes &&
         Output.size() - Written < HttpServer::MaxUnwrittenBytes &&
         Owner.HeldBytes < HttpServer::MaxHeldBytes;
}

void HttpConnection::receive() {
  static std::array<char, ReadBytes> buf;
  const auto n = recv(Fd, buf.data(), buf.size(), 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (n <= 0) {
    return shut();
  }
  HeardAt = Loop.now();
  if (NoMoreRequests) {
    // Callers repeat what they sent behind a request that ends the connection.
    Discarded += static_cast<std::size_t>(n);
    return Discarded > MaxDiscardedBytes ? shut() : void();
  }
  if (Input.empty() && !Current) {
    RequestBegan = HeardAt;
  }
  Input.append(buf.data(), static_cast<std::size_t>(n));
  parse();
}

void HttpConnection::parse() {
  const auto kept = shared_from_this();
  while (Fd >= 0 && !NoMoreRequests && !Input.empty() && mayRead() &&
         parseSome()) {
  }
  if (Fd >= 0) {
    updateWatch();
    arm();
  }
}

// @return whether more may follow in the input.
bool HttpConnection::parseSome() {
  if (!Current) {
    Current.emplace();
    Current->header_limit(
        static_cast<std::uint32_t>(Owner.Limits.MaxHeaderBytes));
    Current->body_limit(Owner.Limits.MaxBodyBytes);
    ContinueSent = false;
  }
  // Headers are parsed alone: an eager parser loses the error of a body that is
  // over its limit.
  Current->eager(Current->is_header_done());
  boost::system::error_code ec;
  const auto n =
      Current->put(boost::asio::const_buffer(Input.data(), Input.size()), ec);
  Input.erase(0, n);
  if (ec == http::error::need_more) {
    ec = {};
    if (!Current->is_header_done() &&
        Input.size() > Owner.Limits.MaxHeaderBytes) {
      refuse(431);
      return false;
    }
  }
  if (ec) {
    refuse(refusalOf(ec));
    return false;
  }
  if (!Current->is_header_done()) {
    return false;
  }
  const auto &head = Current->get();
  // A body whose end is not known to both sides could hide another request.
  if (head.count(http::field::transfer_encoding) > 0 && !Current->chunked()) {
    refuse(400);
    return false;
  }
  if (Current->is_done()) {
    dispatch();
    return true;
  }
  if (!ContinueSent && head.count(http::field::expect) > 0 && Slots.empty()) {
    ContinueSent = true;
    Output += "HTTP/1.1 100 Continue\r\n\r\n";
    write();
  }
  return n > 0 && !Input.empty();
}

void HttpConnection::dispatch() {
  auto slot = std::make_shared<HttpSlot>();
  auto message = Current->release();
  Current.reset();
  RequestBegan = HeardAt;
  slot->Head = message.method() == http::verb::head;
  slot->Dispatched = true;
  NoMoreRequests = !message.keep_alive();
  Slots.push_back(slot);
  ++Owner.OpenRequests;
  Owner.onRequest(std::make_shared<Exchange>(weak_from_this(), slot,
                                             requestOf(std::move(message))));
}

// Answers a request that is not handled, after those before it.
void HttpConnection::refuse(int status) {
  Current.reset();
  Input.clear();
  NoMoreRequests = true;
  auto slot = std::make_shared<HttpSlot>();
  slot->Response = HttpResponse{status, {}, ""};
  Slots.push_back(std::move(slot));
  flushAnswers();
}

void HttpConnection::answer(HttpSlot &slot, HttpResponse response) {
  slot.Response = std::move(response);
  slot.Abandoned = nullptr;
  LastAnswerBytes = slot.Response->Body.size();
  SlotBytes += LastAnswerBytes;
  flushAnswers();
}

void HttpConnection::updateHeld() {
  const auto held = SlotBytes + Output.size() - Written;
  Owner.HeldBytes += held - Held;
  const bool hasGrown = held > std::exchange(Held, held);
  if (hasGrown && Owner.HeldBytes > HttpServer::MaxHeldBytes) {
    Owner.onOverflow();
  }
}

void HttpConnection::flushAnswers() {
  const auto kept = shared_from_this();
  if (Fd < 0) {
    return;
  }
  NoMoreRequests = NoMoreRequests || Owner.Closing;
  while (!Slots.empty() && Slots.front()->Response) {
    const auto slot = Slots.front();
    Slots.pop_front();
    appendAnswer(*slot, NoMoreRequests && Slots.empty());
    Unwritten += slot->Dispatched ? 1 : 0;
  }
  write();
}

// Reads requests that waited for their turn; not in this call, which may come
// from the parser itself.
void HttpConnection::parseLater() {
  if (Fd < 0 || Input.empty() || NoMoreRequests || !mayRead()) {
    return;
  }
  Loop.schedule(Loop.now(), [weak = weak_from_this()] {
    if (const auto open = weak.lock()) {
      open->parse();
    }
  });
}

void HttpConnection::appendAnswer(HttpSlot &slot, bool last) {
  const auto &r = *slot.Response;
  SlotBytes -= slot.Dispatched ? r.Body.size() : 0;
  Output += "HTTP/1.1 " + std::to_string(r.Status) + " ";
  Output +=
      std::string(http::obsolete_reason(static_cast<http::status>(r.Status)));
  Output += "\r\n";
  for (const auto &it : r.Headers) {
    if (!setByServer(it.Name)) {
      Output += it.Name + ": " + it.Value + "\r\n";
    }
  }
  if (last) {
    Output += "Connection: close\r\n";
  }
  const bool bodyless = r.Status == 204 || r.Status == 304;
  if (!bodyless) {
    Output += "Content-Length: " + std::to_string(r.Body.size()) + "\r\n";
  }
  Output += "\r\n";
  if (!slot.Head && !bodyless) {
    Output += r.Body;
  }
}

void HttpConnection::write() {
  const auto before = Written;
  if (!sendAvailable(Fd, Output, Written)) {
    return shut();
  }
  if (Written > before || !Blocked) {
    TakenAt = Loop.now();
  }
  Blocked = Written < Output.size();
  if (Written >= TrimBytes) {
    Output.erase(0, Written);
    Written = 0;
  }
  if (!Blocked) {
    Output.clear();
    Written = 0;
    Owner.OpenRequests -= std::exchange(Unwritten, 0);
    if (NoMoreRequests && !Lingering && Slots.empty()) {
      startLinger();
    }
  }
  updateHeld();
  if (Fd >= 0) {
    updateWatch();
    arm();
    parseLater();
  }
}

void HttpConnection::startLinger() {
  Lingering = true;
  HeardAt = Loop.now();
  ::shutdown(Fd, SHUT_WR);
}

void HttpConnection::updateWatch() {
  ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
  if (mayRead()) {
    mask |= ACE_Event_Handler::READ_MASK;
  }
  if (Blocked) {
    mask |= ACE_Event_Handler::WRITE_MASK;
  }
  if (!Watch->watch(mask)) {
    shut();
  }
}

// Sets the timer for the next way in which the caller may be too slow. An
// earlier timer stays and finds out when it fires.
void HttpConnection::arm() {
  if (Timer != TimerId::None || Fd < 0) {
    return;
  }
  const auto next = Lingering ? LingerTimeout
                              : std::min(Owner.Limits.HeaderTimeout,
                                         Owner.Limits.IdleTimeout);
  Timer = Loop.schedule(Loop.now() + next, [this] {
    Timer = TimerId::None;
    onTimer();
  });
}

void HttpConnection::onTimer() {
  const auto now = Loop.now();
  if (Lingering) {
    return now >= HeardAt + LingerTimeout ? shut() : arm();
  }
  if (Blocked && now >= TakenAt + Owner.Limits.IdleTimeout) {
    return shut();
  }
  const bool reading = Current.has_value() || !Input.empty();
  const bool inHeader = reading && !(Current && Current->is_header_done());
  if (inHeader && mayRead() &&
      now >= RequestBegan + Owner.Limits.HeaderTimeout) {
    return refuse(408);
  }
  if (Slots.empty() && !Blocked && now >= HeardAt + Owner.Limits.IdleTimeout) {
    return reading ? refuse(408) : shut();
  }
  arm();
}

} // namespace chivefold
