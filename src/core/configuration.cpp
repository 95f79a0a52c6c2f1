#include "chivefold/core/configuration.h"

#include <tuple>

namespace chivefold {
namespace {

/** @return @p path without its query string and trailing slashes. "/" becomes
 * empty. */
std::string_view withoutQueryAndTrailingSlash(std::string_view path) {
  path = path.substr(0, path.find('?'));
  while (!path.empty() && path.back() == '/') {
    path.remove_suffix(1);
  }
  return path;
}

bool isPathPrefix(std::string_view prefix, std::string_view path) {
  return path.substr(0, prefix.size()) == prefix &&
         (path.size() == prefix.size() || path[prefix.size()] == '/');
}

} // namespace

bool Route::operator==(const Route &o) const {
  return std::tie(Method, PathPrefix, Kind, Repeatable, Worth, TimeoutMs,
                  Objective) == std::tie(o.Method, o.PathPrefix, o.Kind,
                                         o.Repeatable, o.Worth, o.TimeoutMs,
                                         o.Objective);
}

bool ServerLimits::operator==(const ServerLimits &o) const {
  return std::tie(Slots, Connections, Queue, ColdSlots) ==
         std::tie(o.Slots, o.Connections, o.Queue, o.ColdSlots);
}

bool MoveRequest::operator==(const MoveRequest &o) const {
  return ToVersion == o.ToVersion && Deadline == o.Deadline;
}

bool Service::operator==(const Service &o) const {
  return std::tie(Name, DependsOn, Versions, CurrentVersion, Limits, Routes,
                  Move) == std::tie(o.Name, o.DependsOn, o.Versions,
                                    o.CurrentVersion, o.Limits, o.Routes,
                                    o.Move);
}

bool Fleet::operator==(const Fleet &o) const {
  return DataCentres == o.DataCentres && TakenOut == o.TakenOut;
}

const Service *Configuration::service(std::string_view name) const {
  const auto it = Services.find(std::string(name));
  return it == Services.end() ? nullptr : &it->second;
}

const Route *findRoute(const Service &service, std::string_view method,
                       std::string_view path) {
  const auto requestPath = withoutQueryAndTrailingSlash(path);
  const Route *best = nullptr;
  std::size_t bestSize = 0;
  for (const auto &it : service.Routes) {
    const auto prefix = withoutQueryAndTrailingSlash(it.PathPrefix);
    if (it.Method == method && isPathPrefix(prefix, requestPath) &&
        (best == nullptr || prefix.size() > bestSize)) {
      best = &it;
      bestSize = prefix.size();
    }
  }
  return best;
}

std::vector<Section> difference(const Configuration &from,
                                const Configuration &to) {
  std::vector<Section> sections;
  if (!(from.FleetSettings == to.FleetSettings)) {
    Section s;
    s.FleetSettings = to.FleetSettings;
    sections.push_back(std::move(s));
  }
  for (const auto &it : to.Services) {
    const auto *old = from.service(it.first);
    if (old == nullptr || !(*old == it.second)) {
      Section s;
      s.ChangedService = it.second;
      sections.push_back(std::move(s));
    }
  }
  for (const auto &it : from.Services) {
    if (to.service(it.first) == nullptr) {
      Section s;
      s.RemovedService = it.first;
      sections.push_back(std::move(s));
    }
  }
  return sections;
}

void applySections(Configuration &config,
                   const std::vector<Section> &sections) {
  for (const auto &it : sections) {
    if (it.FleetSettings) {
      config.FleetSettings = *it.FleetSettings;
    } else if (it.ChangedService) {
      config.Services[it.ChangedService->Name] = *it.ChangedService;
    } else {
      config.Services.erase(it.RemovedService);
    }
  }
}

} // namespace chivefold
