#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-2/case-10 && test -x target/platform/chivefold-sidecar || exit 2
exec target/review-2/case-10 review/10
