#!/usr/bin/env bash
# Guards against two operators whose changes both come into force, and against
# a bad version of a service that keeps its share.
source "$(dirname "$0")/begin.sh"
base=$(state_field 4 version)
booking_timeout_ms=2500 write_configuration "$work/a.toml" ""
booking_timeout_ms=2600 write_configuration "$work/b.toml" ""
"$build/tools/chivefold" apply "$work/a.toml" --base "$base" >"$work/a.out" 2>&1 &
first=$!
code_b=0
"$build/tools/chivefold" apply "$work/b.toml" --base "$base" >"$work/b.out" 2>&1 || code_b=$?
code_a=0
wait "$first" || code_a=$?
cat "$work/a.out" "$work/b.out"
[ $((code_a + code_b)) = 1 ] || fail "exit codes $code_a and $code_b, expected one 0 and one 1"
grep -q 'not in force' "$work/a.out" "$work/b.out" || fail "the loser was not told"
