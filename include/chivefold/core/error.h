/**
 * @file
 * Error codes, their names, and results that carry the reason of a failure.
 */
#ifndef CHIVEFOLD_CORE_ERROR_H
#define CHIVEFOLD_CORE_ERROR_H

#include <cassert>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace chivefold {

/** Every kind of failure that crosses a module boundary. */
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
  /** A backend server stated that it did not run a request. */
  Declined,
};

/** @return the stable lower-case name of @p ec, used in logs and output.
 * Thread-safe. */
std::string_view errorName(ErrorCode ec);

/** @return the code whose name is @p name, if there is one. Thread-safe. */
std::optional<ErrorCode> errorFromName(std::string_view name);

/** Why an operation failed. Line and Column are 1-based places in a text, or 0.
 */
struct Reason {
  ErrorCode Code = ErrorCode::Ok;
  std::string Message;
  int Line = 0;
  int Column = 0;
};

/** @return one line: "line L, column C: message" or "message". Thread-safe. */
std::string toString(const Reason &reason);

/**
 * An optional value with the reason for its absence.
 *
 * std::optional has no place for a reason, so this type keeps the last one
 * beside it. Not thread-safe.
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

  /** @return the reason for the missing value; Code is Ok if there is one. */
  const Reason &reason() const { return FailureReason; }

private:
  std::optional<T> Value;
  Reason FailureReason;
};

/** The value of a Result that carries no data. */
struct Done {};

/** Success or a reason. */
using Status = Result<Done>;

} // namespace chivefold

#endif
