#!/usr/bin/env bash
# Guards against a planned stop that cuts a request: every daemon is replaced
# under traffic, and no call may get a broken connection or an unknown outcome.
source "$(dirname "$0")/begin.sh"
services=(- depot-ledger depot-ledger depot-ledger client-desk client-desk client-desk client-desk
  client-desk client-desk client-desk client-desk client-desk client-desk client-desk)
replace() {
  local n=$1 data_centre version=v1
  data_centre=$(curl -fsS "http://$(admin_address "$n")/-/state" | jq -r .data_centre)
  [ "$n" -lt 12 ] || version=v2
  stop "daemon$n" TERM || fail "daemon $n ended with an error"
  start_daemon "$n" "$data_centre" "${services[$n]}" "$version"
  wait_until 20 is_ready "$n" || fail "daemon $n is not ready again"
}
replace_all() {
  local name=$1 keep=$2
  local seed=$3
  shift 3
  start_load "$name" --target $(caller_addresses $keep) \
    --kind POST:/client-desk/pickups:30 GET:/client-desk/balances:70 --check-echo --rate 60 --seconds 22 --seed "$seed"
  local n
  for n in "$@"; do
    replace "$n"
  done
  end_load "$name"
  check_at_most_once "$work/$name.json"
  [ "$(count "$name" .transport_errors)" = 0 ] || fail "a connection was cut"
  [ "$(count "$name" .outcomes.unknown)" = 0 ] || fail "a call was cut"
  [ "$(count "$name" .wrong_bodies)" = 0 ] || fail "a caller got the answer to another request"
}
replace_all first "4 5 6" 20261204 1 2 3 7 8 9 10 11
replace_all second "7 8 9" 20261205 4 5 6 12 13 14
