#include "chivefold/daemon/operator_commands.h"
#include "chivefold/daemon/text_table.h"

#include <nlohmann/json.hpp>

namespace chivefold {
namespace {

using nlohmann::json;

/** @return the value of a field as text; "-" if it is absent, empty, an object
 * or an array. */
std::string fieldText(const json &object, const char *key) {
  const auto it = object.is_object() ? object.find(key) : object.end();
  if (!object.is_object() || it == object.end()) {
    return "-";
  }
  if (it->is_string()) {
    const auto s = it->get<std::string>();
    return s.empty() ? "-" : s;
  }
  return it->is_primitive()
             ? it->dump(-1, ' ', false, json::error_handler_t::replace)
             : "-";
}

/** @return a table with one row per element of the array @p list in @p state
 * and one column per key. */
std::string listTable(const json &state, const char *list,
                      const TextRow &keys) {
  std::vector<TextRow> rows = {keys};
  const auto it = state.is_object() ? state.find(list) : state.end();
  if (state.is_object() && it != state.end() && it->is_array()) {
    for (const auto &item : *it) {
      TextRow row;
      for (const auto &key : keys) {
        row.push_back(fieldText(item, key.c_str()));
      }
      rows.push_back(std::move(row));
    }
  }
  return rows.size() == 1 ? std::string(list) + ": none\n" : formatTable(rows);
}

std::string statusText(const json &state) {
  std::vector<TextRow> rows;
  for (const auto *key :
       {"service", "data_centre", "ready", "reason", "version", "applied"}) {
    rows.push_back({key, fieldText(state, key)});
  }
  return formatTable(rows) + "\n" +
         listTable(state, "data_centres", {"name", "taken_out"}) + "\n" +
         listTable(state, "members",
                   {"address", "data_centre", "service", "version", "state"});
}

std::string movesTable(const json &state) {
  return listTable(state, "moves",
                   {"service", "from", "to", "deadline", "share_basis_points",
                    "state", "reason", "evidence"});
}

} // namespace

OperatorResult showView(OperatorView view, OperatorContext &context,
                        const Address &admin, bool asJson) {
  const auto url = "http://" + toString(admin) + "/-/state";
  const auto response = context.Http.request("GET", url, "");
  if (!response || response->Status != 200) {
    return {OperatorExitCode::Refused, "",
            "no answer from " + url + ": " +
                (response ? "status " + std::to_string(response->Status)
                          : response.reason().Message)};
  }
  const auto value = json::parse(response->Body, nullptr, false);
  if (!value.is_object()) {
    return {OperatorExitCode::Refused, "",
            "the response from " + url + " is not a JSON object"};
  }
  if (asJson) {
    return {OperatorExitCode::Ok, response->Body, ""};
  }
  return {OperatorExitCode::Ok,
          view == OperatorView::Status ? statusText(value) : movesTable(value),
          ""};
}

} // namespace chivefold
