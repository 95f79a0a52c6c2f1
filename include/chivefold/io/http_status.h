/**
 * @file
 * Ranges of HTTP statuses.
 */
#ifndef CHIVEFOLD_IO_HTTP_STATUS_H
#define CHIVEFOLD_IO_HTTP_STATUS_H

namespace chivefold {

/** @return whether a response with this status precedes the answer. 101 is one
 * of them, since no request asks for another protocol. Thread-safe. */
constexpr bool isInterimStatus(int status) {
  return status >= 100 && status < 200;
}

/** @return whether a response with this status is the answer of a server. One
 * that is neither interim nor final is no HTTP. Thread-safe. */
constexpr bool isFinalStatus(int status) {
  return status >= 200 && status < 600;
}

} // namespace chivefold

#endif
