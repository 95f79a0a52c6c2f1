#include "chivefold/mesh/server_statements.h"

#include "chivefold/core/enum_names.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace chivefold {

namespace {

constexpr EnumNames<LimitChange, 5> LimitChangeNames{{{
    {LimitChange::None, "none"},
    {LimitChange::Started, "started"},
    {LimitChange::Replaced, "replaced"},
    {LimitChange::Ended, "ended"},
    {LimitChange::Malformed, "malformed"},
}}};

/** Longer values are malformed: no rate needs as many digits. */
constexpr std::size_t MaxLimitLength = 64;

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::optional<double> parseDecimal(std::string_view text) {
  constexpr std::string_view digits = "0123456789";
  const auto point = text.find('.');
  const auto whole = text.substr(0, point);
  const auto fraction = point == std::string_view::npos
                            ? std::string_view()
                            : text.substr(point + 1);
  if (whole.empty() || whole.find_first_not_of(digits) != whole.npos ||
      fraction.find_first_not_of(digits) != fraction.npos ||
      (point != std::string_view::npos && fraction.empty())) {
    return std::nullopt;
  }
  double out = 0;
  const auto *end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data(), end, out, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return out;
}

} // namespace

std::string_view limitChangeName(LimitChange change) {
  return LimitChangeNames.name(change);
}

std::string describe(const RequestLimit &limit, TimePoint now) {
  if (limit.Known != LimitKnowledge::Stated) {
    return "none";
  }
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - limit.StatedAt);
  std::array<char, 64> buf{};
  std::snprintf(buf.data(), buf.size(), "%.4g/s,age_ms:%lld", limit.PerSecond,
                static_cast<long long>(age.count()));
  return buf.data();
}

std::optional<double> parseRequestLimit(std::string_view text) {
  if (text.size() > MaxLimitLength) {
    return std::nullopt;
  }
  std::optional<double> lowest;
  for (;;) {
    const auto comma = text.find(',');
    const auto value = parseDecimal(trim(text.substr(0, comma)));
    if (!value) {
      return std::nullopt;
    }
    lowest = std::min(lowest.value_or(*value), *value);
    if (comma == std::string_view::npos) {
      return lowest;
    }
    text.remove_prefix(comma + 1);
  }
}

void ServerStatements::reset(std::uint64_t serverStart) {
  Limit = {};
  Limit.ServerStart = serverStart;
  Leaving = false;
}

LimitChange ServerStatements::onAnswer(const ServerStatement &statement,
                                       std::uint64_t serverStart, bool ran,
                                       TimePoint now) {
  if (serverStart != Limit.ServerStart) {
    return LimitChange::None;
  }
  Leaving = Leaving || statement.Leaving;
  if (statement.Limit == LimitHeader::Malformed) {
    return LimitChange::Malformed;
  }
  const bool wasStated = Limit.Known == LimitKnowledge::Stated;
  if (statement.Limit == LimitHeader::Absent) {
    if (!ran) {
      return LimitChange::None;
    }
    Limit.Known = LimitKnowledge::None;
    return wasStated ? LimitChange::Ended : LimitChange::None;
  }
  const bool changed = statement.PerSecond != Limit.PerSecond;
  Limit.Known = LimitKnowledge::Stated;
  Limit.PerSecond = statement.PerSecond;
  Limit.StatedAt = now;
  if (!wasStated) {
    return LimitChange::Started;
  }
  return changed ? LimitChange::Replaced : LimitChange::None;
}

LimitChange ServerStatements::onCopy(const RequestLimit &copy) {
  if (Limit.Known != LimitKnowledge::Unknown ||
      copy.Known != LimitKnowledge::Stated ||
      copy.ServerStart != Limit.ServerStart) {
    return LimitChange::None;
  }
  Limit = copy;
  return LimitChange::Started;
}

} // namespace chivefold
