#include "chivefold/core/control_state.h"

#include <algorithm>

namespace chivefold {
namespace {

bool contains(const std::vector<std::string> &names, const std::string &name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

Reason violation(std::string message) {
  return {ErrorCode::InvalidText, std::move(message)};
}

/** Computes the dependency depth of each service, with memoization. */
class DepthCheck {
public:
  explicit DepthCheck(const Configuration &config) : Config(config) {}

  /** @return the depth of the dependencies of @p name, including itself, or a
   * value above MaxDepth if they are too deep or form a cycle. @p above is the
   * length of the path that led to it. */
  int depth(const std::string &name, int above) {
    if (above > ConfigurationLimits::MaxDepth) {
      return above;
    }
    const auto known = Depths.find(name);
    if (known != Depths.end()) {
      return known->second;
    }
    int deepest = 0;
    for (const auto &it : Config.Services.at(name).DependsOn) {
      deepest = std::max(deepest, depth(it, above + 1));
    }
    return Depths[name] = deepest + 1;
  }

private:
  const Configuration &Config;
  std::map<std::string, int> Depths;
};

Status checkFleet(const Fleet &fleet) {
  if (fleet.DataCentres.size() > ConfigurationLimits::MaxDataCentres) {
    return violation("too many data centres");
  }
  for (const auto &it : fleet.TakenOut) {
    if (!contains(fleet.DataCentres, it)) {
      return violation("taken_out lists unknown data centre " + it);
    }
  }
  return Done{};
}

Status checkService(const Configuration &config, const Service &service) {
  if (service.Name.empty() ||
      service.Name.size() > ConfigurationLimits::MaxNameBytes) {
    return violation("service name is empty or too long");
  }
  if (service.Versions.size() > ConfigurationLimits::MaxVersionsPerService ||
      service.Routes.size() > ConfigurationLimits::MaxRoutesPerService) {
    return violation(service.Name + " has too many versions or routes");
  }
  if (!contains(service.Versions, service.CurrentVersion)) {
    return violation(service.Name + " has no version " +
                     service.CurrentVersion);
  }
  if (service.Move && !contains(service.Versions, service.Move->ToVersion)) {
    return violation(service.Name + " moves to unknown version " +
                     service.Move->ToVersion);
  }
  for (const auto &it : service.DependsOn) {
    if (config.Services.count(it) == 0) {
      return violation(service.Name + " depends on unknown service " + it);
    }
  }
  return Done{};
}

} // namespace

Status validateConfiguration(const Configuration &config) {
  if (config.Services.size() > ConfigurationLimits::MaxServices) {
    return violation("too many services");
  }
  auto fleet = checkFleet(config.FleetSettings);
  if (!fleet) {
    return fleet;
  }
  for (const auto &it : config.Services) {
    auto status = checkService(config, it.second);
    if (!status) {
      return status;
    }
  }
  DepthCheck depths(config);
  for (const auto &it : config.Services) {
    if (depths.depth(it.first, 1) > ConfigurationLimits::MaxDepth) {
      return violation("dependencies of " + it.first +
                       " are cyclic or too deep");
    }
  }
  return Done{};
}

} // namespace chivefold
