/**
 * @file
 * Strong identifiers, time, addresses and outcomes shared by all modules.
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

/** Tag of the monotonic clock; core code receives its time points as arguments.
 */
struct MonotonicClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true; // NOLINT: name required by chrono
};

/** A local monotonic instant. Deadlines are stored as TimePoint. */
using TimePoint = MonotonicClock::time_point;
using Duration = MonotonicClock::duration;

/** A UTC instant, used only where operators state one. */
using UtcTime = std::chrono::time_point<std::chrono::system_clock,
                                        std::chrono::milliseconds>;

/** Position of a record in the platform's log; 0 means "none". */
enum class LogOffset : std::uint64_t { None = 0 };

constexpr std::uint64_t raw(LogOffset o) {
  return static_cast<std::uint64_t>(o);
}

/** A configuration version is the offset of the record that commits it. */
using Version = LogOffset;

/** A lease epoch is the offset of the record that took the lease. */
using Epoch = LogOffset;

/** Random 128-bit identity of a log record, an append can be found by it. */
struct RecordId {
  std::array<std::uint8_t, 16> Bytes{};
  bool operator==(const RecordId &o) const { return Bytes == o.Bytes; }
  bool operator!=(const RecordId &o) const { return Bytes != o.Bytes; }
  bool operator<(const RecordId &o) const { return Bytes < o.Bytes; }
};

/** @return 32 lower-case hexadecimal digits. Thread-safe. */
std::string toString(const RecordId &id);

/** An IP number and a TCP port. */
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

/** @return "ip:port". Thread-safe. */
std::string toString(const Address &a);

/** Parses "ip:port" with a numeric IPv4 or bracketed IPv6 address. Thread-safe.
 */
std::optional<Address> parseAddress(std::string_view text);

/**
 * One run of a daemon. BootId is random for each start, so that a restarted
 * daemon, which remembers nothing, is not taken for its predecessor.
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

/** @return the hash that identifies @p key of @p service in claims.
 * Thread-safe. */
KeyHash hashKey(std::string_view service, std::string_view key);

/** What became of a call. */
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
