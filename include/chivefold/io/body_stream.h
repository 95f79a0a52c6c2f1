/**
 * @file
 * The part of a request's body that is passed on while it arrives.
 */
#ifndef CHIVEFOLD_IO_BODY_STREAM_H
#define CHIVEFOLD_IO_BODY_STREAM_H

#include "chivefold/core/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace chivefold {

/**
 * A bounded pipe from the connection that receives a body to the one that sends
 * it on. The producer pauses while the pipe is full, so that the slower side
 * sets the pace and memory does not grow with the body. Bytes that were taken
 * are gone: a request whose stream has started cannot be sent again. Used on
 * one thread.
 */
class BodyStream {
public:
  /** Bodies up to this size are held whole; of larger ones, this much is held
   * before the rest is passed on. */
  static constexpr std::size_t HeldBytes = 64U << 10U;
  /** Bytes in the pipe above which the producer pauses. */
  static constexpr std::size_t WindowBytes = 64U << 10U;

  /** @param length bytes that will pass; nothing if they are not known, as of a
   * chunked body. */
  BodyStream(std::optional<std::uint64_t> length, TimePoint now)
      : Length(length), PaceAt(now) {}
  BodyStream(const BodyStream &) = delete;
  BodyStream &operator=(const BodyStream &) = delete;

  std::optional<std::uint64_t> length() const { return Length; }

  /** Adds bytes, even to a full pipe. @param last whether the body is whole
   * with them. Runs the consumer's task. */
  void push(std::string_view bytes, bool last, TimePoint now);
  /** @return whether the producer is to pause. */
  bool isFull() const { return Buffer.size() >= WindowBytes; }
  /** Sets what runs after the consumer has asked for bytes, whether there were
   * any or not. */
  void onTaken(std::function<void()> task) { TakenTask = std::move(task); }

  /** @return at most @p max of the bytes that are there, maybe none. */
  std::string take(std::size_t max, TimePoint now);
  /** Sets what runs after bytes or the end have arrived. */
  void onArrival(std::function<void()> task) { ArrivalTask = std::move(task); }

  /** @return whether a consumer has asked for bytes. */
  bool isStarted() const { return Started; }
  /** @return whether all of the body was taken. */
  bool isAtEnd() const { return Finished && Buffer.empty(); }
  /** @return when the end of the body was taken. Precondition: isAtEnd(). */
  TimePoint endedAt() const { return EndedAt; }
  std::size_t size() const { return Buffer.size(); }

  /** @return bytes a second that were pushed lately, by an average whose older
   * bytes fade. */
  double pace(TimePoint now) const;

private:
  std::optional<std::uint64_t> Length;
  std::string Buffer;
  bool Started = false;
  bool Finished = false;
  TimePoint EndedAt{};
  double Recent = 0;
  TimePoint PaceAt;
  std::function<void()> ArrivalTask;
  std::function<void()> TakenTask;
};

} // namespace chivefold

#endif
