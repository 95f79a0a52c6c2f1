#include "chivefold/io/log_client.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <random>

namespace chivefold {

namespace {

// Offset and length before each record of a read's body.
constexpr std::size_t EntryHeadBytes = 12;
constexpr std::size_t MaxReadBytes =
    std::size_t{LogLimits::MaxReadRecords} * (MaxRecordBytes + EntryHeadBytes);
// The log answers a long poll at the end of its wait; this is the time left
// for the answer to arrive.
constexpr auto AnswerTime = std::chrono::seconds(2);

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  std::uint64_t n = 0;
  const auto *end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, n);
  return result.ec == std::errc() && result.ptr == end && !text.empty()
             ? std::optional(n)
             : std::nullopt;
}

std::uint64_t littleEndian(std::string_view bytes) {
  std::uint64_t n = 0;
  for (std::size_t i = bytes.size(); i > 0; --i) {
    n = n << 8U | static_cast<unsigned char>(bytes[i - 1]);
  }
  return n;
}

Reason unavailable(std::string message) {
  return {ErrorCode::LogUnavailable, std::move(message)};
}

Reason failureOf(const HttpOutcome &outcome) {
  const auto &reason = outcome.Response.reason();
  return reason.Code == ErrorCode::DeadlineExceeded
             ? reason
             : unavailable(reason.Message);
}

Result<LogOffset> appendResult(const HttpOutcome &outcome) {
  if (!outcome.Response) {
    return failureOf(outcome);
  }
  if (outcome.Response->Status != 200) {
    return unavailable("the log answered " +
                       std::to_string(outcome.Response->Status));
  }
  const auto offset = parseNumber(outcome.Response->Body);
  if (!offset || *offset == 0) {
    return Reason{ErrorCode::InvalidRecord, "the log sent no offset"};
  }
  return static_cast<LogOffset>(*offset);
}

Result<LogBatch> readResult(const HttpOutcome &outcome, LogOffset from) {
  if (!outcome.Response) {
    return outcome.Response.reason().Code == ErrorCode::TooLarge
               ? Reason{ErrorCode::InvalidRecord, "oversized answer"}
               : failureOf(outcome);
  }
  const auto &response = *outcome.Response;
  if (response.Status == 410) {
    return Reason{ErrorCode::LogTrimmed,
                  "offset " + std::to_string(raw(from)) + " is trimmed"};
  }
  if (response.Status != 200) {
    return unavailable("the log answered " + std::to_string(response.Status));
  }
  const auto first = parseNumber(headerValue(response.Headers, "Log-First"));
  const auto next = parseNumber(headerValue(response.Headers, "Log-Next"));
  auto entries = parseLogEntries(response.Body, from);
  if (!entries) {
    return entries.reason();
  }
  if (!first || !next || *next == 0 ||
      (!entries->empty() && raw(entries->back().Offset) >= *next)) {
    return Reason{ErrorCode::InvalidRecord, "bad Log-First or Log-Next"};
  }
  return LogBatch{std::move(*entries), static_cast<LogOffset>(*first),
                  static_cast<LogOffset>(*next)};
}

} // namespace

Result<std::vector<LogEntry>> parseLogEntries(std::string_view body,
                                              LogOffset from) {
  std::vector<LogEntry> entries;
  auto least = raw(from);
  while (!body.empty()) {
    if (body.size() < EntryHeadBytes) {
      return Reason{ErrorCode::InvalidRecord, "an entry is cut off"};
    }
    const auto offset = littleEndian(body.substr(0, 8));
    const auto n = littleEndian(body.substr(8, 4));
    body.remove_prefix(EntryHeadBytes);
    if (offset < least || offset == 0 || n > body.size()) {
      return Reason{ErrorCode::InvalidRecord,
                    "an entry is cut off or out of order"};
    }
    entries.push_back(
        {static_cast<LogOffset>(offset), std::string(body.substr(0, n))});
    body.remove_prefix(n);
    least = offset + 1;
  }
  return entries;
}

