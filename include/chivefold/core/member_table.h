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
  /** Finishes its calls and gets no new work. */
  Leaving,
  Suspect,
  Unreachable,
  Left,
};

/** @return the lower-case name of @p state. Thread-safe. */
std::string_view memberStateName(MemberState state);
std::optional<MemberState> memberStateFromName(std::string_view name);

/** One daemon and its backend server, as gossiped. */
struct Member {
  Address Peer;
  std::string DataCentre;
  std::string Region;
  std::string Service;
  std::string ServiceVersion;
  MemberState State = MemberState::Alive;
  std::uint64_t Incarnation = 0;
  std::uint64_t BootId = 0;
  /** Highest applied offset known of any run of the daemon at this address. */
  LogOffset Floor = LogOffset::None;
  std::uint16_t CallerPort = 0;
  /** Port of the operators' HTTP on the same host; 0 if not known. */
  std::uint16_t AdminPort = 0;
};

/** Intervals and bounds of the membership protocol. */
struct MembershipLimits {
  static constexpr std::size_t MaxMembers = 8192;
  static constexpr std::size_t MaxUpdatesPerMessage = 16;
  static constexpr std::size_t ReadersPerDataCentre = 3;
  static constexpr std::size_t IndirectProbers = 3;
  static constexpr Duration ProbeInterval = std::chrono::seconds(1);
  /** Every n-th probe tries an unreachable member, so that a healed partition
   * is noticed. */
  static constexpr std::uint64_t UnreachableProbeEvery = 8;
  static constexpr Duration SuspicionTimeout = std::chrono::seconds(4);
  static constexpr Duration DeadRetention = std::chrono::hours(2);
  static constexpr Duration MassSuspicionWindow = std::chrono::seconds(10);
  /** Suspicion of fewer members than this is never treated as mass suspicion,
   * since one member can be a quarter of a small data centre. */
  static constexpr std::size_t MassSuspicionMinimum = 3;
};

/**
 * The members known to one daemon. Not thread-safe. Randomness comes from the
 * seed given to the constructor.
 */
class MemberTable {
public:
  /** @param self this daemon; its incarnation is raised by refutation. */
  MemberTable(Member self, std::uint64_t seed);

  const Member &self() const { return Self; }

  /** Records the own applied offset as floor. Never lowers it. */
  void setFloor(LogOffset floor);

  /** Announces a changed service version or state of this daemon. */
  void updateSelf(std::string serviceVersion, MemberState state);

  /**
   * Merges a gossiped update: a higher incarnation prevails, then the higher
   * BootId, then the later state. An update about this daemon that suspects it,
   * has a higher incarnation or stems from an earlier run raises the own
   * incarnation, which refutes it. A full table forgets the member that is dead
   * for longest, or else ignores new members.
   * @return whether the update changed this table; it is then gossiped on.
   */
  bool merge(const Member &update, TimePoint now);

  /**
   * Merges what a member says about itself in a message received from it.
   * @return the entry to send back to it, if this table holds one that it must
   * refute (suspected, or of an earlier run with a higher incarnation).
   */
  std::optional<Member> mergeFromSender(const Member &sender, TimePoint now);

  /** Handles expired suspicions and forgets members that are dead for
   * DeadRetention. Call about once a second. */
  void tick(TimePoint now);

  /** @return the member to probe now, at most one per ProbeInterval. Each live
   * member is returned once per round over a shuffled list, so detection takes
   * at most two rounds. */
  std::optional<Address> nextProbe(TimePoint now);

  /** @return up to IndirectProbers live members for an indirect probe. */
  std::vector<Address> indirectProbers(const Address &target);

  /** Neither the probe nor the indirect probes were answered: suspects the
   * member, or marks it unreachable without gossip in a mass suspicion. */
  void probeFailed(const Address &target, TimePoint now);

  /**
   * @return updates to piggyback on a message, those sent least often first, at
   * most MaxUpdatesPerMessage; each is returned 3*ceil(log2(n+1)) times at
   * most. The queue holds one update per member.
   */
  std::vector<Member> takeUpdates();

  /** @return the member at @p address or nullptr; valid until the next
   * non-const call. Includes this daemon. */
  const Member *find(const Address &address) const;

  /** @return all members including this one, by address. Dead ones are included
   * if they were seen alive here, so that their records end after twice
   * DeadRetention although joining daemons copy them. */
  std::vector<Member> members() const;

  /** @return a number that changes whenever a member, its state, service
   * version or data centre changes. Floors are not counted. */
  std::uint64_t revision() const { return Revision; }

  /** @return the number of alive members including this one. */
  std::size_t aliveCount() const;

  /** @return how many data centres have an alive member other than this one. */
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
    /** Suspect: when it becomes unreachable. Dead: when it is forgotten. */
    TimePoint Deadline{};
    /** Unreachable by mass suspicion, which was not gossiped. */
    bool UnreachableLocally = false;
    /** Was already dead when this daemon first heard of it. */
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
  /** Result of isReader() at ReaderRevision: it is asked several times a
   * second, and ranking 4,100 members for each question costs more than all
   * else. */
  mutable std::uint64_t ReaderRevision = 0;
  mutable bool Reader = false;
  std::mt19937_64 Random;
  MemberMap Members;
  /** At most one per member and this daemon. */
  std::map<Address, Update> Updates;
  std::uint64_t NextUpdateOrder = 0;
  std::vector<Address> ProbeOrder;
  std::size_t ProbePosition = 0;
  std::uint64_t Probes = 0;
  TimePoint NextProbe{};
  /** Times of suspicions within MassSuspicionWindow by data centre; at most
   * MaxMembers each, older ones are dropped. */
  std::map<std::string, std::deque<TimePoint>> Suspicions;
};

} // namespace chivefold

#endif
