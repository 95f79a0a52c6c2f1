#!/usr/bin/env bash
# TROUBLE=0 leaves out the disruption; without it, or with 1, the case has it.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
case "${TROUBLE:-1}" in
0) export TROUBLE=0 ;;
*) export TROUBLE=1 ;;
esac
test -x target/review-2/case-10 && test -x target/platform/chivefold-sidecar || exit 2
exec target/review-2/case-10 review/10
