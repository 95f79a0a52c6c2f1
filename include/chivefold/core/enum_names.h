/**
 * @file
 * Tables that map enumerators to their names in text, output and logs.
 */
#ifndef CHIVEFOLD_CORE_ENUM_NAMES_H
#define CHIVEFOLD_CORE_ENUM_NAMES_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace chivefold {

/** Maps the N enumerators of E to names and back. Immutable and thread-safe.
 */
template <class E, std::size_t N> struct EnumNames {
  std::array<std::pair<E, std::string_view>, N> Entries;

  /** @return the name of @p e, or "unknown" if the table does not contain it.
   */
  constexpr std::string_view name(E e) const {
    for (const auto &it : Entries) {
      if (it.first == e) {
        return it.second;
      }
    }
    return "unknown";
  }

  /** @return the enumerator named @p name, if there is one. */
  constexpr std::optional<E> value(std::string_view name) const {
    for (const auto &it : Entries) {
      if (it.second == name) {
        return it.first;
      }
    }
    return std::nullopt;
  }
};

} // namespace chivefold

#endif
