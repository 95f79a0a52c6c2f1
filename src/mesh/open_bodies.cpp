#include "chivefold/mesh/open_bodies.h"

#include <algorithm>

namespace chivefold {

std::size_t OpenBodyPolicy::limit(std::uint32_t slots) {
  return std::max<std::size_t>(slots / SlotsPerBody, 1);
}

std::optional<GateRequestId>
OpenBodyPolicy::slowest(const std::vector<OpenBody> &bodies, TimePoint now) {
  const OpenBody *found = nullptr;
  for (const auto &it : bodies) {
    const bool isSlow = it.Pace < MinPace && now >= it.SentAt + StartTime;
    if (isSlow && (found == nullptr || it.Pace < found->Pace)) {
      found = &it;
    }
  }
  return found == nullptr ? std::nullopt : std::optional(found->Call);
}

} // namespace chivefold
