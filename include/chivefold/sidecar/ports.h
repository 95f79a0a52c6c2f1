/**
 * @file
 * What the sidecar needs of the platform that it runs on.
 */
#ifndef CHIVEFOLD_SIDECAR_PORTS_H
#define CHIVEFOLD_SIDECAR_PORTS_H

#include "chivefold/core/error.h"
#include "chivefold/io/http.h"
#include "chivefold/mesh/fleet_table.h"
#include "chivefold/mesh/operator_state.h"
#include "chivefold/mesh/version_policy.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivefold {

/** What a client states beside the request itself. */
struct ClientRequest {
  /** Identity of this attempt of the client. */
  std::string Id;
  std::string Hostname;
  /** How long the client waits; absent if it states nothing. */
  std::optional<Duration> TimeLeft;
};

/** What is stated to a backend server beside the request itself. */
struct ServerRequest {
  Duration TimeLeft{};
  /** Start of the server that must run the request, and no other. */
  std::string Instance;
  /** Service of the host where the request began. */
  std::string CallerService;
};

/** What a backend server's response says of the request. */
struct ServerResponse {
  /** The server states that it did not run the request. */
  bool NotRun = false;
  /** Another start of a server has the address; implies NotRun. */
  bool OtherInstance = false;
  /** Identity of the request that is answered; "" if not stated. */
  std::string RequestId;
  /** The response was made by the server itself. */
  bool Authentic = false;
};

/** The headers that clients and backend servers use. Thread-safe. */
class RequestProtocol {
public:
  virtual ~RequestProtocol() = default;
  virtual ClientRequest readClient(const HttpRequest &request) const = 0;
  /** @return the headers for the server: those of the client without the ones
   * of one connection, with the ones that the system sets. */
  virtual HttpHeaders forServer(const HttpHeaders &fromClient,
                                const ServerRequest &terms) const = 0;
  virtual ServerResponse readServer(const HttpResponse &response) const = 0;
};

/** What a backend server reports of itself to the daemon beside it. */
struct ServerReport {
  Address Server;
  BackendServerState State;
  /** When the server started, by its clock; absent if not stated. */
  std::optional<std::int64_t> StartedAtMs;
  /** Rises with each report of one start. */
  std::uint64_t Sequence = 0;
  /** How long the server stays cold. */
  Duration ColdFor{};
};

/** What a call to the admin address is. */
enum class ReportCall : std::uint8_t { None, Report, Leave };

/** Decodes the reports of backend servers. Thread-safe. */
class ReportCodec {
public:
  virtual ~ReportCodec() = default;
  virtual ReportCall callOf(const HttpRequest &request) const = 0;
  /** @return the report, or InvalidRecord if it names no server to use.
   * Precondition: callOf() gave Report. */
  virtual Result<ServerReport> report(const HttpRequest &request) const = 0;
  /** @return the identity of the server that leaves. Precondition: callOf()
   * gave Leave. */
  virtual std::string leaving(const HttpRequest &request) const = 0;
};

/** Streams of keyed records in the platform's store. */
enum class KeyedStream : std::uint8_t {
  /** Written by the operator, read-only here. */
  Orders,
  /** Addresses of the fleet's daemons, by address. */
  Hosts,
  /** Progress of rollouts, by service. */
  Rollouts,
  /** What the operator reads of rollouts. */
  RolloutStatus
};

/** Consecutive records of a stream. */
struct KeyedBatch {
  std::vector<KeyedRecord> Records;
  /** Place behind the last record of the stream. */
  std::uint64_t End = 0;
  /** A listing that goes on behind the last key. */
  bool HasMore = false;
};

/** Outcome of a conditional append. */
enum class AppendEnd : std::uint8_t {
  Written,
  /** The stream did not end where it was expected to; nothing was written. */
  Conflict,
  /** Nothing was written. */
  Refused,
  /** No answer came; the record may appear now or later. */
  Uncertain
};

/**
 * The platform's store. Used on the reactor's thread only; callbacks run later,
 * from the loop. Errors: LogUnavailable, LogTrimmed, InvalidRecord,
 * DeadlineExceeded.
 */
class KeyedStore {
public:
  using ReadDone = std::function<void(Result<KeyedBatch>)>;
  /** @p offset is that of the record for Written, else the stream's end if the
   * store told it. */
  using AppendDone = std::function<void(
      AppendEnd end, std::optional<std::uint64_t> offset, Reason reason)>;

  virtual ~KeyedStore() = default;

  /** Lists the newest record of each key behind @p afterKey, one page. */
  virtual void list(KeyedStream stream, const std::string &afterKey,
                    TimePoint deadline, ReadDone done) = 0;

  /** Reads records from @p from on, and waits for one until @p waitUntil. */
  virtual void read(KeyedStream stream, std::uint64_t from, TimePoint waitUntil,
                    TimePoint deadline, ReadDone done) = 0;

  /** Appends a record. @param at only if the stream ends there. */
  virtual void append(KeyedStream stream, const std::string &key,
                      std::string_view value, std::optional<std::uint64_t> at,
                      TimePoint deadline, AppendDone done) = 0;
};

/** Encodes what the operator reads. Thread-safe. */
class StatusCodec {
public:
  virtual ~StatusCodec() = default;
  virtual std::string key(const RolloutProgress &progress) const = 0;
  virtual std::string encode(const RolloutProgress &progress) const = 0;
};

/** All parts of the platform. The references outlive the sidecar. */
struct PlatformPorts {
  const RequestProtocol &Requests;
  const ReportCodec &Reports;
  const OperatorCodec &Orders;
  const StatusCodec &Statuses;
};

} // namespace chivefold

#endif
