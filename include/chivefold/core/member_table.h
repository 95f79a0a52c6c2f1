/**
 * @file
 * Membership of the fleet by probes, suspicion and piggybacked updates (SWIM).
 */
#ifndef CHIVEFOLD_CORE_MEMBER_TABLE_H
#define CHIVEFOLD_CORE_MEMBER_TABLE_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace chivefold {

/** State of a member. At equal incarnation and BootId the later constant
 * prevails. */
enum class MemberState : std::uint8_t {
  Alive,
  /** Finishes its calls and gets no new ones. */
  Leaving,
  Suspect,
  Unreachable,
  Left,
};

/** @return the lower-case name of @p state. Thread-safe. */
std::string_view memberStateName(MemberState state);
std::optional<MemberState> memberStateFromName(std::string_view name);

/** A daemon and its backend server, as disseminated by gossip. */
struct Member {
  Address Peer;
  std::string DataCentre;
  std::string Region;
  std::string Service;
  std::string ServiceVersion;
  MemberState State = MemberState::Alive;
  std::uint64_t Incarnation = 0;
  std::uint64_t BootId = 0;
  /** Highest log offset known to have been applied by any run of the daemon at
   * this address. */
  LogOffset Floor = LogOffset::None;
  std::uint16_t CallerPort = 0;
  /** Port of the operator HTTP interface on the same host; 0 if not known. */
  std::uint16_t AdminPort = 0;
};

/** Intervals and bounds of the membership protocol. */
struct MembershipLimits {
  static constexpr std::size_t MaxMembers = 8192;
  static constexpr std::size_t MaxUpdatesPerMessage = 16;
  static constexpr std::size_t ReadersPerDataCentre = 3;
  static constexpr std::size_t IndirectProbers = 3;
  static constexpr Duration ProbeInterval = std::chrono::seconds(1);
  /** Every n-th probe goes to an unreachable member, to detect the end of a
   * network partition. */
  static constexpr std::uint64_t UnreachableProbeEvery = 8;
  static constexpr Duration SuspicionTimeout = std::chrono::seconds(4);
  static constexpr Duration DeadRetention = std::chrono::hours(2);
  static constexpr Duration MassSuspicionWindow = std::chrono::seconds(10);
  /** Fewer suspected members than this are never a mass suspicion, since one
   * member can be a quarter of a small data centre. */
  static constexpr std::size_t MassSuspicionMinimum = 3;
};

/**
 * The members of the fleet that one daemon knows. All random choices derive
 * from the seed given to the constructor. Not thread-safe.
 */
class MemberTable {
public:
  /** @param self this daemon. Its incarnation is raised when it refutes an
   * update. */
  MemberTable(Member self, std::uint64_t seed);

  const Member &self() const { return Self; }

  /** Records the applied offset of this daemon as its floor, which never
   * decreases. */
  void setFloor(LogOffset floor);

  /** Changes the service version and state of this daemon and queues the update
   * for gossip. */
  void updateSelf(std::string serviceVersion, MemberState state);

  /**
   * Merges a gossiped update: the higher incarnation prevails, then the higher
   * BootId, then the later state. An update about this daemon that suspects it,
   * has a higher incarnation or comes from an earlier run is refuted by raising
   * the incarnation of this daemon. If the table is full, the member that has
   * been dead the longest is evicted; if there is none, new members are
   * ignored.
   * @return whether the update changed the table, in which case it is gossiped
   * further.
   */
  bool merge(const Member &update, TimePoint now);

  /**
   * Merges the entry of a member that is part of a message from that member.
   * @return the entry to send back, if this table has one that the member must
   * refute: one that suspects it, or one of an earlier run with a higher
   * incarnation.
   */
  std::optional<Member> mergeFromSender(const Member &sender, TimePoint now);

  /** Marks members unreachable whose suspicion timed out, and removes members
   * that have been dead for DeadRetention. Must be called about once a second.
   */
  void tick(TimePoint now);

  /** @return the member to probe now, at most one per ProbeInterval. Each live
   * member is returned once per round over a shuffled list, so detection takes
   * at most two rounds. */
  std::optional<Address> nextProbe(TimePoint now);

  /** @return up to IndirectProbers live members for an indirect probe. */
  std::vector<Address> indirectProbers(const Address &target);

