#include "chivefold/io/logging.h"

#include <sstream> // Needed by the headers of log4cxx 1.0.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <vector>

namespace chivefold {

namespace {

constexpr std::array<std::string_view, 5> LevelNames{"trace", "debug", "info",
                                                     "warn", "error"};

log4cxx::LevelPtr levelOf(LogLevel level) {
  switch (level) {
  case LogLevel::Trace:
    return log4cxx::Level::getTrace();
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Info:
    return log4cxx::Level::getInfo();
  case LogLevel::Warn:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    break;
  }
  return log4cxx::Level::getError();
}

std::uint64_t monotonicSeconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count());
}

bool needsQuotes(std::string_view value) {
  return value.empty() ||
         std::any_of(value.begin(), value.end(), [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
         });
}

// Values come from other processes too: quoted and escaped, a line break in
// one cannot start a line of its own.
std::string quoted(std::string_view value) {
  if (!needsQuotes(value)) {
    return std::string(value);
  }
  constexpr std::string_view digits = "0123456789abcdef";
  std::string out = "\"";
  for (const unsigned char c : value) {
    if (c < ' ' || c == 0x7f) {
      out += "\\x";
      out += digits[c >> 4U];
      out += digits[c & 15U];
    } else {
      if (c == '"' || c == '\\') {
        out += '\\';
      }
      out += static_cast<char>(c);
    }
  }
  return out + '"';
}

std::string currentExceptionText() {
  try {
    if (std::current_exception()) {
      throw;
    }
    return "none";
  } catch (const std::exception &e) {
    return e.what();
  } catch (...) {
    return "not a standard exception";
  }
}

[[noreturn]] void logAndAbort() {
  Logger("process").error("an invariant is broken; the process ends",
                          {{"exception", currentExceptionText()}});
  std::abort();
}

} // namespace

LogField::LogField(std::string_view key, double value) : Key(key) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.4g", value);
  Value = buf.data();
}

std::string_view logLevelName(LogLevel level) {
  return LevelNames[static_cast<std::size_t>(level)];
}

void initLogging(LogLevel level, LogStream stream) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      "%d{yyyy-MM-ddTHH:mm:ss.SSSZ} %p %c: %m%n");
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, stream == LogStream::StandardOutput
                  ? log4cxx::ConsoleAppender::getSystemOut()
                  : log4cxx::ConsoleAppender::getSystemErr());
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(levelOf(level));
}

Status setLogLevel(std::string_view name) {
  const auto *const it = std::find(LevelNames.begin(), LevelNames.end(), name);
  if (it == LevelNames.end()) {
    return Reason{ErrorCode::InvalidArgument,
                  "level is not one of trace, debug, info, warn, error"};
  }
  const auto level = static_cast<LogLevel>(it - LevelNames.begin());
  log4cxx::Logger::getRootLogger()->setLevel(levelOf(level));
  return Done{};
}

void logUncaughtExceptions() { std::set_terminate(&logAndAbort); }

struct Logger::Impl {
  // Lines of one message in its current second.
  struct Count {
    std::string Message;
    std::uint64_t Second = 0;
    std::uint32_t Written = 0;
    std::uint64_t Suppressed = 0;
  };

  Count &countOf(std::string_view message, std::uint64_t now);

  log4cxx::LoggerPtr Target;
  Seconds Clock;
  std::vector<Count> Counts;
};

Logger::Impl::Count &Logger::Impl::countOf(std::string_view message,
                                           std::uint64_t now) {
  auto it = std::find_if(Counts.begin(), Counts.end(),
                         [&](const Count &c) { return c.Message == message; });
  if (it != Counts.end()) {
    return *it;
  }
  if (Counts.size() < MaxMessages) {
    Counts.push_back({std::string(message), now, 0, 0});
    return Counts.back();
  }
  it = std::min_element(
      Counts.begin(), Counts.end(),
      [](const Count &a, const Count &b) { return a.Second < b.Second; });
  *it = {std::string(message), now, 0, 0};
  return *it;
}

Logger::Logger(const std::string &prefix, Seconds seconds)
    : State(std::make_unique<Impl>()) {
  State->Target = log4cxx::Logger::getLogger(prefix);
  State->Clock = seconds ? std::move(seconds) : &monotonicSeconds;
}

Logger::~Logger() = default;

void Logger::log(LogLevel level, std::string_view message,
                 std::initializer_list<LogField> fields) {
  const auto target = levelOf(level);
  if (!State->Target->isEnabledFor(target)) {
    return;
  }
  const auto now = State->Clock();
  auto &count = State->countOf(message, now);
  if (count.Second != now) {
    count.Second = now;
    count.Written = 0;
  }
  if (count.Written >= MaxRepeats) {
    ++count.Suppressed;
    return;
  }
  ++count.Written;
  std::string line(message);
  for (const auto &it : fields) {
    const auto value = std::string_view(it.Value).substr(0, MaxValueBytes);
    line.append(" ").append(it.Key).append("=").append(quoted(value));
    line.append(value.size() < it.Value.size() ? "..." : "");
  }
  if (count.Suppressed > 0) {
    line += " suppressed=" + std::to_string(count.Suppressed);
    count.Suppressed = 0;
  }
  State->Target->forcedLog(target, line);
}

} // namespace chivefold
