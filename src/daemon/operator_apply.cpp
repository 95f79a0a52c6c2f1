#include "chivefold/daemon/operator_commands.h"

#include "chivefold/core/configuration_text.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace chivefold {
namespace {

using nlohmann::json;

/** Formats a result as JSON or text. Errors go to standard error unless JSON is
 * requested. */
OperatorResult makeResult(OperatorExitCode exit, const std::string &outcome,
                          const std::string &message, json details,
                          bool asJson) {
  OperatorResult result;
  result.Exit = exit;
  if (asJson) {
    details["outcome"] = outcome;
    details["message"] = message;
    result.Output =
        details.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
  } else if (exit == OperatorExitCode::Ok) {
    result.Output = message + "\n";
  } else {
    result.Error = message;
  }
  return result;
}

OperatorResult invalidConfigurationResult(const Reason &reason, bool asJson) {
  return makeResult(OperatorExitCode::BadInput, "bad-text", toString(reason),
                    {{"line", reason.Line}, {"column", reason.Column}}, asJson);
}

/** Result of a failure before any record was sent to the log. */
OperatorResult failedBeforeAppend(const Reason &reason, bool asJson) {
  const bool unknown = reason.Code == ErrorCode::LogUnavailable;
  return makeResult(
      unknown ? OperatorExitCode::Unknown : OperatorExitCode::Refused,
      unknown ? "unknown" : "failed", reason.Message + "; nothing was appended",
      json::object(), asJson);
}

OperatorResult unknownOutcomeResult(const Reason &reason, const RecordId &id,
                                    bool asJson) {
  return makeResult(OperatorExitCode::Unknown, "unknown",
                    "unknown: " + reason.Message +
                        "; query the outcome with `chivefold apply --resume " +
                        toString(id) + "`",
                    {{"id", toString(id)}}, asJson);
}

std::string rejectionReason(const Verdict &v, const OperatorLogClient &log) {
  if (v.Kind == VerdictKind::LostRace) {
    const auto writer =
        v.WinnerWriter.empty() ? log.writerAt(v.WinnerOffset) : v.WinnerWriter;
    return "lost race to offset " + std::to_string(raw(v.WinnerOffset)) +
           " by " + (writer.empty() ? "an unknown writer" : writer);
  }
  return std::string(verdictName(v.Kind));
}

OperatorResult verdictResult(const Verdict &v, const OperatorLogClient &log,
                             const RecordId &id, bool asJson) {
  json details = {{"offset", raw(v.Offset)},
                  {"verdict", verdictName(v.Kind)},
                  {"id", toString(id)}};
  if (v.Kind == VerdictKind::Counted) {
    return makeResult(OperatorExitCode::Ok, "accepted",
                      "accepted at offset " + std::to_string(raw(v.Offset)),
                      details, asJson);
  }
  if (v.WinnerOffset != LogOffset::None) {
    details["winner"] = raw(v.WinnerOffset);
  }
  return makeResult(OperatorExitCode::Refused, "refused",
                    "refused, not in force: " + rejectionReason(v, log),
                    details, asJson);
}

OperatorResult appendAndReport(OperatorLogClient &log,
                               const std::vector<Record> &records,
                               bool asJson) {
  const auto &id = records.back().Id;
  const auto verdict = log.append(records);
  if (verdict) {
    return verdictResult(*verdict, log, id, asJson);
  }
  if (verdict.reason().Code == ErrorCode::OutcomeUnknown) {
    return unknownOutcomeResult(verdict.reason(), id, asJson);
  }
  return makeResult(OperatorExitCode::Refused, "failed",
                    verdict.reason().Message, {{"id", toString(id)}}, asJson);
}

} // namespace

OperatorResult checkConfiguration(const std::string &text,
                                  const OperatorContext &context, bool json) {
  const auto config = compileConfiguration(text, context.Now());
  if (!config) {
    return invalidConfigurationResult(config.reason(), json);
  }
  return makeResult(OperatorExitCode::Ok, "good",
                    "good: " + std::to_string(config->Services.size()) +
                        " services",
                    {{"services", config->Services.size()}}, json);
}

OperatorResult diffConfiguration(const std::string &text,
                                 OperatorContext &context,
                                 const std::string &logUrl, bool json) {
  const auto config = compileConfiguration(text);
  if (!config) {
    return invalidConfigurationResult(config.reason(), json);
  }
  OperatorLogClient log(context, logUrl);
  const auto read = log.readToTail();
  if (!read) {
    return failedBeforeAppend(read.reason(), json);
  }
  const auto sections = difference(*log.state().configuration(), *config);
  auto lines = describe(sections);
  if (!lines.empty()) {
    lines.pop_back();
  }
  return makeResult(
      OperatorExitCode::Ok, sections.empty() ? "same" : "different",
      sections.empty() ? "no difference" : lines,
      {{"version", raw(log.state().version())}, {"sections", sections.size()}},
      json);
}

