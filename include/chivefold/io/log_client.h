/**
 * @file
 * Client of the platform's append-only log.
 */
#ifndef CHIVEFOLD_IO_LOG_CLIENT_H
#define CHIVEFOLD_IO_LOG_CLIENT_H

#include "chivefold/core/error.h"
#include "chivefold/core/record.h"
#include "chivefold/core/types.h"
#include "chivefold/io/http_client.h"
#include "chivefold/io/reactor.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chivefold {

struct LogLimits {
  /** Records asked for in one read; larger requests are lowered to it. */
  static constexpr std::uint32_t MaxReadRecords = 256;
  /** Appends of one appendConfirmed(), the first included. */
  static constexpr int MaxAppends = 5;
  /** Pause before the first repetition; doubles up to MaxBackoff. */
  static constexpr Duration MinBackoff = std::chrono::milliseconds(100);
  static constexpr Duration MaxBackoff = std::chrono::seconds(10);
  /** Longest wait for one answer to an append; a silent connection must not
   * use up the whole deadline of an appendConfirmed(). */
  static constexpr Duration AttemptTimeout = std::chrono::seconds(2);
};

/** Consecutive records of the log. */
struct LogBatch {
  /** In log order; offsets ascend and are not below the one asked for. */
  std::vector<LogEntry> Entries;
  /** Oldest retained offset. */
  LogOffset First = LogOffset::None;
  /** Offset of the next append. */
  LogOffset Next = LogOffset::None;
};

/** Parses the untrusted body of a read. @return InvalidRecord if an entry is
 * cut off or out of order. Thread-safe. */
Result<std::vector<LogEntry>> parseLogEntries(std::string_view body,
                                              LogOffset from);

/**
 * Appends to and reads from the log over HTTP. Used on the reactor's thread
 * only. Callbacks run later, from the loop, and not after destruction.
 */
class LogClient {
public:
  /** The offset, or why there is none and whether the append may nevertheless
   * have taken effect. */
  using AppendCallback =
      std::function<void(Result<LogOffset> offset, bool mayHaveTakenEffect)>;
  using ReadCallback = std::function<void(Result<LogBatch>)>;
  /** Tells whether encoded bytes are the caller's own record. */
  using Matcher = std::function<bool(std::string_view bytes)>;

  /** @param baseUrl "http://ip:port" of the log. @param seed of the jitter. */
  LogClient(Reactor &reactor, HttpClient &http, std::string baseUrl,
            std::uint64_t seed);
  ~LogClient();
  LogClient(const LogClient &) = delete;
  LogClient &operator=(const LogClient &) = delete;

  /** Appends once. Errors: TooLarge (over MaxRecordBytes), InvalidRecord,
   * DeadlineExceeded, LogUnavailable. */
  void append(std::string bytes, TimePoint deadline, AppendCallback done);

  /**
   * Reads records at or after @p from.
   * @param wait how long the log may wait for a record when there is none.
   * Errors: LogTrimmed if @p from is no longer retained, InvalidRecord for a
   * malformed or oversized body, DeadlineExceeded, LogUnavailable.
   */
  void read(LogOffset from, std::uint32_t max, Duration wait,
            TimePoint deadline, ReadCallback done);

  /** @return the oldest retained offset as the log last told it with a read,
   * LogTrimmed included; None before. */
  LogOffset firstRetained() const;

  /**
   * Appends and, when an answer is lost, looks for the record before it
   * appends the same bytes again.
   * @param mine recognizes the record among others, by its id.
   * @param knownTail an offset that the log had not passed before this call.
   * @param done gets the offset of the first copy in log order, or
   * LogUnavailable (its message says whether the record may have taken
   * effect).
   */
  void appendConfirmed(std::string bytes, Matcher mine, LogOffset knownTail,
                       TimePoint deadline, AppendCallback done);

  /** The same for a record, which is recognized by its id. */
  void appendConfirmed(const Record &record, LogOffset knownTail,
                       TimePoint deadline, AppendCallback done);

private:
  struct Impl;
  std::shared_ptr<Impl> State;
};

} // namespace chivefold

#endif
