/**
 * @file
 * The operator's command line: checks and applies configuration texts through
 * the log, and shows what a daemon reports.
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
  /** Refused, or failed with certainty. */
  Refused = 1,
  /** Bad flags or a bad text. */
  BadInput = 2,
  /** The log could not be reached to find out. */
  Unknown = 3,
};

/** What a command prints, and its exit code. */
struct OperatorResult {
  OperatorExitCode Exit = OperatorExitCode::Ok;
  /** For standard output. */
  std::string Output;
  /** One line for standard error, empty on success. */
  std::string Error;
};

/** Answer of a blocking HTTP request. */
struct BlockingHttpResponse {
  int Status = 0;
  std::string Body;
  /** Offset of the next append, from the log's answers. */
  LogOffset LogNext = LogOffset::None;
  LogOffset LogFirst = LogOffset::None;
};

/** Blocking HTTP. Implementations need not be thread-safe. */
class BlockingHttpClient {
public:
  virtual ~BlockingHttpClient() = default;
  /** @param method "GET", "POST" or "PUT". @return the complete answer, or
   * ConnectionFailed; the request may nevertheless have had effect. */
  virtual Result<BlockingHttpResponse> request(const std::string &method,
                                               const std::string &url,
                                               const std::string &body) = 0;
};

/** @return HTTP by libcurl. Each request takes at most @p timeout and uses a
 * new connection, since a reused one may be sent twice by libcurl. */
std::unique_ptr<BlockingHttpClient>
makeBlockingHttpClient(std::chrono::milliseconds timeout);

/** What the commands need besides their flags. */
struct OperatorContext {
  BlockingHttpClient &Http;
  std::function<RecordId()> NewId;
  std::function<UtcTime()> Now;
  std::function<void(std::chrono::milliseconds)> Sleep;
  /** Who applies changes, shown to those who lose a race. */
  std::string Writer;
};

/**
 * The log as operators use it. Replays all retained records into a
 * ControlState; never guesses what became of an append. Not thread-safe.
 */
class OperatorLogClient {
public:
  /** Requests that one step makes while the log gives no answer. */
  static constexpr int MaxAttempts = 5;
  static constexpr std::chrono::milliseconds RetryDelay{300};

  OperatorLogClient(OperatorContext &context, std::string baseUrl);

  /** Replays up to the tail. Errors: LogUnavailable, LogTrimmed if neither the
   * first record nor a snapshot is retained. */
  Status readToTail();

  /**
   * Appends @p records in order and reads them back.
   * @return the verdict on the last of them; OutcomeUnknown if it can not be
   * found out, LogUnavailable if it is certain that the last one is not in the
   * log. Precondition: readToTail() succeeded.
   */
  Result<Verdict> append(const std::vector<Record> &records);

  /** @return the verdict on a record of an earlier run, NotFound if the
   * retained log has none. Precondition: readToTail() succeeded. */
  Result<Verdict> find(const RecordId &id) const;

  const ControlState &state() const { return State; }

  /** @return who wrote the record at @p offset, empty if not seen. */
  std::string writerAt(LogOffset offset) const;

private:
  Result<BlockingHttpResponse> read(LogOffset from);
  Status applyBatch(const BlockingHttpResponse &response, LogOffset from);
  Status restoreFromSnapshot(LogOffset first);
  Status appendOne(const Record &record);

  OperatorContext &Context;
  std::string BaseUrl;
  ControlState State;
  /** Writers of changes by offset; the newest MaxWriters are kept. */
  static constexpr std::size_t MaxWriters = 4096;
  std::map<LogOffset, std::string> Writers;
};

/** Parses the command line and runs the command. Reads the environment
 * (CHIVEFOLD_LOG_URL, CHIVEFOLD_ADMIN) and the files that it names. */
OperatorResult runOperator(int argc, const char *const *argv,
                           OperatorContext &context);

/** Compiles @p text, as `chivefold check` does. */
OperatorResult checkConfiguration(const std::string &text,
                                  const OperatorContext &context, bool json);

/** Prints what `chivefold apply` would change. */
OperatorResult diffConfiguration(const std::string &text,
                                 OperatorContext &context,
                                 const std::string &logUrl, bool json);

/** Flags of `chivefold apply`. */
struct ApplyOptions {
  std::string LogUrl;
  /** Version that the text was based on; the one read if absent. */
  std::optional<Version> Base;
  bool Json = false;
};

/** Appends the difference and reports what became of it. */
OperatorResult applyConfiguration(const std::string &text,
                                  OperatorContext &context,
                                  const ApplyOptions &options);

/** Reports what became of an apply whose outcome was unknown. */
OperatorResult resumeApply(const RecordId &id, OperatorContext &context,
                           const ApplyOptions &options);

/** Flags of `chivefold take-out` and `put-back`. */
struct DataCentreOptions {
  std::string LogUrl;
  /** A daemon that spreads a take-out at once, with or without the log. Not
   * used to put back, which adds exposure and so needs the log. */
  std::optional<Address> Admin;
  bool Json = false;
};

/**
 * Takes a data centre out or puts it back. The exit code is that of the log
 * record; the output also says whether a daemon spreads the take-out.
 */
OperatorResult setDataCentreTakenOut(const std::string &dataCentre,
                                     bool takenOut, OperatorContext &context,
                                     const DataCentreOptions &options);

/** Views of a daemon's state. */
enum class OperatorView { Status, Moves };

/** Fetches a view from the daemon at @p admin. */
OperatorResult showView(OperatorView view, OperatorContext &context,
                        const Address &admin, bool json);

/** Flags of `chivefold report`. */
struct ReportOptions {
  std::vector<Address> Admins;
  /** Also ask the members that a daemon lists. */
  bool WholeFleet = false;
  bool Json = false;
  /** Where to write the report as HTML; empty for nowhere. */
  std::string HtmlFile;
};

/** Collects and prints the report on service levels, moves and data centres. */
OperatorResult showReport(OperatorContext &context,
                          const ReportOptions &options);

} // namespace chivefold

#endif
