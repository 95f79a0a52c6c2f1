#include "http_connection.h"

#include "http_io.h"

#include <array>
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

namespace {

constexpr std::size_t ReadBytes = 64U << 10U;
/** Time in which a caller may read the last answer before its connection is
 * closed. */
constexpr Duration LingerTimeout = std::chrono::seconds(2);
/** Longest time of that, also for a caller that goes on sending. */
constexpr Duration MaxLinger = std::chrono::seconds(10);
/** What a connection needs beside the bytes that it holds. */
constexpr std::size_t ConnectionBytes = 2U << 10U;
/** Time after which a client may return that was turned away for the memory of
 * the process, in seconds as Retry-After states it. */
constexpr const char *MemoryRetryAfter = "1";
/** Bytes of a refused request that are read and dropped so that the caller
 * gets the refusal in place of a reset; if its body is larger, those of the
 * longest body. */
constexpr std::size_t MinDiscardedBytes = 8 * HttpLimits::MaxBodyBytes;
/** Interval at which a client is checked from which nothing is read. */
constexpr Duration PausedCheckInterval = std::chrono::milliseconds(250);

/** Written bytes that are kept in front of unwritten ones. */
constexpr std::size_t TrimBytes = 1U << 20U;

class Exchange : public HttpExchange {
public:
  Exchange(std::weak_ptr<HttpConnection> connection,
           std::shared_ptr<HttpSlot> slot, HttpRequest request, ByteLease lease)
      : Connection(std::move(connection)), Slot(std::move(slot)),
        Received(std::move(request)), Lease(std::move(lease)) {}
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
  /** Bytes of the body while the request is handled. */
  ByteLease Lease;
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

} // namespace

HttpConnection::HttpConnection(Reactor &reactor, HttpConnectionOwner &owner,
                               int fd)
    : Loop(reactor), Owner(owner), Fd(fd),
      Reader(owner.Limits, owner.Budget->largeLimit() / EdgeLimits::BodyCopies),
      Share(owner.Budget, [this] { giveUp(); }), TakenAt(Loop.now()),
      HeardAt(TakenAt), RequestBegan(TakenAt) {
  updateShare();
}

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
  std::string().swap(Output);
  Written = 0;
  SlotBytes = 0;
  Reader.clear();
  dropBody();
  updateHeld();
  Share.set(0);
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
  if (Rest) {
    return !Rest->isFull();
  }
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
  if (NoMoreRequests && !Rest) {
    // Callers repeat what they sent behind a request that ends the connection.
    Discarded += static_cast<std::size_t>(n);
    return Discarded > std::max(MinDiscardedBytes, Owner.Limits.MaxBodyBytes)
               ? shut()
               : void();
  }
  if (!Reader.isReading()) {
    RequestBegan = HeardAt;
  }
  Reader.append(buf.data(), static_cast<std::size_t>(n));
  Share.received(static_cast<std::size_t>(n), HeardAt);
  const auto kept = shared_from_this();
  parse();
  // Only here, where no other connection is on the call stack.
  Owner.Budget->enforce(HeardAt);
}

void HttpConnection::parse() {
  const auto kept = shared_from_this();
  while (Fd >= 0 && (Rest || !NoMoreRequests) && Reader.hasInput() &&
         mayRead() && parseSome()) {
  }
  Reader.compact();
  updateShare();
  if (Fd >= 0) {
    updateWatch();
    arm();
  }
}

// @return whether more may follow in the input.
bool HttpConnection::parseSome() {
  switch (Reader.advance()) {
  case ReadStep::Refused:
    refuse(Reader.refusal());
    return false;
  case ReadStep::Begun:
    beginBody();
    return true;
  case ReadStep::Complete:
    Rest ? endBody() : dispatch();
    return true;
  case ReadStep::More:
    if (Rest) {
      passBody();
      return false;
    }
    break;
  }
  if (!ContinueSent && Slots.empty() && Reader.expectsContinue()) {
    ContinueSent = true;
    Output += "HTTP/1.1 100 Continue\r\n\r\n";
    write();
  }
  return false;
}

void HttpConnection::dispatch() {
  auto read = Reader.take();
  RequestBegan = HeardAt;
  const auto leaseBytes = EdgeLimits::BodyCopies * read.Request.Body.size();
  hand(std::move(read), leaseBytes);
}

