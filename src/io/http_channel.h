/**
 * @file
 * One connection of the HTTP client. Internal to io.
 */
#ifndef CHIVEFOLD_IO_HTTP_CHANNEL_H
#define CHIVEFOLD_IO_HTTP_CHANNEL_H

#include "chivefold/io/http_client.h"
#include "descriptor_watch.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

namespace chivefold {

class HttpChannel;

/** What a channel reports: from the loop or inside exchange(), so that an owner
 * must not act on it at once. A channel that its owner has closed reports
 * nothing. */
class HttpChannelOwner {
public:
  virtual ~HttpChannelOwner() = default;
  /** The exchange ended. The channel is idle and reusable, or closed. */
  virtual void onFinished(HttpChannel &channel, HttpOutcome outcome) = 0;
  /** The server closed an idle channel, or sent what nobody asked for. */
  virtual void onIdleClosed(HttpChannel &channel) = 0;
  /** The channel holds more bytes; it may be given up. */
  virtual void onHeld() = 0;
};

/** One request at a time over one connection. */
class HttpChannel : public std::enable_shared_from_this<HttpChannel> {
public:
  HttpChannel(Reactor &reactor, HttpChannelOwner &owner, Address server);
  ~HttpChannel();
  HttpChannel(const HttpChannel &) = delete;
  HttpChannel &operator=(const HttpChannel &) = delete;

  /** Starts connecting. @return false if it failed at once, or the reactor
   * cannot watch the descriptor; nothing is reported then. */
  bool connect();
  /** Sends @p bytes, the whole request of @p call. Precondition: idle. The
   * exchange may end before this returns, if the connection is broken. */
  void exchange(std::string bytes, const HttpCall &call);
  /** Ends the exchange, too, without a report. */
  void close();
  bool isOpen() const { return Fd >= 0; }
  /** @return whether a byte of the current request was handed over. */
  bool sentAny() const { return HasSent || Written > 0; }
  const Address &server() const { return Server; }
  /** @return bytes of the unfinished response. */
  std::size_t held() const { return Busy ? Received : 0; }
  /** Ends the exchange since the response is too large. */
  void giveUp() { fail(ErrorCode::TooLarge, "the response goes on"); }

  /** Call that uses the channel, or None. */
  HttpCallId User = HttpCallId::None;
  TimePoint UsedAt{};
  /** When an idle channel must no longer be used. */
  TimePoint ReusableUntil{};

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void onReady(ACE_Reactor_Mask mask);
  void write();
  bool refill();
  void dropRest();
  void receive();
  void parse();
  bool parseOne();
  void resetParser();
  bool skipResponse();
  void onEnd(bool reset);
  void succeed();
  void fail(ErrorCode code, std::string message);
  HttpResponse takeResponse();
  void updateWatch();

  Reactor &Loop;
  HttpChannelOwner &Owner;
  Address Server;
  int Fd = -1;
  std::unique_ptr<DescriptorWatch> Watch;
  bool Connecting = false;
  bool Busy = false;
  std::string Output;
  std::size_t Written = 0;
  /** The part of the request's body that is still to be passed on. */
  std::shared_ptr<BodyStream> Rest;
  /** Bytes of this exchange were written that are no longer in Output. */
  bool HasSent = false;
  /** A write of this exchange failed because the connection was reset. That
   * consumed the error of the socket, so that the next read reports an orderly
   * end in its place. */
  bool WriteFailed = false;
  std::string Input;
  std::optional<Parser> Current;
  bool Head = false;
  bool AcceptUnframed = false;
  std::size_t MaxResponseBytes = 0;
  std::function<bool(const HttpResponse &, bool)> Accepts;
  /** Bytes of this exchange, and responses that were not the awaited one. */
  std::size_t Received = 0;
  unsigned Skipped = 0;
  unsigned Exchanges = 0;
  /** A response to another request arrived. Further ones may follow, so the
   * connection is not reused. */
  bool ReceivedForeign = false;
  TimerId ConnectTimer = TimerId::None;
};

} // namespace chivefold

#endif
