#include "chivefold/mesh/departures.h"

#include <algorithm>
#include <utility>

namespace chivefold {

namespace {

constexpr std::int64_t UnknownStartMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(
        Departures::UnknownStartTime)
        .count();

// A report that does not state its start is not told from that of the start
// which left.
bool covers(const Departure &departure, std::optional<std::int64_t> startedAtMs,
            std::int64_t nowMs) {
  if (departure.StartedAtMs) {
    return !startedAtMs || *startedAtMs == *departure.StartedAtMs;
  }
  return startedAtMs.value_or(0) <= departure.AnnouncedAtMs &&
         nowMs < departure.AnnouncedAtMs + UnknownStartMs;
}

} // namespace

void Departures::announce(Departure departure) {
  if (add(std::move(departure)) && Announced) {
    Announced();
  }
}

bool Departures::add(Departure departure) {
  const auto known =
      std::find_if(All.begin(), All.end(), [&](const Departure &it) {
        return it.Instance == departure.Instance &&
               it.StartedAtMs == departure.StartedAtMs;
      });
  if (known != All.end()) {
    if (known->StartedAtMs || known->AnnouncedAtMs >= departure.AnnouncedAtMs) {
      return false;
    }
    All.erase(known);
  }
  All.push_back(std::move(departure));
  if (All.size() > MaxCount) {
    All.pop_front();
  }
  return true;
}

bool Departures::covers(const std::string &instance,
                        std::optional<std::int64_t> startedAtMs,
                        std::int64_t nowMs) const {
  return std::any_of(All.begin(), All.end(), [&](const Departure &it) {
    return it.Instance == instance && chivefold::covers(it, startedAtMs, nowMs);
  });
}

std::vector<Departure> Departures::newest(std::size_t max) const {
  const auto n = std::min(max, All.size());
  return {All.end() - static_cast<std::ptrdiff_t>(n), All.end()};
}

} // namespace chivefold
