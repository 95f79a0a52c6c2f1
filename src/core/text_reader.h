/**
 * @file
 * Typed access to parsed TOML values, with the source positions of errors.
 */
#ifndef CHIVEFOLD_SRC_CORE_TEXT_READER_H
#define CHIVEFOLD_SRC_CORE_TEXT_READER_H

#include "chivefold/core/configuration.h"
#include "chivefold/core/error.h"
#include "text_scan.h"

#include <algorithm>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <toml.hpp>
#include <vector>

namespace chivefold {

/** Tables are ordered so that every run reports the same first error. */
using TomlValue =
    toml::basic_value<toml::discard_comments, std::map, std::vector>;

/** @return InvalidText at the source position of @p at. */
inline Reason reasonAt(const TomlValue &at, std::string message) {
  const auto place = at.location();
  return {ErrorCode::InvalidText, std::move(message),
          static_cast<int>(place.line()), static_cast<int>(place.column())};
}

/** @return whether @p text is a valid name: 1 to MaxNameBytes letters, digits,
 * dots, underscores and hyphens. */
inline bool isName(std::string_view text) {
  return !text.empty() && text.size() <= ConfigurationLimits::MaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
         });
}

/**
 * Reads typed values and stores the first error. An invalid value does not stop
 * the reading, so that callers need not check for an error after each value.
 */
class TomlReader {
public:
  bool failed() const { return FirstError.has_value(); }
  const Reason &reason() const { return *FirstError; }

  void fail(const TomlValue &at, std::string message) {
    if (!FirstError) {
      FirstError = reasonAt(at, std::move(message));
    }
  }

  /** @return the table, or an empty one if @p value is not a table. Keys that
   * are not in @p keys are errors. */
  const TomlValue::table_type &
  table(const TomlValue &value, const std::string &what,
        std::initializer_list<std::string_view> keys) {
    const auto &t = anyTable(value, what);
    for (const auto &it : t) {
      if (std::find(keys.begin(), keys.end(), it.first) == keys.end()) {
        std::string message = "unknown key ";
        message += quotedText(it.first);
        message += " in ";
        message += what;
        message += ", expected one of:";
        for (const auto &key : keys) {
          message += ' ';
          message += key;
        }
        fail(it.second, std::move(message));
      }
    }
    return t;
  }

  /** @return the table, or an empty one if @p value is not a table. Accepts any
   * key. */
  const TomlValue::table_type &anyTable(const TomlValue &value,
                                        const std::string &what) {
    static const TomlValue::table_type none;
    if (!value.is_table()) {
      fail(value, "expected a table for " + what);
      return none;
    }
    return value.as_table();
  }

  /** @return the value of a required key, or nullptr if it is missing. */
  const TomlValue *required(const TomlValue &parent,
                            const TomlValue::table_type &t, const char *key) {
    const auto it = t.find(key);
    if (it == t.end()) {
      fail(parent, std::string("expected a key '") + key + "' in this table");
      return nullptr;
    }
    return &it->second;
  }

  /** @return the string in @p value, which must satisfy @p isValid. @p expected
   * describes valid strings in the error message. */
  std::string text(const TomlValue &value, bool (*isValid)(std::string_view),
                   const char *expected) {
    if (!value.is_string()) {
      fail(value, std::string("expected a string: ") + expected);
      return {};
    }
    const auto &s = value.as_string().str;
    if (!isValid(s)) {
      fail(value,
           std::string("expected ") + expected + ", got " + quotedText(s));
    }
    return s;
  }

  std::string name(const TomlValue &value) {
    return text(value, isName, NameExpected);
  }

  /** Reads an array of at most @p maxCount distinct names. */
  std::vector<std::string> names(const TomlValue &value, std::size_t maxCount) {
    std::vector<std::string> result;
    if (!value.is_array()) {
      fail(value, "expected an array of names");
      return result;
    }
    const auto &list = value.as_array();
    if (list.size() > maxCount) {
      fail(list[maxCount],
           "expected at most " + std::to_string(maxCount) + " names");
      return result;
    }
    for (const auto &it : list) {
      result.push_back(name(it));
      if (std::find(result.begin(), result.end() - 1, result.back()) !=
          result.end() - 1) {
        fail(it, "duplicate name " + quotedText(result.back()));
      }
    }
    return result;
  }

  /** Reads an optional integer from 1 to @p maximum. @p target is unchanged if
   * the key is missing or invalid. */
  void number(const TomlValue::table_type &t, const char *key,
              std::uint32_t maximum, std::uint32_t &target) {
    const auto it = t.find(key);
    if (it == t.end()) {
      return;
    }
    const auto &value = it->second;
    if (!value.is_integer() || value.as_integer() < 1 ||
        value.as_integer() > maximum) {
      fail(value, std::string("expected a whole number from 1 to ") +
                      std::to_string(maximum) + " for " + key);
      return;
    }
    target = static_cast<std::uint32_t>(value.as_integer());
  }

  /** Reads an optional number above 0 and below 1. @p target is unchanged if
   * the key is missing or invalid. */
  void fraction(const TomlValue::table_type &t, const char *key,
                double &target) {
    const auto it = t.find(key);
    if (it == t.end()) {
      return;
    }
    const auto &value = it->second;
    // This form of the comparison also rejects NaN.
    if (!value.is_floating() ||
        !(value.as_floating() > 0 && value.as_floating() < 1)) {
      fail(value,
           std::string("expected a number above 0 and below 1 for ") + key);
      return;
    }
    target = value.as_floating();
  }

  static constexpr const char *NameExpected =
      "a name of 1 to 64 letters, digits, '.', '_' or '-'";

private:
  std::optional<Reason> FirstError;
};

} // namespace chivefold

#endif
