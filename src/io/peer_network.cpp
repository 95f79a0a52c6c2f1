#include "chivefold/io/peer_network.h"

#include "listener.h"
#include "peer_bodies.h"
#include "peer_link.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <sys/socket.h>
#include <tuple>

namespace chivefold {

namespace {

// Links accepted in one turn of the loop.
constexpr int MaxAccepts = 64;

Address addressOf(const ACE_INET_Addr &a) {
  std::array<char, 64> buf{};
  a.get_host_addr(buf.data(), buf.size());
  return {buf.data(), a.get_port_number()};
}

// Order in which idle links are closed.
std::tuple<bool, bool, std::uint64_t> rankOf(const PeerLink &link) {
  return {link.isProven(), link.inbound(), link.LastUse};
}

} // namespace

struct PeerNetwork::Impl : PeerLinkOwner {
  struct Request {
    std::shared_ptr<PeerLink> Link;
    Callback Done;
    TimerId Timer = TimerId::None;
  };

  Impl(Reactor &r, Address listen, PeerHandler handler, PeerAllowance allowance)
      : PeerLinkOwner(allowance.Budget ? std::move(allowance.Budget)
                                       : std::make_shared<ByteBudget>(
                                             EdgeLimits().budgetBytes())),
        Loop(r), Listen(std::move(listen)), Handler(std::move(handler)),
        MaxLinks(allowance.MaxLinks), Bodies(r) {}
  ~Impl() override;
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  Status start();
  void quiesce();
  void acceptLinks();
  std::shared_ptr<PeerLink> linkTo(const Address &to);
  bool makeRoom();
  void touch(PeerLink &link) { link.LastUse = ++Uses; }
  void discard(const std::shared_ptr<PeerLink> &link);

  std::uint64_t request(const Address &to, wire::FrameBodyUnion body,
                        TimePoint deadline, Callback done,
                        std::shared_ptr<BodyStream> rest);
  std::string encode(std::uint64_t id, wire::FrameBodyUnion body);
  void refuse(std::uint64_t id, Reason reason);
  void expire(std::uint64_t id);
  bool forget(std::uint64_t id, bool tellPeer);
  void finish(std::uint64_t id, PeerOutcome outcome);

  void onFrame(PeerLink &link, wire::FrameT &frame) override;
  void onAnswer(PeerLink &link, wire::FrameT &frame);
  void onRequest(PeerLink &link, wire::FrameT &frame);
  void onCancelled(PeerLink &link, std::uint64_t id);
  void onBodyPart(PeerLink &link, const wire::CallBodyT &part);
  void onCredit(const PeerLink &link, const wire::CallCreditT &credit);
  void onBroken(PeerLink &link, const Reason &reason) override;
  void cancelled(std::uint64_t token);
  void respond(const std::weak_ptr<PeerLink> &link, std::uint64_t id,
               std::uint64_t token, wire::FrameBodyUnion body);

