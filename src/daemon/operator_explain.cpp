#include "chivefold/daemon/operator_commands.h"
#include "chivefold/daemon/text_table.h"

#include <array>
#include <cctype>
#include <nlohmann/json.hpp>

namespace chivefold {

namespace {

using nlohmann::json;

/** Columns of the servers: the key of a value and its heading. */
constexpr std::array<std::pair<const char *, const char *>, 13> Columns{
    {{"host", "host"},
     {"data_centre", "data centre"},
     {"version", "version"},
     {"expected_ms", "expected ms"},
     {"outstanding", "outstanding"},
     {"own", "own"},
     {"limit", "limit"},
     {"slots", "slots"},
     {"cold", "cold"},
     {"limit_per_second", "per second"},
     {"limit_wait_ms", "wait ms"},
     {"back_off_ms", "back-off ms"},
     {"error_rate", "errors"}}};

std::string escaped(const std::string &text) {
  constexpr std::string_view digits = "0123456789ABCDEF";
  std::string out;
  for (const char it : text) {
    const auto byte = static_cast<unsigned char>(it);
    if (std::isalnum(byte) != 0 || it == '/' || it == '.' || it == '-') {
      out += it;
    } else {
      out += {'%', digits[byte >> 4U], digits[byte & 15U]};
    }
  }
  return out;
}

std::string textOf(const json &object, const char *key) {
  const auto it = object.is_object() ? object.find(key) : object.end();
  if (!object.is_object() || it == object.end() || !it->is_primitive()) {
    return "-";
  }
  return it->is_string()
             ? it->get<std::string>()
             : it->dump(-1, ' ', false, json::error_handler_t::replace);
}

json arrayIn(const json &object, const char *key) {
  const auto it = object.is_object() ? object.find(key) : object.end();
  return object.is_object() && it != object.end() && it->is_array()
             ? *it
             : json::array();
}

json objectIn(const json &object, const char *key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_object() ? *it : json::object();
}

std::string serviceText(const json &service) {
  std::string out = "service " + textOf(service, "service") + ", weight " +
                    textOf(service, "weight");
  if (service.is_object() && service.contains("rollout")) {
    const auto rollout = objectIn(service, "rollout");
    out += ", rollout of " + textOf(rollout, "target") + " at " +
           textOf(rollout, "share_basis_points") + "/10000";
  }
  TextRow heading;
  heading.push_back("use");
  for (const auto &it : Columns) {
    heading.push_back(it.second);
  }
  std::vector<TextRow> rows{heading};
  for (const auto &it : arrayIn(service, "candidates")) {
    const auto obstacle = textOf(it, "ruled_out_by");
    TextRow row{textOf(it, "best") == "true" ? "best"
                : obstacle == "none"         ? "possible"
                                             : "no: " + obstacle};
    for (const auto &column : Columns) {
      row.push_back(textOf(it, column.first));
    }
    rows.push_back(std::move(row));
  }
  return out + ", servers " + textOf(service, "servers") + "\n" +
         formatTable(rows);
}

std::string explanationText(const json &value) {
  const auto route = objectIn(value, "route");
  std::string out =
      "route " + textOf(route, "name") + " (" + textOf(route, "kind") +
      ", priority " + textOf(route, "priority") + ", time-out " +
      textOf(route, "timeout_ms") + " ms, target " +
      textOf(route, "target_ms") + " ms, runs at most " +
      textOf(route, "max_runs") + ")\nconfiguration " +
      textOf(value, "configuration") +
      (textOf(value, "may_be_stale") == "true" ? ", a later one may exist"
                                               : "") +
      "; from data centre " + textOf(value, "data_centre") + "\n";
  for (const auto &it : arrayIn(value, "services")) {
    out += "\n" + serviceText(it);
  }
  return out;
}

} // namespace

OperatorResult showExplanation(OperatorContext &context,
                               const ExplainOptions &options) {
  if (options.Host.empty() || options.Path.empty() ||
      options.Path.front() != '/') {
    return {OperatorExitCode::BadInput, "",
            "explain: expected a host name, and a path that begins with '/'"};
  }
  const auto url = "http://" + toString(options.Admin) +
                   "/-/explain?host=" + escaped(options.Host) +
                   "&path=" + escaped(options.Path);
  const auto response = context.Http.request("GET", url, "");
  if (!response) {
    return {OperatorExitCode::Refused, "",
            "no answer from " + url + ": " + response.reason().Message};
  }
  const auto value = json::parse(response->Body, nullptr, false);
  if (response->Status != 200 || !value.is_object()) {
    return {response->Status == 400 ? OperatorExitCode::BadInput
                                    : OperatorExitCode::Refused,
            options.Json && value.is_object() ? response->Body : "",
            "status " + std::to_string(response->Status) + " from " + url +
                ": " + textOf(value, "error")};
  }
  return {OperatorExitCode::Ok,
          options.Json ? response->Body : explanationText(value), ""};
}

} // namespace chivefold