// Gives a request to the handler.
void HttpConnection::hand(ReadRequest read, std::size_t leaseBytes) {
  auto slot = std::make_shared<HttpSlot>();
  if (read.Request.Rest) {
    Rest = read.Request.Rest;
    RestSlot = slot;
  }
  ContinueSent = false;
  Served = true;
  slot->Head = read.Head;
  slot->Dispatched = true;
  NoMoreRequests = !read.KeepAlive;
  Slots.push_back(slot);
  ++Owner.OpenRequests;
  updateShare();
  Owner.onRequest(std::make_shared<Exchange>(
      weak_from_this(), slot, std::move(read.Request),
      ByteLease(Owner.Budget, leaseBytes)));
}

// Answers a request that is not handled, after those before it.
void HttpConnection::refuse(const ReadRefusal &refusal) {
  Owner.onRefused(refusal.Reason, Share.bytes());
  if (Rest) {
    return abortBody(refusal);
  }
  Reader.clear();
  NoMoreRequests = true;
  auto slot = std::make_shared<HttpSlot>();
  slot->Response = HttpResponse{refusal.Status, {}, ""};
  if (refusal.Reason == EdgeRefusal::Memory) {
    slot->Response->Headers.push_back({"Retry-After", MemoryRetryAfter});
  }
  Slots.push_back(std::move(slot));
  flushAnswers();
  updateShare();
}

// Frees what the connection holds for others. A request that is being read was
// not passed on, so it is truly not run.
void HttpConnection::giveUp() {
  const auto kept = shared_from_this();
  if (Rest || (Reader.isReading() && !NoMoreRequests)) {
    refuse({503, EdgeRefusal::Memory});
    Reader.clear();
  }
  if (Share.bytes() > ByteBudget::LeastBytes && Fd >= 0) {
    Owner.onRefused(EdgeRefusal::Memory, Share.bytes());
    shut();
  }
}

void HttpConnection::updateShare() {
  // The stream is part of the lease of its request.
  Share.set(Fd < 0 ? 0 : ConnectionBytes + Reader.heldBytes() + Held);
}

void HttpConnection::answer(HttpSlot &slot, HttpResponse response) {
  slot.Response = std::move(response);
  slot.Abandoned = nullptr;
  if (&slot == RestSlot.get()) {
    // The rest of the body is not read, so no request can follow it.
    NoMoreRequests = true;
    dropBody();
    Reader.clear();
  }
  LastAnswerBytes = slot.Response->Body.size();
  SlotBytes += LastAnswerBytes;
  flushAnswers();
}

void HttpConnection::updateHeld() {
  const auto held = SlotBytes + Output.size() - Written;
  Owner.HeldBytes += held - Held;
  const bool hasGrown = held > std::exchange(Held, held);
  updateShare();
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
  if (Fd < 0 || !Reader.hasInput() || NoMoreRequests || !mayRead()) {
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
  LingerUntil = HeardAt + MaxLinger;
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
    shutLater();
  }
}

// Closes in the next turn: this call may come from one that takes the body of a
// request, which would end inside it.
void HttpConnection::shutLater() {
  Loop.schedule(Loop.now(), [weak = weak_from_this()] {
    if (const auto open = weak.lock()) {
      open->shut();
    }
  });
}

// Sets the timer for the next way in which the caller may be too slow. An
// earlier timer stays and finds out when it fires.
void HttpConnection::arm() {
  if (Timer != TimerId::None || Fd < 0) {
    return;
  }
  auto next = Lingering ? LingerTimeout
                        : std::min(Owner.Limits.HeaderTimeout,
                                   Owner.Limits.IdleTimeout);
  if (Rest && !mayRead()) {
    next = std::min(next, PausedCheckInterval);
  }
  Timer = Loop.schedule(Loop.now() + next, [this] {
    Timer = TimerId::None;
    onTimer();
  });
}

void HttpConnection::onTimer() {
  const auto now = Loop.now();
  if (Lingering) {
    return now >= std::min(HeardAt + LingerTimeout, LingerUntil) ? shut()
                                                                 : arm();
  }
  if (Blocked && now >= TakenAt + Owner.Limits.IdleTimeout) {
    return shut();
  }
  if (Rest) {
    return onBodyTimer(now);
  }
  const bool reading = Reader.isReading();
  if (Reader.inHeader() && mayRead() &&
      now >= RequestBegan + Owner.Limits.HeaderTimeout) {
    return refuse({408, EdgeRefusal::Slow});
  }
  if (reading && !Reader.inHeader() &&
      now >= RequestBegan + Owner.Limits.BodyTimeout) {
    return refuse({408, EdgeRefusal::Slow});
  }
  if (Slots.empty() && !Blocked && now >= HeardAt + Owner.Limits.IdleTimeout) {
    return reading ? refuse({408, EdgeRefusal::Slow}) : shut();
  }
  arm();
}

} // namespace chivefold
