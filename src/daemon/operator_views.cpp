#include "chivefold/daemon/operator_commands.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chivefold {
namespace {

using nlohmann::json;
using Row = std::vector<std::string>;

/** @return a value as text; "-" if it is absent or of an unexpected type. */
std::string field(const json &object, const char *key) {
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

/** @return the rows with columns padded to the widest cell. */
std::string aligned(const std::vector<Row> &rows) {
  std::vector<std::size_t> widths;
  for (const auto &row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], row[n].size());
    }
  }
  std::string text;
  for (const auto &row : rows) {
    for (std::size_t n = 0; n < row.size(); ++n) {
      text += row[n];
      if (n + 1 < row.size()) {
        text.append(widths[n] - row[n].size() + 2, ' ');
      }
    }
    text += '\n';
  }
  return text;
}

std::string table(const json &state, const char *list, const Row &keys) {
  std::vector<Row> rows = {keys};
  const auto it = state.is_object() ? state.find(list) : state.end();
  if (state.is_object() && it != state.end() && it->is_array()) {
    for (const auto &item : *it) {
      Row row;
      for (const auto &key : keys) {
        row.push_back(field(item, key.c_str()));
      }
      rows.push_back(std::move(row));
    }
  }
  return rows.size() == 1 ? std::string(list) + ": none\n" : aligned(rows);
}

std::string status(const json &state) {
  std::vector<Row> rows;
  for (const auto *key :
       {"service", "data_centre", "ready", "reason", "version", "applied"}) {
    rows.push_back({key, field(state, key)});
  }
  return aligned(rows) + "\n" +
         table(state, "data_centres", {"name", "taken_out"}) + "\n" +
         table(state, "members",
               {"address", "data_centre", "service", "version", "state"});
}

std::string moves(const json &state) {
  return table(state, "moves",
               {"service", "from", "to", "deadline", "share_basis_points",
                "state", "reason", "evidence"});
}

/** The report's members are the daemon's choice, so it is shown by path. */
std::string report(const json &value) {
  std::vector<Row> rows;
  // items() refers to the value it is called on, so that must not be temporary.
  const auto flat = value.flatten();
  for (const auto &it : flat.items()) {
    rows.push_back({it.key(), it.value().dump(-1, ' ', false,
                                              json::error_handler_t::replace)});
  }
  return aligned(rows);
}

} // namespace

OperatorResult showView(OperatorView view, OperatorContext &context,
                        const Address &admin, bool asJson) {
  const auto url = "http://" + toString(admin) +
                   (view == OperatorView::Report ? "/-/report" : "/-/state");
  const auto response = context.Http.request("GET", url, "");
  if (!response || response->Status != 200) {
    return {OperatorExit::Refused, "",
            "no answer from " + url + ": " +
                (response ? "status " + std::to_string(response->Status)
                          : response.reason().Message)};
  }
  if (asJson) {
    return {OperatorExit::Ok, response->Body, ""};
  }
  const auto value = json::parse(response->Body, nullptr, false);
  if (value.is_discarded()) {
    return {OperatorExit::Refused, "",
            "the answer from " + url + " is not JSON"};
  }
  switch (view) {
  case OperatorView::Status:
    return {OperatorExit::Ok, status(value), ""};
  case OperatorView::Moves:
    return {OperatorExit::Ok, moves(value), ""};
  case OperatorView::Report:
    break;
  }
  return {OperatorExit::Ok, report(value), ""};
}

} // namespace chivefold
