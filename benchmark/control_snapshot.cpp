// Measures the size of a snapshot of the control state and the time to encode
// and decode it, for 150 services and a growing number of claims.
#include "chivefold/core/control_snapshot.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

using namespace chivefold;

namespace {

constexpr std::size_t ServiceCount = 150;
constexpr std::size_t KeysPerClaim = 10;
constexpr std::uint16_t Holders = 4000;
constexpr int Runs = 21;

class Log {
public:
  void append(RecordBody body) {
    Record r{{}, "operator", std::move(body)};
    ++Offset;
    for (std::size_t n = 0; n < r.Id.Bytes.size(); ++n) {
      r.Id.Bytes[n] = static_cast<std::uint8_t>(hash64("id", Offset) >> n);
    }
    if (!State.apply({LogOffset{Offset}, encodeRecord(r)})) {
      std::puts("record not applied");
    }
  }
  ControlState State;

private:
  std::uint64_t Offset = 0;
};

Section serviceSection(std::size_t n) {
  Service s;
  s.Name = "service-" + std::to_string(n);
  s.Versions = {"v1.0", "v1.1"};
  s.CurrentVersion = "v1.0";
  for (const auto *path : {"/search", "/book", "/cancel", "/stock"}) {
    s.Routes.push_back({"POST", path, path + 1, false, 3, 1000});
  }
  Section section;
  section.ChangedService = std::move(s);
  return section;
}

template <class F> double medianMs(const F &f) {
  std::vector<double> ms;
  for (int n = 0; n < Runs; ++n) {
    const auto begin = std::chrono::steady_clock::now();
    f();
    const std::chrono::duration<double, std::milli> d =
        std::chrono::steady_clock::now() - begin;
    ms.push_back(d.count());
  }
  std::nth_element(ms.begin(), ms.begin() + Runs / 2, ms.end());
  return ms[Runs / 2];
}

void measure(std::size_t claims) {
  Log log;
  for (std::size_t n = 0; n < ServiceCount; ++n) {
    log.append(ChangeRecord{log.State.version(), {serviceSection(n)}});
  }
  for (std::uint64_t n = 0; n < claims; n += KeysPerClaim) {
    const auto port = static_cast<std::uint16_t>(n / KeysPerClaim % Holders);
    ClaimRecord claim{{{"10.0.0.1", static_cast<std::uint16_t>(port + 1)}, 1},
                      {}};
    for (std::uint64_t k = 0; k < KeysPerClaim; ++k) {
      claim.Keys.push_back({hash64("key", n + k), n + k});
    }
    log.append(std::move(claim));
  }
  const auto bytes = log.State.encodeSnapshot();
  const auto encode = medianMs([&] { (void)log.State.encodeSnapshot(); });
  bool same = false;
  const auto decode = medianMs([&] {
    const auto state = ControlState::decodeSnapshot(bytes);
    same = state && state->digest() == log.State.digest();
  });
  const auto parts = splitSnapshot(log.State, {});
  std::printf("%zu services, %zu claims: %zu bytes, %zu parts, encode %.2f ms, "
              "decode %.2f ms (medians of %d), digest %s\n",
              log.State.configuration()->Services.size(), claims, bytes.size(),
              parts ? parts->size() : 0, encode, decode, Runs,
              same ? "equal" : "DIFFERENT");
}

} // namespace

int main() {
  for (const std::size_t claims : {0, 10'000, 50'000}) {
    measure(claims);
  }
}
