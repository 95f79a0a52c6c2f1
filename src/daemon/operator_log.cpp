#include "chivefold/daemon/operator_commands.h"

#include "chivefold/core/control_snapshot.h"
#include "chivefold/io/log_client.h"

#include <algorithm>

namespace chivefold {
namespace {

Reason logUnavailable(const std::string &lastError) {
  return {ErrorCode::LogUnavailable, "the log is unavailable: " + lastError};
}

} // namespace

OperatorLogClient::OperatorLogClient(OperatorContext &context,
                                     std::string baseUrl)
    : Context(context), BaseUrl(std::move(baseUrl)) {}

Result<BlockingHttpResponse> OperatorLogClient::read(LogOffset from) {
  const auto url = BaseUrl + "/read?from=" + std::to_string(raw(from)) +
                   "&max=" + std::to_string(LogLimits::MaxReadRecords) +
                   "&wait_ms=0";
  std::string lastError;
  for (int n = 0; n < MaxAttempts; ++n) {
    if (n > 0) {
      Context.Sleep(RetryDelay);
    }
    auto response = Context.Http.request("GET", url, "");
    if (response && (response->Status == 200 || response->Status == 410)) {
      return response;
    }
    lastError = response ? "status " + std::to_string(response->Status)
                         : response.reason().Message;
  }
  return logUnavailable(lastError);
}

Status OperatorLogClient::applyBatch(const BlockingHttpResponse &response,
                                     LogOffset from) {
  const auto entries = parseLogEntries(response.Body, from);
  if (!entries) {
    return entries.reason();
  }
  for (const auto &it : *entries) {
    const auto applied = State.apply(it);
    if (!applied) {
      return applied.reason();
    }
    const auto record = decodeRecord(it.Bytes);
    if (record) {
      Writers[it.Offset] = record->Writer;
      if (Writers.size() > MaxWriters) {
        Writers.erase(Writers.begin());
      }
    }
  }
  return Done{};
}

Status OperatorLogClient::restoreFromSnapshot(LogOffset first) {
  SnapshotScan scan(first);
  for (bool more = true; more;) {
    const auto response = read(scan.next());
    if (!response) {
      return response.reason();
    }
    if (response->Status == 410) {
      // Records were trimmed during the scan. readToTail() starts a new one.
      return Done{};
    }
    const auto entries = parseLogEntries(response->Body, scan.next());
    if (!entries) {
      return entries.reason();
    }
    more = scan.add(*entries, response->LogNext);
  }
  auto state = scan.take();
  if (!state) {
    return state.reason();
  }
  // Never replace the state by an older one, so that the configuration version
  // cannot go backwards.
  if (state->applied() > State.applied()) {
    State = std::move(*state);
  }
  return Done{};
}

Status OperatorLogClient::readToTail() {
  int recoveries = 0;
  while (true) {
    const auto from = LogOffset{raw(State.applied()) + 1};
    const auto response = read(from);
    if (!response) {
      return response.reason();
    }
    if (response->Status == 410) {
      if (recoveries == MaxAttempts || response->LogFirst <= from) {
        return Reason{ErrorCode::LogTrimmed,
                      "the log no longer retains offset " +
                          std::to_string(raw(from))};
      }
      ++recoveries;
      auto status = restoreFromSnapshot(response->LogFirst);
      if (!status) {
        return status;
      }
      continue;
    }
    auto status = applyBatch(*response, from);
    if (!status) {
      return status;
    }
    if (State.applied() < from ||
        raw(State.applied()) + 1 >= raw(response->LogNext)) {
      return Done{};
    }
  }
}

Status OperatorLogClient::appendOne(const Record &record) {
  const auto bytes = encodeRecord(record);
  bool mayBeAppended = false;
  for (int n = 0; n < MaxAttempts; ++n) {
    if (n > 0) {
      Context.Sleep(RetryDelay);
    }
    if (mayBeAppended) {
      // The response was lost, so look for the record before sending it again.
      // If both copies end up in the log, readers ignore the second one, since
      // it has the same id.
      if (!readToTail()) {
        continue;
      }
      if (State.verdict(record.Id)) {
        return Done{};
      }
    }
    const auto response =
        Context.Http.request("POST", BaseUrl + "/append", bytes);
    if (response && response->Status == 200) {
      return Done{};
    }
    if (response && response->Status >= 400 && response->Status < 500) {
      return Reason{ErrorCode::InvalidArgument,
                    "the log refused the record with status " +
                        std::to_string(response->Status)};
    }
    mayBeAppended = true;
  }
  if (readToTail() && State.verdict(record.Id)) {
    return Done{};
  }
  // The record is not in the log now, but a request may still be in flight.
  return Reason{ErrorCode::OutcomeUnknown,
                "the log did not confirm the append"};
}

Result<Verdict> OperatorLogClient::append(const std::vector<Record> &records) {
  for (const auto &it : records) {
    const auto status = appendOne(it);
    if (!status && &it != &records.back()) {
      return Reason{ErrorCode::LogUnavailable,
                    "not in force, the commit record was not appended: " +
                        status.reason().Message};
    }
    if (!status) {
      return status.reason();
    }
  }
  const auto read = readToTail();
  if (!read) {
    return Reason{ErrorCode::OutcomeUnknown, read.reason().Message};
  }
  auto verdict = find(records.back().Id);
  if (!verdict) {
    return Reason{ErrorCode::OutcomeUnknown,
                  "the log does not contain the record yet"};
  }
  return verdict;
}

Result<Verdict> OperatorLogClient::find(const RecordId &id) const {
  const auto verdict = State.verdict(id);
  if (!verdict) {
    return Reason{ErrorCode::NotFound, "no record " + toString(id)};
  }
  return *verdict;
}

std::string OperatorLogClient::writerAt(LogOffset offset) const {
  const auto it = Writers.find(offset);
  return it == Writers.end() ? "" : it->second;
}

} // namespace chivefold
