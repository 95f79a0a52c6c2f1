#!/usr/bin/env bash
# Guards against work that runs twice, and against a "not run" that is false:
# keys are repeated at other daemons at once and after unknown outcomes, while
# daemons are killed and the log loses answers and goes down.
source "$(dirname "$0")/begin.sh"
start_load load --target $(caller_addresses 4 5 6 7 8 9) \
  --kind POST:/client-desk/pickups:60 GET:/client-desk/balances:40 --check-echo \
  --rate 100 --seconds 14 --repeat-permille 200 --repeat-unknown --seed 20261204
sleep 2
stop daemon5 KILL || true
stop daemon12 KILL || true
sleep 1
start_daemon 5 "${data_centres[1]}" client-desk v1
start_daemon 12 "${data_centres[0]}" client-desk v2
set_log_mode lose-answers
sleep 3
set_log_mode down
sleep 2
set_log_mode up
stop backend7 KILL || true
kill -STOP "${pid_of[daemon9]}"
sleep 2
kill -CONT "${pid_of[daemon9]}"
end_load load
check_at_most_once "$work/load.json"
[ "$(count load .wrong_bodies)" = 0 ] || fail "a caller got the answer to another request"
[ "$(count load .outcomes.answered)" -gt 300 ] || fail "too few calls were answered for the test to mean anything"
