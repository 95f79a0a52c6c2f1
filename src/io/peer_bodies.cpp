#include "peer_bodies.h"

#include <algorithm>
#include <utility>

namespace chivefold {

namespace {

/** Smaller room is credited later, together with more. */
constexpr std::size_t MinCreditBytes = BodyStream::WindowBytes / 4;

template <class Message> std::string frameOf(Message message) {
  wire::FrameBodyUnion body;
  body.Set(std::move(message));
  return encodeFrame(0, std::move(body));
}

} // namespace

PeerBodies::~PeerBodies() {
  for (const auto &it : Sent) {
    it.second.Body->onArrival(nullptr);
  }
  for (const auto &it : Received) {
    it.second.Body->onTaken(nullptr);
  }
}

void PeerBodies::send(std::uint64_t id, const std::weak_ptr<PeerLink> &link,
                      std::shared_ptr<BodyStream> body) {
  body->onArrival([this, id] { pump(id); });
  Sent[id] = {link, std::move(body), 0};
}

void PeerBodies::stopSending(std::uint64_t id) {
  const auto it = Sent.find(id);
  if (it != Sent.end()) {
    it->second.Body->onArrival(nullptr);
    Sent.erase(it);
  }
}

void PeerBodies::onCredit(std::uint64_t id, std::size_t bytes) {
  const auto it = Sent.find(id);
  if (it != Sent.end()) {
    auto &credit = it->second.Credit;
    credit = std::min(credit + bytes, BodyStream::WindowBytes);
    pump(id);
  }
}

void PeerBodies::pump(std::uint64_t id) {
  for (auto it = Sent.find(id); it != Sent.end() && it->second.Credit > 0;
       it = Sent.find(id)) {
    const auto body = it->second.Body;
    const auto link = it->second.Link.lock();
    const auto piece =
        body->take(std::min(it->second.Credit, PartBytes), Loop.now());
    const bool last = body->isAtEnd();
    if (!link || (piece.empty() && !last)) {
      return;
    }
    it->second.Credit -= piece.size();
    wire::CallBodyT part;
    part.call_id = id;
    part.bytes.assign(piece.begin(), piece.end());
    part.last = last;
    if (last) {
      stopSending(id);
    }
    if (!link->enqueueBulk(frameOf(std::move(part)))) {
      link->failLater({ErrorCode::Overloaded, "too many bytes wait"});
      return;
    }
  }
}

std::shared_ptr<BodyStream>
PeerBodies::receive(std::uint64_t token, std::uint64_t id,
                    const std::weak_ptr<PeerLink> &link,
                    std::optional<std::uint64_t> length) {
  auto body = std::make_shared<BodyStream>(length, Loop.now());
  body->onTaken([this, token] { grant(token); });
  Received[token] = {link, id, body, 0, length};
  return body;
}

void PeerBodies::stopReceiving(std::uint64_t token) {
  const auto it = Received.find(token);
  if (it != Received.end()) {
    it->second.Body->onTaken(nullptr);
    Received.erase(it);
  }
}

void PeerBodies::grant(std::uint64_t token) {
  const auto it = Received.find(token);
  const auto link = it == Received.end() ? nullptr : it->second.Link.lock();
  if (!link) {
    return;
  }
  auto &entry = it->second;
  const auto used = entry.Body->size() + entry.Credited;
  if (used + MinCreditBytes > BodyStream::WindowBytes) {
    return;
  }
  const auto bytes = BodyStream::WindowBytes - used;
  entry.Credited += bytes;
  wire::CallCreditT credit;
  credit.call_id = entry.Request;
  credit.bytes = static_cast<std::uint32_t>(bytes);
  if (!link->enqueue(frameOf(credit), 0)) {
    link->failLater({ErrorCode::Overloaded, "too many bytes wait"});
  }
}

bool PeerBodies::onPart(std::uint64_t token, const wire::CallBodyT &part) {
  const auto it = Received.find(token);
  if (it == Received.end()) {
    return true;
  }
  auto &entry = it->second;
  const auto n = part.bytes.size();
  const bool isWhole =
      !entry.Left || (n <= *entry.Left && part.last == (n == *entry.Left));
  if (n > entry.Credited || !isWhole) {
    return false;
  }
  entry.Credited -= n;
  if (entry.Left) {
    *entry.Left -= n;
  }
  // The consumer may end the call, which drops the entry.
  const auto body = entry.Body;
  if (part.last) {
    stopReceiving(token);
  }
  body->push({reinterpret_cast<const char *>(part.bytes.data()), n}, part.last,
             Loop.now());
  return true;
}

} // namespace chivefold
