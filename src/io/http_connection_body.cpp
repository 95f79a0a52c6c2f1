// Bodies that are passed on while they arrive.
#include "http_connection.h"

#include <poll.h>
#include <utility>

namespace chivefold {

// Hands over a request whose body is not whole. What follows is read at the
// pace at which it is taken.
void HttpConnection::beginBody() {
  auto read = Reader.takeHead();
  const auto leaseBytes = EdgeLimits::BodyCopies * read.Request.Body.size() +
                          BodyStream::WindowBytes;
  if (!Owner.Budget->admits(leaseBytes)) {
    return refuse({503, EdgeRefusal::Memory});
  }
  auto rest = std::make_shared<BodyStream>(read.Left, HeardAt);
  rest->onTaken([weak = weak_from_this()] {
    if (const auto open = weak.lock()) {
      open->resumeBody();
    }
  });
  read.Request.Rest = std::move(rest);
  hand(std::move(read), leaseBytes);
}

void HttpConnection::passBody() {
  const auto piece = Reader.takeBody();
  if (!piece.empty()) {
    // The consumer may answer the request, which drops the stream.
    const auto kept = Rest;
    kept->push(piece, false, HeardAt);
  }
  if (Rest && Rest->isFull()) {
    // The timer of a client that is read may be far off.
    Loop.cancel(Timer);
    Timer = TimerId::None;
  }
}

void HttpConnection::endBody() {
  const auto rest = Rest;
  const auto piece = Reader.takeBody();
  Reader.endBody();
  RequestBegan = HeardAt;
  dropBody();
  rest->push(piece, true, HeardAt);
}

void HttpConnection::dropBody() {
  if (Rest) {
    Rest->onTaken(nullptr);
    Rest.reset();
    RestSlot.reset();
  }
}

// Reads on in the next turn: the bytes may have been taken while they were
// pushed.
void HttpConnection::resumeBody() {
  if (Fd < 0 || !Rest || Rest->isFull()) {
    return;
  }
  HeardAt = Loop.now();
  updateWatch();
  if (Reader.hasInput()) {
    Loop.schedule(HeardAt, [weak = weak_from_this()] {
      if (const auto open = weak.lock()) {
        open->parse();
      }
    });
  }
}

// Ends a request whose body does not come to its end. Its server may have begun
// to work on the part that it got, so that nothing is promised.
void HttpConnection::abortBody(const ReadRefusal &refusal) {
  const auto slot = RestSlot;
  dropBody();
  Reader.clear();
  NoMoreRequests = true;
  const bool isPromise = refusal.Status == 503 || refusal.Status == 408;
  slot->Response = HttpResponse{isPromise ? 502 : refusal.Status, {}, ""};
  const auto task = std::exchange(slot->Abandoned, nullptr);
  if (task) {
    task();
  }
  flushAnswers();
  updateShare();
}

// Whether the client has closed the connection, while what it sent before is
// not read.
bool HttpConnection::hasClientLeft() const {
  pollfd it{Fd, POLLRDHUP, 0};
  return ::poll(&it, 1, 0) > 0 &&
         (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// The time in which nothing is read is not the client's.
void HttpConnection::onBodyTimer(TimePoint now) {
  const bool isSilent = mayRead() && now >= HeardAt + Owner.Limits.IdleTimeout;
  if (isSilent || now >= RequestBegan + Owner.Limits.BodyTimeout) {
    return refuse({408, EdgeRefusal::Slow});
  }
  if (!mayRead() && hasClientLeft()) {
    return shut();
  }
  arm();
}

} // namespace chivefold
