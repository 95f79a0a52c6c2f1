#include "chivefold/io/body_stream.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chivefold {

namespace {

/** Time in which the weight of a pushed byte falls to 1/e. */
constexpr std::chrono::duration<double> PaceWindow = std::chrono::seconds(1);

// A task may replace itself or release the stream that owns it.
void runTask(const std::function<void()> &task) {
  if (const auto copy = task) {
    copy();
  }
}

} // namespace

double BodyStream::pace(TimePoint now) const {
  const std::chrono::duration<double> passed = now - PaceAt;
  return Recent * std::exp(-passed / PaceWindow) / PaceWindow.count();
}

void BodyStream::push(std::string_view bytes, bool last, TimePoint now) {
  Recent = pace(now) * PaceWindow.count() + static_cast<double>(bytes.size());
  PaceAt = now;
  Buffer.append(bytes);
  Finished = last;
  runTask(ArrivalTask);
}

std::string BodyStream::take(std::size_t max, TimePoint now) {
  std::string out;
  if (max >= Buffer.size()) {
    out.swap(Buffer);
  } else {
    out = Buffer.substr(0, max);
    Buffer.erase(0, max);
  }
  Started = true;
  if (isAtEnd()) {
    EndedAt = now;
  }
  runTask(TakenTask);
  return out;
}

} // namespace chivefold
