/**
 * @file
 * Keys by which requests are recognized as those of a customer.
 */
#ifndef CHIVEFOLD_MESH_CUSTOMER_KEYS_H
#define CHIVEFOLD_MESH_CUSTOMER_KEYS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivefold {

/** A customer whose requests are recognized by their key. */
struct MeshCustomer {
  std::string Name;
  std::vector<std::string> Keys;
  /** 0 is the highest priority. */
  std::uint32_t Priority = 0;
};

/** Stands for a key in messages between daemons; the key itself stays on the
 * host where its request began. The same on all daemons. */
enum class KeyDigest : std::uint64_t { None = 0 };

/** @return the digest of a key, never None. Thread-safe. */
KeyDigest digestOfKey(std::string_view key);

/** @return whether two keys are equal, in a time that depends only on their
 * lengths. Thread-safe. */
bool equalKeys(std::string_view a, std::string_view b);

/** The customers by their keys. Immutable; thread-safe. */
class CustomerKeys {
public:
  /** @param customers are copied. If two have the same key, the first holds it.
   */
  explicit CustomerKeys(const std::vector<MeshCustomer> &customers);

  /** @return the customer that holds the key, or null. Valid for the lifetime
   * of this object. */
  const MeshCustomer *find(std::string_view key) const;

  /** @return whether the named customer holds a key with the digest. */
  bool holds(std::string_view customer, KeyDigest digest) const;

  std::size_t size() const { return ByDigest.size(); }

private:
  struct Entry {
    std::string Key;
    std::size_t Customer;
  };

  std::vector<MeshCustomer> Customers;
  std::unordered_multimap<KeyDigest, Entry> ByDigest;
};

/** What is to be done with a request because of its key. */
enum class KeyVerdict : std::uint8_t {
  Allowed,
  /** No customer holds the key. */
  UnknownKey,
  /** The request needs a key and has none. */
  MissingKey
};

/** @return "allowed", "unknown key" or "missing key". Thread-safe. */
std::string_view keyVerdictName(KeyVerdict verdict);

/** Facts that decide whether a request may run. */
struct KeyFacts {
  /** The request states a key. */
  bool HasKey = false;
  /** A customer holds it. */
  bool IsKnown = false;
  /** The route needs no key. */
  bool IsPublic = false;
  /** The server beside the daemon may be running a request, during which it may
   * make calls; these carry no key. */
  bool MayBeServersCall = false;
};

/** Decides on a request where the configuration has customers. Thread-safe. */
KeyVerdict judgeKey(const KeyFacts &facts);

} // namespace chivefold

#endif