  Reactor &Loop;
  Address Listen;
  PeerHandler Handler;
  std::size_t MaxLinks;
  Listener Socket;
  std::unordered_map<PeerLink *, std::shared_ptr<PeerLink>> Links;
  std::unordered_map<Address, PeerLink *> Outbound;
  std::unordered_map<std::uint64_t, Request> Requests;
  std::function<void(std::uint64_t)> CancelTask;
  std::uint64_t NextRequest = 0;
  std::uint64_t NextToken = 0;
  std::uint64_t CurrentToken = 0;
  /** Request that is being handled, as its link numbers it. */
  std::uint64_t CurrentRequest = 0;
  PeerBodies Bodies;
  /** Links of the requests that are served, by token. */
  std::unordered_map<std::uint64_t, std::weak_ptr<PeerLink>> ServedOn;
  std::uint64_t Uses = 0;
  /** Frames sent, by kind. */
  std::array<PeerTraffic, static_cast<std::size_t>(wire::FrameBody::MAX) + 1>
      Sent{};
};

PeerNetwork::Impl::~Impl() {
  quiesce();
  for (const auto &it : Requests) {
    Loop.cancel(it.second.Timer);
  }
  for (const auto &it : Links) {
    it.second->close();
  }
}

Status PeerNetwork::Impl::start() {
  return Socket.open(Loop, Listen, [this] { acceptLinks(); });
}

void PeerNetwork::Impl::quiesce() { Socket.close(); }

void PeerNetwork::Impl::acceptLinks() {
  for (int i = 0; i < MaxAccepts; ++i) {
    ACE_SOCK_Stream stream;
    ACE_INET_Addr from;
    if (!Socket.accept(stream, from)) {
      return;
    }
    if (!makeRoom()) {
      stream.close();
      continue;
    }
    auto link = std::make_shared<PeerLink>(Loop, *this, addressOf(from), true);
    touch(*link);
    Links.emplace(link.get(), link);
    link->accept(stream);
  }
}

// Closes an idle link if there are too many: first those of others without a
// frame yet, which need not be daemons, then the least recently used. Of these,
// links that this side opened go first: the peer may be sending a request on
// another.
bool PeerNetwork::Impl::makeRoom() {
  if (Links.size() < MaxLinks) {
    return true;
  }
  std::shared_ptr<PeerLink> oldest;
  for (const auto &it : Links) {
    const auto &link = it.second;
    if (link->idle() && (!oldest || rankOf(*link) < rankOf(*oldest))) {
      oldest = link;
    }
  }
  if (!oldest) {
    return false;
  }
  oldest->close();
  discard(oldest);
  return true;
}

// Frees a closed link in the next turn: it may be on the call stack.
void PeerNetwork::Impl::discard(const std::shared_ptr<PeerLink> &link) {
  const auto it = Outbound.find(link->peer());
  if (it != Outbound.end() && it->second == link.get()) {
    Outbound.erase(it);
  }
  Links.erase(link.get());
  Loop.schedule(Loop.now(), [link] {});
}

std::shared_ptr<PeerLink> PeerNetwork::Impl::linkTo(const Address &to) {
  const auto it = Outbound.find(to);
  if (it != Outbound.end()) {
    return Links.at(it->second);
  }
  if (!makeRoom()) {
    return nullptr;
  }
  auto link = std::make_shared<PeerLink>(Loop, *this, to, false);
  Links.emplace(link.get(), link);
  Outbound.emplace(to, link.get());
  link->connect();
  return link;
}

std::string PeerNetwork::Impl::encode(std::uint64_t id,
                                      wire::FrameBodyUnion body) {
  auto &sent = Sent[static_cast<std::size_t>(body.type)];
  sent.Kind = wire::EnumNameFrameBody(body.type);
  auto frame = encodeFrame(id, std::move(body));
  ++sent.Frames;
  sent.Bytes += frame.size();
  return frame;
}

std::uint64_t PeerNetwork::Impl::request(const Address &to,
                                         wire::FrameBodyUnion body,
                                         TimePoint deadline, Callback done,
                                         std::shared_ptr<BodyStream> rest) {
  const auto id = ++NextRequest;
  Requests[id].Done = std::move(done);
  auto frame = encode(id, std::move(body));
  if (frame.empty()) {
    refuse(id, {ErrorCode::InvalidRecord, "frame too large"});
    return id;
  }
  auto link = linkTo(to);
  if (!link) {
    refuse(id, {ErrorCode::Overloaded, "too many links are in use"});
    return id;
  }
  touch(*link);
  if (!link->enqueue(std::move(frame), id)) {
    refuse(id, {ErrorCode::Overloaded, "too many bytes wait on the link"});
    return id;
  }
  link->Outstanding.insert(id);
  link->watchSilence();
  if (rest) {
    Bodies.send(id, link, std::move(rest));
  }
  auto &entry = Requests[id];
  entry.Link = std::move(link);
  entry.Timer = Loop.schedule(deadline, [this, id] { expire(id); });
  return id;
}

void PeerNetwork::Impl::refuse(std::uint64_t id, Reason reason) {
  Requests[id].Timer =
      Loop.schedule(Loop.now(), [this, id, reason = std::move(reason)] {
        finish(id, {nullptr, reason, false});
      });
}

void PeerNetwork::Impl::expire(std::uint64_t id) {
  const auto it = Requests.find(id);
  if (it != Requests.end()) {
    const auto done = std::move(it->second.Done);
    const bool withdrawn = forget(id, true);
    done({nullptr,
          {ErrorCode::DeadlineExceeded, "deadline passed"},
          !withdrawn});
  }
}

// Drops a request. @return true if none of its bytes was written.
bool PeerNetwork::Impl::forget(std::uint64_t id, bool tellPeer) {
  const auto it = Requests.find(id);
  if (it == Requests.end()) {
    return true;
  }
  const auto link = it->second.Link;
  Loop.cancel(it->second.Timer);
  Requests.erase(it);
  Bodies.stopSending(id);
  if (!link) {
    return true;
  }
  link->Outstanding.erase(id);
  const bool withdrawn = link->withdraw(id);
  if (!withdrawn && tellPeer) {
    wire::FrameBodyUnion body;
    wire::CallCancelT cancel;
    cancel.call_id = id;
    body.Set(cancel);
    link->enqueue(encodeFrame(0, std::move(body)), 0);
  }
  return withdrawn;
}

void PeerNetwork::Impl::finish(std::uint64_t id, PeerOutcome outcome) {
  const auto it = Requests.find(id);
  if (it != Requests.end()) {
    const auto done = std::move(it->second.Done);
    forget(id, false);
    done(std::move(outcome));
  }
}

void PeerNetwork::Impl::onFrame(PeerLink &link, wire::FrameT &frame) {
  touch(link);
  if (const auto *cancel = frame.body.AsCallCancel()) {
    onCancelled(link, cancel->call_id);
  } else if (const auto *part = frame.body.AsCallBody()) {
    onBodyPart(link, *part);
  } else if (const auto *credit = frame.body.AsCallCredit()) {
    onCredit(link, *credit);
  } else if (frame.request_id == 0) {
    Handler(link.peer(), frame.body, nullptr);
  } else if (link.inbound()) {
    onRequest(link, frame);
  } else {
    onAnswer(link, frame);
  }
}

void PeerNetwork::Impl::onCancelled(PeerLink &link, std::uint64_t id) {
  const auto it = link.Served.find(id);
  if (it != link.Served.end()) {
    const auto token = it->second;
    link.Served.erase(it);
    cancelled(token);
  }
}

// Parts of a call that was answered or cancelled meanwhile are dropped.
void PeerNetwork::Impl::onBodyPart(PeerLink &link,
                                   const wire::CallBodyT &part) {
  const auto it = link.Served.find(part.call_id);
  if (it != link.Served.end() && !Bodies.onPart(it->second, part)) {
    link.failLater({ErrorCode::InvalidRecord, "a body beyond its credit"});
  }
}

void PeerNetwork::Impl::onCredit(const PeerLink &link,
                                 const wire::CallCreditT &credit) {
  if (link.Outstanding.count(credit.call_id) > 0) {
    Bodies.onCredit(credit.call_id, credit.bytes);
  }
}

// An answer counts only on the link that carried its request; one that comes
// after the request ended finds no entry.
void PeerNetwork::Impl::onAnswer(PeerLink &link, wire::FrameT &frame) {
  if (link.Outstanding.count(frame.request_id) == 0) {
    return;
  }
  PeerOutcome outcome;
  outcome.Answer =
      std::make_unique<wire::FrameBodyUnion>(std::move(frame.body));
  finish(frame.request_id, std::move(outcome));
}

void PeerNetwork::Impl::onRequest(PeerLink &link, wire::FrameT &frame) {
  const auto id = frame.request_id;
  const auto token = ++NextToken;
  if (link.Served.size() >= PeerLink::MaxServed ||
      !link.Served.emplace(id, token).second) {
    link.failLater({ErrorCode::InvalidRecord, "repeated or excess request"});
    return;
  }
  link.watchSilence();
  const std::weak_ptr<PeerLink> weak = Links.at(&link);
  ServedOn.emplace(token, weak);
  CurrentToken = token;
  CurrentRequest = id;
  Handler(link.peer(), frame.body,
          [this, weak, id, token](wire::FrameBodyUnion body) {
            respond(weak, id, token, std::move(body));
          });
  CurrentToken = 0;
}

void PeerNetwork::Impl::respond(const std::weak_ptr<PeerLink> &link,
                                std::uint64_t id, std::uint64_t token,
                                wire::FrameBodyUnion body) {
  const auto open = link.lock();
  // A closed link may outlive the network by a turn of the loop.
  if (!open || open->isClosed()) {
    return;
  }
  const auto it = open->Served.find(id);
  if (it == open->Served.end() || it->second != token) {
    return;
  }
  open->Served.erase(it);
  ServedOn.erase(token);
  Bodies.stopReceiving(token);
  auto frame = encode(id, std::move(body));
  if (frame.empty() || !open->enqueue(std::move(frame), 0)) {
    open->failLater({ErrorCode::Overloaded, "cannot send an answer"});
  }
}

void PeerNetwork::Impl::onBroken(PeerLink &link, const Reason &reason) {
  const auto kept = Links.at(&link);
  discard(kept);
  const auto outstanding = std::move(link.Outstanding);
  link.Outstanding.clear();
  const auto served = std::move(link.Served);
  link.Served.clear();
  for (const auto id : outstanding) {
    const bool withdrawn = link.withdraw(id);
    finish(id, {nullptr, reason, !withdrawn});
  }
  for (const auto &it : served) {
    cancelled(it.second);
  }
}

void PeerNetwork::Impl::cancelled(std::uint64_t token) {
  ServedOn.erase(token);
  Bodies.stopReceiving(token);
  if (CancelTask) {
    CancelTask(token);
  }
}

PeerNetwork::PeerNetwork(Reactor &reactor, Address listen, PeerHandler handler,
                         PeerAllowance allowance)
    : State(std::make_unique<Impl>(reactor, std::move(listen),
                                   std::move(handler), std::move(allowance))) {}

PeerNetwork::~PeerNetwork() = default;

Status PeerNetwork::start() { return State->start(); }

Address PeerNetwork::bound() const { return State->Listen; }

void PeerNetwork::quiesce() { State->quiesce(); }

PeerRequestId PeerNetwork::request(const Address &to, wire::FrameBodyUnion body,
                                   TimePoint deadline, Callback done,
                                   std::shared_ptr<BodyStream> rest) {
  return static_cast<PeerRequestId>(State->request(
      to, std::move(body), deadline, std::move(done), std::move(rest)));
}

void PeerNetwork::send(const Address &to, wire::FrameBodyUnion body) {
  auto frame = State->encode(0, std::move(body));
  const auto link = frame.empty() ? nullptr : State->linkTo(to);
  if (link) {
    State->touch(*link);
    link->enqueue(std::move(frame), 0);
  }
}

void PeerNetwork::cancel(PeerRequestId id) {
  State->forget(static_cast<std::uint64_t>(id), true);
}

void PeerNetwork::onCancel(std::function<void(std::uint64_t token)> task) {
  State->CancelTask = std::move(task);
}

bool PeerNetwork::isWanted(std::uint64_t token) {
  const auto it = State->ServedOn.find(token);
  const auto link = it == State->ServedOn.end() ? nullptr : it->second.lock();
  if (link) {
    link->catchUp();
  }
  return State->ServedOn.count(token) > 0;
}

std::uint64_t PeerNetwork::requestToken() const { return State->CurrentToken; }

std::shared_ptr<BodyStream>
PeerNetwork::receiveRest(std::optional<std::uint64_t> length) {
  const auto token = State->CurrentToken;
  return State->Bodies.receive(token, State->CurrentRequest,
                               State->ServedOn.at(token), length);
}

std::vector<PeerTraffic> PeerNetwork::traffic() const {
  std::vector<PeerTraffic> out;
  std::copy_if(State->Sent.begin(), State->Sent.end(), std::back_inserter(out),
               [](const PeerTraffic &it) { return it.Frames > 0; });
  return out;
}

std::uint64_t PeerNetwork::bytesSent() const { return State->BytesSent; }

std::uint64_t PeerNetwork::bytesReceived() const {
  return State->BytesReceived;
}

} // namespace chivefold
