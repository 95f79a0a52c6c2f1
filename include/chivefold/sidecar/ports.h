/**
 * @file
 * Interfaces that a platform implements for the sidecar.
 */
#ifndef CHIVEFOLD_SIDECAR_PORTS_H
#define CHIVEFOLD_SIDECAR_PORTS_H

#include "chivefold/core/error.h"
#include "chivefold/io/http.h"
#include "chivefold/mesh/fleet_table.h"
#include "chivefold/mesh/operator_state.h"
#include "chivefold/mesh/server_statements.h"
#include "chivefold/mesh/store_history.h"
#include "chivefold/mesh/usage_windows.h"
#include "chivefold/mesh/version_policy.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivefold {

/** Metadata of a client's request. */
struct ClientRequest {
  /** Identifies this attempt of the client. */
  std::string Id;
  std::string Hostname;
  /** How long the client will wait; absent if not stated. */
  std::optional<Duration> TimeLeft;
  /** Customer's key; absent if no credentials are stated, "" if they are not a
   * key. Must not be logged. */
  std::optional<std::string> Key;
};

/** Metadata of a request sent to a backend server. */
struct ServerRequest {
  Duration TimeLeft{};
  /** The only server instance that may run the request. */
  std::string Instance;
  /** Service of the host where the request originated. */
  std::string CallerService;
  /** Customers' keys are checked: the headers for them come from the sidecar
   * alone. */
  bool ChecksKeys = false;
  /** Customer of the request, or "". */
  std::string Customer;
};

/** Metadata of a backend server's response. */
struct ServerResponse {
  /** The server states that it did not run the request. */
  bool NotRun = false;
  /** Another server instance now has the address; implies NotRun. */
  bool OtherInstance = false;
  /** ID of the answered request; "" if not stated. */
  std::string RequestId;
  /** The response carries the server's signature, so the server itself made it.
   */
  bool Authentic = false;
  /** What the server states about itself. */
  ServerStatement Statement;
};

/** Reads and writes the headers of clients and backend servers. Thread-safe. */
class RequestProtocol {
public:
  virtual ~RequestProtocol() = default;
  virtual ClientRequest readClient(const HttpRequest &request) const = 0;
  /** @return the host name by which a request is routed, or "". */
  virtual std::string_view hostname(const HttpHeaders &fromClient) const = 0;
  /** @return whether the headers contain credentials. */
  virtual bool hasKey(const HttpHeaders &fromClient) const = 0;
  /** @return the headers without credentials and without a customer's name. */
  virtual HttpHeaders withoutCustomer(const HttpHeaders &fromClient) const = 0;
  /** @return the headers for the server: the client's end-to-end headers plus
   * those that the sidecar sets. */
  virtual HttpHeaders forServer(const HttpHeaders &fromClient,
                                const ServerRequest &terms) const = 0;
  virtual ServerResponse readServer(const HttpResponse &response) const = 0;
};

/** Report of a backend server to the daemon on its host. */
struct ServerReport {
  Address Server;
  BackendServerState State;
  /** Start time by the server's clock, in milliseconds; absent if not stated.
   */
  std::optional<std::int64_t> StartedAtMs;
  /** Increases with each report of one server instance. */
  std::uint64_t Sequence = 0;
  /** Remaining warm-up time of the server. */
  Duration ColdFor{};
};

/** Kind of a request to the admin address. */
enum class AdminRequestKind : std::uint8_t { None, Report, Leave };

/** Decodes the reports of backend servers. Thread-safe. */
class ReportCodec {
public:
  virtual ~ReportCodec() = default;
  virtual AdminRequestKind requestKind(const HttpRequest &request) const = 0;
  /** @return the report, or InvalidRecord if a field is missing or invalid.
   * Precondition: requestKind() returned Report. */
  virtual Result<ServerReport> report(const HttpRequest &request) const = 0;
  /** @return the ID of the server instance that shuts down. Precondition:
   * requestKind() returned Leave. */
  virtual std::string leaving(const HttpRequest &request) const = 0;
};

