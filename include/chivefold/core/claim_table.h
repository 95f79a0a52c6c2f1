/**
 * @file
 * At-most-once state of the claims that this daemon holds.
 */
#ifndef CHIVEFOLD_CORE_CLAIM_TABLE_H
#define CHIVEFOLD_CORE_CLAIM_TABLE_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chivefold {

/** Identifies one caller that waits for the result of a key. */
enum class WaiterId : std::uint64_t { None = 0 };

struct ResponseHeader {
  std::string Name;
  std::string Value;
};

/** A complete response, as it is repeated to later callers. */
struct StoredResponse {
  std::uint16_t Status = 0;
  std::vector<ResponseHeader> Headers;
  std::string Body;
  /** @return bytes counted against the limits. */
  std::size_t bytes() const;
};

struct ClaimLimits {
  /** Entries of any state; the oldest that is neither pending nor running is
   * evicted and then reads "outcome unknown". */
  std::size_t MaxEntries = 50000;
  /** Stored responses; the oldest is evicted and reads "outcome unknown". */
  std::size_t MaxResponses = 20000;
  std::size_t MaxResponseBytes = 64U << 10U;
  std::size_t MaxTotalBytes = 32U << 20U;
  /** Callers that wait for one key; further ones get "outcome unknown". */
  std::size_t MaxWaiters = 64;
  std::size_t MaxKeysPerRecord = 1000;
};

/** Who holds the claim of a key according to the replayed log. */
enum class ClaimHolder : std::uint8_t { None, Self, Other };

/** What to do for one caller. */
enum class ClaimAction : std::uint8_t {
  /** Wait; a later ClaimEffect names this waiter. */
  Wait,
  /** Run the request; report with attemptStarted() and so on. */
  Run,
  /** Answer with Response. */
  Answer,
  /** Forward to the holder of the claim. */
  Forward,
  /** Answer "not run". */
  NotRun,
  /** Answer "outcome unknown". */
  Unknown,
  /** Answer 422: the key was used with another body. */
  Conflict
};
/** @return "wait", "run", ... Thread-safe. */
std::string_view claimActionName(ClaimAction a);

struct ClaimEffect {
  WaiterId Waiter = WaiterId::None;
  ClaimAction Action = ClaimAction::Wait;
  /** Set for Answer. */
  std::shared_ptr<const StoredResponse> Response;
};

/**
 * Holds the state of each claim: pending in the log, unused, running, answered
 * or unknown. A key is run once: after an attempt that may have reached a
 * server no other one is allowed. Not thread-safe.
 */
class ClaimTable {
public:
  explicit ClaimTable(const ClaimLimits &limits = {});

  /**
   * A request with a key arrived, from a caller or forwarded.
   * @param holder of the claim according to the log as replayed so far.
   * @param bodyDigest hash of the body; another one for the key is a conflict.
   * @return what to do. Wait with holder None means that the key must be
   * claimed: see nextAppend().
   */
  ClaimEffect request(const KeyHash &key, std::uint64_t bodyDigest,
                      ClaimHolder holder, WaiterId waiter);

  /**
   * @return keys for one claim record to append now, at most MaxKeysPerRecord;
   * empty while an append is in flight or when there are none. After it one of
   * appended(), appendFailed() must follow.
   */
  std::vector<KeyHash> nextAppend();

  /** The append in flight was accepted; its keys stay pending until
   * claimReplayed(). */
  void appendAccepted();

  /**
   * The append in flight failed, or it is not known whether it took effect.
   * Its callers get "outcome unknown", since the key may be claimed elsewhere.
   * @param certain that the record is not and will not be in the log.
   */
  std::vector<ClaimEffect> appendFailed(bool certainlyNotInLog);

  /**
   * The first claim of @p key was seen in the replayed log.
   * @param holder Self or Other. A claim of a key that is not in the table is
   * ignored; such a key reads "outcome unknown" if Self holds it.
   */
  std::vector<ClaimEffect> claimReplayed(const KeyHash &key,
                                         ClaimHolder holder);

  /** An attempt is about to be sent. @return false if it must not be: the key
   * is not running, or an earlier attempt may have reached a server. */
  [[nodiscard]] bool attemptStarted(const KeyHash &key);

  /** The attempt was certainly not run; another one may follow. */
  void attemptNotRun(const KeyHash &key);

  /** The run is over. @return an effect for each caller. NotRun after an
   * attempt that may have run counts as Unknown; a response that is too large
   * to store is given to the present callers only. */
  std::vector<ClaimEffect> answered(const KeyHash &key,
                                    StoredResponse response);
  std::vector<ClaimEffect> endedWithoutResponse(const KeyHash &key,
                                                Outcome outcome);

  /** The caller is gone; a run goes on without it. */
  void removeWaiter(const KeyHash &key, WaiterId waiter);

  std::size_t size() const;
  std::size_t storedBytes() const;

private:
  enum class Phase : std::uint8_t {
    /** Wants a claim, no append yet. */
    Pending,
    /** In the record being appended, or appended and not seen yet. */
    Appending,
    /** The append failed or its result is lost; may yet be seen. */
    AppendUncertain,
    Claimed,
    Running,
    Answered,
    Unknown
  };
  struct Waiter {
    WaiterId Id = WaiterId::None;
    std::uint64_t BodyDigest = 0;
  };
  struct Entry {
    Phase State = Phase::Pending;
    std::uint64_t BodyDigest = 0;
    bool AttemptMayHaveRun = false;
    std::vector<Waiter> Waiters;
    std::shared_ptr<const StoredResponse> Response;
    std::list<KeyHash>::iterator OrderPosition;
  };

  ClaimEffect addWaiter(Entry &entry, const Waiter &waiter) const;
  ClaimEffect requestClaim(Entry &entry, const KeyHash &key,
                           const Waiter &waiter);
  ClaimEffect requestKnownKey(Entry &entry, const KeyHash &key,
                              ClaimHolder holder, const Waiter &waiter);
  bool ensureCapacity();
  void store(Entry &entry, const KeyHash &key,
             std::shared_ptr<const StoredResponse> response);
  void dropResponse(Entry &entry);
  void erase(const KeyHash &key);
  static std::vector<ClaimEffect> resolveWaiters(
      Entry &entry, ClaimAction action,
      const std::shared_ptr<const StoredResponse> &response = nullptr);

  ClaimLimits Limits;
  std::unordered_map<KeyHash, Entry> Entries;
  /** All keys, oldest first. */
  std::list<KeyHash> InsertionOrder;
  /** Keys with a stored response, oldest first; at most one per response
   * stored, but may name evicted ones until they reach the front. */
  std::deque<KeyHash> ResponseOrder;
  std::size_t ResponseCount = 0;
  std::size_t ResponseBytes = 0;
  /** Keys that want a claim; at most twice MaxEntries, beyond it new keys get
   * "outcome unknown". */
  std::deque<KeyHash> AppendQueue;
  std::vector<KeyHash> KeysInAppend;
};

} // namespace chivefold

#endif
