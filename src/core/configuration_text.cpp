#include "chivefold/core/configuration_text.h"

#include "text_reader.h"
#include "text_scan.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace chivefold {
namespace {

/** Upper bound of load limits and worths, far above what a server needs. */
constexpr std::uint32_t MaxLimit = 1'000'000;
constexpr std::size_t MaxMethodBytes = 16;

bool isMethod(std::string_view text) {
  return !text.empty() && text.size() <= MaxMethodBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool isPath(std::string_view text) {
  return !text.empty() && text.front() == '/' && text.size() <= MaxPathBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return c > ' ' && c < 0x7F && c != '?' && c != '#';
         });
}

/** @return days from 1970-01-01 to a date of the Gregorian calendar. */
std::int64_t daysSinceEpoch(std::int64_t year, int month, int day) {
  year -= month <= 2 ? 1 : 0;
  const auto era = (year >= 0 ? year : year - 399) / 400;
  const auto yearOfEra = year - era * 400;
  const auto dayOfYear =
      (153 * (month + (month > 2 ? -3 : 9)) + 2) / 5 + day - 1;
  const auto dayOfEra =
      yearOfEra * 365 + yearOfEra / 4 - yearOfEra / 100 + dayOfYear;
  return era * 146097 + dayOfEra - 719468;
}

UtcTime toUtcTime(const toml::offset_datetime &t) {
  const std::chrono::hours days(
      24 * daysSinceEpoch(t.date.year, t.date.month + 1, t.date.day));
  const auto time =
      std::chrono::hours(t.time.hour) + std::chrono::minutes(t.time.minute) +
      std::chrono::seconds(t.time.second) +
      std::chrono::milliseconds(t.time.millisecond) -
      std::chrono::hours(t.offset.hour) - std::chrono::minutes(t.offset.minute);
  return UtcTime(days + time);
}

/** Compiles a parsed text: reads each section, then checks the references
 * between sections. */
class Compiler {
public:
  explicit Compiler(const TomlValue &root) : Root(root) {}

  /** @param now if present, move deadlines must be after it. */
  Result<Configuration> compile(const std::optional<UtcTime> &now) {
    Now = now;
    const auto &top = Reader.table(Root, "the text", {"fleet", "service"});
    if (const auto *fleet = Reader.required(Root, top, "fleet")) {
      readFleet(*fleet);
    }
    if (top.count("service") != 0) {
      readServices(top.at("service"));
    }
    // References are checked only if all sections are valid, since an invalid
    // section would cause misleading errors in others.
    if (!Reader.failed()) {
      checkFleet();
      for (const auto &it : Config.Services) {
        checkService(it.second, top.at("service").as_table().at(it.first));
      }
      checkDependencyChains();
    }
    if (Reader.failed()) {
      return Reader.reason();
    }
    return Config;
  }

private:
  void readFleet(const TomlValue &value) {
    const auto &t = Reader.table(value, "fleet", {"data_centres", "taken_out"});
    constexpr auto maxCount = ConfigurationLimits::MaxDataCentres;
    if (const auto *list = Reader.required(value, t, "data_centres")) {
      Config.FleetSettings.DataCentres = Reader.names(*list, maxCount);
      if (Config.FleetSettings.DataCentres.empty()) {
        Reader.fail(*list, "expected at least one data centre");
      }
    }
    if (t.count("taken_out") != 0) {
      Config.FleetSettings.TakenOut = Reader.names(t.at("taken_out"), maxCount);
    }
  }

  void readServices(const TomlValue &value) {
    const auto &t = Reader.anyTable(value, "service");
    if (t.size() > ConfigurationLimits::MaxServices) {
      Reader.fail(value, "expected at most " +
                             std::to_string(ConfigurationLimits::MaxServices) +
                             " services");
      return;
    }
    for (const auto &it : t) {
      if (!isName(it.first)) {
        Reader.fail(it.second,
                    std::string("expected ") + TomlReader::NameExpected +
                        " for the service, got " + quotedText(it.first));
      }
      Config.Services[it.first] = readService(it.first, it.second);
    }
  }

