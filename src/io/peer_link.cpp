#include "peer_link.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/uio.h>

namespace chivefold {

namespace {

constexpr std::size_t PrefixBytes = 4;
constexpr std::size_t ReadBytes = 64U << 10U;
// Larger buffers are freed when they are empty. A daemon holds hundreds of idle
// links; with a read buffer in each, 100 members cost 10 MiB.
constexpr std::size_t KeptBytes = 4U << 10U;
// Reads of one turn, so that one busy link does not hold up the others.
constexpr int MaxReads = 16;
constexpr int MaxVectors = 64;
// A table of 4,100 members needs 8,200 tables; the bound limits the memory
// that a hostile frame can claim.
constexpr flatbuffers::uoffset_t MaxTables = 65536;
constexpr flatbuffers::uoffset_t MaxTableDepth = 16;
// The accepting side hears a ping each interval while it works for the peer.
// It is more patient, so that a paused caller does not lose its requests.
constexpr int AcceptorPatience = 4;

bool wouldBlock() {
  return errno == EWOULDBLOCK || errno == EAGAIN || errno == EINTR;
}

} // namespace

std::string encodeFrame(std::uint64_t requestId, wire::FrameBodyUnion body) {
  wire::FrameT frame;
  frame.request_id = requestId;
  frame.body = std::move(body);
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Frame::Pack(builder, &frame));
  const auto n = builder.GetSize();
  if (n > PeerLimits::MaxFrameBytes) {
    return {};
  }
  std::string out(PrefixBytes, '\0');
  for (std::size_t i = 0; i < PrefixBytes; ++i) {
    out[i] = static_cast<char>(n >> (8 * i) & 0xffU);
  }
  out.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), n);
  return out;
}

PeerLink::PeerLink(Reactor &reactor, PeerLinkOwner &owner, Address peer,
                   bool inbound)
    : Loop(reactor), Owner(owner), Peer(std::move(peer)), Inbound(inbound),
      Share(owner.Budget, [this] { giveUp(); }), HeardAt(reactor.now()) {}

PeerLink::~PeerLink() { close(); }

void PeerLink::connect() {
  ACE_INET_Addr to;
  ACE_SOCK_Connector connector;
  if (to.set(Peer.Port, Peer.Ip.c_str()) != 0) {
    failLater({ErrorCode::ConnectionFailed, "not an IP address"});
    return;
  }
  const int result = connector.connect(Stream, to, &ACE_Time_Value::zero);
  if (result != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
    failLater({ErrorCode::ConnectionFailed, std::strerror(errno)});
    return;
  }
  Watch = std::make_unique<DescriptorWatch>(
      Loop.ace(), Stream.get_handle(),
      [this](ACE_Reactor_Mask mask) { onReady(mask); });
  if (result == 0) {
    opened();
    return;
  }
  updateWatch();
  ConnectTimer = Loop.schedule(Loop.now() + PeerLimits::ConnectTimeout, [this] {
    ConnectTimer = TimerId::None;
    fail({ErrorCode::ConnectionFailed, "connect timed out"});
  });
}

void PeerLink::accept(const ACE_SOCK_Stream &stream) {
  Stream = stream;
  Watch = std::make_unique<DescriptorWatch>(
      Loop.ace(), Stream.get_handle(),
      [this](ACE_Reactor_Mask mask) { onReady(mask); });
  opened();
}

void PeerLink::catchUp() {
  if (Open && !Closed && !Parsing) {
    receive();
  }
}

void PeerLink::close() {
  if (Closed) {
    return;
  }
  Closed = true;
  for (auto *it : {&FlushTimer, &SilenceTimer, &ConnectTimer, &FailTimer}) {
    Loop.cancel(*it);
  }
  if (Watch) {
    Watch->watch(ACE_Event_Handler::NULL_MASK);
  }
  Stream.close();
  Share.set(0);
}

void PeerLink::fail(const Reason &reason) {
  if (!Closed) {
    close();
    Owner.onBroken(*this, reason);
  }
}

void PeerLink::updateShare() {
  Share.set(Closed ? 0 : Input.size() + QueuedBytes);
}

// Frees what the link holds for others: a peer that neither ends its frame nor
// reads its answers.
void PeerLink::giveUp() {
  fail({ErrorCode::Overloaded, "the link holds too much memory"});
  if (!Parsing) {
    std::string().swap(Input);
  }
  Queue.clear();
  Bulk.clear();
  QueuedBytes = 0;
}

void PeerLink::failLater(Reason reason) {
  if (!Closed && FailTimer == TimerId::None) {
    FailTimer = Loop.schedule(
        Loop.now(), [this, reason = std::move(reason)] { fail(reason); });
  }
}

