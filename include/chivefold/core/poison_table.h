/**
 * @file
 * Quarantine of requests that crash backend servers.
 */
#ifndef CHIVEFOLD_CORE_POISON_TABLE_H
#define CHIVEFOLD_CORE_POISON_TABLE_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chivefold {

/** Digest of a request (service, method, path, body). */
enum class RequestDigest : std::uint64_t { None = 0 };

/**
 * Safe step: the request was in flight when the server died. Spreads between
 * daemons without a log record, since it only reduces exposure.
 */
struct PoisonStep {
  RequestDigest Digest = RequestDigest::None;
  Address Server;
  /** Time since the death; expired steps are dropped. */
  Duration Age{};
  /** The request was answered Age ago: deaths before that do not count. */
  bool Cleared = false;
};

/**
 * Records digests of requests that were in flight when servers died. Deaths of
 * two different servers within QuarantineTime quarantine the digest, unless it
 * was answered since. Holds at most MaxDigests digests, the oldest is evicted.
 * Not thread-safe.
 */
class PoisonTable {
public:
  static constexpr std::size_t MaxDigests = 1024;
  static constexpr Duration QuarantineTime = std::chrono::minutes(10);
  /** Answers remembered; a newer one with the same slot replaces an older. */
  static constexpr std::size_t MaxAnswers = 4096;
  /** A request that was answered this recently is not the cause of a death.
   * Frequent requests, which all have one digest, are in flight at most deaths
   * and would be quarantined when two servers die at once. */
  static constexpr Duration InnocentTime = std::chrono::seconds(10);

  /** A server died with these requests in flight. @return steps to spread. */
  std::vector<PoisonStep> serverDied(const Address &server,
                                     const std::vector<RequestDigest> &inFlight,
                                     TimePoint now);

  /** A request was answered: clears one death, not a quarantine.
   * @return the step to spread if there was a death. */
  std::optional<PoisonStep> succeeded(RequestDigest digest, TimePoint now);

  /** @return whether a request was answered within InnocentTime, so that its
   * digest need not be reported to serverDied(). */
  bool isInnocent(RequestDigest digest, TimePoint now) const;

  /** Merges a step of another daemon. @return whether it is new here and must
   * be passed on. */
  bool merge(const PoisonStep &step, TimePoint now);

  /** @return time until the quarantine ends, if there is one. */
  std::optional<Duration> quarantined(RequestDigest digest,
                                      TimePoint now) const;

  /** @return up to @p max deaths and their ages, newest digests first. */
  std::vector<PoisonStep> steps(std::size_t max, TimePoint now) const;

  std::size_t size() const;

private:
  struct Death {
    Address Server;
    TimePoint At{};
  };
  struct Entry {
    /** At most two deaths, of different servers. */
    std::vector<Death> Deaths;
    std::list<RequestDigest>::iterator Age;
  };

  bool record(RequestDigest digest, const Address &server, TimePoint diedAt,
              TimePoint now);
  void erase(RequestDigest digest);
  bool clear(RequestDigest digest, TimePoint answeredAt, TimePoint now);
  std::optional<TimePoint> answeredAt(RequestDigest digest) const;

  std::unordered_map<RequestDigest, Entry> Entries;
  /** Oldest first. */
  std::list<RequestDigest> Ages;
  struct Answer {
    RequestDigest Digest = RequestDigest::None;
    TimePoint At{};
  };
  std::vector<Answer> Answers = std::vector<Answer>(MaxAnswers);
};

} // namespace chivefold

#endif