  Service readService(const std::string &name, const TomlValue &value) {
    Service s;
    s.Name = name;
    const auto &t =
        Reader.table(value, "service " + quotedText(name),
                     {"depends_on", "versions", "current", "slots",
                      "connections", "queue", "cold_slots", "route", "move"});
    if (t.count("depends_on") != 0) {
      s.DependsOn =
          Reader.names(t.at("depends_on"), ConfigurationLimits::MaxServices);
    }
    if (const auto *list = Reader.required(value, t, "versions")) {
      s.Versions =
          Reader.names(*list, ConfigurationLimits::MaxVersionsPerService);
    }
    if (const auto *current = Reader.required(value, t, "current")) {
      s.CurrentVersion = Reader.name(*current);
    }
    Reader.number(t, "slots", MaxLimit, s.Limits.Slots);
    Reader.number(t, "connections", MaxLimit, s.Limits.Connections);
    Reader.number(t, "queue", MaxLimit, s.Limits.Queue);
    Reader.number(t, "cold_slots", MaxLimit, s.Limits.ColdSlots);
    if (t.count("route") != 0) {
      readRoutes(t.at("route"), s);
    }
    if (t.count("move") != 0) {
      s.Move = readMove(t.at("move"));
    }
    return s;
  }

  void readRoutes(const TomlValue &value, Service &service) {
    if (!value.is_array()) {
      Reader.fail(value, "expected [[service.NAME.route]] for each route");
      return;
    }
    const auto &list = value.as_array();
    constexpr auto maxCount = ConfigurationLimits::MaxRoutesPerService;
    if (list.size() > maxCount) {
      Reader.fail(list[maxCount],
                  "expected at most " + std::to_string(maxCount) + " routes");
      return;
    }
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto &it : list) {
      service.Routes.push_back(readRoute(it));
      const auto &r = service.Routes.back();
      // Route lookup ignores trailing slashes.
      const auto path =
          r.PathPrefix.substr(0, r.PathPrefix.find_last_not_of('/') + 1);
      if (!seen.emplace(r.Method, path).second) {
        Reader.fail(it, "duplicate route " + r.Method + " " +
                            quotedText(r.PathPrefix));
      }
    }
  }

  Route readRoute(const TomlValue &value) {
    Route r;
    const auto &t = Reader.table(value, "a route",
                                 {"method", "path", "kind", "repeatable",
                                  "worth", "timeout_ms", "objective"});
    if (const auto *method = Reader.required(value, t, "method")) {
      r.Method = Reader.text(*method, isMethod, "an upper-case HTTP method");
    }
    if (const auto *path = Reader.required(value, t, "path")) {
      r.PathPrefix =
          Reader.text(*path, isPath,
                      "a path that starts with '/', of up to 1024 printable "
                      "characters without '?' and '#'");
    }
    if (const auto *kind = Reader.required(value, t, "kind")) {
      r.Kind = Reader.name(*kind);
    }
    if (t.count("repeatable") != 0) {
      const auto &flag = t.at("repeatable");
      if (flag.is_boolean()) {
        r.Repeatable = flag.as_boolean();
      } else {
        Reader.fail(flag, "expected true or false for repeatable");
      }
    }
    Reader.number(t, "worth", MaxLimit, r.Worth);
    Reader.number(t, "timeout_ms", MaxRouteTimeoutMs, r.TimeoutMs);
    Reader.fraction(t, "objective", r.Objective);
    return r;
  }

  MoveRequest readMove(const TomlValue &value) {
    MoveRequest m;
    const auto &t = Reader.table(value, "move", {"to", "deadline"});
    if (const auto *toVersion = Reader.required(value, t, "to")) {
      m.ToVersion = Reader.name(*toVersion);
    }
    if (const auto *deadline = Reader.required(value, t, "deadline")) {
      if (deadline->is_offset_datetime()) {
        m.Deadline = toUtcTime(deadline->as_offset_datetime());
      } else {
        Reader.fail(*deadline,
                    "expected a date and time with UTC offset, such as "
                    "2026-12-04T17:00:00+01:00");
      }
    }
    return m;
  }

  void checkFleet() {
    const auto &known = Config.FleetSettings.DataCentres;
    for (std::size_t n = 0; n < Config.FleetSettings.TakenOut.size(); ++n) {
      const auto &name = Config.FleetSettings.TakenOut[n];
      if (std::find(known.begin(), known.end(), name) == known.end()) {
        Reader.fail(Root.as_table()
                        .at("fleet")
                        .as_table()
                        .at("taken_out")
                        .as_array()[n],
                    "expected a data centre listed in data_centres, got " +
                        quotedText(name));
      }
    }
  }

  void checkService(const Service &s, const TomlValue &value) {
    const auto &t = value.as_table();
    for (std::size_t n = 0; n < s.DependsOn.size(); ++n) {
      if (Config.service(s.DependsOn[n]) == nullptr) {
        Reader.fail(t.at("depends_on").as_array()[n],
                    "expected a service defined in this text, got " +
                        quotedText(s.DependsOn[n]));
      }
    }
    checkVersion(s, s.CurrentVersion, t.at("current"));
    if (s.Limits.ColdSlots > s.Limits.Slots) {
      Reader.fail(t.at(t.count("cold_slots") != 0 ? "cold_slots" : "slots"),
                  "expected cold_slots to be at most slots");
    }
    if (s.Move) {
      const auto &toVersion = t.at("move").as_table().at("to");
      checkVersion(s, s.Move->ToVersion, toVersion);
      if (s.Move->ToVersion == s.CurrentVersion) {
        Reader.fail(toVersion, "expected a version other than the current one");
      }
      if (Now && s.Move->Deadline <= *Now) {
        Reader.fail(t.at("move").as_table().at("deadline"),
                    "expected a deadline in the future; the current time is " +
                        toString(*Now));
      }
    }
  }

  void checkVersion(const Service &s, const std::string &version,
                    const TomlValue &at) {
    if (std::find(s.Versions.begin(), s.Versions.end(), version) ==
        s.Versions.end()) {
      Reader.fail(at, "expected one of the service's versions, got " +
                          quotedText(version));
    }
  }

  void checkDependencyChains() {
    std::map<std::string, int> chainLengths;
    for (const auto &it : Config.Services) {
      if (Reader.failed()) {
        return;
      }
      chainLength(it.second, chainLengths);
    }
  }

  /** @return the number of services in the longest dependency chain that
   * starts at @p s. Recursion is bounded by MaxServices, since it stops at a
   * cycle. */
  int chainLength(const Service &s, std::map<std::string, int> &chainLengths) {
    const auto known = chainLengths.find(s.Name);
    if (known != chainLengths.end()) {
      return known->second;
    }
    int longest = 1;
    for (std::size_t n = 0; n < s.DependsOn.size() && !Reader.failed(); ++n) {
      DependencyChain.push_back(s.Name);
      const auto &next = s.DependsOn[n];
      const auto &at = dependencyValue(s, n);
      if (std::find(DependencyChain.begin(), DependencyChain.end(), next) !=
          DependencyChain.end()) {
        Reader.fail(at, "expected no dependency cycle, but " +
                            quotedText(next) + " depends on " +
                            quotedText(s.Name));
      } else {
        longest = std::max(
            longest, 1 + chainLength(Config.Services.at(next), chainLengths));
        if (longest > ConfigurationLimits::MaxDepth) {
          Reader.fail(at, "expected dependency chains of at most " +
                              std::to_string(ConfigurationLimits::MaxDepth) +
                              " services");
        }
      }
      DependencyChain.pop_back();
    }
    chainLengths[s.Name] = longest;
    return longest;
  }

  const TomlValue &dependencyValue(const Service &s, std::size_t n) const {
    return Root.as_table()
        .at("service")
        .as_table()
        .at(s.Name)
        .as_table()
        .at("depends_on")
        .as_array()[n];
  }

  const TomlValue &Root;
  TomlReader Reader;
  Configuration Config;
  std::optional<UtcTime> Now;
  /** Services from the start of the dependency chain to the one being visited.
   */
  std::vector<std::string> DependencyChain;
};

