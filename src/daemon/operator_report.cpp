#include "chivefold/daemon/fleet_report.h"
#include "chivefold/daemon/operator_commands.h"

#include <fstream>

namespace chivefold {

OperatorResult showReport(OperatorContext &context,
                          const ReportOptions &options) {
  const auto report =
      collectReport(context, options.Admins, options.WholeFleet);
  if (!report) {
    return {OperatorExitCode::Refused, "", report.reason().Message};
  }
  if (!options.HtmlFile.empty()) {
    std::ofstream out(options.HtmlFile, std::ios::binary);
    out << reportHtml(*report, context.Now());
    out.close();
    if (!out) {
      return {OperatorExitCode::Refused, "",
              "cannot write " + options.HtmlFile};
    }
  }
  return {OperatorExitCode::Ok,
          options.Json ? reportJson(*report) : reportText(*report), ""};
}

} // namespace chivefold
