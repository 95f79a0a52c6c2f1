#include "chivefold/core/error.h"

#include "chivefold/core/enum_names.h"

namespace chivefold {
namespace {

constexpr EnumNames<ErrorCode, 19> ErrorNames{{{
    {ErrorCode::Ok, "ok"},
    {ErrorCode::InvalidArgument, "invalid-argument"},
    {ErrorCode::InvalidText, "invalid-text"},
    {ErrorCode::InvalidRecord, "invalid-record"},
    {ErrorCode::LostRace, "lost-race"},
    {ErrorCode::NotFound, "not-found"},
    {ErrorCode::NotReady, "not-ready"},
    {ErrorCode::Overloaded, "overloaded"},
    {ErrorCode::DeadlineExceeded, "deadline-exceeded"},
    {ErrorCode::ConnectionFailed, "connection-failed"},
    {ErrorCode::LogUnavailable, "log-unavailable"},
    {ErrorCode::LogTrimmed, "log-trimmed"},
    {ErrorCode::OutcomeUnknown, "outcome-unknown"},
    {ErrorCode::TooLarge, "too-large"},
    {ErrorCode::Conflict, "conflict"},
    {ErrorCode::Quarantined, "quarantined"},
    {ErrorCode::Declined, "declined"},
    {ErrorCode::RateLimited, "rate-limited"},
    {ErrorCode::RouteChanged, "route-changed"},
}}};

} // namespace

std::string_view errorName(ErrorCode ec) { return ErrorNames.name(ec); }

std::optional<ErrorCode> errorFromName(std::string_view name) {
  return ErrorNames.value(name);
}

std::string toString(const Reason &reason) {
  if (reason.Line == 0) {
    return reason.Message;
  }
  return "line " + std::to_string(reason.Line) + ", column " +
         std::to_string(reason.Column) + ": " + reason.Message;
}

} // namespace chivefold
