/**
 * @file
 * Decides when a starting daemon has recovered state recent enough to serve.
 */
#ifndef CHIVEFOLD_CORE_RECOVERY_H
#define CHIVEFOLD_CORE_RECOVERY_H

#include "chivefold/core/types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace chivefold {

/** A peer's answer to the join request of this daemon. */
struct PeerAnswer {
  Address Peer;
  std::string DataCentre;
  /** Whether the peer has recovered its own state. */
  bool Ready = false;
  /** Offset of the last log record that the peer has applied. */
  LogOffset Applied = LogOffset::None;
  /** Floor of the previous daemon at this daemon's address. While the log is
   * unavailable, this daemon must apply at least this offset before it serves.
   */
  LogOffset YourFloor = LogOffset::None;
};

/** This daemon's progress and membership view, which decide with the peers'
 * answers whether it may serve. */
struct RecoveryContext {
  /** Offset of the last log record that this daemon has applied. */
  LogOffset Applied = LogOffset::None;
  /** Number of alive members other than this daemon. */
  std::size_t OtherMembers = 0;
  /** Number of data centres that contain these members. */
  std::size_t OtherDataCentres = 0;
};

/** Whether a daemon may serve, or the reason why it may not. */
struct Readiness {
  bool Ready = false;
  /** Text for logs and operators. Empty if ready. */
  std::string Reason;
};

/**
 * Decides when a starting daemon is ready (design 2.4). A daemon is ready once
 * it has applied all records that the log contained when it first answered.
 * While the log is unavailable, the daemon is ready once enough peers have
 * answered and it has applied at least the newest offset of these peers and
 * the floor of its predecessor. Once ready, it stays ready. Not thread-safe.
 */
class Recovery {
public:
  static constexpr std::size_t MinReadyPeers = 5;
  static constexpr std::size_t MinDataCentres = 2;
  /** Maximum number of stored answers, one per peer. Answers of further peers
   * are ignored. */
  static constexpr std::size_t MaxAnswers = 64;

  /** Reports an answer of the log. @param next offset of the next append. The
   * value of the first call marks the records that the daemon must apply. */
  void logReached(LogOffset next);

  /** Reports that the log did not answer. Until the next logReached(), the
   * state of peers is sufficient. */
  void logUnavailable();

  /** Reports that the log, searched from its oldest retained offset @p first,
   * contains no complete snapshot that its later records extend. */
  void snapshotMissing(LogOffset first) { OldestRetained = first; }

  /** Stores a peer's answer in place of its previous one. */
  void peerAnswered(const PeerAnswer &answer);

  /** Evaluates the readiness for @p context and stores that the daemon is
   * ready. */
  Readiness update(const RecoveryContext &context);

  bool ready() const { return HasRecovered; }

  /** @return the ready peer with the highest applied offset above @p applied,
   * from which to fetch state, if there is one. */
  std::optional<Address> mostAdvancedPeer(LogOffset applied) const;

private:
  /** @return why the peers' answers are not sufficient, or an empty string if
   * they are. */
  std::string peerShortfall(const RecoveryContext &context) const;

  bool HasRecovered = false;
  bool LogIsDown = false;
  /** Offset of the next append when the log first answered. */
  std::optional<LogOffset> NextOffsetAtStart;
  /** Records below this offset have been trimmed and the log contains no
   * snapshot of them, so that they can be recovered from peers only. */
  LogOffset OldestRetained = LogOffset::None;
  LogOffset PredecessorFloor = LogOffset::None;
  std::map<Address, PeerAnswer> Answers;
};

} // namespace chivefold

#endif
