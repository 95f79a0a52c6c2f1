/**
 * @file
 * One accepted HTTP connection. Internal to io.
 */
#ifndef CHIVEFOLD_IO_HTTP_CONNECTION_H
#define CHIVEFOLD_IO_HTTP_CONNECTION_H

#include "chivefold/io/byte_budget.h"
#include "chivefold/io/http_server.h"
#include "descriptor_watch.h"
#include "request_reader.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chivefold {

class HttpConnection;

/** What the connections of one server share and report. */
class HttpConnectionOwner {
public:
  explicit HttpConnectionOwner(std::shared_ptr<ByteBudget> budget)
      : Budget(std::move(budget)) {}
  virtual ~HttpConnectionOwner() = default;
  virtual void onRequest(std::shared_ptr<HttpExchange> exchange) = 0;
  /** Called once, when the descriptor is closed. */
  virtual void onClosed(HttpConnection &connection) = 0;

  /** Counts and logs a request that is refused before it is handled. */
  virtual void onRefused(EdgeRefusal reason, std::size_t held) = 0;

  HttpServerLimits Limits;
  /** What the connections of the process hold together. */
  std::shared_ptr<ByteBudget> Budget;
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
class HttpSlot {
public:
  std::optional<HttpResponse> Response;
  bool Head = false;
  /** Runs if the caller leaves before the answer. */
  std::function<void()> Abandoned;
  bool Dispatched = false;
};

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
    return Slots.empty() && !Reader.isReading() && Output.empty() && !Lingering;
  }
  /** @return whether it may be closed for another connection: no request of it
   * is being handled or answered. */
  bool isReplaceable() const { return Lingering || Slots.empty(); }
  /** @return whether a request of it was handled. */
  bool hasServed() const { return Served; }
  TimePoint heardAt() const { return HeardAt; }
  /** Writes the responses that are next in order. */
  void flushAnswers();
  /** Stores the response of a request and writes those that are next. */
  void answer(HttpSlot &slot, HttpResponse response);
  /** @return bytes of answers that are not written yet. */
  std::size_t held() const { return Held; }

private:
  void onReady(ACE_Reactor_Mask mask);
  void receive();
  void parse();
  bool parseSome();
  void dispatch();
  void hand(ReadRequest read, std::size_t leaseBytes);
  void beginBody();
  void passBody();
  void endBody();
  void dropBody();
  void abortBody(const ReadRefusal &refusal);
  void resumeBody();
  bool hasClientLeft() const;
  void refuse(const ReadRefusal &refusal);
  void giveUp();
  void write();
  void appendAnswer(HttpSlot &slot, bool last);
  void updateHeld();
  void updateShare();
  void parseLater();
  void updateWatch();
  void shutLater();
  void arm();
  void onTimer();
  void onBodyTimer(TimePoint now);
  void startLinger();
  bool mayRead() const;

  Reactor &Loop;
  HttpConnectionOwner &Owner;
  int Fd;
  std::unique_ptr<DescriptorWatch> Watch;
  RequestReader Reader;
  /** What the reader and the answers hold. */
  ByteHolder Share;
  bool Blocked = false;
  bool ContinueSent = false;
  bool Served = false;
  std::deque<std::shared_ptr<HttpSlot>> Slots;
  /** The body that is being passed on as it arrives, and its request. */
  std::shared_ptr<BodyStream> Rest;
  std::shared_ptr<HttpSlot> RestSlot;
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
  TimePoint LingerUntil{};
  TimePoint HeardAt;
  TimePoint RequestBegan;
  TimerId Timer = TimerId::None;
};

} // namespace chivefold

#endif
