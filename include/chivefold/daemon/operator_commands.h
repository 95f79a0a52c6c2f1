/**
 * @file
 * Implementation of the command `chivefold`: checks configuration texts,
 * applies them through the log, and shows the state that a daemon reports.
 */
#ifndef CHIVEFOLD_DAEMON_OPERATOR_COMMANDS_H
#define CHIVEFOLD_DAEMON_OPERATOR_COMMANDS_H

#include "chivefold/core/control_state.h"
#include "chivefold/core/error.h"
#include "chivefold/core/record.h"
#include "chivefold/core/types.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivefold {

/** Exit codes of the command `chivefold`. */
enum class OperatorExitCode : int {
  Ok = 0,
  /** The change was rejected, or the command failed; the outcome is certain. */
  Refused = 1,
  /** Invalid flags or an invalid configuration text. */
  BadInput = 2,
  /** The outcome is unknown because the log could not be reached. */
  Unknown = 3,
};

/** Output and exit code of a command. */
struct OperatorResult {
  OperatorExitCode Exit = OperatorExitCode::Ok;
  /** Text for standard output. */
  std::string Output;
  /** One line for standard error; empty on success. */
  std::string Error;
};

/** Response to a blocking HTTP request. */
struct BlockingHttpResponse {
  int Status = 0;
  std::string Body;
  /** Header Log-Next of the log: offset of the next append. */
  LogOffset LogNext = LogOffset::None;
  /** Header Log-First of the log: oldest retained offset. */
  LogOffset LogFirst = LogOffset::None;
};

/** Blocking HTTP client. Implementations need not be thread-safe. */
class BlockingHttpClient {
public:
  virtual ~BlockingHttpClient() = default;
  /** @param method "GET", "POST" or "PUT". @return the complete response, or
   * ConnectionFailed, after which the request may still have taken effect. */
  virtual Result<BlockingHttpResponse> request(const std::string &method,
                                               const std::string &url,
                                               const std::string &body) = 0;
};

/** @return a client based on libcurl. Each request takes at most @p timeout and
 * opens a new connection, since libcurl may resend a request that fails on a
 * reused one. */
std::unique_ptr<BlockingHttpClient>
makeBlockingHttpClient(std::chrono::milliseconds timeout);

/** Dependencies of the commands. Tests replace them by fakes. */
struct OperatorContext {
  BlockingHttpClient &Http;
  std::function<RecordId()> NewId;
  std::function<UtcTime()> Now;
  std::function<void(std::chrono::milliseconds)> Sleep;
  /** Name stored in the records of this operator. It is shown to operators
   * whose change loses a race against them. */
  std::string Writer;
};

/**
 * Blocking client of the log. Replays all retained records into a ControlState.
 * An append whose outcome cannot be determined is reported as OutcomeUnknown,
 * never as accepted or failed. Not thread-safe.
 */
class OperatorLogClient {
public:
  /** Maximum number of attempts of one read or append, and of restores from a
   * snapshot in one readToTail(). */
  static constexpr int MaxAttempts = 5;
  static constexpr std::chrono::milliseconds RetryDelay{300};

  OperatorLogClient(OperatorContext &context, std::string baseUrl);

  /** Replays the log up to its tail. Errors include LogUnavailable, and
   * LogTrimmed if the log retains neither the next record to replay nor a
   * complete snapshot. */
  Status readToTail();

  /**
   * Appends @p records in order, then replays the log to its tail.
   * @return the verdict on the last record. Errors: OutcomeUnknown if it cannot
   * be determined whether the last record is in the log; LogUnavailable if an
   * earlier one could not be appended, so that the last one was not sent;
   * InvalidArgument if the log answered the last one with a 4xx status.
   * Precondition: readToTail() succeeded.
   */
  Result<Verdict> append(const std::vector<Record> &records);

  /** @return the verdict on record @p id, which an earlier run may have
   * appended, or NotFound if no retained record has this id.
   * Precondition: readToTail() succeeded. */
  Result<Verdict> find(const RecordId &id) const;

  const ControlState &state() const { return State; }

