/**
 * @file
 * Lines of the Prometheus text format.
 */
#ifndef CHIVEFOLD_SIDECAR_METRIC_TEXT_H
#define CHIVEFOLD_SIDECAR_METRIC_TEXT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace chivefold {

/** Appends one sample. @param name with its labels, if there are any.
 * Thread-safe for different texts. */
inline void addSample(std::string &out, std::string_view name,
                      std::uint64_t value) {
  out.append(name).append(" ").append(std::to_string(value)).append("\n");
}

/** Appends one sample with one label. Thread-safe for different texts. */
inline void addLabelled(std::string &out, std::string_view name,
                        std::string_view label, std::string_view of,
                        std::uint64_t value) {
  out.append(name).append("{").append(label).append("=\"").append(of);
  addSample(out, "\"}", value);
}

} // namespace chivefold

#endif
