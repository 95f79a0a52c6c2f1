/**
 * @file
 * Error codes, their names, and a result type that holds a value or an error.
 */
#ifndef CHIVEFOLD_CORE_ERROR_H
#define CHIVEFOLD_CORE_ERROR_H

#include <cassert>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace chivefold {

/** Kinds of failure that one module reports to another. */
enum class ErrorCode {
  Ok,
  InvalidArgument,
  InvalidText,
  InvalidRecord,
  LostRace,
  NotFound,
  NotReady,
  Overloaded,
  DeadlineExceeded,
  ConnectionFailed,
  LogUnavailable,
  LogTrimmed,
  OutcomeUnknown,
  TooLarge,
  Conflict,
  Quarantined,
  /** A backend server stated that it did not execute a request. */
  Declined,
  /** A backend server's stated request limit leaves no room. */
  RateLimited,
  /** The configuration no longer routes a request to the chosen service. */
  RouteChanged,
};

/** @return the lower-case name of @p ec for logs and output. Names do not
 * change between releases. Thread-safe. */
std::string_view errorName(ErrorCode ec);

/** @return the code whose name is @p name, if there is one. Thread-safe. */
std::optional<ErrorCode> errorFromName(std::string_view name);

/** Why an operation failed. Line and Column give a 1-based position in a text,
 * or are 0 if the failure has no position. */
struct Reason {
  ErrorCode Code = ErrorCode::Ok;
  std::string Message;
  int Line = 0;
  int Column = 0;
};

/** @return "line L, column C: message", or "message" if the reason has no
 * position. Thread-safe. */
std::string toString(const Reason &reason);

/**
 * A value, or the reason why there is none.
 *
 * Unlike std::optional, it stores the reason of a failure. Not thread-safe.
 */
template <class T> class [[nodiscard]] Result {
public:
  /** Holds a value. */
  Result(T value) // NOLINT(google-explicit-constructor)
      : Value(std::move(value)) {}

  /** Holds no value. Precondition: reason.Code is not Ok. */
  Result(Reason reason) // NOLINT(google-explicit-constructor)
      : FailureReason(std::move(reason)) {
    assert(FailureReason.Code != ErrorCode::Ok);
  }

  explicit operator bool() const { return Value.has_value(); }
  bool hasValue() const { return Value.has_value(); }

  /** Precondition: hasValue(). */
  T &operator*() { return *Value; }
  const T &operator*() const { return *Value; }
  T *operator->() { return &*Value; }
  const T *operator->() const { return &*Value; }

  /** @return why there is no value. Its Code is Ok if there is a value. */
  const Reason &reason() const { return FailureReason; }

private:
  std::optional<T> Value;
  Reason FailureReason;
};

/** The value of a successful Result that carries no data. */
struct Done {};

/** Success, or the reason of a failure. */
using Status = Result<Done>;

} // namespace chivefold

#endif
