/**
 * @file
 * Bytes that all connections of a process hold together.
 */
#ifndef CHIVEFOLD_IO_BYTE_BUDGET_H
#define CHIVEFOLD_IO_BYTE_BUDGET_H

#include "chivefold/core/types.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_set>

namespace chivefold {

class ByteHolder;

/**
 * Decides which connection gives up its bytes when all together hold too many:
 * the one that holds most for what it received in the last second. The load
 * that it answers are many clients that send nearly all of a large request and
 * then stop: they lose their place to clients that get on. Small holders are
 * given up only when no large one is left, so that an ordinary request gets in
 * beside any number of large ones. Used on one thread.
 */
class ByteBudget {
public:
  /** Holders up to this size are small. */
  static constexpr std::size_t SmallBytes = 64U << 10U;
  /** A holder of no more than this gives nothing back. */
  static constexpr std::size_t LeastBytes = 8U << 10U;
  /** Part of the budget that only small holders may use, and its bound. */
  static constexpr std::size_t ReservePart = 32;
  static constexpr std::size_t MaxReserveBytes = 4U << 20U;
  /** Decay of the received bytes. */
  static constexpr Duration ProgressWindow = std::chrono::seconds(1);

  explicit ByteBudget(std::size_t limitBytes);

  std::size_t limit() const { return Limit; }
  /** @return what large holders and leases may hold together. */
  std::size_t largeLimit() const { return Limit - Reserve; }
  std::size_t held() const { return Held; }
  std::size_t peak() const { return Peak; }

  /** @return whether @p bytes more stay within the bound for large holders. */
  bool admits(std::size_t bytes) const {
    return bytes <= SmallBytes ? Held + bytes <= Limit
                               : Held + bytes <= largeLimit();
  }

  /** @return the holder that is to give up its bytes, or nullptr if the bytes
   * are within their bound or nobody can. */
  ByteHolder *excess(TimePoint now) const;

  /** Lets holders give up until the bytes are within their bound. Runs their
   * tasks. @return the number of them. */
  std::size_t enforce(TimePoint now);

private:
  friend class ByteHolder;
  friend class ByteLease;
  void change(std::size_t from, std::size_t to);

  std::size_t Limit;
  std::size_t Reserve;
  std::size_t Held = 0;
  std::size_t Peak = 0;
  std::unordered_set<ByteHolder *> Holders;
};

/** The bytes of one connection that it can give up. Used on one thread. */
class ByteHolder {
public:
  /** @param giveUp frees the bytes and states that with set(). */
  ByteHolder(std::shared_ptr<ByteBudget> budget, std::function<void()> giveUp);
  ~ByteHolder();
  ByteHolder(const ByteHolder &) = delete;
  ByteHolder &operator=(const ByteHolder &) = delete;

  std::size_t bytes() const { return Bytes; }
  void set(std::size_t bytes);
  /** States that @p n bytes were received at @p now. */
  void received(std::size_t n, TimePoint now);
  /** @return bytes held for each byte of recent progress. */
  double cost(TimePoint now) const;

private:
  friend class ByteBudget;
  double recentBytes(TimePoint now) const;

  std::shared_ptr<ByteBudget> Budget;
  std::function<void()> GiveUp;
  std::size_t Bytes = 0;
  double Recent = 0;
  TimePoint RecentAt{};
};

/** Bytes in use that cannot be given up, such as those of a request that was
 * passed on. Used on one thread. */
class ByteLease {
public:
  ByteLease() = default;
  ByteLease(std::shared_ptr<ByteBudget> budget, std::size_t bytes);
  ~ByteLease();
  ByteLease(ByteLease &&other) noexcept;
  ByteLease &operator=(ByteLease &&other) noexcept;
  ByteLease(const ByteLease &) = delete;
  ByteLease &operator=(const ByteLease &) = delete;

private:
  std::shared_ptr<ByteBudget> Budget;
  std::size_t Bytes = 0;
};

} // namespace chivefold

#endif
