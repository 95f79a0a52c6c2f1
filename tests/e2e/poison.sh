#!/usr/bin/env bash
# Guards against a request that crashes one backend server after another: its
# caller repeats it at several daemons while normal calls run. At most two
# backend servers may die, the request is refused at every daemon, and normal
# calls are answered afterwards.
source "$(dirname "$0")/begin.sh"
clients=(4 5 6 7 8 9 10 11)
# poison N METHOD PATH HEADERS... prints "STATUS OUTCOME ERROR".
poison() {
  local n=$1 method=$2 path=$3
  shift 3
  curl -sS -m 5 -X "$method" -H 'X-Crash: 1' "$@" -D "$work/headers" -o "$work/body" -w '%{http_code} ' \
    "http://$(caller_address "$n")/client-desk$path" || true
  echo "$(grep -i '^chivefold-outcome:' "$work/headers" | tr -d '\r' | cut -d' ' -f2) $(jq -r .error "$work/body" 2>/dev/null)"
}
dead() {
  local n
  for n in "${daemons[@]}"; do
    kill -0 "${pid_of[backend$n]}" 2>/dev/null || echo "$n"
  done
}
restart_dead() {
  local n version
  for n in $(dead); do
    version=v1
    [ "$n" -lt 12 ] || version=v2
    wait "${pid_of[backend$n]}" 2>/dev/null || true
    start "backend$n" "$build/tests/standins/backend_server" --listen "$(backend_address "$n")" --name "host$n" \
      --version-name "$version" --slots 20 --service-ms 4 \
      --depends "http://$(caller_address "$n")/depot-ledger/credits"
  done
}
start_load load --target $(caller_addresses "${clients[@]}") \
  --kind GET:/client-desk/balances:70 POST:/client-desk/pickups:30 --rate 150 --seconds 15 --seed 20261204
sleep 2
deaths=0
# run_poison NAME METHOD PATH HEADERS... repeats it three times at each daemon.
run_poison() {
  local name=$1 round n before=$deaths
  shift
  for round in 1 2 3; do
    for n in "${clients[@]}"; do
      said=$(poison "$n" "$@")
      echo "$name at daemon $n: $said"
      deaths=$((deaths + $(dead | wc -l)))
      restart_dead
    done
  done
  [ $((deaths - before)) -le 2 ] || fail "$name: $((deaths - before)) backend servers died"
}
run_poison lookup GET "/balances?chair=poison"
[ "$deaths" = 2 ] || fail "$deaths backend servers died; the request should have crashed two"
[ "$said" = "503 not-run quarantined" ] || fail "the last answer was: $said"
retry_after=$(grep -i '^retry-after:' "$work/headers" | tr -d '\r' | cut -d' ' -f2)
[ "$retry_after" -gt 500 ] && [ "$retry_after" -le 600 ] || fail "retry after $retry_after s"
run_poison booking POST /pickups -H 'Idempotency-Key: poison-1' -d poison
# A repeat of a key that may have run is never told that it was not run.
[[ "$said" == "504 unknown "* ]] || fail "the last answer to a key that has run was: $said"
run_poison fresh-key POST "/pickups?poison" -d poison
[ "$said" = "503 not-run quarantined" ] || fail "the last answer without a key was: $said"
end_load load
[ "$(count load .transport_errors)" = 0 ] || fail "a caller's connection was cut"
start_load after --target $(caller_addresses "${clients[@]}") \
  --kind GET:/client-desk/balances:70 POST:/client-desk/pickups:30 --rate 100 --seconds 5 --seed 20261204
end_load after
[ "$(count after '.statuses["200"]')" = "$(count after .sent)" ] || fail "normal calls are refused after the deaths"
[ "$(count load .outcomes.answered)" -ge $(($(count load .sent) * 95 / 100)) ] || fail "normal calls were lost beside the poison"
