#include "chivefold/core/configuration_text.h"

#include <ctime>

namespace chivefold {
namespace {

std::string join(const std::vector<std::string> &names) {
  std::string s;
  for (const auto &it : names) {
    s += (s.empty() ? "" : ", ") + it;
  }
  return s.empty() ? "none" : s;
}

std::string describe(const Service &s) {
  auto line = "service " + s.Name + ": versions " + join(s.Versions) +
              "; current " + s.CurrentVersion + "; depends on " +
              join(s.DependsOn) + "; slots " + std::to_string(s.Limits.Slots) +
              ", connections " + std::to_string(s.Limits.Connections) +
              ", queue " + std::to_string(s.Limits.Queue) + ", cold slots " +
              std::to_string(s.Limits.ColdSlots) + "; " +
              std::to_string(s.Routes.size()) + " routes";
  if (s.Move) {
    line +=
        "; move to " + s.Move->ToVersion + " by " + toString(s.Move->Deadline);
  }
  return line;
}

} // namespace

std::string describe(const std::vector<Section> &sections) {
  std::string lines;
  for (const auto &it : sections) {
    if (it.FleetSettings) {
      lines += "fleet: data centres " + join(it.FleetSettings->DataCentres) +
               "; taken out " + join(it.FleetSettings->TakenOut);
    } else if (it.ChangedService) {
      lines += describe(*it.ChangedService);
    } else {
      lines += "service " + it.RemovedService + ": removed";
    }
    lines += '\n';
  }
  return lines;
}

std::string toString(UtcTime time) {
  const auto seconds =
      std::chrono::floor<std::chrono::seconds>(time).time_since_epoch();
  const auto raw = static_cast<std::time_t>(seconds.count());
  std::tm parts{};
  gmtime_r(&raw, &parts);
  std::string buf(32, '\0');
  buf.resize(
      std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts));
  return buf;
}

} // namespace chivefold
