#include "chivefold/mesh/lost_calls.h"

#include <algorithm>

namespace chivefold {

void LostCalls::add(const LostCall &call) {
  if (call.ServerStart == 0 || call.Digest == RequestDigest::None) {
    return;
  }
  Calls.push_back(call);
  if (Calls.size() > MaxCalls) {
    Calls.pop_front();
  }
}

std::vector<LostCall> LostCalls::takeCrashed(const CurrentStart &currentStart,
                                             TimePoint now) {
  while (!Calls.empty() && now >= Calls.front().At + MaxAge) {
    Calls.pop_front();
  }
  const auto first =
      std::stable_partition(Calls.begin(), Calls.end(), [&](const auto &it) {
        const auto start = currentStart(it.Peer);
        return start == 0 || start == it.ServerStart;
      });
  std::vector<LostCall> out(first, Calls.end());
  Calls.erase(first, Calls.end());
  return out;
}

} // namespace chivefold
