#include "chivefold/daemon/operator_commands.h"

#include "chivefold/daemon/version.h"

#include <CLI/CLI.hpp>
#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

namespace chivefold {
namespace {

/** Values of all flags and arguments. The subcommands share them. */
struct Flags {
  std::string File;
  std::string DataCentre;
  std::string LogUrl;
  std::string Admin;
  std::vector<std::string> Admins;
  std::string HtmlFile;
  std::string Resume;
  std::uint64_t Base = 0;
  bool WholeFleet = false;
  bool Json = false;
  std::string Host;
  std::string Path;
};

std::string validateLogUrl(const std::string &text) {
  constexpr std::string_view scheme = "http://";
  const bool good = text.rfind(scheme, 0) == 0 &&
                    parseAddress(std::string_view(text).substr(scheme.size()));
  return good ? "" : "expected http://IP:PORT, got '" + text + "'";
}

std::string validateAdminAddress(const std::string &text) {
  return parseAddress(text) ? "" : "expected IP:PORT, got '" + text + "'";
}

std::optional<RecordId> parseRecordId(std::string_view text) {
  RecordId id;
  if (text.size() != id.Bytes.size() * 2) {
    return std::nullopt;
  }
  for (std::size_t n = 0; n < id.Bytes.size(); ++n) {
    const auto *from = text.data() + 2 * n;
    const auto parsed = std::from_chars(from, from + 2, id.Bytes[n], 16);
    if (parsed.ec != std::errc() || parsed.ptr != from + 2) {
      return std::nullopt;
    }
  }
  return id;
}

std::string validateRecordId(const std::string &text) {
  return parseRecordId(text)
             ? ""
             : "expected 32 hexadecimal digits, got '" + text + "'";
}

CLI::App *addSubcommand(CLI::App &app, Flags &flags, const char *name,
                        const char *help) {
  auto *sub = app.add_subcommand(name, help);
  sub->add_flag("--json", flags.Json, "print JSON");
  sub->set_version_flag("--version", std::string(ProgramVersion));
  return sub;
}

void addLogUrlOption(CLI::App *sub, Flags &flags) {
  sub->add_option("--log-url", flags.LogUrl, "base URL of the platform's log")
      ->envname("CHIVEFOLD_LOG_URL")
      ->required()
      ->check(validateLogUrl)
      ->type_name("http://IP:PORT");
}

CLI::Option *addAdminOption(CLI::App *sub, std::string &to, const char *help) {
  return sub->add_option("--admin", to, help)
      ->envname("CHIVEFOLD_ADMIN")
      ->check(validateAdminAddress)
      ->type_name("IP:PORT");
}

void addReportCommand(CLI::App &app, Flags &flags) {
  auto *sub =
      addSubcommand(app, flags, "report",
                    "show service levels, ended moves and data centres out");
  sub->add_option("--admin", flags.Admins,
                  "admin address of a daemon; may be repeated")
      ->envname("CHIVEFOLD_ADMIN")
      ->required()
      ->allow_extra_args(false)
      ->check(validateAdminAddress)
      ->type_name("IP:PORT");
  sub->add_flag("--fleet", flags.WholeFleet,
                "also query the members that the first daemon lists");
  sub->add_option("--html", flags.HtmlFile, "also write an HTML page");
}

void addExplainCommand(CLI::App &app, Flags &flags) {
  auto *sub = addSubcommand(app, flags, "explain",
                            "show where a sidecar would send a request now, "
                            "and why, without sending it");
  addAdminOption(sub, flags.Admin, "admin address of the sidecar")->required();
  sub->add_option("--host", flags.Host, "host name of the request")->required();
  sub->add_option("--path", flags.Path, "path of the request")->required();
}

void addCommands(CLI::App &app, Flags &flags) {
  auto *check =
      addSubcommand(app, flags, "check", "check a configuration file");
  check->add_option("FILE", flags.File, "the configuration file")->required();
  auto *diff = addSubcommand(app, flags, "diff",
                             "show what a configuration file would change");
  diff->add_option("FILE", flags.File, "the configuration file")->required();
  addLogUrlOption(diff, flags);
  auto *apply =
      addSubcommand(app, flags, "apply", "apply a configuration file");
  auto *file = apply->add_option("FILE", flags.File, "the configuration file");
  apply->add_option("--base", flags.Base,
                    "configuration version that the file is based on");
  apply
      ->add_option("--resume", flags.Resume,
                   "query the outcome of an earlier apply")
      ->check(validateRecordId)
      ->type_name("ID")
      ->excludes(file);
  addLogUrlOption(apply, flags);
  for (const auto *name : {"take-out", "put-back"}) {
    auto *sub = addSubcommand(app, flags, name,
                              std::string_view(name) == "take-out"
                                  ? "route no new calls to a data centre"
                                  : "route new calls to a data centre again");
    sub->add_option("DC", flags.DataCentre, "the data centre")->required();
    addLogUrlOption(sub, flags);
    if (std::string_view(name) == "take-out") {
      addAdminOption(
          sub, flags.Admin,
          "admin address of a daemon that propagates the take-out immediately");
    }
  }
  const std::pair<const char *, const char *> views[] = {
      {"status", "show a daemon's view of the fleet"},
      {"moves", "show moves and their results"}};
  for (const auto &it : views) {
    addAdminOption(addSubcommand(app, flags, it.first, it.second), flags.Admin,
                   "admin address of a daemon")
        ->required();
  }
  addReportCommand(app, flags);
  addExplainCommand(app, flags);
}

OperatorResult invalidInput(const std::string &message) {
  return {OperatorExitCode::BadInput, "", message};
}

std::optional<std::string> readFile(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return in ? std::optional<std::string>(text.str()) : std::nullopt;
}

OperatorResult runTextCommand(const CLI::App &sub, const Flags &flags,
                              OperatorContext &context) {
  ApplyOptions options{flags.LogUrl, std::nullopt, flags.Json};
  if (!flags.Resume.empty()) {
    return resumeApply(*parseRecordId(flags.Resume), context, options);
  }
  if (flags.File.empty()) {
    return invalidInput("apply: expected FILE or --resume ID");
  }
  const auto text = readFile(flags.File);
  if (!text) {
    return invalidInput("cannot read " + flags.File);
  }
  const auto &name = sub.get_name();
  auto result = name == "check" ? checkConfiguration(*text, context, flags.Json)
                : name == "diff" ? diffConfiguration(*text, context,
                                                     flags.LogUrl, flags.Json)
                                 : OperatorResult();
  if (name == "apply") {
    if (sub.count("--base") != 0) {
      options.Base = Version{flags.Base};
    }
    result = applyConfiguration(*text, context, options);
  }
  if (result.Exit == OperatorExitCode::BadInput && !result.Error.empty()) {
    result.Error = flags.File + ": " + result.Error;
  }
  return result;
}

constexpr std::array<std::pair<std::string_view, OperatorView>, 2> Views = {
    {{"status", OperatorView::Status}, {"moves", OperatorView::Moves}}};

OperatorResult runReport(const Flags &flags, OperatorContext &context) {
  ReportOptions options{{}, flags.WholeFleet, flags.Json, flags.HtmlFile};
  for (const auto &it : flags.Admins) {
    options.Admins.push_back(*parseAddress(it));
  }
  return showReport(context, options);
}

OperatorResult runCommand(const CLI::App &sub, const Flags &flags,
                          OperatorContext &context) {
  const auto &name = sub.get_name();
  if (name == "take-out" || name == "put-back") {
    return setDataCentreTakenOut(
        flags.DataCentre, name == "take-out", context,
        {flags.LogUrl, parseAddress(flags.Admin), flags.Json});
  }
  if (name == "explain") {
    return showExplanation(context, {*parseAddress(flags.Admin), flags.Host,
                                     flags.Path, flags.Json});
  }
  if (name == "report") {
    return runReport(flags, context);
  }
  // Dispatch on the subcommand rather than on which flags are set: CLI11 also
  // sets the flags of other subcommands from environment variables.
  for (const auto &it : Views) {
    if (it.first == name) {
      return showView(it.second, context, *parseAddress(flags.Admin),
                      flags.Json);
    }
  }
  return runTextCommand(sub, flags, context);
}

} // namespace

OperatorResult runOperator(int argc, const char *const *argv,
                           OperatorContext &context) {
  Flags flags;
  CLI::App app("chivefold: configuration of the service mesh");
  app.set_version_flag("--version", std::string(ProgramVersion));
  app.require_subcommand(1);
  addCommands(app, flags);
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp &) {
    const auto subs = app.get_subcommands();
    return {OperatorExitCode::Ok,
            subs.empty() ? app.help() : subs.front()->help("chivefold"), ""};
  } catch (const CLI::CallForVersion &) {
    return {OperatorExitCode::Ok, std::string(ProgramVersion) + "\n", ""};
  } catch (const CLI::ParseError &e) {
    return invalidInput(e.what());
  }
  return runCommand(*app.get_subcommands().front(), flags, context);
}

} // namespace chivefold
