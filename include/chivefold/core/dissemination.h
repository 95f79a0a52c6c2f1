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
  /** Records held beyond a gap; the highest offsets are dropped on overflow and
   * fetched again later. */
  static constexpr std::size_t MaxOutOfOrderRecords = 256;
  static constexpr std::size_t Fanout = 4;
  /** Bytes of records in one message; a receiver fetches the rest. At least
   * one record is always included. */
  static constexpr std::size_t MaxMessageBytes = 256U << 10U;
  /** After this time an unanswered fetch is repeated with another peer. */
  static constexpr Duration FetchTimeout = std::chrono::milliseconds(500);
};

/** Records for one peer. */
struct Push {
  Address Peer;
  std::vector<LogEntry> Records;
};

/** A request for the records after an offset. */
struct Fetch {
  Address Peer;
  LogOffset After = LogOffset::None;
};

/** What the caller does after records were accepted. */
struct AcceptResult {
  /** Records applied by this call. */
  std::size_t Applied = 0;
  std::vector<Push> Pushes;
  std::optional<Fetch> Next;
};

/** Answer to a fetch. */
struct FetchResponse {
  std::vector<LogEntry> Records;
  /** The records are no longer held; the peer must ask for a snapshot. */
  bool SnapshotNeeded = false;
};

/**
 * Replays records from the log and from peers into a control state and decides
 * what goes to whom. Records may come in any order, doubled or late. A pushed
 * record is forwarded once, when it is first applied. Not thread-safe.
 */
class Dissemination {
public:
  /** @param state replayed into. @param members chooses the peers and learns
   * the applied offset. Both outlive this object. */
  Dissemination(ControlState &state, MemberTable &members);

  /**
   * Accepts records.
   * @param from the peer that sent them, none for the log.
   * @return pushes of the records that were new, and a fetch if there is a gap.
   * Answers to a fetch are not pushed on, and neither are records that a
   * starting daemon reads: others have them, and a daemon that catches up would
   * send its whole backlog.
   */
  AcceptResult accept(const std::vector<LogEntry> &records,
                      const std::optional<Address> &from, TimePoint now);

  /** A peer's probe or answer said that it has applied @p applied.
   * @return the fetch to send, at most one at a time. */
  std::optional<Fetch> peerApplied(const Address &peer, LogOffset applied,
                                   TimePoint now);

  /** Repeats a fetch that timed out. Call several times a second.
   * @return the fetch to send to another peer, if one is due. */
  std::optional<Fetch> tick(TimePoint now);

  /** @return records after @p after, at most MaxMessageBytes of them. */
  FetchResponse recordsAfter(LogOffset after) const;

  /**
   * Replaces the state by a snapshot that is newer, then applies held records.
   * @return Conflict if the snapshot is not newer than the state, since a
   * version never goes backwards; InvalidRecord if it is damaged.
   */
  Status installSnapshot(std::string_view bytes);

  /** Like installSnapshot() with a decoded state, e.g. from the log. */
  Status installState(ControlState state);

  /** Sets what is called with each record after it was applied, in log order.
   */
  void onApplied(std::function<void(const LogEntry &)> observer) {
    Observer = std::move(observer);
  }

  /** @return the highest offset that is known to exist. */
  LogOffset knownTail() const { return KnownTail; }

  /** @return the number of records held beyond a gap. */
  std::size_t outOfOrderCount() const { return OutOfOrder.size(); }

  Recovery &recovery() { return StartupRecovery; }

  /** @return whether this daemon may serve, and why not. */
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
