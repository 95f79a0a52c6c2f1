/**
 * @file
 * At-most-once state of the idempotency keys that this daemon holds or claims.
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

/** A complete response that is stored to answer repeated requests. */
struct StoredResponse {
  std::uint16_t Status = 0;
  std::vector<ResponseHeader> Headers;
  std::string Body;
  /** @return size of headers and body, which counts against the limits. */
  std::size_t bytes() const;
};

struct ClaimLimits {
  /** Maximum number of entries. On overflow the oldest entry that is not
   * running and has no waiting caller is evicted; requests with its key then
   * get "outcome unknown". */
  std::size_t MaxEntries = 50000;
  /** Maximum number of stored responses. On overflow the oldest is evicted;
   * requests with its key then get "outcome unknown". */
  std::size_t MaxResponses = 20000;
  std::size_t MaxResponseBytes = 64U << 10U;
  std::size_t MaxTotalBytes = 32U << 20U;
  /** Maximum number of callers that wait for one key; further ones get "outcome
   * unknown". */
  std::size_t MaxWaiters = 64;
  std::size_t MaxKeysPerRecord = 1000;
};

/** Which daemon holds the claim of a key according to the replayed log. */
enum class ClaimHolder : std::uint8_t { None, Self, Other };

/** What to do for one caller. */
enum class ClaimAction : std::uint8_t {
  /** Wait; a later ClaimEffect has the action for this waiter. */
  Wait,
  /** Run the request; report its progress with attemptStarted(),
     attemptNotRun(), answered() and endedWithoutResponse(). */
  Run,
  /** Answer with Response. */
  Answer,
  /** Forward to the holder of the claim. */
  Forward,
  /** Answer that the request was not run. */
  NotRun,
  /** Answer that the outcome is unknown. */
  Unknown,
  /** Answer 422: the key was used before with another body. */
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
 * Holds the state of each key: claim pending, claimed, running, answered or
 * unknown. A key is run at most once: after an attempt that may have reached a
 * server, no other attempt is allowed. Not thread-safe.
 */
class ClaimTable {
public:
  explicit ClaimTable(const ClaimLimits &limits = {});

  /**
   * Handles a request with a key, from a caller or forwarded by another daemon.
   * @param bodyDigest hash of the body; a different body for a key that ran is
   * a conflict.
   * @param holder holder of the claim according to the log as replayed so far.
   * @return what to do. Wait with holder None means that the key must be
   * claimed; see nextAppend().
   */
  ClaimEffect request(const KeyHash &key, std::uint64_t bodyDigest,
                      ClaimHolder holder, WaiterId waiter);

  /**
   * @return keys for one claim record to append now, at most MaxKeysPerRecord;
   * empty while an append is in flight or when no key needs a claim. A call
   * that returns keys must be followed by appendAccepted() or appendFailed().
   */
  std::vector<KeyHash> nextAppend();

  /** Reports that the log accepted the append in flight. Its keys stay pending
   * until claimReplayed(). */
  void appendAccepted();

  /**
   * Reports that the append in flight failed, or that it is not known whether
   * it took effect. The waiting callers get "outcome unknown", since another
   * daemon may have claimed the key.
   * @param certainlyNotInLog whether the record is not in the log and cannot
   * appear in it later.
   */
  std::vector<ClaimEffect> appendFailed(bool certainlyNotInLog);

  /**
   * Reports that the replayed log contains the first claim of @p key. A claim
   * of a key that is not in the table is ignored; later requests with it get
   * "outcome unknown" if Self holds it.
   * @param holder Self or Other.
   */
  std::vector<ClaimEffect> claimReplayed(const KeyHash &key,
                                         ClaimHolder holder);

  /** Reports that an attempt is about to be sent. @return false if it must not
   * be sent, because the key is not running or an earlier attempt may have
   * reached a server. */
  [[nodiscard]] bool attemptStarted(const KeyHash &key);

  /** Reports that the attempt was certainly not run; another one is allowed. */
  void attemptNotRun(const KeyHash &key);

  /** Reports the end of a run, with or without a response. NotRun after an
   * attempt that may have run counts as Unknown. A response that is too large
   * to store is returned to the callers that wait now, but not to later ones.
   * @return an effect for each waiting caller. */
  std::vector<ClaimEffect> answered(const KeyHash &key,
                                    StoredResponse response);
  std::vector<ClaimEffect> endedWithoutResponse(const KeyHash &key,
                                                Outcome outcome);

  /** Removes a caller that disconnected; a run in progress continues. */
  void removeWaiter(const KeyHash &key, WaiterId waiter);

  std::size_t size() const;
  std::size_t storedBytes() const;

private:
  enum class Phase : std::uint8_t {
    /** Waits in AppendQueue for its claim to be appended. */
    Pending,
    /** Claim in the append in flight, or appended and not replayed yet. */
    Appending,
    /** The result of the append is unknown; the claim may still appear in the
       log. */
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
  /** All keys in order of insertion. */
  std::list<KeyHash> InsertionOrder;
  /** Keys in the order in which their responses were stored. May contain keys
   * of evicted entries until they reach the front. */
  std::deque<KeyHash> ResponseOrder;
  std::size_t ResponseCount = 0;
  std::size_t ResponseBytes = 0;
  /** Keys whose claim is to be appended. Bounded by twice MaxEntries, beyond
   * which new keys get "outcome unknown". */
  std::deque<KeyHash> AppendQueue;
  std::vector<KeyHash> KeysInAppend;
};

} // namespace chivefold

#endif
