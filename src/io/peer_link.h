/**
 * @file
 * One TCP connection between daemons. Internal to io.
 */
#ifndef CHIVEFOLD_IO_PEER_LINK_H
#define CHIVEFOLD_IO_PEER_LINK_H

#include "chivefold/io/peer_network.h"
#include "descriptor_watch.h"
#include "peer_generated.h"

#include <ace/SOCK_Stream.h>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chivefold {

class PeerLink;

/** What a link reports to its network, always from the loop. */
class PeerLinkOwner {
public:
  explicit PeerLinkOwner(std::shared_ptr<ByteBudget> budget)
      : Budget(std::move(budget)) {}
  virtual ~PeerLinkOwner() = default;
  virtual void onFrame(PeerLink &link, wire::FrameT &frame) = 0;
  /** Called once; the link is closed afterwards. */
  virtual void onBroken(PeerLink &link, const Reason &reason) = 0;

  /** What all connections of the process hold together. */
  std::shared_ptr<ByteBudget> Budget;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
};

/** @return the frame with its length prefix, or "" if it is too large. */
std::string encodeFrame(std::uint64_t requestId, wire::FrameBodyUnion body);

/**
 * Queues, sends, receives and verifies frames, and detects silence. Requests
 * go from the side that connected to the side that accepted.
 */
class PeerLink {
public:
  /** Requests of the peer that may wait for their answers. */
  static constexpr std::size_t MaxServed = 4096;

  PeerLink(Reactor &reactor, PeerLinkOwner &owner, Address peer, bool inbound);
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  void connect();
  /** Reads what has arrived, unless this runs inside a frame of the link. */
  void catchUp();
  /** Takes over an accepted connection. */
  void accept(const ACE_SOCK_Stream &stream);
  void close();

  /** Queues a frame for the end of this turn of the loop. @return false if the
   * queue is full. */
  bool enqueue(std::string frame, std::uint64_t requestId);
  /** Queues a frame that gives way to those of enqueue(). @return false if the
   * queue is full. */
  bool enqueueBulk(std::string frame);
  /** Removes a frame. @return true if none of its bytes was written. */
  bool withdraw(std::uint64_t requestId);
  /** Starts silence detection after a request was added. */
  void watchSilence();
  /** Breaks the link in the next turn of the loop. */
  void failLater(Reason reason);

  const Address &peer() const { return Peer; }
  bool inbound() const { return Inbound; }
  bool isClosed() const { return Closed; }
  /** @return whether the other end is known to be a daemon: this side chose it,
   * or it has sent a valid frame. */
  bool isProven() const { return !Inbound || Proven; }
  bool idle() const {
    return Outstanding.empty() && Served.empty() && Queue.empty() &&
           Bulk.empty();
  }

  /** Requests sent on this link that have no answer. */
  std::unordered_set<std::uint64_t> Outstanding;
  /** Tokens of the peer's requests that have no answer, by request id. */
  std::unordered_map<std::uint64_t, std::uint64_t> Served;
  /** Order of the last use, for closing the least recently used link. */
  std::uint64_t LastUse = 0;

private:
  struct OutFrame {
    std::string Bytes;
    std::uint64_t RequestId;
  };

  void onReady(ACE_Reactor_Mask mask);
  void onConnected();
  void opened();
  void updateWatch();
  void receive();
  bool parse();
  bool deliver(const char *data, std::size_t size);
  bool mayQueue(std::size_t bytes);
  void flushLater();
  bool hasFrames();
  void flush();
  void consume(std::size_t written);
  void checkSilence();
  void fail(const Reason &reason);
  void updateShare();
  void giveUp();

  Reactor &Loop;
  PeerLinkOwner &Owner;
  Address Peer;
  bool Inbound;
  bool Open = false;
  bool Closed = false;
  bool Blocked = false;
  bool Parsing = false;
  bool Proven = false;
  ACE_SOCK_Stream Stream;
  std::unique_ptr<DescriptorWatch> Watch;
  std::deque<OutFrame> Queue;
  /** Frames that are sent one at a time while Queue is empty. */
  std::deque<std::string> Bulk;
  std::size_t QueuedBytes = 0;
  /** Bytes of the first queued frame that were written. */
  std::size_t WrittenBytes = 0;
  std::string Input;
  std::vector<std::uint64_t> Aligned;
  /** What Input and Queue hold. */
  ByteHolder Share;
  TimePoint HeardAt;
  TimerId FlushTimer = TimerId::None;
  TimerId SilenceTimer = TimerId::None;
  TimerId ConnectTimer = TimerId::None;
  TimerId FailTimer = TimerId::None;
};

} // namespace chivefold

#endif
