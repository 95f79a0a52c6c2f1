/**
 * @file
 * Recovery of a starting daemon: when its state is new enough to serve.
 */
#ifndef CHIVEFOLD_CORE_RECOVERY_H
#define CHIVEFOLD_CORE_RECOVERY_H

#include "chivefold/core/types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace chivefold {

/** A peer's answer to the join of this daemon. */
struct PeerAnswer {
  Address Peer;
  std::string DataCentre;
  /** Whether the peer has recovered its own state. */
  bool Ready = false;
  LogOffset Applied = LogOffset::None;
  /** Floor of the previous daemon at this daemon's address. */
  LogOffset YourFloor = LogOffset::None;
};

/** What the recovery compares with. */
struct RecoveryContext {
  /** Offset applied by this daemon. */
  LogOffset Applied = LogOffset::None;
  /** Alive members other than this daemon. */
  std::size_t OtherMembers = 0;
  /** Data centres of these. */
  std::size_t OtherDataCentres = 0;
};

/** Whether a daemon may serve, and why not. */
struct Readiness {
  bool Ready = false;
  /** For logs and operators; empty if ready. */
  std::string Reason;
};

/**
 * Decides when a starting daemon is ready (design 2.4): it has applied the
 * log's tail as of its start, or, in an outage of the log, the newest state of
 * enough peers, not below the floor of its predecessor. Once ready it stays
 * ready. Not thread-safe.
 */
class Recovery {
public:
  static constexpr std::size_t MinReadyPeers = 5;
  static constexpr std::size_t MinDataCentres = 2;
  /** Answers kept, one per peer; further peers are ignored. */
  static constexpr std::size_t MaxAnswers = 64;

  /** The log was reached. @param next offset of its next append; the first
   * value given is the tail as of the start. */
  void logReached(LogOffset next);

  /** The log did not answer. Peers suffice only while this is the last word. */
  void logUnavailable();

  /** The log was searched from @p first, its oldest retained offset, and has
   * no complete snapshot that its records continue. */
  void snapshotMissing(LogOffset first) { OldestRetained = first; }

  /** Records a peer's newest answer. */
  void peerAnswered(const PeerAnswer &answer);

  /** @return the readiness given @p context. */
  Readiness update(const RecoveryContext &context);

  bool ready() const { return HasRecovered; }

  /** @return the ready peer with the highest offset above @p applied, to fetch
   * from, if there is one. */
  std::optional<Address> mostAdvancedPeer(LogOffset applied) const;

private:
  std::string peerShortfall(const RecoveryContext &context) const;

  bool HasRecovered = false;
  bool LogIsDown = false;
  std::optional<LogOffset> NextOffsetAtStart;
  /** Records below this are trimmed, and the log has no snapshot. */
  LogOffset OldestRetained = LogOffset::None;
  LogOffset PredecessorFloor = LogOffset::None;
  std::map<Address, PeerAnswer> Answers;
};

} // namespace chivefold

#endif
