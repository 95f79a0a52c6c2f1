/**
 * @file
 * What the next daemon of a host has to know, kept outside this process.
 */
#ifndef CHIVEFOLD_SIDECAR_HOST_MEMORY_H
#define CHIVEFOLD_SIDECAR_HOST_MEMORY_H

#include "chivefold/io/logging.h"
#include "chivefold/io/reactor.h"
#include "chivefold/mesh/departures.h"
#include "chivefold/sidecar/ports.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chivefold {

/** What a HostMemory keeps, and where peers find what it reads of their hosts;
 * all must outlive it. */
struct HostMemoryDependencies {
  Departures &Departed;
  FleetTable &Hosts;
};

/**
 * Keeps the announcements of servers that leave where they outlast this
 * process: in a record of the stream of hosts, one a host, and at peers while
 * the store is away. An announcement is acknowledged only when one of them has
 * it. A new daemon reads the records in the listing that it makes anyway, and
 * peers return what they know of its host with each hello message.
 *
 * The record is written only after it was read, since a write replaces it, and
 * written again when the store has come back from an older copy. Used on the
 * reactor's thread only.
 */
class HostMemory {
public:
  static constexpr Duration StoreTimeout = std::chrono::seconds(2);
  /** Pause after a failed write; doubles up to MaxRetryDelay. What is new is
   * written without a pause. */
  static constexpr Duration MinRetryDelay = std::chrono::milliseconds(250);
  static constexpr Duration MaxRetryDelay = std::chrono::seconds(2);
  /** Time until an announcement that is kept nowhere else is not acknowledged;
   * a server waits a second for its acknowledgement. */
  static constexpr Duration KeepTimeout = std::chrono::milliseconds(700);
  /** A daemon that hears from neither the store nor a peer believes reports
   * after this time. */
  static constexpr Duration MaxWait = std::chrono::seconds(2);
  /** Interval at which the era of the store is compared. */
  static constexpr Duration EraCheckInterval = std::chrono::seconds(1);
  /** Announcements in the record. */
  static constexpr std::size_t MaxKept = 8;
  /** Announcements in each hello message; peers collect them. */
  static constexpr std::size_t MaxAnnounced = 2;

  /** Sends the announcements to some peers; the task runs when one of them has
   * them. */
  using PeerNotifier = std::function<void(const std::function<void()> &kept)>;

  /** The references must outlive this object. @param own address of this
   * daemon. @param changed called when the list has changed or become complete
   * by what other processes were told. */
  HostMemory(Reactor &reactor, const StoreAccess &store,
             const HostMemoryDependencies &parts, Address own,
             PeerNotifier notifyPeers, std::function<void()> changed);

  /** Starts the wait for the predecessors' announcements. */
  void start();

  /** Takes a record of the stream of hosts. @return whether its key is that of
   * a host's memory; if its value is odd, it is logged. */
  bool restore(const KeyedRecord &record);
  /** The stream of hosts was listed to its end, in @p era. */
  void onListed(std::uint64_t era);

  /** Takes what a peer knows of this host. @param isComplete whether the peer
   * knows all. */
  void merge(const std::vector<Departure> &departures, bool isComplete);

  /** Runs @p done once: with true when all announcements so far are kept
   * elsewhere, with false after KeepTimeout. Possibly before it returns. */
  void whenKept(std::function<void(bool)> done);

private:
  struct Waiter {
    std::uint64_t Revision = 0;
    TimerId Timer = TimerId::None;
    std::function<void(bool)> Done;
  };

  /** Content of the record. */
  struct Content {
    std::string Bytes;
    std::uint64_t Digest = 0;
  };

  void onAnnounced();
  Content content() const;
  void save();
  void onSaved(std::uint64_t revision, std::uint64_t digest,
               const AppendResult &result);
  void markKept(std::uint64_t revision);
  void checkEra();
  void complete();

  Reactor &Loop;
  const StoreAccess Store;
  Departures &Departed;
  FleetTable &Hosts;
  const Address Own;
  PeerNotifier NotifyPeers;
  std::function<void()> Changed;
  /** Counts the states of the list that have to be kept. */
  std::uint64_t Revision = 0;
  std::uint64_t KeptRevision = 0;
  /** Digest of the record in the store; 0 if there is none. */
  std::uint64_t WrittenDigest = 0;
  /** Era of the store in which the record was last read or written. */
  std::uint64_t WrittenEra = 0;
  /** The predecessors' record was read, so that a write loses nothing. */
  bool Listed = false;
  bool Saving = false;
  Duration RetryDelay = MinRetryDelay;
  TimerId Retry = TimerId::None;
  std::map<std::uint64_t, Waiter> Waiting;
  std::uint64_t LastWaiter = 0;
  Logger Lines{"memory"};
};

} // namespace chivefold

#endif
