#!/usr/bin/env bash
# Guards against work for a data centre that is taken out, and against a
# version that goes back when all its daemons are killed and restarted.
source "$(dirname "$0")/begin.sh"
executions_of() { curl -fsS "http://$(backend_address "$1")/-/executions" | jq .total; }
out_hosts=(5 8 11)
start_load load --target $(caller_addresses 4 6 7 9 10) --kind GET:/client-desk/balances:1 POST:/client-desk/pickups:1 \
  --rate 100 --seconds 25 --seed 20261204
"$build/tools/chivefold" take-out "${data_centres[1]}"
sleep 5
before=$(for n in 2 "${out_hosts[@]}"; do executions_of "$n"; done)
sleep 2
after=$(for n in 2 "${out_hosts[@]}"; do executions_of "$n"; done)
[ "$before" = "$after" ] || fail "work after 5 s out: $before, then $after"
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
served_again() { [ "$(executions_of 5)" -gt "$(head -n 2 <<<"$after" | tail -n 1)" ]; }
wait_until 15 served_again || fail "no work after the data centre was put back"
end_load load
check_at_most_once "$work/load.json"
