/**
 * @file
 * Response that refuses a request.
 */
#ifndef CHIVEFOLD_SIDECAR_REFUSAL_H
#define CHIVEFOLD_SIDECAR_REFUSAL_H

#include "chivefold/core/types.h"
#include "chivefold/io/http.h"

namespace chivefold {

/** @return a response without a body and with a Retry-After header of at least
 * 1 ms, in seconds with a fraction. Thread-safe. */
HttpResponse refusal(int status, Duration retryAfter);

} // namespace chivefold

#endif
