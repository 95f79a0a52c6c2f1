/**
 * @file
 * Bodies of calls that pass between daemons in parts. Internal to io.
 */
#ifndef CHIVEFOLD_IO_PEER_BODIES_H
#define CHIVEFOLD_IO_PEER_BODIES_H

#include "chivefold/io/body_stream.h"
#include "chivefold/io/reactor.h"
#include "peer_link.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace chivefold {

/**
 * Flow control of bodies: the receiver credits as many bytes as its window
 * has room for, once its consumer has asked for the first, and the sender sends
 * no more than was credited. A refused call thus has passed on nothing, and a
 * slow server holds up its own body only. Used on the reactor's thread only.
 */
class PeerBodies {
public:
  /** Bytes of one frame; other frames get in between. */
  static constexpr std::size_t PartBytes = 16U << 10U;

  explicit PeerBodies(Reactor &reactor) : Loop(reactor) {}
  ~PeerBodies();
  PeerBodies(const PeerBodies &) = delete;
  PeerBodies &operator=(const PeerBodies &) = delete;

  /** Sends @p body behind the request @p id as the peer credits bytes. */
  void send(std::uint64_t id, const std::weak_ptr<PeerLink> &link,
            std::shared_ptr<BodyStream> body);
  /** Ends the sending for a request. */
  void stopSending(std::uint64_t id);
  /** Credits the sender of @p id, which ignores what is beyond the window. */
  void onCredit(std::uint64_t id, std::size_t bytes);

  /** @return the stream of the body that follows request @p id, under the
   * token of its responder. @param length as BodyStream has it. */
  std::shared_ptr<BodyStream> receive(std::uint64_t token, std::uint64_t id,
                                      const std::weak_ptr<PeerLink> &link,
                                      std::optional<std::uint64_t> length);
  /** Ends the receiving for a token; parts that still come are ignored. */
  void stopReceiving(std::uint64_t token);
  /** Takes a part. @return false if the peer was not credited so many bytes. */
  bool onPart(std::uint64_t token, const wire::CallBodyT &part);

private:
  struct Outgoing {
    std::weak_ptr<PeerLink> Link;
    std::shared_ptr<BodyStream> Body;
    std::size_t Credit = 0;
  };
  struct Incoming {
    std::weak_ptr<PeerLink> Link;
    std::uint64_t Request = 0;
    std::shared_ptr<BodyStream> Body;
    /** Bytes that were credited and have not arrived. */
    std::size_t Credited = 0;
    /** Bytes that are still to come, if known. */
    std::optional<std::uint64_t> Left;
  };

  void pump(std::uint64_t id);
  void grant(std::uint64_t token);

  Reactor &Loop;
  std::unordered_map<std::uint64_t, Outgoing> Sent;
  std::unordered_map<std::uint64_t, Incoming> Received;
};

} // namespace chivefold

#endif
