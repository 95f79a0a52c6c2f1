#!/usr/bin/env bash
# Guards against a bad version that keeps traffic: version v2 fails a third of
# its calls and must be taken back long before the deadline of its move.
new_version_flags=(--error-permille 330)
source "$(dirname "$0")/begin.sh"
start_load load --target $(caller_addresses 4 5 6 7 8 9 10 11) --kind GET:/client-desk/balances:1 \
  --rate 150 --seconds 30 --seed 20261204
write_configuration "$work/move.toml" "[service.client-desk.move]
to = \"v2\"
deadline = $(date -u -d '+120 seconds' +%Y-%m-%dT%H:%M:%SZ)"
apply_text "$work/move.toml"
taken_back() { [ "$("$build/tools/chivefold" moves --json | jq -r '.moves[0].state')" = taken-back ]; }
wait_until 60 taken_back || fail "the bad version was not taken back"
"$build/tools/chivefold" moves
share_zero() { [ "$(curl -fsS "http://$(admin_address "$1")/-/state" | jq '.moves[0].share_in_force')" = 0 ]; }
for n in "${daemons[@]}"; do
  wait_until 5 share_zero "$n" || fail "daemon $n still has a share for the bad version"
done
end_load load
"$build/tools/chivefold" moves --json | jq -r '.moves[0].evidence' | grep -q errors || fail "the evidence names no errors, so the test shows nothing"
[ "$(count load .versions.v2)" -lt 450 ] || fail "the bad version answered more than a tenth of the calls"