  /** @return the writer of the record at @p offset; empty if the record was not
   * replayed or is older than the newest MaxWriters. */
  std::string writerAt(LogOffset offset) const;

private:
  Result<BlockingHttpResponse> read(LogOffset from);
  Status applyBatch(const BlockingHttpResponse &response, LogOffset from);
  /** Replaces the state by the newest complete snapshot in the log, if it is
   * newer. @param first the oldest retained offset. */
  Status restoreFromSnapshot(LogOffset first);
  Status appendOne(const Record &record);

  OperatorContext &Context;
  std::string BaseUrl;
  ControlState State;
  /** Writers of records by offset, limited to the newest MaxWriters. */
  static constexpr std::size_t MaxWriters = 4096;
  std::map<LogOffset, std::string> Writers;
};

/** Parses the command line and runs the command. Reads the environment
 * variables CHIVEFOLD_LOG_URL and CHIVEFOLD_ADMIN, and the file named on the
 * command line. */
OperatorResult runOperator(int argc, const char *const *argv,
                           OperatorContext &context);

/** Implements `chivefold check`: compiles @p text and reports errors in it. */
OperatorResult checkConfiguration(const std::string &text,
                                  const OperatorContext &context, bool json);

/** Implements `chivefold diff`: shows what applying @p text would change. */
OperatorResult diffConfiguration(const std::string &text,
                                 OperatorContext &context,
                                 const std::string &logUrl, bool json);

/** Flags of `chivefold apply`. */
struct ApplyOptions {
  std::string LogUrl;
  /** Version that the text is based on. If absent, the version read from the
   * log. */
  std::optional<Version> Base;
  bool Json = false;
};

/** Implements `chivefold apply`: appends the difference between the
 * configuration in force and @p text, and reports the outcome. */
OperatorResult applyConfiguration(const std::string &text,
                                  OperatorContext &context,
                                  const ApplyOptions &options);

/** Implements `chivefold apply --resume`: reports the outcome of an earlier
 * apply that ended as unknown. */
OperatorResult resumeApply(const RecordId &id, OperatorContext &context,
                           const ApplyOptions &options);

/** Flags of `chivefold take-out` and `put-back`. */
struct DataCentreOptions {
  std::string LogUrl;
  /** Daemon that propagates a take-out immediately, even while the log is
   * unavailable. Not used to put back: that sends the data centre new work, so
   * it takes effect only through the log. */
  std::optional<Address> Admin;
  bool Json = false;
};

/**
 * Implements `chivefold take-out` and `put-back`. The exit code is that of
 * appending the record to the log; the output also states whether the daemon
 * propagates the take-out.
 */
OperatorResult setDataCentreTakenOut(const std::string &dataCentre,
                                     bool takenOut, OperatorContext &context,
                                     const DataCentreOptions &options);

/** Views of a daemon's state, each shown by a command of its own. */
enum class OperatorView { Status, Moves };

/** Implements `chivefold status` and `moves`: fetches the state of the daemon
 * at address @p admin and formats @p view. */
OperatorResult showView(OperatorView view, OperatorContext &context,
                        const Address &admin, bool json);

/** Flags of `chivefold explain`. */
struct ExplainOptions {
  Address Admin;
  std::string Host;
  std::string Path;
  bool Json = false;
};

/** Implements `chivefold explain`: shows where the sidecar at an admin address
 * would send a request now. BadInput if the request cannot exist, Refused if
 * the sidecar does not answer or has no route for it. */
OperatorResult showExplanation(OperatorContext &context,
                               const ExplainOptions &options);

/** Flags of `chivefold report`. */
struct ReportOptions {
  std::vector<Address> Admins;
  /** Also query the members that a daemon lists. */
  bool WholeFleet = false;
  bool Json = false;
  /** File to write the report to as HTML; empty for none. */
  std::string HtmlFile;
};

/** Implements `chivefold report`: collects and formats the report on service
 * levels, moves and data centres. */
OperatorResult showReport(OperatorContext &context,
                          const ReportOptions &options);

} // namespace chivefold

#endif