struct LogClient::Impl : std::enable_shared_from_this<LogClient::Impl> {
  Impl(Reactor &reactor, HttpClient &http, std::string baseUrl,
       std::uint64_t seed)
      : Loop(reactor), Http(http), BaseUrl(std::move(baseUrl)), Random(seed) {}

  // One appendConfirmed() from its first append to its callback.
  struct Confirmation {
    std::string Bytes;
    Matcher Mine;
    TimePoint Deadline;
    AppendCallback Done;
    /** Where the search goes on. */
    LogOffset From = LogOffset::None;
    int Appends = 0;
    int Failures = 0;
    /** An earlier append may have taken effect. */
    bool Uncertain = false;
  };
  using Shared = std::shared_ptr<Confirmation>;

  void append(std::string bytes, TimePoint deadline, AppendCallback done);
  void read(LogOffset from, std::uint32_t max, Duration wait,
            TimePoint deadline, ReadCallback done);
  void attempt(const Shared &c);
  void attempted(const Shared &c, const Result<LogOffset> &offset,
                 bool mayHaveTakenEffect);
  void search(const Shared &c);
  void searched(const Shared &c, const Result<LogBatch> &batch);
  void retry(const Shared &c, void (Impl::*step)(const Shared &));
  static void end(const Shared &c, const std::string &why);
  TimePoint attemptDeadline(TimePoint deadline) const {
    return std::min(deadline, Loop.now() + LogLimits::AttemptTimeout);
  }

  Reactor &Loop;
  HttpClient &Http;
  std::string BaseUrl;
  std::mt19937_64 Random;
  LogOffset First = LogOffset::None;
};

void LogClient::Impl::append(std::string bytes, TimePoint deadline,
                             AppendCallback done) {
  if (bytes.size() > MaxRecordBytes) {
    Loop.schedule(
        Loop.now(), [weak = weak_from_this(), done = std::move(done)] {
          if (weak.lock()) {
            done(Reason{ErrorCode::TooLarge, "record too large"}, false);
          }
        });
    return;
  }
  HttpCall call;
  call.Method = "POST";
  call.Url = BaseUrl + "/append";
  call.Body = std::move(bytes);
  call.Deadline = deadline;
  // A record that libcurl sends twice gets two offsets, and readers use the
  // first, of which this call would not learn.
  call.FreshConnection = true;
  Http.start(std::move(call), [weak = weak_from_this(), done = std::move(done)](
                                  const HttpOutcome &outcome) {
    if (weak.lock()) {
      auto result = appendResult(outcome);
      const bool mayHave = !result && outcome.MayHaveRun;
      done(std::move(result), mayHave);
    }
  });
}

void LogClient::Impl::read(LogOffset from, std::uint32_t max, Duration wait,
                           TimePoint deadline, ReadCallback done) {
  max = std::clamp(max, 1U, LogLimits::MaxReadRecords);
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  HttpCall call;
  call.Method = "GET";
  call.Url = BaseUrl + "/read?from=" + std::to_string(raw(from)) +
             "&max=" + std::to_string(max) + "&wait_ms=" + std::to_string(ms);
  // A connection that went silent is given up soon after the wait.
  call.Deadline = std::min(deadline, Loop.now() + wait + AnswerTime);
  call.MaxResponseBytes = MaxReadBytes;
  Http.start(std::move(call), [weak = weak_from_this(), from, max,
                               done = std::move(done)](
                                  const HttpOutcome &outcome) {
    const auto impl = weak.lock();
    if (!impl) {
      return;
    }
    if (outcome.Response) {
      const auto first =
          parseNumber(headerValue(outcome.Response->Headers, "Log-First"));
      impl->First = first ? static_cast<LogOffset>(*first) : impl->First;
    }
    auto result = readResult(outcome, from);
    if (result && result->Entries.size() > max) {
      result = Reason{ErrorCode::InvalidRecord, "more records than asked for"};
    }
    done(std::move(result));
  });
}

void LogClient::Impl::attempt(const Shared &c) {
  if (c->Appends >= LogLimits::MaxAppends) {
    end(c, "too many appends failed");
    return;
  }
  ++c->Appends;
  append(c->Bytes, attemptDeadline(c->Deadline),
         [this, c](const Result<LogOffset> &offset, bool mayHave) {
           attempted(c, offset, mayHave);
         });
}