  /** Reports that neither the probe nor the indirect probes of a member were
   * answered. The member becomes suspect; in a mass suspicion it becomes
   * unreachable and the change is not gossiped. */
  void probeFailed(const Address &target, TimePoint now);

  /**
   * @return updates to piggyback on a message, those sent least often first, at
   * most MaxUpdatesPerMessage. Each update is returned at most
   * 3*ceil(log2(n+1)) times, where n is the number of alive members. The queue
   * holds at most one update per member.
   */
  std::vector<Member> takeUpdates();

  /** @return the member at @p address or nullptr; valid until the next
   * non-const call. Includes this daemon. */
  const Member *find(const Address &address) const;

  /** @return all members including this one, sorted by address. Dead members
   * are included only if this daemon knew them alive. Joining daemons copy dead
   * members but do not pass them on, so that an entry disappears from the fleet
   * after at most twice DeadRetention. */
  std::vector<Member> members() const;

  /** @return a number that changes whenever a member, its state, service
   * version or data centre changes. A change of a floor does not change it. */
  std::uint64_t revision() const { return Revision; }

  /** @return the number of alive members including this one. */
  std::size_t aliveCount() const;

  /** @return the number of data centres with an alive member other than this
   * daemon. */
  std::size_t otherAliveDataCentreCount() const;

  /** @return the highest floor known for the daemon at @p address. */
  LogOffset floorOf(const Address &address) const;

  /** @return the daemons of @p dataCentre that read the log: the first alive
   * members by rendezvous hash, at most Readers. */
  std::vector<Address> readers(std::string_view dataCentre) const;

  /** @return whether this daemon is one of the readers of its data centre. */
  bool isReader() const;

  /**
   * @return up to @p n distinct random alive members without this one; at least
   * one is in another data centre if @p mustIncludeOtherDc and there is one.
   */
  std::vector<Address> randomPeers(std::size_t n, bool mustIncludeOtherDc);

private:
  struct Entry {
    Member Value;
    std::uint64_t RendezvousWeight = 0;
    /** For a suspect member: when it becomes unreachable. For a dead member:
     * when it is removed. */
    TimePoint Deadline{};
    /** Unreachable by a mass suspicion, which was not gossiped. */
    bool UnreachableLocally = false;
    /** Already dead when this daemon first heard of it. */
    bool FirstHeardDead = false;
  };
  struct Update {
    std::uint32_t Transmissions = 0;
    std::uint64_t Order = 0;
  };
  using MemberMap = std::map<Address, Entry>;

  bool mergeSelf(const Member &update);
  bool insert(const Member &update, TimePoint now);
  void applyUpdate(Entry &entry, const Member &update, TimePoint now);
  void setState(Entry &entry, MemberState state, TimePoint now);
  void suspect(Entry &entry, TimePoint now);
  bool isMassSuspicion(const std::string &dataCentre, TimePoint now);
  void markMassUnreachable(const std::string &dataCentre, TimePoint now);
  bool evictDead();
  void enqueueUpdate(const Address &address);
  std::uint32_t maxTransmissions() const;
  void reshuffleProbeOrder();
  std::optional<Address> randomUnreachableMember();
  std::vector<const Member *> aliveOthers() const;
  std::vector<Address> sample(std::vector<const Member *> from, std::size_t n);

  Member Self;
  std::uint64_t SelfRendezvousWeight;
  std::uint64_t Revision = 1;
  /** Result of isReader() at ReaderRevision: it is called several times a
   * second, and ranking 4,100 members in each call would dominate the CPU time.
   */
  mutable std::uint64_t ReaderRevision = 0;
  mutable bool Reader = false;
  std::mt19937_64 Random;
  MemberMap Members;
  /** At most one update for this daemon and one for each member. */
  std::map<Address, Update> Updates;
  std::uint64_t NextUpdateOrder = 0;
  std::vector<Address> ProbeOrder;
  std::size_t ProbePosition = 0;
  std::uint64_t Probes = 0;
  TimePoint NextProbe{};
  /** Times of the suspicions within MassSuspicionWindow by data centre, at most
   * MaxMembers each; older ones are dropped. */
  std::map<std::string, std::deque<TimePoint>> Suspicions;
};

} // namespace chivefold

#endif