Result<Configuration> compile(std::string_view text,
                              const std::optional<UtcTime> &now) {
  if (text.size() > ConfigurationLimits::MaxTextBytes) {
    return Reason{ErrorCode::TooLarge,
                  "expected a text of at most " +
                      std::to_string(ConfigurationLimits::MaxTextBytes) +
                      " bytes",
                  1, 1};
  }
  const auto validated = validateText(text);
  if (!validated) {
    return validated.reason();
  }
  try {
    std::istringstream in{std::string(text)};
    const auto root =
        toml::parse<toml::discard_comments, std::map, std::vector>(in, "text");
    return Compiler(root).compile(now);
  } catch (const std::exception &e) {
    return syntaxErrorReason(text, e.what());
  }
}

} // namespace

Result<Configuration> compileConfiguration(std::string_view text) {
  return compile(text, std::nullopt);
}

Result<Configuration> compileConfiguration(std::string_view text, UtcTime now) {
  return compile(text, now);
}

Status checkDeadlines(const Configuration &config, UtcTime now) {
  for (const auto &it : config.Services) {
    const auto &move = it.second.Move;
    if (move && move->Deadline <= now) {
      return Reason{ErrorCode::InvalidText,
                    "service " + it.first + ": the move's deadline " +
                        toString(move->Deadline) +
                        " is not in the future; the current time is " +
                        toString(now)};
    }
  }
  return Done{};
}

} // namespace chivefold
