#include "chivefold/sidecar/refusal.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace chivefold {

HttpResponse refusal(int status, Duration retryAfter) {
  HttpResponse out;
  out.Status = status;
  std::array<char, 32> buf{};
  std::snprintf(
      buf.data(), buf.size(), "%.3f",
      static_cast<double>(std::max<Duration::rep>(retryAfter.count(), 1000)) /
          1e6);
  out.Headers.push_back({"Retry-After", buf.data()});
  return out;
}

} // namespace chivefold