void PeerLink::onReady(ACE_Reactor_Mask mask) {
  if (Closed) {
    return;
  }
  if (!Open) {
    onConnected();
  } else if (mask == ACE_Event_Handler::READ_MASK) {
    receive();
  } else {
    Blocked = false;
    flush();
  }
}

void PeerLink::onConnected() {
  int error = 0;
  int n = sizeof(error);
  if (Stream.get_option(SOL_SOCKET, SO_ERROR, &error, &n) != 0 || error != 0) {
    fail({ErrorCode::ConnectionFailed, std::strerror(error)});
    return;
  }
  opened();
  flush();
}

void PeerLink::opened() {
  Loop.cancel(ConnectTimer);
  ConnectTimer = TimerId::None;
  Open = true;
  HeardAt = Loop.now();
  int on = 1;
  Stream.enable(ACE_NONBLOCK);
  Stream.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  updateWatch();
}

void PeerLink::updateWatch() {
  ACE_Reactor_Mask mask =
      Open ? ACE_Event_Handler::READ_MASK : ACE_Event_Handler::WRITE_MASK;
  if (Blocked) {
    mask |= ACE_Event_Handler::WRITE_MASK;
  }
  if (!Watch->watch(mask)) {
    failLater({ErrorCode::ConnectionFailed, "too many descriptors"});
  }
}

void PeerLink::receive() {
  // Left uninitialized: filling it would cost more than the usual read.
  std::array<char, ReadBytes> chunk; // NOLINT(*-member-init)
  for (int i = 0; i < MaxReads && !Closed; ++i) {
    const auto n = Stream.recv(chunk.data(), chunk.size());
    const int error = errno;
    if (n < 0 && wouldBlock()) {
      return;
    }
    if (n <= 0) {
      fail({ErrorCode::ConnectionFailed,
            n == 0 ? "closed by the peer" : std::strerror(error)});
      return;
    }
    Input.append(chunk.data(), static_cast<std::size_t>(n));
    HeardAt = Loop.now();
    Share.received(static_cast<std::size_t>(n), HeardAt);
    Owner.BytesReceived += static_cast<std::uint64_t>(n);
    Parsing = true;
    const bool valid = parse();
    Parsing = false;
    if (!valid) {
      fail({ErrorCode::InvalidRecord, "invalid frame"});
      return;
    }
    updateShare();
    Owner.Budget->enforce(HeardAt);
    if (static_cast<std::size_t>(n) < ReadBytes) {
      return;
    }
  }
}

// Delivers the complete frames of the input. @return false for an invalid one.
bool PeerLink::parse() {
  std::size_t at = 0;
  while (!Closed && Input.size() - at >= PrefixBytes) {
    std::size_t n = 0;
    for (std::size_t i = 0; i < PrefixBytes; ++i) {
      n |= std::size_t{static_cast<unsigned char>(Input[at + i])} << (8 * i);
    }
    if (n == 0 || n > PeerLimits::MaxFrameBytes) {
      return false;
    }
    if (Input.size() - at - PrefixBytes < n) {
      break;
    }
    if (!deliver(Input.data() + at + PrefixBytes, n)) {
      return false;
    }
    at += PrefixBytes + n;
  }
  Input.erase(0, at);
  if (Input.empty() && Input.capacity() > KeptBytes) {
    Input.shrink_to_fit();
  }
  return true;
}

bool PeerLink::deliver(const char *data, std::size_t size) {
  // FlatBuffers reads its numbers in place, so they must be aligned.
  Aligned.resize((size + 7) / 8);
  std::memcpy(Aligned.data(), data, size);
  const auto *bytes = reinterpret_cast<const std::uint8_t *>(Aligned.data());
  flatbuffers::Verifier verifier(bytes, size, MaxTableDepth, MaxTables);
  if (!wire::VerifyFrameBuffer(verifier)) {
    return false;
  }
  const auto *frame = wire::GetFrame(bytes);
  if (frame->body() == nullptr || frame->body_type() == wire::FrameBody::NONE ||
      frame->body_type() > wire::FrameBody::MAX) {
    return false;
  }
  Proven = true;
  wire::FrameT unpacked;
  frame->UnPackTo(&unpacked);
  if (Aligned.size() * 8 > KeptBytes) {
    Aligned = {};
  }
  if (const auto *ping = unpacked.body.AsLinkPing()) {
    wire::FrameBodyUnion pong;
    wire::LinkPongT answer;
    answer.nonce = ping->nonce;
    pong.Set(answer);
    if (!enqueue(encodeFrame(0, std::move(pong)), 0)) {
      failLater({ErrorCode::ConnectionFailed, "the peer does not read"});
    }
  } else if (unpacked.body.AsLinkPong() == nullptr) {
    Owner.onFrame(*this, unpacked);
  }
  return true;
}

