/**
 * @file
 * Log lines of a process: a prefix per part, a message and key=value fields.
 */
#ifndef CHIVEFOLD_IO_LOGGING_H
#define CHIVEFOLD_IO_LOGGING_H

#include "chivefold/core/error.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>

namespace chivefold {

enum class LogLevel : std::uint8_t { Trace, Debug, Info, Warn, Error };

/** @return "trace", "debug", "info", "warn" or "error". Thread-safe. */
std::string_view logLevelName(LogLevel level);

/** Where the lines of a process go. */
enum class LogStream : std::uint8_t { StandardError, StandardOutput };

/** Sends all log lines to @p stream. Called once at the start of a process. */
void initLogging(LogLevel level, LogStream stream = LogStream::StandardError);

/** Sets the level of all parts. @return InvalidArgument for another name than
 * those of logLevelName(). Thread-safe. */
Status setLogLevel(std::string_view name);

/** Makes an exception that nothing catches write a line of the part "process"
 * with its text before it ends the process, which it does as before, by
 * SIGABRT: it shows a broken invariant, after which the state cannot be
 * trusted. Called once at the start of a process, after initLogging(). */
void logUncaughtExceptions();

/** One key=value pair of a log line. */
struct LogField {
  LogField(std::string_view key, std::string_view value)
      : Key(key), Value(value) {}
  template <class T, std::enable_if_t<std::is_integral_v<T>, int> = 0>
  LogField(std::string_view key, T value)
      : Key(key), Value(std::to_string(value)) {}
  /** Writes @p value with four significant digits. */
  LogField(std::string_view key, double value);

  std::string_view Key;
  std::string Value;
};

/**
 * Writes the lines of one part of the process. At most MaxRepeats identical
 * messages a second are written; further ones are counted, and the count is
 * written as suppressed=N with the next line of that message. Messages are
 * compared without their fields. Not thread-safe.
 */
class Logger {
public:
  static constexpr std::uint32_t MaxRepeats = 10;
  /** Longer values of fields are truncated. */
  static constexpr std::size_t MaxValueBytes = 1024;
  /** Messages counted at the same time; the oldest period is dropped. */
  static constexpr std::size_t MaxMessages = 64;
  using Seconds = std::function<std::uint64_t()>;

  /** @param prefix fixed name of the part. @param seconds a monotonic clock in
   * whole seconds; empty for that of the host. */
  explicit Logger(const std::string &prefix, Seconds seconds = {});
  ~Logger();
  Logger(const Logger &) = delete;
  Logger &operator=(const Logger &) = delete;

  void log(LogLevel level, std::string_view message,
           std::initializer_list<LogField> fields = {});

  void debug(std::string_view message,
             std::initializer_list<LogField> fields = {}) {
    log(LogLevel::Debug, message, fields);
  }
  void info(std::string_view message,
            std::initializer_list<LogField> fields = {}) {
    log(LogLevel::Info, message, fields);
  }
  void warn(std::string_view message,
            std::initializer_list<LogField> fields = {}) {
    log(LogLevel::Warn, message, fields);
  }
  void error(std::string_view message,
             std::initializer_list<LogField> fields = {}) {
    log(LogLevel::Error, message, fields);
  }

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace chivefold

#endif
