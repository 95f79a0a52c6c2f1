/**
 * @file
 * Quarantine of requests that crash backend servers.
 */
#ifndef CHIVEFOLD_CORE_POISON_TABLE_H
#define CHIVEFOLD_CORE_POISON_TABLE_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace chivefold {

/** Digest of a request (service, method, path, body). */
enum class RequestDigest : std::uint64_t { None = 0 };

/** Identity of a death, drawn by the daemon that saw it. */
enum class CrashId : std::uint64_t { None = 0 };

/**
 * Safe step: the request was in flight when the server died. Spreads between
 * daemons without a log record, since it only reduces exposure.
 */
struct PoisonUpdate {
  RequestDigest Digest = RequestDigest::None;
  Address Server;
  /** Time since the death; expired steps are dropped. Not compared with that
   * of other steps, since each transfer makes it older. */
  Duration Age{};
  /** The request was answered after this death, which no longer counts. */
  bool Cleared = false;
  CrashId Id = CrashId::None;
  /** How often the step may still be passed on. */
  std::uint8_t Hops = 0;
};

/**
 * Records digests of requests that were in flight when servers died. Deaths of
 * two different servers within QuarantineTime quarantine the digest, unless it
 * was answered since. A death has an identity, and an answer names the deaths
 * that it clears: in whichever order copies of both arrive, each table takes
 * each of them once and all tables agree. Holds at most MaxDigests digests, the
 * oldest is evicted. Not thread-safe.
 */
class PoisonTable {
public:
  static constexpr std::size_t MaxDigests = 1024;
  /** Deaths of one digest that are kept; further ones change nothing. */
  static constexpr std::size_t MaxCrashesPerDigest = 4;
  /** Identities remembered; a copy of a step whose identity was forgotten can
   * be taken again, but its hops are bounded. */
  static constexpr std::size_t MaxKnownCrashes = 4096;
  /** Passed on to eight peers each time, a step reaches 8^6 daemons. */
  static constexpr std::uint8_t MaxHops = 6;
  static constexpr Duration QuarantineTime = std::chrono::minutes(10);
  /** Answers remembered; a newer one with the same slot replaces an older. */
  static constexpr std::size_t MaxAnswers = 4096;
  /** A request that was answered this recently is not the cause of a death.
   * Frequent requests, which all have one digest, are in flight at most deaths
   * and would be quarantined when two servers die at once. */
  static constexpr Duration RecentAnswerWindow = std::chrono::seconds(10);

  /** @param seed for the identities of deaths; differs between daemons. */
  explicit PoisonTable(std::uint64_t seed);

  /** A server died with these requests in flight. @return steps to spread. */
  std::vector<PoisonUpdate>
  serverCrashed(const Address &server,
                const std::vector<RequestDigest> &inFlight, TimePoint now);

  /** A request was answered: clears its deaths, not a quarantine.
   * @return a step to spread for each death. */
  std::vector<PoisonUpdate> requestAnswered(RequestDigest digest,
                                            TimePoint now);

  /** @return whether a request was answered within RecentAnswerWindow, so that
   * its digest need not be reported to serverCrashed(). */
  bool wasRecentlyAnswered(RequestDigest digest, TimePoint now) const;

  /** Merges a step of another daemon. @return the step to pass on, if it is new
   * here and has hops left. */
  std::optional<PoisonUpdate> merge(const PoisonUpdate &step, TimePoint now);

  /** @return time until the quarantine ends, if there is one. */
  std::optional<Duration> quarantined(RequestDigest digest,
                                      TimePoint now) const;

  /** @return up to @p max deaths and their ages, newest digests first. They
   * have no hops: a receiver keeps them to itself. */
  std::vector<PoisonUpdate> activeCrashes(std::size_t max, TimePoint now) const;

  std::size_t size() const;

private:
  struct Crash {
    Address Server;
    TimePoint At{};
    CrashId Id = CrashId::None;
  };
  struct Entry {
    /** Of different servers. */
    std::vector<Crash> Crashes;
    std::list<RequestDigest>::iterator Age;
  };
  /** How far the knowledge of one death has come. */
  enum class Stage : std::uint8_t { Crashed, Cleared };

  bool advanceStage(CrashId id, Stage stage);
  bool recordCrash(RequestDigest digest, const Crash &crash, TimePoint now);
  void erase(RequestDigest digest);
  void removeCrash(RequestDigest digest, CrashId id);
  void recordAnswer(RequestDigest digest, TimePoint answeredAt);

  std::mt19937_64 Random;
  std::unordered_map<RequestDigest, Entry> Entries;
  /** Oldest first. */
  std::list<RequestDigest> InsertionOrder;
  struct Answer {
    RequestDigest Digest = RequestDigest::None;
    TimePoint At{};
  };
  std::vector<Answer> RecentAnswers = std::vector<Answer>(MaxAnswers);
  std::unordered_map<CrashId, Stage> KnownCrashes;
  /** Oldest first. */
  std::deque<CrashId> KnownCrashOrder;
};

} // namespace chivefold

#endif
