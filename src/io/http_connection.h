/**
 * @file
 * One accepted HTTP connection. Internal to io.
 */
#ifndef CHIVEFOLD_IO_HTTP_CONNECTION_H
#define CHIVEFOLD_IO_HTTP_CONNECTION_H

#include "chivefold/io/http_server.h"
#include "descriptor_watch.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <optional>
#include <string>

namespace chivefold {

class HttpConnection;

/** What the connections of one server share and report. */
class HttpConnectionOwner {
public:
  virtual ~HttpConnectionOwner() = default;
  virtual void onRequest(std::shared_ptr<HttpExchange> exchange) = 0;
  /** Called once, when the descriptor is closed. */
  virtual void onClosed(HttpConnection &connection) = 0;

  HttpServerLimits Limits;
  /** Requests given to the handler whose answers are not written in full. */
  std::size_t OpenRequests = 0;
  /** Bytes of answers that are not written yet, over all connections. */
  std::size_t HeldBytes = 0;
  /** Called when HeldBytes has risen above HttpServer::MaxHeldBytes. */
  virtual void onOverflow() = 0;
  /** Each answer closes its connection. */
  bool Closing = false;
};

/** The place of one response in the order of its connection. */
class HttpSlot;

/** Reads requests, keeps responses in order and notices callers that leave. */
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  /** Takes over the connected descriptor @p fd. */
  HttpConnection(Reactor &reactor, HttpConnectionOwner &owner, int fd);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  void open();
  /** Closes at once; requests without an answer are abandoned. */
  void shut();
  /** @return whether no request was read, in part or whole, without its
   * response being written. */
  bool isIdle() const {
    return Slots.empty() && Input.empty() && !Current && Output.empty() &&
           !Lingering;
  }
  /** Writes the responses that are next in order. */
  void flushAnswers();
  /** Stores the response of a request and writes those that are next. */
  void answer(HttpSlot &slot, HttpResponse response);
  /** @return bytes of answers that are not written yet. */
  std::size_t held() const { return Held; }

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void onReady(ACE_Reactor_Mask mask);
  void receive();
  void parse();
  bool parseSome();
  void dispatch();
  void refuse(int status);
  void write();
  void appendAnswer(HttpSlot &slot, bool last);
  void updateHeld();
  void parseLater();
  void updateWatch();
  void arm();
  void onTimer();
  void startLinger();
  bool mayRead() const;

  Reactor &Loop;
  HttpConnectionOwner &Owner;
  int Fd;
  std::unique_ptr<DescriptorWatch> Watch;
  std::string Input;
  std::optional<Parser> Current;
  bool Blocked = false;
  bool ContinueSent = false;
  std::deque<std::shared_ptr<HttpSlot>> Slots;
  std::string Output;
  std::size_t Written = 0;
  /** Requests whose answers are in Output. */
  std::size_t Unwritten = 0;
  /** Bytes of responses in Slots, and of these and Output together. */
  std::size_t SlotBytes = 0;
  std::size_t Held = 0;
  std::size_t LastAnswerBytes = 0;
  /** When the client last took bytes of answers. */
  TimePoint TakenAt;
  std::size_t Discarded = 0;
  /** No further request is read; the connection ends after the last answer. */
  bool NoMoreRequests = false;
  /** The last answer was written; input is discarded until the caller closes,
   * since closing with unread input would reset the connection. */
  bool Lingering = false;
  TimePoint HeardAt;
  TimePoint RequestBegan;
  TimerId Timer = TimerId::None;
};

} // namespace chivefold

#endif