/** Streams of keyed records in the platform's store. */
enum class KeyedStream : std::uint8_t {
  /** Written by the operator; read-only for the sidecar. */
  Orders,
  /** Data centres of the fleet's daemons, keyed by address, and what their
   * successors must know (see HostMemory), which each daemon thus reads in the
   * same call. */
  Hosts,
  /** Progress of rollouts, keyed by service. */
  Rollouts,
  /** Status of rollouts, written for the operator. */
  RolloutStatus,
  /** Lease of the usage reports, and the counts that were fixed. */
  Usage
};

/** Consecutive records of a stream. */
struct KeyedBatch {
  std::vector<KeyedRecord> Records;
  /** End offset of the stream. */
  std::uint64_t End = 0;
  /** The listing has further pages after the last key. */
  bool HasMore = false;
  /** Era of the history that was read. */
  std::uint64_t Era = 0;
  /** Entries without a readable value; those without a readable key are not
   * among the records. */
  std::uint64_t Unreadable = 0;
};

/** Outcome of a conditional append. */
enum class AppendOutcome : std::uint8_t {
  Written,
  /** The end offset was not the expected one; nothing was written. */
  Conflict,
  /** Nothing was written. */
  Refused,
  /** No answer was received; the record may have been written or may still be.
   */
  Uncertain
};

/** Answer to an append. */
struct AppendResult {
  AppendOutcome Outcome = AppendOutcome::Uncertain;
  /** Offset of the record if it was written, else the end offset of the stream
   * if the store returned it. */
  std::optional<std::uint64_t> Offset;
  /** Era of the history in which the record was written. */
  std::uint64_t Era = 0;
  /** Why the record was not written; Code is Ok if it was. */
  Reason Failure;
};

/**
 * Asynchronous client of the platform's store. Used on the reactor's thread
 * only. Callbacks run from the event loop, never before the call returns.
 * Errors: LogUnavailable, LogTrimmed, InvalidRecord, DeadlineExceeded.
 */
class KeyedStore {
public:
  using ReadDone = std::function<void(Result<KeyedBatch>)>;
  using AppendDone = std::function<void(const AppendResult &)>;

  virtual ~KeyedStore() = default;

  /** Lists one page of the newest records by key, starting after @p afterKey.
   */
  virtual void list(KeyedStream stream, const std::string &afterKey,
                    TimePoint deadline, ReadDone done) = 0;

  /** Reads records from offset @p from on; if there are none, waits for one
   * until
   * @p waitUntil. */
  virtual void read(KeyedStream stream, std::uint64_t from, TimePoint waitUntil,
                    TimePoint deadline, ReadDone done) = 0;

  /** Appends a record. @param at if present, the record is written only if it
   * is the end offset of the stream. */
  virtual void append(KeyedStream stream, const std::string &key,
                      std::string_view value, std::optional<std::uint64_t> at,
                      TimePoint deadline, AppendDone done) = 0;

  /** Appends the keys and values of @p records in one call, all or none.
   * Precondition: there is a record, and each has a key and a value. */
  virtual void appendAll(KeyedStream stream,
                         const std::vector<KeyedRecord> &records,
                         TimePoint deadline, AppendDone done) = 0;
};

/** The platform's store and the era of its answers; both must outlive their
 * users. */
struct StoreAccess {
  KeyedStore &Store;
  const StoreEra &Era;
};

/** Encodes rollout statuses for the operator. Thread-safe. */
class StatusCodec {
public:
  virtual ~StatusCodec() = default;
  virtual std::string key(const RolloutProgress &progress) const = 0;
  virtual std::string encode(const RolloutProgress &progress) const = 0;
};

/** Usage of the customers in one window. */
struct UsageReport {
  /** Name of the host that reports. */
  std::string Holder;
  /** Increases whenever the holder changes. */
  std::uint64_t Fence = 0;
  WindowNumber Window = 0;
  UsageCounts Counts;
};

/** Encodes usage reports. Thread-safe. */
class UsageReportCodec {
public:
  virtual ~UsageReportCodec() = default;
  /** @return the request, the same for the same report. */
  virtual HttpRequest encode(const UsageReport &report) const = 0;
};

/** The codecs of the platform; they must outlive the sidecar. */
struct PlatformPorts {
  const RequestProtocol &Requests;
  const ReportCodec &Reports;
  const OperatorCodec &Orders;
  const StatusCodec &Statuses;
  /** Null if the platform takes no usage reports. */
  const UsageReportCodec *Usage = nullptr;
};

} // namespace chivefold

#endif
