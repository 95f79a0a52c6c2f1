#!/usr/bin/env bash
# Guards against calls that wait for a backend server which accepts and never
# answers: a repeatable call is answered within its timeout, so at least 99% of
# the calls are answered while one of eight servers is silent, and while one of
# the three servers of their dependency is.
source "$(dirname "$0")/begin.sh"
run_load() {
  start_load "$1" --target $(caller_addresses 4 5 6 7 8 9 10 11) --kind GET:/client-desk/balances:1 \
    --rate 200 --seconds "$2" --timeout-ms 2000 --seed 20261204
}
run_load before 8
end_load before
# silence NAME N stops backend server N two seconds after the load starts.
silence() {
  run_load "$1" 12
  sleep 2
  kill -STOP "${pid_of[backend$2]}"
  end_load "$1"
  kill -CONT "${pid_of[backend$2]}"
}
silence own 7
silence dependency 2
for name in before own dependency; do
  echo "$name: $(count "$name" .outcomes.answered) of $(count "$name" .sent) answered," \
    "$(count "$name" '.statuses["200"]') well," \
    "p50 $(count "$name" .latency_ms.p50) ms, p99 $(count "$name" .latency_ms.p99) ms," \
    "max $(count "$name" .latency_ms.max) ms"
  [ "$(count "$name" '.statuses["200"]')" -ge $(($(count "$name" .sent) * 99 / 100)) ] ||
    fail "under 99% answered in the run $name"
  # A call that was sent to the silent server is answered after half of its
  # timeout. The router must send it less than 1% of the calls.
  jq -e '.latency_ms.p99 < 1000' "$work/$name.json" >/dev/null || fail "1% of the calls waited in the run $name"
done
