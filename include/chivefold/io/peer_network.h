/**
 * @file
 * Frames between daemons over TCP.
 */
#ifndef CHIVEFOLD_IO_PEER_NETWORK_H
#define CHIVEFOLD_IO_PEER_NETWORK_H

#include "chivefold/core/error.h"
#include "chivefold/core/types.h"
#include "chivefold/io/body_stream.h"
#include "chivefold/io/byte_budget.h"
#include "chivefold/io/edge_limits.h"
#include "chivefold/io/reactor.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace chivefold {

namespace wire {
struct FrameBodyUnion;
} // namespace wire

struct PeerLimits {
  static constexpr std::size_t MaxFrameBytes = 4U << 20U;
  /** Open links of a daemon; beyond it an idle one is closed: first those that
   * others opened and never used, then the least recently used. */
  static constexpr std::size_t MaxLinks = 1024;
  /** Bytes waiting on one link; beyond it requests fail as not sent. */
  static constexpr std::size_t MaxQueuedBytes = 8U << 20U;
  /** A link with outstanding requests is pinged at this interval. */
  static constexpr Duration PingInterval = std::chrono::milliseconds(500);
  /** A link with outstanding requests and no byte for this time is abandoned.
   */
  static constexpr Duration SilenceLimit = std::chrono::milliseconds(1500);
  static constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
};

/** Frames of one kind that were handed to links since the start. */
struct PeerTraffic {
  std::string_view Kind;
  std::uint64_t Frames = 0;
  std::uint64_t Bytes = 0;
};

/** What the links of a daemon may take of its host. */
struct PeerAllowance {
  /** Shared with other connections; without one, that of EdgeLimits by default
   * for the links alone. */
  std::shared_ptr<ByteBudget> Budget;
  std::size_t MaxLinks = PeerLimits::MaxLinks;
};

enum class PeerRequestId : std::uint64_t { None = 0 };

/** How a request to a peer ended. */
struct PeerOutcome {
  /** The answer's body; set only on success. */
  std::unique_ptr<wire::FrameBodyUnion> Answer;
  /** Ok, ConnectionFailed, DeadlineExceeded, Overloaded or InvalidRecord. */
  Reason Failure;
  /** False only when it is certain that no byte of the request left this
   * process. */
  bool MayHaveArrived = true;
};

/** Sends the answer of one request; later calls are ignored. */
using PeerResponder = std::function<void(wire::FrameBodyUnion)>;

/**
 * Handles a frame from @p from. @p respond is empty for one-way frames.
 * The handler of CallCancel frames is the network itself, see onCancel().
 */
using PeerHandler = std::function<void(
    const Address &from, wire::FrameBodyUnion &body, PeerResponder respond)>;

/**
 * Many requests per connection, each answer matched by its request id on its
 * link, so a late or crossed answer cannot reach another request. Untrusted
 * frames are verified before use; an invalid frame closes its link.
 * Used on the reactor's thread only.
 */
class PeerNetwork {
public:
  using Callback = std::function<void(PeerOutcome)>;

  PeerNetwork(Reactor &reactor, Address listen, PeerHandler handler,
              PeerAllowance allowance = {});
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork &) = delete;
  PeerNetwork &operator=(const PeerNetwork &) = delete;

  /** Binds and listens. @return ConnectionFailed if the address is in use. */
  Status start();

  /** @return the address with the port that was bound. Precondition: started.
   */
  Address bound() const;

  /** Stops accepting links; open ones go on. */
  void quiesce();

  /**
   * Sends a request; @p done runs once, later, from the loop, unless cancelled.
   * @param deadline local time at which the request fails.
   * @param rest body that follows the request, as far as the peer takes it; may
   * be null.
   */
  PeerRequestId request(const Address &to, wire::FrameBodyUnion body,
                        TimePoint deadline, Callback done,
                        std::shared_ptr<BodyStream> rest = nullptr);

  /** Sends a one-way frame, best effort. */
  void send(const Address &to, wire::FrameBodyUnion body);

  /** Forgets a request without running its callback and tells the peer
   * (CallCancel). */
  void cancel(PeerRequestId id);

  /**
   * Sets what runs when a peer cancels a request or its link breaks before
   * the answer. @p task gets the responder's token, see requestToken().
   */
  void onCancel(std::function<void(std::uint64_t token)> task);

  /** Reads what the peer of an unanswered request has sent meanwhile, which may
   * run other handlers. @return whether the request still waits for its answer.
   */
  bool isWanted(std::uint64_t token);

  /** @return the token of the request being handled. Precondition: inside the
   * handler, for a frame with a responder. */
  std::uint64_t requestToken() const;

  /** @return the body that follows the request being handled, until its answer.
   * Precondition: as for requestToken(). @param length its bytes, if known. */
  std::shared_ptr<BodyStream> receiveRest(std::optional<std::uint64_t> length);

  /** @return what was sent, a row for each kind of frame that was. */
  std::vector<PeerTraffic> traffic() const;

  /** @return bytes sent and received since the start, for metrics. */
  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace chivefold

#endif