// Counts the bytes of a frame. @return false if the queue is full.
bool PeerLink::mayQueue(std::size_t bytes) {
  if (Closed || QueuedBytes + bytes > PeerLimits::MaxQueuedBytes) {
    return false;
  }
  QueuedBytes += bytes;
  Share.set(Share.bytes() + bytes);
  return true;
}

void PeerLink::flushLater() {
  if (Open && !Blocked && FlushTimer == TimerId::None) {
    // Frames of the same turn are sent together.
    FlushTimer = Loop.schedule(Loop.now(), [this] {
      FlushTimer = TimerId::None;
      flush();
    });
  }
}

bool PeerLink::enqueue(std::string frame, std::uint64_t requestId) {
  if (!mayQueue(frame.size())) {
    return false;
  }
  Queue.push_back({std::move(frame), requestId});
  flushLater();
  return true;
}

bool PeerLink::enqueueBulk(std::string frame) {
  if (!mayQueue(frame.size())) {
    return false;
  }
  Bulk.push_back(std::move(frame));
  flushLater();
  return true;
}

// Whether Queue has a frame to send; takes the next bulk one if it is empty.
bool PeerLink::hasFrames() {
  if (Queue.empty() && !Bulk.empty()) {
    Queue.push_back({std::move(Bulk.front()), 0});
    Bulk.pop_front();
  }
  return !Queue.empty();
}

bool PeerLink::withdraw(std::uint64_t requestId) {
  const auto it =
      std::find_if(Queue.begin(), Queue.end(), [&](const OutFrame &frame) {
        return frame.RequestId == requestId;
      });
  if (it == Queue.end() || (it == Queue.begin() && WrittenBytes > 0)) {
    return false;
  }
  QueuedBytes -= it->Bytes.size();
  Queue.erase(it);
  updateShare();
  return true;
}

void PeerLink::flush() {
  while (!Closed && hasFrames()) {
    std::array<iovec, MaxVectors> vectors{};
    int count = 0;
    for (auto it = Queue.begin(); it != Queue.end() && count < MaxVectors;
         ++it) {
      const auto skip = count == 0 ? WrittenBytes : 0;
      vectors[static_cast<std::size_t>(count++)] = {&it->Bytes[skip],
                                                    it->Bytes.size() - skip};
    }
    const auto n = Stream.sendv(vectors.data(), count);
    if (n < 0 && wouldBlock()) {
      Blocked = true;
      break;
    }
    if (n <= 0) {
      fail({ErrorCode::ConnectionFailed, std::strerror(errno)});
      return;
    }
    consume(static_cast<std::size_t>(n));
  }
  if (!Closed) {
    updateWatch();
  }
}

void PeerLink::consume(std::size_t written) {
  Owner.BytesSent += written;
  WrittenBytes += written;
  while (!Queue.empty() && WrittenBytes >= Queue.front().Bytes.size()) {
    const auto n = Queue.front().Bytes.size();
    WrittenBytes -= n;
    QueuedBytes -= n;
    Queue.pop_front();
  }
  updateShare();
}

void PeerLink::watchSilence() {
  if (SilenceTimer == TimerId::None && !Closed) {
    // Silence while nothing was outstanding does not count.
    HeardAt = Loop.now();
    SilenceTimer = Loop.schedule(HeardAt + PeerLimits::PingInterval,
                                 [this] { checkSilence(); });
  }
}

void PeerLink::checkSilence() {
  SilenceTimer = TimerId::None;
  if (Outstanding.empty() && Served.empty()) {
    return;
  }
  const auto limit =
      PeerLimits::SilenceLimit * (Inbound ? AcceptorPatience : 1);
  if (Open && Loop.now() - HeardAt >= limit) {
    // Bytes may have arrived while this process was paused.
    receive();
    if (!Closed && Loop.now() - HeardAt >= limit) {
      fail({ErrorCode::ConnectionFailed, "the link is silent"});
    }
  }
  if (Closed) {
    return;
  }
  if (!Inbound && Open) {
    wire::FrameBodyUnion body;
    body.Set(wire::LinkPingT{});
    enqueue(encodeFrame(0, std::move(body)), 0);
  }
  SilenceTimer = Loop.schedule(Loop.now() + PeerLimits::PingInterval,
                               [this] { checkSilence(); });
}

} // namespace chivefold
