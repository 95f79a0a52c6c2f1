#include "chivefold/mesh/customer_keys.h"

#include "chivefold/core/types.h"

#include <algorithm>
#include <array>

namespace chivefold {

namespace {

constexpr std::array<std::string_view, 3> VerdictNames{"allowed", "unknown key",
                                                       "missing key"};

} // namespace

KeyDigest digestOfKey(std::string_view key) {
  constexpr std::uint64_t seed = 0x6b657973;
  return static_cast<KeyDigest>(std::max<std::uint64_t>(hash64(key, seed), 1));
}

bool equalKeys(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned char different = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    different = static_cast<unsigned char>(
        different |
        (static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i])));
  }
  return different == 0;
}

CustomerKeys::CustomerKeys(const std::vector<MeshCustomer> &customers)
    : Customers(customers) {
  for (std::size_t i = 0; i < Customers.size(); ++i) {
    for (const auto &key : Customers[i].Keys) {
      if (find(key) == nullptr) {
        ByDigest.emplace(digestOfKey(key), Entry{key, i});
      }
    }
  }
}

const MeshCustomer *CustomerKeys::find(std::string_view key) const {
  const auto range = ByDigest.equal_range(digestOfKey(key));
  for (auto it = range.first; it != range.second; ++it) {
    if (equalKeys(it->second.Key, key)) {
      return &Customers[it->second.Customer];
    }
  }
  return nullptr;
}

bool CustomerKeys::holds(std::string_view customer, KeyDigest digest) const {
  const auto range = ByDigest.equal_range(digest);
  return std::any_of(range.first, range.second, [&](const auto &it) {
    return Customers[it.second.Customer].Name == customer;
  });
}

std::string_view keyVerdictName(KeyVerdict verdict) {
  return VerdictNames[static_cast<std::size_t>(verdict)];
}

KeyVerdict judgeKey(const KeyFacts &facts) {
  if (facts.HasKey) {
    // A public route needs no key, but a stated one must be valid.
    return facts.IsKnown ? KeyVerdict::Allowed : KeyVerdict::UnknownKey;
  }
  return facts.IsPublic || facts.MayBeServersCall ? KeyVerdict::Allowed
                                                  : KeyVerdict::MissingKey;
}

} // namespace chivefold
