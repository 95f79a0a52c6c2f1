/**
 * @file
 * Identifiers, time types, addresses and call outcomes used by all modules.
 */
#ifndef CHIVEFOLD_CORE_TYPES_H
#define CHIVEFOLD_CORE_TYPES_H

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace chivefold {

/** Clock type of monotonic time points. It has no now(): core code receives
 * time points as arguments. */
struct MonotonicClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true; // NOLINT: name required by chrono
};

/** A point in time on the local monotonic clock. Deadlines are stored as
 * TimePoint. */
using TimePoint = MonotonicClock::time_point;
using Duration = MonotonicClock::duration;

/** A UTC point in time, used only where operators specify one. */
using UtcTime = std::chrono::time_point<std::chrono::system_clock,
                                        std::chrono::milliseconds>;

/** Position of a record in the platform's log. 0 means that there is none. */
enum class LogOffset : std::uint64_t { None = 0 };

constexpr std::uint64_t raw(LogOffset o) {
  return static_cast<std::uint64_t>(o);
}

/** Version of the configuration: the offset of the record that commits it. */
using Version = LogOffset;

/** Epoch of a lease: the offset of the record that took the lease. */
using Epoch = LogOffset;

/** Random 128-bit identifier of a log record. It identifies an append whose
 * outcome is unknown when the log is read. */
struct RecordId {
  std::array<std::uint8_t, 16> Bytes{};
  bool operator==(const RecordId &o) const { return Bytes == o.Bytes; }
  bool operator!=(const RecordId &o) const { return Bytes != o.Bytes; }
  bool operator<(const RecordId &o) const { return Bytes < o.Bytes; }
};

/** @return 32 lower-case hexadecimal digits. Thread-safe. */
std::string toString(const RecordId &id);

/** A numeric IP address and a TCP port. */
struct Address {
  std::string Ip;
  std::uint16_t Port = 0;
  bool operator==(const Address &o) const {
    return Ip == o.Ip && Port == o.Port;
  }
  bool operator!=(const Address &o) const { return !(*this == o); }
  bool operator<(const Address &o) const {
    return Port != o.Port ? Port < o.Port : Ip < o.Ip;
  }
};

/** @return "ip:port", with an IPv6 address in brackets. Thread-safe. */
std::string toString(const Address &a);

/** Parses "ip:port" with a numeric IPv4 or bracketed IPv6 address. Thread-safe.
 */
std::optional<Address> parseAddress(std::string_view text);

/**
 * Identifies one run of a daemon. BootId is random for each start, so that a
 * restarted daemon, which has lost its state, is not mistaken for its
 * predecessor at the same address.
 */
struct DaemonId {
  Address Peer;
  std::uint64_t BootId = 0;
  bool operator==(const DaemonId &o) const {
    return Peer == o.Peer && BootId == o.BootId;
  }
  bool operator!=(const DaemonId &o) const { return !(*this == o); }
};

/** 128-bit hash of a service's name and an idempotency key. */
struct KeyHash {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;
  bool operator==(const KeyHash &o) const {
    return High == o.High && Low == o.Low;
  }
};

/** @return the hash that identifies the idempotency key @p key of @p service in
 * claims. Thread-safe. */
KeyHash hashKey(std::string_view service, std::string_view key);

/** Outcome of a call: answered, certainly not executed, or unknown. */
enum class Outcome : std::uint8_t { Answered, NotRun, Unknown };

/** @return "answered", "not-run" or "unknown". Thread-safe. */
std::string_view outcomeName(Outcome o);
std::optional<Outcome> outcomeFromName(std::string_view name);

/** @return the 64-bit XXH3 hash of @p data. Thread-safe. */
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

} // namespace chivefold

template <> struct std::hash<chivefold::Address> {
  std::size_t operator()(const chivefold::Address &a) const noexcept {
    return std::hash<std::string>()(a.Ip) * 31 + a.Port;
  }
};

template <> struct std::hash<chivefold::KeyHash> {
  std::size_t operator()(const chivefold::KeyHash &key) const noexcept {
    return key.Low;
  }
};

template <> struct std::hash<chivefold::RecordId> {
  std::size_t operator()(const chivefold::RecordId &id) const noexcept {
    return chivefold::hash64(
        {reinterpret_cast<const char *>(id.Bytes.data()), id.Bytes.size()});
  }
};

#endif
