#!/usr/bin/env bash
# Guards against work for a data centre that is taken out, and against a
# version that goes back when all its daemons are killed and restarted.
source "$(dirname "$0")/begin.sh"
out_hosts=(5 8 11)
# Calls enter at daemons of all data centres, and most prefer their own.
kinds=(GET:/client-desk/balances:1 POST:/client-desk/pickups:1)
executions_out() {
  local n total=0
  for n in 2 "${out_hosts[@]}"; do
    total=$((total + $(curl -fsS "http://$(backend_address "$n")/-/executions" | jq .total)))
  done
  echo "$total"
}
start_load load --target $(caller_addresses 4 5 6 7 8 9) --kind "${kinds[@]}" --rate 100 --seconds 11 --seed 20261204
sleep 2
[ "$(executions_out)" -gt 0 ] || fail "the data centre had no work before it was taken out"
"$build/tools/chivefold" take-out "${data_centres[1]}"
sleep 5
before=$(executions_out)
sleep 2
after=$(executions_out)
[ "$before" = "$after" ] || fail "work 5 s after the take-out: $before executions, then $after"
end_load load
[ "$(count load .outcomes.unknown)" = 0 ] || fail "the take-out cut calls"
booking_timeout_ms=2500 write_configuration "$work/next.toml" ""
apply_text "$work/next.toml"
version=$(state_field 4 version)
for n in 2 "${out_hosts[@]}"; do
  stop "daemon$n" KILL || true
done
start_daemon 2 "${data_centres[1]}" depot-ledger v1
for n in "${out_hosts[@]}"; do
  start_daemon "$n" "${data_centres[1]}" client-desk v1
done
for n in 2 "${out_hosts[@]}"; do
  wait_until 30 is_ready "$n" || fail "daemon $n is not ready again"
  [ "$(state_field "$n" version)" -ge "$version" ] || fail "daemon $n serves a version older than $version"
done
"$build/tools/chivefold" put-back "${data_centres[1]}"
# Another seed, since keys are made from it: a repeat of a key whose holder was
# killed is rightly unknown.
start_load again --target $(caller_addresses 5 8) --kind "${kinds[@]}" --rate 50 --seconds 8 --seed 20261205
end_load again
[ "$(count again .outcomes.answered)" = 400 ] || fail "calls were not answered after the restart"
[ "$(executions_out)" -gt "$after" ] || fail "no work after the data centre was put back"
check_at_most_once "$work/again.json"
