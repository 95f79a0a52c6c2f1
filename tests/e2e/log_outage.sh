#!/usr/bin/env bash
# Guards against a configuration that is lost or goes back in an outage of the
# log: calls go on, an apply is not reported as accepted or refused, a daemon
# that restarts takes the version in force from its peers, and a change after
# the outage is in force everywhere.
source "$(dirname "$0")/begin.sh"
version=$(state_field 4 version)
set_log_mode down
code=0
booking_timeout_ms=2500 write_configuration "$work/next.toml" ""
"$build/tools/chivefold" apply "$work/next.toml" >"$work/apply.out" 2>&1 || code=$?
[ "$code" = 3 ] || fail "apply in an outage ended with $code: $(cat "$work/apply.out")"
start_load load --target $(caller_addresses 4 5 6) --kind GET:/client-desk/balances:1 --rate 100 --seconds 6 --seed 20261204
stop daemon8 KILL || true
start_daemon 8 "${data_centres[1]}" client-desk v1
wait_until 30 is_ready 8 || fail "a restarted daemon is not ready although its peers are"
[ "$(state_field 8 version)" = "$version" ] || fail "version $(state_field 8 version) after a restart, $version before"
end_load load
[ "$(count load .outcomes.unknown)" = 0 ] || fail "calls were cut"
[ "$(count load .outcomes.answered)" = "$(count load .sent)" ] || fail "calls were refused in an outage of the log"
set_log_mode up
wait_until 10 "$build/tools/chivefold" diff "$work/next.toml" >/dev/null || fail "the log does not answer again"
apply_text "$work/next.toml"