void LogClient::Impl::attempted(const Shared &c,
                                const Result<LogOffset> &offset,
                                bool mayHaveTakenEffect) {
  if (offset && !c->Uncertain) {
    c->Done(*offset, false);
    return;
  }
  if (!offset && offset.reason().Code == ErrorCode::TooLarge) {
    c->Done(offset.reason(), false);
    return;
  }
  c->Uncertain = c->Uncertain || offset || mayHaveTakenEffect;
  if (offset) {
    // An earlier append may have got a lower offset, which is the one that
    // counts.
    search(c);
  } else if (c->Uncertain) {
    retry(c, &Impl::search);
  } else {
    retry(c, &Impl::attempt);
  }
}

void LogClient::Impl::search(const Shared &c) {
  read(c->From, LogLimits::MaxReadRecords, Duration::zero(),
       attemptDeadline(c->Deadline),
       [this, c](const Result<LogBatch> &batch) { searched(c, batch); });
}

void LogClient::Impl::searched(const Shared &c, const Result<LogBatch> &batch) {
  if (!batch) {
    if (batch.reason().Code == ErrorCode::LogTrimmed) {
      end(c, batch.reason().Message);
    } else {
      retry(c, &Impl::search);
    }
    return;
  }
  for (const auto &it : batch->Entries) {
    if (c->Mine(it.Bytes)) {
      c->Done(it.Offset, false);
      return;
    }
    c->From = static_cast<LogOffset>(raw(it.Offset) + 1);
  }
  if (c->From >= batch->Next) {
    retry(c, &Impl::attempt);
  } else if (batch->Entries.empty()) {
    // The log has records here that it did not return yet.
    retry(c, &Impl::search);
  } else {
    search(c);
  }
}

// Goes on after a pause with full jitter, so that many clients do not return
// to a recovering log at the same time.
void LogClient::Impl::retry(const Shared &c,
                            void (Impl::*step)(const Shared &)) {
  const auto doublings = std::min(c->Failures++, 7);
  const auto most =
      std::min(LogLimits::MinBackoff * (1 << doublings), LogLimits::MaxBackoff);
  std::uniform_int_distribution<std::int64_t> pause(most.count() / 4,
                                                    most.count());
  const auto when = Loop.now() + Duration(pause(Random));
  if (when >= c->Deadline) {
    end(c, "deadline passed");
    return;
  }
  Loop.schedule(when, [weak = weak_from_this(), c, step] {
    if (const auto self = weak.lock()) {
      ((*self).*step)(c);
    }
  });
}

void LogClient::Impl::end(const Shared &c, const std::string &why) {
  c->Done(
      unavailable(why + (c->Uncertain ? "; the record may have taken effect"
                                      : "; the record has not taken effect")),
      c->Uncertain);
}

LogClient::LogClient(Reactor &reactor, HttpClient &http, std::string baseUrl,
                     std::uint64_t seed)
    : State(std::make_shared<Impl>(reactor, http, std::move(baseUrl), seed)) {}

LogClient::~LogClient() = default;

LogOffset LogClient::firstRetained() const { return State->First; }

void LogClient::append(std::string bytes, TimePoint deadline,
                       AppendCallback done) {
  State->append(std::move(bytes), deadline, std::move(done));
}

void LogClient::read(LogOffset from, std::uint32_t max, Duration wait,
                     TimePoint deadline, ReadCallback done) {
  State->read(from, max, wait, deadline, std::move(done));
}

void LogClient::appendConfirmed(std::string bytes, Matcher mine,
                                LogOffset knownTail, TimePoint deadline,
                                AppendCallback done) {
  auto c = std::make_shared<Impl::Confirmation>();
  c->Bytes = std::move(bytes);
  c->Mine = std::move(mine);
  // Offsets begin at 1.
  c->From = std::max(knownTail, static_cast<LogOffset>(1));
  c->Deadline = deadline;
  c->Done = std::move(done);
  State->attempt(c);
}

} // namespace chivefold
