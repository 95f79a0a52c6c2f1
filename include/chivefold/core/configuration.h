/**
 * @file
 * The compiled configuration that daemons apply.
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

/** Size limits of a configuration. A text that exceeds one is rejected. */
struct ConfigurationLimits {
  static constexpr std::size_t MaxTextBytes = 4U << 20U;
  static constexpr std::size_t MaxServices = 1000;
  static constexpr std::size_t MaxRoutesPerService = 256;
  static constexpr std::size_t MaxVersionsPerService = 16;
  static constexpr std::size_t MaxDataCentres = 64;
  static constexpr std::size_t MaxNameBytes = 64;
  /** Maximum number of services in a dependency chain, and so the maximum
   * depth of calls. */
  static constexpr int MaxDepth = 8;
};

/** One route of a service, selected by method and longest path prefix. */
struct Route {
  std::string Method;
  std::string PathPrefix;
  /** Request kind, by which metrics are grouped and versions are compared. */
  std::string Kind;
  /** Whether the request is idempotent, so that it may be sent again. */
  bool Repeatable = false;
  /** Relative value of one answered request. Under overload, requests with the
   * lowest worth are shed first. */
  std::uint32_t Worth = 1;
  /** Timeout of a request whose caller states none. */
  std::uint32_t TimeoutMs = 2000;
  /** Target fraction of good calls, above 0 and below 1. If routes of the same
   * kind have different objectives, the highest one applies. */
  double Objective = 0.999;
  bool operator==(const Route &o) const;
};

/** Load limits of one backend server of a service. */
struct ServerLimits {
  std::uint32_t Slots = 10;
  std::uint32_t Connections = 100;
  /** Maximum number of requests that wait for a slot. */
  std::uint32_t Queue = 20;
  /** Maximum number of concurrent requests during a cold start. */
  std::uint32_t ColdSlots = 1;
  bool operator==(const ServerLimits &o) const;
};

/** A request to move a service's traffic to another version. */
struct MoveRequest {
  std::string ToVersion;
  UtcTime Deadline{};
  bool operator==(const MoveRequest &o) const;
};

struct Service {
  std::string Name;
  std::vector<std::string> DependsOn;
  std::vector<std::string> Versions;
  /** The version that receives all traffic that a move does not redirect. */
  std::string CurrentVersion;
  ServerLimits Limits;
  std::vector<Route> Routes;
  std::optional<MoveRequest> Move;
  bool operator==(const Service &o) const;
};

/** Settings that apply to all services. */
struct Fleet {
  std::vector<std::string> DataCentres;
  /** Data centres that receive no new requests. */
  std::vector<std::string> TakenOut;
  bool operator==(const Fleet &o) const;
};

/** A complete configuration: every name that it refers to is defined in it.
 * Immutable once compiled. */
struct Configuration {
  Fleet FleetSettings;
  std::map<std::string, Service> Services;

  /** @return the service named @p name, or nullptr. Thread-safe. */
  const Service *service(std::string_view name) const;
};

/**
 * Finds the route of a request. The query string is ignored.
 * @return the route of @p method with the longest matching path prefix, or
 * nullptr. A prefix matches whole path segments only. Thread-safe.
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

/** @return the sections that change @p from into @p to when applied.
 * Thread-safe. */
std::vector<Section> difference(const Configuration &from,
                                const Configuration &to);

/** Applies the sections to @p config in order. Concurrent calls are safe for
 * different @p config objects. */
void applySections(Configuration &config, const std::vector<Section> &sections);

} // namespace chivefold

#endif
