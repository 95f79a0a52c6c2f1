#include "two_hosts.h"

#include <chrono>

namespace edge {

namespace {

constexpr auto ReportInterval = std::chrono::milliseconds(300);

Store &platformStore() {
  static Store store;
  return store;
}

} // namespace

TwoHosts::TwoHosts(const std::string &program, const TwoHostsSettings &settings)
    : Platform(platformStore()) {
  const auto store = Platform.start();
  Platform.put("keyed.op", "config",
               configuration(settings.Limits, {OwnService, OtherService}));
  const auto host = [&](const char *service, const std::string &backend) {
    HostRole role;
    role.Service = service;
    role.Instance = std::string("i-") + service;
    role.Slots = settings.Slots;
    role.StoreAddress = store;
    role.Backend = backend;
    auto out = std::make_unique<Host>(program, settings.Limits, role);
    out->start();
    return out;
  };
  Own = host(OwnService, settings.OwnBackend);
  Other = host(OtherService, settings.OtherBackend);
  require(
      eventually([this] { return Own->request(4, OtherService) == 200; }) &&
          eventually([this] { return Other->request(4, OwnService) == 200; }),
      "the hosts do not know each other");
}

TwoHosts::~TwoHosts() {
  Ended = true;
  if (Reports.joinable()) {
    Reports.join();
  }
}

void TwoHosts::keepReporting() {
  Reports = std::thread([this] {
    while (!Ended) {
      std::this_thread::sleep_for(ReportInterval);
      Own->report();
      Other->report();
    }
  });
}

void TwoHosts::awaitReady() const {
  require(eventually([this] { return Own->isReady() && Other->isReady(); }),
          "a sidecar is not ready again");
}

} // namespace edge
