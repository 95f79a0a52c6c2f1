/**
 * @file
 * Tables of names for enumerations, used for parsing, printing and logging.
 */
#ifndef CHIVEFOLD_CORE_ENUM_NAMES_H
#define CHIVEFOLD_CORE_ENUM_NAMES_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace chivefold {

/** Maps the N constants of E to names and back. Immutable and thread-safe. */
template <class E, std::size_t N> struct EnumNames {
  std::array<std::pair<E, std::string_view>, N> Entries;

  /** @return the name of @p e, or "unknown" if the table lacks it. */
  constexpr std::string_view name(E e) const {
    for (const auto &it : Entries) {
      if (it.first == e) {
        return it.second;
      }
    }
    return "unknown";
  }

  /** @return the constant named @p name, if there is one. */
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
