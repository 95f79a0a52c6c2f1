/**
 * @file
 * What a backend server states about itself in its answers.
 */
#ifndef CHIVEFOLD_MESH_SERVER_STATEMENTS_H
#define CHIVEFOLD_MESH_SERVER_STATEMENTS_H

#include "chivefold/core/gate.h"
#include "chivefold/core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivefold {

/** Request limit in the headers of one answer. */
enum class LimitHeader : std::uint8_t { Absent, Valid, Malformed };

/** Statements of one answer. */
struct ServerStatement {
  LimitHeader Limit = LimitHeader::Absent;
  /** Requests per second, set if Limit is Valid. */
  double PerSecond = 0;
  /** The server is shutting down. */
  bool Leaving = false;
};

/** Effect of an answer or of a caller's copy on the known request limit. */
enum class LimitChange : std::uint8_t {
  None,
  /** A limit is in force that was not in force before. */
  Started,
  /** The limit in force has another value. */
  Replaced,
  /** The server no longer states a limit. */
  Ended,
  /** The header was malformed and was ignored. */
  Malformed
};

/** @return the name used in log lines, such as "started". Thread-safe. */
std::string_view limitChangeName(LimitChange change);

/** Parses the value of a request limit: decimal numbers, not negative, without
 * a sign or an exponent. A list is what repeated headers amount to; its lowest
 * element applies. @return requests per second, or nothing if any element is
 * malformed. Thread-safe. */
std::optional<double> parseRequestLimit(std::string_view text);

/** @return a stated limit and its age, such as "25.2/s,age_ms:310", or "none",
 * for log lines. Thread-safe. */
std::string describe(const RequestLimit &limit, TimePoint now);

/**
 * Keeps the statements of the current start of a backend server. Statements of
 * other starts have no effect. A request limit holds until an answer states
 * another one or none, or until the server starts again; it does not expire,
 * because a silent server has not withdrawn it. A statement that the server
 * leaves is final for its start. Not thread-safe.
 */
class ServerStatements {
public:
  /** Forgets all statements. @param serverStart identifies the new start of the
   * server; 0 if there is no server. */
  void reset(std::uint64_t serverStart);

  /** Applies the statements of a complete answer. @param serverStart the start
   * to which the request was sent. @param ran whether the server ran the
   * request; a refusal does not end a limit. */
  LimitChange onAnswer(const ServerStatement &statement,
                       std::uint64_t serverStart, bool ran, TimePoint now);

  /** Applies a caller's copy of a limit. It has an effect only until the first
   * answer of the server arrives, so that it cannot bring an ended limit back
   * for longer than that. */
  LimitChange onCopy(const RequestLimit &copy);

  const RequestLimit &limit() const { return Limit; }
  bool isLeaving() const { return Leaving; }

private:
  RequestLimit Limit;
  bool Leaving = false;
};

} // namespace chivefold

#endif
