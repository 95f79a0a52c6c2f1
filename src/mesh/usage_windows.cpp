#include "chivefold/mesh/usage_windows.h"

#include <algorithm>

namespace chivefold {

namespace {

std::chrono::milliseconds toMs(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d);
}

} // namespace

void UsagePool::add(WindowNumber window, std::string_view customer,
                    std::uint64_t n) {
  auto &counts = Windows[window].Counts;
  const auto it = counts.find(customer);
  if (it != counts.end()) {
    it->second += n;
  } else if (counts.size() < MaxCustomers) {
    counts.emplace(customer, n);
  } else {
    Dropped += n;
  }
  trim();
}

void UsagePool::add(WindowNumber window, const UsageShare &share) {
  Windows[window].Hosts += share.Hosts;
  for (const auto &it : share.Counts) {
    add(window, it.first, it.second);
  }
  trim();
}

void UsagePool::takeBack(WindowNumber window, std::string_view customer) {
  const auto it = Windows.find(window);
  if (it == Windows.end()) {
    return;
  }
  const auto count = it->second.Counts.find(customer);
  if (count != it->second.Counts.end() && count->second > 0) {
    --count->second;
  }
}

void UsagePool::trim() {
  while (Windows.size() > MaxWindows) {
    for (const auto &it : Windows.begin()->second.Counts) {
      Dropped += it.second;
    }
    Windows.erase(Windows.begin());
  }
}

std::map<WindowNumber, UsageShare> UsagePool::takeThrough(WindowNumber last) {
  std::map<WindowNumber, UsageShare> out;
  while (!Windows.empty() && Windows.begin()->first <= last) {
    out.insert(Windows.extract(Windows.begin()));
  }
  return out;
}

void UsageLedger::load(std::vector<ClosedWindow> closed,
                       WindowNumber reported) {
  Pending.clear();
  LastClosed = std::max(LastClosed, reported);
  LastReported = std::max(LastReported, reported);
  for (auto &it : closed) {
    LastClosed = std::max(LastClosed, it.Number);
    if (it.Number > LastReported) {
      Pending.emplace(it.Number, std::move(it));
    }
  }
  while (Pending.size() > MaxPending) {
    Pending.erase(Pending.begin());
    ++GivenUp;
  }
}

void UsageLedger::closed(ClosedWindow window) {
  if (window.Number <= LastClosed) {
    return;
  }
  LastClosed = window.Number;
  Pending.emplace(window.Number, std::move(window));
  if (Pending.size() > MaxPending) {
    Pending.erase(Pending.begin());
    ++GivenUp;
  }
}

const ClosedWindow *UsageLedger::next() const {
  return Pending.empty() ? nullptr : &Pending.begin()->second;
}

void UsageLedger::reported(WindowNumber window) {
  Pending.erase(window);
  LastReported = std::max(LastReported, window);
}

void UsageLedger::skipThrough(WindowNumber window) {
  LastClosed = std::max(LastClosed, window);
}

void CommonClock::record(const std::string &source, UtcTime utc,
                         TimePoint now) {
  Samples[source] = {utc.time_since_epoch() - toMs(now.time_since_epoch()),
                     now};
  if (Samples.size() > MaxSamples) {
    Samples.erase(std::min_element(Samples.begin(), Samples.end(),
                                   [](const auto &a, const auto &b) {
                                     return a.second.At < b.second.At;
                                   }));
  }
}

UtcTime CommonClock::at(TimePoint now, UtcTime own) const {
  const auto since = toMs(now.time_since_epoch());
  std::vector<std::chrono::milliseconds> offsets{own.time_since_epoch() -
                                                 since};
  for (const auto &it : Samples) {
    if (it.second.At + MaxSampleAge >= now) {
      offsets.push_back(it.second.Offset);
    }
  }
  // Of an even number, the lower one of the two in the middle: all hosts that
  // compare the same clocks agree.
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return UtcTime(since + *middle);
}

WindowNumber windowAt(UtcTime time, Duration length) {
  const auto ms = std::max<std::int64_t>(time.time_since_epoch().count(), 0);
  return static_cast<WindowNumber>(
      ms / std::max<std::int64_t>(toMs(length).count(), 1));
}

UtcTime windowStart(WindowNumber window, Duration length) {
  return UtcTime(toMs(length) * static_cast<std::int64_t>(window));
}

} // namespace chivefold
