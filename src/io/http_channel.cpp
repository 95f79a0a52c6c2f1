#include "http_channel.h"

#include "chivefold/io/http_status.h"

#include "http_io.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <boost/beast/http/error.hpp>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chivefold {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t ReadBytes = 64U << 10U;
/** Bytes of response headers that are accepted. */
constexpr std::uint32_t MaxResponseHeaderBytes = 64U << 10U;
/** Seconds of silence, and between probes, after which the system checks that
 * the other end still knows the connection; two lost probes close it. */
constexpr int ProbeSeconds = 1;
constexpr int MaxLostProbes = 2;

// Closes a connection that something between the ends has forgotten.
void enableProbes(int fd) {
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &ProbeSeconds,
             sizeof(ProbeSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeSeconds,
             sizeof(ProbeSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &MaxLostProbes,
             sizeof(MaxLostProbes));
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Time for which the server keeps an idle connection, by its Keep-Alive header.
Duration keepAliveOf(const HttpResponse &response) {
  constexpr std::string_view key = "timeout=";
  const auto text = headerValue(response.Headers, "Keep-Alive");
  const auto n = text.find(key);
  unsigned seconds = 0;
  if (n == std::string_view::npos ||
      std::from_chars(text.data() + n + key.size(), text.data() + text.size(),
                      seconds)
              .ec != std::errc()) {
    return HttpClient::MaxIdleTime;
  }
  const auto stated = std::chrono::duration<double>(seconds);
  return std::min(
      HttpClient::MaxIdleTime,
      std::chrono::duration_cast<Duration>(stated * HttpClient::KeepAlivePart));
}

} // namespace

HttpChannel::HttpChannel(Reactor &reactor, HttpChannelOwner &owner,
                         Address server)
    : Loop(reactor), Owner(owner), Server(std::move(server)) {}

HttpChannel::~HttpChannel() { close(); }

bool HttpChannel::connect() {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(Server.Port);
  if (inet_pton(AF_INET, Server.Ip.c_str(), &to.sin_addr) != 1) {
    return false;
  }
  Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Fd < 0) {
    return false;
  }
  enableProbes(Fd);
  if (::connect(Fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0 &&
      errno != EINPROGRESS) {
    close();
    return false;
  }
  Connecting = true;
  Watch = std::make_unique<DescriptorWatch>(
      Loop.ace(), Fd, [this](ACE_Reactor_Mask mask) { onReady(mask); });
  if (!Watch->watch(ACE_Event_Handler::WRITE_MASK)) {
    close();
    return false;
  }
  ConnectTimer = Loop.schedule(Loop.now() + HttpClient::ConnectTimeout, [this] {
    ConnectTimer = TimerId::None;
    fail(ErrorCode::ConnectionFailed, "connecting took too long");
  });
  return true;
}

void HttpChannel::close() {
  if (Fd >= 0) {
    Watch.reset();
    ::close(Fd);
    Fd = -1;
  }
  Busy = false;
  dropRest();
  Loop.cancel(ConnectTimer);
  ConnectTimer = TimerId::None;
}

void HttpChannel::dropRest() {
  if (Rest) {
    Rest->onArrival(nullptr);
    Rest.reset();
  }
}

void HttpChannel::exchange(std::string bytes, const HttpCall &call) {
  Busy = true;
  Output = std::move(bytes);
  Written = 0;
  HasSent = false;
  dropRest();
  Rest = call.Rest;
  if (Rest) {
    Rest->onArrival([weak = weak_from_this()] {
      const auto open = weak.lock();
      if (open && !open->Connecting) {
        open->write();
      }
    });
  }
  Input.clear();
  WriteFailed = false;
  Received = 0;
  Skipped = 0;
  ++Exchanges;
  Head = call.Method == "HEAD";
  AcceptUnframed = call.AcceptUnframed;
  MaxResponseBytes = call.MaxResponseBytes;
  Accepts = call.Accepts;
  resetParser();
  if (!Connecting) {
    write();
  }
}

void HttpChannel::resetParser() {
  Current.emplace();
  Current->skip(Head);
  Current->header_limit(MaxResponseHeaderBytes);
  Current->body_limit(MaxResponseBytes);
}

void HttpChannel::onReady(ACE_Reactor_Mask mask) {
  const auto kept = shared_from_this();
  if (mask == ACE_Event_Handler::WRITE_MASK) {
    write();
  } else {
    receive();
  }
}

void HttpChannel::write() {
  if (Connecting) {
    int ec = 0;
    socklen_t n = sizeof(ec);
    getsockopt(Fd, SOL_SOCKET, SO_ERROR, &ec, &n);
    if (ec != 0) {
      return fail(ErrorCode::ConnectionFailed, "cannot connect");
    }
    Connecting = false;
    Loop.cancel(ConnectTimer);
    ConnectTimer = TimerId::None;
  }
  do {
    if (!sendAvailable(Fd, Output, Written)) {
      WriteFailed = true;
      dropRest();
      // A response that refuses the request may have come before the reset.
      return receive();
    }
  } while (Written == Output.size() && refill());
  updateWatch();
}

// Takes the bytes of the body that have arrived. @return whether there are any.
bool HttpChannel::refill() {
  if (!Rest) {
    return false;
  }
  HasSent = HasSent || Written > 0;
  const auto kept = Rest;
  auto piece = kept->take(BodyStream::WindowBytes, Loop.now());
  if (!isOpen()) {
    // The producer has cancelled the call.
    return false;
  }
  Output = kept->length() ? std::move(piece) : chunkOf(piece);
  Written = 0;
  if (kept->isAtEnd()) {
    Output += kept->length() ? "" : LastChunk;
    dropRest();
  }
  return !Output.empty();
}

void HttpChannel::updateWatch() {
  if (Fd < 0) {
    return;
  }
  ACE_Reactor_Mask mask = ACE_Event_Handler::READ_MASK;
  if (Written < Output.size()) {
    mask |= ACE_Event_Handler::WRITE_MASK;
  }
  if (!Watch->watch(mask)) {
    fail(ErrorCode::ConnectionFailed, "too many descriptors");
  }
}

void HttpChannel::receive() {
  static std::array<char, ReadBytes> buf;
  const auto n = recv(Fd, buf.data(), buf.size(), 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (n <= 0) {
    return onEnd(n < 0 || WriteFailed);
  }
  if (!Busy) {
    close();
    return Owner.onIdleClosed(*this);
  }
  Input.append(buf.data(), static_cast<std::size_t>(n));
  Received += static_cast<std::size_t>(n);
  if (Received > MaxResponseBytes + HttpLimits::MaxOverheadBytes) {
    return giveUp();
  }
  parse();
  if (Busy) {
    Owner.onHeld();
  }
}

// Awaits the next response in place of this one. @return false if there were
// too many.
bool HttpChannel::skipResponse() {
  if (++Skipped > HttpLimits::MaxSkippedResponses) {
    giveUp();
    return false;
  }
  resetParser();
  return true;
}

void HttpChannel::parse() {
  while (Busy && !Input.empty() && parseOne()) {
  }
}

// @return whether more may follow in the input.
bool HttpChannel::parseOne() {
  // Headers are parsed alone: an eager parser loses the error of a body that is
  // over its limit.
  Current->eager(Current->is_header_done());
  boost::system::error_code ec;
  const auto n =
      Current->put(boost::asio::const_buffer(Input.data(), Input.size()), ec);
  Input.erase(0, n);
  if (ec == http::error::need_more) {
    ec = {};
  }
  if (ec) {
    fail(ec == http::error::body_limit ? ErrorCode::TooLarge
                                       : ErrorCode::ConnectionFailed,
         "malformed response: " + ec.message());
    return false;
  }
  if (Current->is_header_done()) {
    const auto status = static_cast<int>(Current->get().result_int());
    if (isInterimStatus(status)) {
      return skipResponse();
    }
    // Whatever follows such a head is not HTTP either, so a body is not awaited
    // and the connection is closed.
    if (!isFinalStatus(status)) {
      fail(ErrorCode::OutcomeUnknown,
           "the status " + std::to_string(status) + " is out of range");
      return false;
    }
  }
  if (Current->is_done()) {
    succeed();
    return true;
  }
  return n > 0 && !Input.empty();
}

void HttpChannel::onEnd(bool reset) {
  if (!Busy) {
    close();
    return Owner.onIdleClosed(*this);
  }
  if (!reset && AcceptUnframed && Current->is_header_done() &&
      Current->need_eof()) {
    boost::system::error_code ec;
    Current->put_eof(ec);
    if (!ec && Current->is_done()) {
      return succeed();
    }
  }
  fail(ErrorCode::ConnectionFailed, "the connection ended before the response");
}

HttpResponse HttpChannel::takeResponse() {
  HttpResponse out;
  auto message = Current->release();
  out.Status = static_cast<int>(message.result_int());
  out.Headers = headersOf(message);
  out.Body = std::move(message.body());
  return out;
}

void HttpChannel::succeed() {
  const bool mayContinue = !Current->need_eof() &&
                           Current->get().keep_alive() &&
                           Written == Output.size() && !Rest;
  auto response = takeResponse();
  if (Accepts && !Accepts(response, Exchanges == 1)) {
    ReceivedForeign = true;
    if (!mayContinue) {
      return fail(ErrorCode::ConnectionFailed,
                  "the response belongs to another request");
    }
    skipResponse();
    return;
  }
  Busy = false;
  UsedAt = Loop.now();
  ReusableUntil = UsedAt + keepAliveOf(response);
  // Bytes behind a complete response belong to no request.
  if (!mayContinue || ReceivedForeign || !Input.empty()) {
    close();
  }
  Output.clear();
  Owner.onFinished(*this, {std::move(response), true});
}

void HttpChannel::fail(ErrorCode code, std::string message) {
  const bool sent = sentAny();
  close();
  Owner.onFinished(*this, {Reason{code, std::move(message)}, sent});
}

} // namespace chivefold