OperatorResult applyConfiguration(const std::string &text,
                                  OperatorContext &context,
                                  const ApplyOptions &options) {
  const auto config = compileConfiguration(text, context.Now());
  if (!config) {
    return invalidConfigurationResult(config.reason(), options.Json);
  }
  OperatorLogClient log(context, options.LogUrl);
  const auto read = log.readToTail();
  if (!read) {
    return failedBeforeAppend(read.reason(), options.Json);
  }
  auto sections = difference(*log.state().configuration(), *config);
  const auto version = log.state().version();
  if (sections.empty()) {
    return makeResult(OperatorExitCode::Ok, "same",
                      "no difference to version " +
                          std::to_string(raw(version)) +
                          ", nothing was appended",
                      {{"version", raw(version)}}, options.Json);
  }
  const auto records =
      makeChange(options.Base.value_or(version), std::move(sections),
                 context.NewId, context.Writer);
  if (!records) {
    return failedBeforeAppend(records.reason(), options.Json);
  }
  return appendAndReport(log, *records, options.Json);
}

OperatorResult resumeApply(const RecordId &id, OperatorContext &context,
                           const ApplyOptions &options) {
  OperatorLogClient log(context, options.LogUrl);
  const auto read = log.readToTail();
  if (!read) {
    return unknownOutcomeResult(read.reason(), id, options.Json);
  }
  const auto verdict = log.find(id);
  if (!verdict) {
    return makeResult(OperatorExitCode::Unknown, "unknown",
                      "unknown: the retained log has no record " +
                          toString(id) +
                          "; it was not accepted unless its append is still in "
                          "flight or its record has been trimmed",
                      {{"id", toString(id)}}, options.Json);
  }
  return verdictResult(*verdict, log, id, options.Json);
}

namespace {

/** Appends the record of a take-out or put-back to the log. */
OperatorResult appendDataCentreRecord(const std::string &dataCentre,
                                      bool takenOut, OperatorContext &context,
                                      const std::string &logUrl, bool json) {
  OperatorLogClient log(context, logUrl);
  const auto read = log.readToTail();
  if (!read) {
    return failedBeforeAppend(read.reason(), json);
  }
  const auto &known = log.state().configuration()->FleetSettings.DataCentres;
  if (std::find(known.begin(), known.end(), dataCentre) == known.end()) {
    return failedBeforeAppend(
        {ErrorCode::NotFound,
         "no data centre " + dataCentre + " in the configuration"},
        json);
  }
  // A put-back is always appended, since it also ends a take-out that daemons
  // propagate among themselves but that is not in the log yet.
  if (takenOut && log.state().takenOut(dataCentre)) {
    return makeResult(OperatorExitCode::Ok, "same",
                      dataCentre +
                          " is already taken out, nothing was appended",
                      nlohmann::json::object(), json);
  }
  return appendAndReport(log,
                         {{context.NewId(), context.Writer,
                           DataCentreRecord{dataCentre, takenOut}}},
                         json);
}

/** Asks the daemon at @p admin to propagate a take-out. @return an error
 * message; empty if the daemon does propagate it. */
std::string requestTakeOut(const std::string &dataCentre,
                           OperatorContext &context, const Address &admin) {
  const auto response = context.Http.request(
      "PUT",
      "http://" + toString(admin) + "/-/take-out?data_centre=" + dataCentre,
      "");
  if (!response) {
    return response.reason().Message;
  }
  return response->Status == 200 ? ""
                                 : "status " + std::to_string(response->Status);
}

/** @return whether @p name needs no escaping in a URL. Every valid name of a
 * data centre satisfies this. */
bool isUrlSafeName(const std::string &name) {
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
         });
}

} // namespace

OperatorResult setDataCentreTakenOut(const std::string &dataCentre,
                                     bool takenOut, OperatorContext &context,
                                     const DataCentreOptions &options) {
  if (!isUrlSafeName(dataCentre)) {
    return makeResult(OperatorExitCode::BadInput, "bad-name",
                      "expected the name of a data centre, got '" + dataCentre +
                          "'",
                      json::object(), options.Json);
  }
  const bool asksDaemon = takenOut && options.Admin;
  // Notify the daemon first: it can propagate the take-out even while the log
  // is unavailable.
  const auto takeOutError =
      asksDaemon ? requestTakeOut(dataCentre, context, *options.Admin) : "";
  auto result = appendDataCentreRecord(dataCentre, takenOut, context,
                                       options.LogUrl, options.Json);
  if (!asksDaemon) {
    return result;
  }
  const bool recorded = result.Exit == OperatorExitCode::Ok;
  if (options.Json) {
    auto details = json::parse(result.Output);
    details["spread"] = takeOutError.empty();
    details["spread_fault"] = takeOutError;
    details["recorded"] = recorded;
    result.Output = details.dump(2) + "\n";
    return result;
  }
  constexpr std::string_view accepted = "accepted at ";
  const bool newlyAppended =
      result.Output.compare(0, accepted.size(), accepted) == 0;
  const auto record =
      newlyAppended ? "recorded at " + result.Output.substr(accepted.size())
                    : "recorded: " + result.Output;
  const auto adminAddress = toString(*options.Admin);
  result.Output = (takeOutError.empty() ? "spread now by " + adminAddress
                                        : "not spread by " + adminAddress +
                                              ": " + takeOutError) +
                  "\n" + (recorded ? record : "recorded not yet\n");
  return result;
}

} // namespace chivefold
