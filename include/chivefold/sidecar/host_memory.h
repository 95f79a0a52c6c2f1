/**
 * @file
 * What the next daemon of a host has to know, kept outside this process.
 */
#ifndef CHIVEFOLD_SIDECAR_HOST_MEMORY_H
#define CHIVEFOLD_SIDECAR_HOST_MEMORY_H

#include "chivefold/daemon/poison_service.h"
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
  PoisonService &Poison;
  FleetTable &Hosts;
};

/**
 * Keeps what a daemon was told or has seen where it outlasts the process: in a
 * record of the stream of hosts, one a host. It has the announcements of
 * servers that leave, and the crashes of servers with the requests that were in
 * flight, of which quarantines follow. A new daemon reads the records in the
 * listing that it makes anyway.
 *
 * While the store is away, peers keep them: crashes spread among all daemons,
 * and peers return what they know of a host's announcements with each hello
 * message. An announcement is acknowledged only when the store or a peer has
 * it.
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
  /** Crashes in the record. A server has fewer slots; those that repeat go
   * first. */
  static constexpr std::size_t MaxCrashes = 128;
  /** Delay of a write that only removes crashes, so that many are one. */
  static constexpr Duration ClearDelay = std::chrono::seconds(1);

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
  void onCrashesChanged(bool isUrgent);
  Content content() const;
  std::int64_t utcMs() const;
  void restoreCrashes(const Address &host,
                      const std::vector<PoisonUpdate> &crashes);
  void save();
  void onSaved(std::uint64_t revision, std::uint64_t digest,
               const AppendResult &result);
  void markKept(std::uint64_t revision);
  void checkEra();
  void complete();

  Reactor &Loop;
  const StoreAccess Store;
  Departures &Departed;
  PoisonService &Poison;
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
  /** A write of cleared crashes is due. */
  bool IsClearing = false;
  Duration RetryDelay = MinRetryDelay;
  TimerId Retry = TimerId::None;
  std::map<std::uint64_t, Waiter> Waiting;
  std::uint64_t LastWaiter = 0;
  Logger Lines{"memory"};
};

} // namespace chivefold

#endif
