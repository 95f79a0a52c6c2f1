#include "chivefold/core/types.h"

#include "chivefold/core/enum_names.h"

#include <arpa/inet.h>
#include <charconv>
#include <xxhash.h>

namespace chivefold {
namespace {

constexpr EnumNames<Outcome, 3> OutcomeNames{{{
    {Outcome::Answered, "answered"},
    {Outcome::NotRun, "not-run"},
    {Outcome::Unknown, "unknown"},
}}};

bool isIpAddress(const std::string &ip) {
  std::array<unsigned char, sizeof(in6_addr)> buf{};
  return inet_pton(AF_INET, ip.c_str(), buf.data()) == 1 ||
         inet_pton(AF_INET6, ip.c_str(), buf.data()) == 1;
}

} // namespace

std::string toString(const RecordId &id) {
  static constexpr std::string_view digits = "0123456789abcdef";
  std::string s;
  s.reserve(id.Bytes.size() * 2);
  for (const auto b : id.Bytes) {
    s += digits[b >> 4];
    s += digits[b & 15];
  }
  return s;
}

std::string toString(const Address &a) {
  const bool v6 = a.Ip.find(':') != std::string::npos;
  return (v6 ? "[" + a.Ip + "]" : a.Ip) + ":" + std::to_string(a.Port);
}

std::optional<Address> parseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  auto ip = text.substr(0, colon);
  const auto port = text.substr(colon + 1);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  Address a{std::string(ip), 0};
  const auto *end = port.data() + port.size();
  const auto parsed = std::from_chars(port.data(), end, a.Port);
  if (parsed.ec != std::errc() || parsed.ptr != end || !isIpAddress(a.Ip)) {
    return std::nullopt;
  }
  return a;
}

std::string_view outcomeName(Outcome o) { return OutcomeNames.name(o); }

std::optional<Outcome> outcomeFromName(std::string_view name) {
  return OutcomeNames.value(name);
}

std::uint64_t hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

KeyHash hashKey(std::string_view service, std::string_view key) {
  std::string buf(service);
  buf += '\0';
  buf += key;
  const auto h = XXH3_128bits(buf.data(), buf.size());
  return {h.high64, h.low64};
}

} // namespace chivefold
