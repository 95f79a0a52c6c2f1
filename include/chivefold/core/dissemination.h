/**
 * @file
 * Dissemination of log records between daemons.
 */
#ifndef CHIVEFOLD_CORE_DISSEMINATION_H
#define CHIVEFOLD_CORE_DISSEMINATION_H

#include "chivefold/core/control_state.h"
#include "chivefold/core/member_table.h"
#include "chivefold/core/record.h"
#include "chivefold/core/recovery.h"
#include "chivefold/core/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace chivefold {

/** Bounds of dissemination. */
struct DisseminationLimits {
  static constexpr std::size_t MaxRecentRecords = 4096;
  static constexpr std::size_t MaxRecentBytes = 4U << 20U;
  /** Maximum number of records buffered beyond a gap. On overflow the highest
   * offsets are dropped and fetched again later. */
  static constexpr std::size_t MaxOutOfOrderRecords = 256;
  static constexpr std::size_t Fanout = 4;
  /** Maximum size of the records in one message; the receiver fetches the rest.
   * A message always has at least one record. */
  static constexpr std::size_t MaxMessageBytes = 256U << 10U;
  /** An unanswered fetch is repeated with another peer after this time. */
  static constexpr Duration FetchTimeout = std::chrono::milliseconds(500);
};

/** Records to send to one peer. */
struct Push {
  Address Peer;
  std::vector<LogEntry> Records;
};

/** A request for the records after an offset. */
struct Fetch {
  Address Peer;
  LogOffset After = LogOffset::None;
};

/** Result of accepting records, with the messages to send. */
struct AcceptResult {
  /** Records applied by this call. */
  std::size_t Applied = 0;
  std::vector<Push> Pushes;
  std::optional<Fetch> Next;
};

/** Response to a fetch. */
struct FetchResponse {
  std::vector<LogEntry> Records;
  /** The requested records are no longer kept; the peer must request a
   * snapshot. */
  bool SnapshotNeeded = false;
};

/**
 * Applies records from the log and from peers to a control state and selects
 * the records to send to each peer. Records may arrive out of order, late or
 * more than once. A pushed record is forwarded once, when it is first applied.
 * Not thread-safe.
 */
class Dissemination {
public:
  /** @param state state to which records are applied. @param members table from
   * which peers are chosen and in which the applied offset is recorded. Both
   * must outlive this object. */
  Dissemination(ControlState &state, MemberTable &members);

  /**
   * Accepts records.
   * @param from the peer that sent them, none for the log.
   * @return pushes of the new records, and a fetch if there is a gap. Records
   * that answer a fetch and records that a starting daemon reads are not
   * pushed: other daemons have them, and a daemon that catches up would send
   * its whole backlog.
   */
  AcceptResult accept(const std::vector<LogEntry> &records,
                      const std::optional<Address> &from, TimePoint now);

  /** Reports the offset up to which a peer has applied the log, as stated in
   * its probe or answer.
   * @return the fetch to send, if the peer is ahead and no other fetch is
   * outstanding. */
  std::optional<Fetch> peerApplied(const Address &peer, LogOffset applied,
                                   TimePoint now);

  /** Repeats a fetch that timed out. Must be called several times a second.
   * @return the fetch to send to a random peer, if one is due. */
  std::optional<Fetch> tick(TimePoint now);

  /** @return the records after @p after, up to MaxMessageBytes. */
  FetchResponse recordsAfter(LogOffset after) const;

  /**
   * Replaces the state by a newer snapshot, then applies buffered records.
   * @return Conflict if the snapshot is not newer than the state, since the
   * version must not decrease; InvalidRecord if the snapshot is damaged.
   */
  Status installSnapshot(std::string_view bytes);

  /** Like installSnapshot(), with a decoded state, for example from the log. */
  Status installState(ControlState state);

  /** Sets the function that is called with each applied record, in log order.
   */
  void onApplied(std::function<void(const LogEntry &)> observer) {
    Observer = std::move(observer);
  }

  /** @return the highest log offset known to this daemon. */
  LogOffset knownTail() const { return KnownTail; }

  /** @return the number of records buffered beyond a gap. */
  std::size_t outOfOrderCount() const { return OutOfOrder.size(); }

  Recovery &recovery() { return StartupRecovery; }

  /** @return whether this daemon may serve, and the reason if it may not. */
  Readiness readiness();

private:
  bool applyNext(const LogEntry &entry);
  void bufferOutOfOrder(const LogEntry &entry);
  void applyBuffered(std::vector<LogEntry> &applied);
  void addRecent(const LogEntry &entry);
  std::vector<Push> makePushes(const std::vector<LogEntry> &records,
                               const std::optional<Address> &from);
  std::optional<Fetch> fetchFrom(const Address &peer, TimePoint now);
  std::optional<Fetch> fetchFromAny(TimePoint now);

  ControlState &State;
  MemberTable &Members;
  Recovery StartupRecovery;
  /** Newest applied records without gaps, oldest first. */
  std::deque<LogEntry> RecentRecords;
  std::size_t RecentBytes = 0;
  std::map<LogOffset, LogEntry> OutOfOrder;
  LogOffset KnownTail = LogOffset::None;
  /** A fetch from this peer is outstanding until FetchDeadline. */
  std::optional<Address> FetchPeer;
  TimePoint FetchDeadline{};
  std::function<void(const LogEntry &)> Observer;
};

} // namespace chivefold

#endif
