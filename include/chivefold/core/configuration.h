/**
 * @file
 * The compiled configuration that daemons put in force.
 */
#ifndef CHIVEFOLD_CORE_CONFIGURATION_H
#define CHIVEFOLD_CORE_CONFIGURATION_H

#include "chivefold/core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivefold {

/** Limits of the configuration; a text that exceeds one is refused. */
struct ConfigurationLimits {
  static constexpr std::size_t MaxTextBytes = 4U << 20U;
  static constexpr std::size_t MaxServices = 1000;
  static constexpr std::size_t MaxRoutesPerService = 256;
  static constexpr std::size_t MaxVersionsPerService = 16;
  static constexpr std::size_t MaxDataCentres = 64;
  static constexpr std::size_t MaxNameBytes = 64;
  /** Calls go up to this many services deep. */
  static constexpr int MaxDepth = 8;
};

/** One route of a service. A route is chosen by method and longest path prefix.
 */
struct Route {
  std::string Method;
  std::string PathPrefix;
  /** Request kind for worth, comparison of versions and reports. */
  std::string Kind;
  /** Whether running a request twice is harmless (idempotent). */
  bool Repeatable = false;
  /** Relative value of one answered request; the lowest is shed first. */
  std::uint32_t Worth = 1;
  /** Time that a request gets when its caller states none. */
  std::uint32_t TimeoutMs = 2000;
  /** Share of calls that are to be good, above 0 and below 1. If routes of one
   * kind differ, the highest counts. */
  double Objective = 0.999;
  bool operator==(const Route &o) const;
};

/** What one backend server of a service can bear. */
struct ServerLimits {
  std::uint32_t Slots = 10;
  std::uint32_t Connections = 100;
  /** Requests that may wait for a slot. */
  std::uint32_t Queue = 20;
  /** Concurrent requests that a server in cold start can bear. */
  std::uint32_t ColdSlots = 1;
  bool operator==(const ServerLimits &o) const;
};

/** A requested move of a service's traffic to another version. */
struct MoveRequest {
  std::string ToVersion;
  UtcTime Deadline{};
  bool operator==(const MoveRequest &o) const;
};

/** One service. */
struct Service {
  std::string Name;
  std::vector<std::string> DependsOn;
  std::vector<std::string> Versions;
  /** The version that gets all traffic that no move shifts. */
  std::string CurrentVersion;
  ServerLimits Limits;
  std::vector<Route> Routes;
  std::optional<MoveRequest> Move;
  bool operator==(const Service &o) const;
};

/** Settings of the whole fleet. */
struct Fleet {
  std::vector<std::string> DataCentres;
  /** Data centres that get no new work. */
  std::vector<std::string> TakenOut;
  bool operator==(const Fleet &o) const;
};

/** A whole configuration, closed under references. Immutable once compiled. */
struct Configuration {
  Fleet FleetSettings;
  /** Services by name. */
  std::map<std::string, Service> Services;

  /** @return the service or nullptr. Thread-safe. */
  const Service *service(std::string_view name) const;
};

/**
 * Finds the route for a request.
 * @return the route with the longest matching prefix, or nullptr. A prefix
 * matches whole path segments only. Thread-safe.
 */
const Route *findRoute(const Service &service, std::string_view method,
                       std::string_view path);

/**
 * One changed part of a configuration: the fleet section or one service.
 * Exactly one of FleetSettings, ChangedService and RemovedService is set.
 */
struct Section {
  std::optional<Fleet> FleetSettings;
  std::optional<Service> ChangedService;
  std::string RemovedService;
};

/** @return the sections that turn @p from into @p to. Thread-safe. */
std::vector<Section> difference(const Configuration &from,
                                const Configuration &to);

/** Applies sections in order. Thread-safe for distinct @p config. */
void applySections(Configuration &config, const std::vector<Section> &sections);

} // namespace chivefold

#endif
