#include "chivefold/io/byte_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chivefold {

ByteBudget::ByteBudget(std::size_t limitBytes)
    : Limit(limitBytes),
      Reserve(std::min(limitBytes / ReservePart, MaxReserveBytes)) {}

void ByteBudget::change(std::size_t from, std::size_t to) {
  Held += to - from;
  Peak = std::max(Peak, Held);
}

ByteHolder *ByteBudget::excess(TimePoint now) const {
  if (Held <= largeLimit()) {
    return nullptr;
  }
  // Beyond the whole budget small holders count, too.
  const auto least = Held <= Limit ? SmallBytes : LeastBytes;
  ByteHolder *worst = nullptr;
  double worstCost = 0;
  for (auto *it : Holders) {
    const double cost = it->cost(now);
    if (it->Bytes > least && (worst == nullptr || cost > worstCost)) {
      worst = it;
      worstCost = cost;
    }
  }
  return worst;
}

std::size_t ByteBudget::enforce(TimePoint now) {
  std::size_t n = 0;
  for (auto *it = excess(now); it != nullptr; it = excess(now), ++n) {
    const auto before = it->Bytes;
    const auto task = it->GiveUp;
    task();
    // A holder that has freed itself is not looked at again.
    if (Holders.count(it) > 0 && it->Bytes >= before) {
      break;
    }
  }
  return n;
}

ByteHolder::ByteHolder(std::shared_ptr<ByteBudget> budget,
                       std::function<void()> giveUp)
    : Budget(std::move(budget)), GiveUp(std::move(giveUp)) {
  Budget->Holders.insert(this);
}

ByteHolder::~ByteHolder() {
  set(0);
  Budget->Holders.erase(this);
}

void ByteHolder::set(std::size_t bytes) {
  Budget->change(std::exchange(Bytes, bytes), bytes);
}

double ByteHolder::recentBytes(TimePoint now) const {
  const std::chrono::duration<double> passed = now - RecentAt;
  const std::chrono::duration<double> window = ByteBudget::ProgressWindow;
  return Recent * std::exp(-passed / window);
}

void ByteHolder::received(std::size_t n, TimePoint now) {
  Recent = recentBytes(now) + static_cast<double>(n);
  RecentAt = now;
}

double ByteHolder::cost(TimePoint now) const {
  return static_cast<double>(Bytes) /
         (recentBytes(now) + static_cast<double>(ByteBudget::SmallBytes));
}

ByteLease::ByteLease(std::shared_ptr<ByteBudget> budget, std::size_t bytes)
    : Budget(std::move(budget)), Bytes(bytes) {
  Budget->change(0, Bytes);
}

ByteLease::~ByteLease() {
  if (Budget) {
    Budget->change(Bytes, 0);
  }
}

ByteLease::ByteLease(ByteLease &&other) noexcept
    : Budget(std::move(other.Budget)), Bytes(std::exchange(other.Bytes, 0)) {}

ByteLease &ByteLease::operator=(ByteLease &&other) noexcept {
  std::swap(Budget, other.Budget);
  std::swap(Bytes, other.Bytes);
  return *this;
}

} // namespace chivefold
