#!/usr/bin/env bash
# Measures what two daemons add to a call (caller, daemon, peer daemon, backend
# server) against the same call to an identical backend server directly, both
# at the same time: BUILD_DIRECTORY [BASE_PORT] [RATES...]. Then the same for a
# booking, whose key is claimed in the log first.
set -euo pipefail
cd "$(dirname "$0")/.."
source tests/e2e/lib.sh
source tests/e2e/atlas.sh

build_directory=${1:-build}
port=${2:-31500}
rates=("${@:3}")
[ ${#rates[@]} -gt 0 ] || rates=(100 300 600)
booking_rate=${BOOKING_RATE:-50}
seconds=${SECONDS_PER_RATE:-12}
work=$(mktemp -d)
fleet_begin "$work" "$build_directory" "$port"
trap 'code=$?; fleet_end; [ $code = 0 ] || tail -qn 5 "$work"/*.log | tail -n 40; rm -rf "$work"; exit $code' EXIT
export CHIVEFOLD_LOG_URL=$log_url
CHIVEFOLD_ADMIN=$(admin_address 1)
export CHIVEFOLD_ADMIN

# Daemon 1 takes the calls; only daemon 2 has a backend server of the service.
start_log
start_host 1 ain-sebaa depot-ledger v1 --slots 64 --service-ms 1
start_host 2 ain-sebaa client-desk v1 --slots 64 --service-ms 1
start backend3 "$build/tests/standins/backend_server" --listen "$(backend_address 3)" \
  --name direct --version-name v1 --slots 64 --service-ms 1
wait_until 30 all_ready || fail "daemons are not ready"
for n in 1 2; do
  kill -0 "${pid_of[daemon$n]}" "${pid_of[backend$n]}" 2>/dev/null || fail "host $n has ended"
done
write_configuration "$work/atlas.toml" ""
apply_text "$work/atlas.toml" >/dev/null

processor_ticks() {
  local n stat sum=0
  for n in "${daemons[@]}"; do
    stat=$(<"/proc/${pid_of[daemon$n]}/stat")
    # shellcheck disable=SC2086
    set -- ${stat##*) }
    sum=$((sum + ${12} + ${13}))
  done
  echo "$sum"
}

# load NAME TARGET KIND RATE SECONDS
load() {
  start_load "$1" --target "$2" --kind "$3" --rate "$4" --seconds "$5" --timeout-ms 2000 --seed "$RANDOM"
}
finish() {
  wait "${pid_of[$1]}" || fail "load generator: $(cat "$run_dir/$1.log")"
  unset "pid_of[$1]"
}

# compare LABEL METHOD PATH RATE: the two loads run concurrently, so that other
# work on the machine disturbs both alike.
compare() {
  local t0 t1
  t0=$(processor_ticks)
  load direct "$(backend_address 3)" "$2:$3:1" "$4" "$seconds"
  load through "$(caller_address 1)" "$2:/client-desk$3:1" "$4" "$seconds"
  finish direct
  finish through
  t1=$(processor_ticks)
  jq -rn --slurpfile d "$work/direct.json" --slurpfile t "$work/through.json" --arg kind "$1" \
    --argjson rate "$4" --argjson ticks $((t1 - t0)) --argjson hz "$(getconf CLK_TCK)" \
    --arg load "$(cut -d' ' -f1 /proc/loadavg)" '
    def r: . * 1000 | round / 1000;
    ($d[0].latency_ms) as $a | ($t[0].latency_ms) as $b | ($ticks / $hz) as $cpu |
    [$kind, $rate, $a.count, $b.count, ($t[0].sent - $b.count),
     ($a.p50 | r), ($b.p50 | r), (($b.p50 - $a.p50) | r), (($b.p50 / $a.p50) | r),
     ($a.p99 | r), ($b.p99 | r), (($b.p99 - $a.p99) | r), (($b.p99 / $a.p99) | r),
     ($cpu / $b.count * 1e6 | round), (if $cpu > 0 then ($b.count / $cpu | round) else 0 end), $load] | @csv' |
    tr -d '"' | tee -a "$work/rows.csv" >&2
}

# The gate opens and connections are made before anything is measured.
load warm "$(caller_address 1)" "GET:/client-desk/balances:1" 200 8
finish warm
echo "call,rate_per_s,direct_answers,answers,not_answered,direct_p50_ms,p50_ms,added_p50_ms,ratio_p50,direct_p99_ms,p99_ms,added_p99_ms,ratio_p99,processor_us_per_call,calls_per_core_s,load_average" >"$work/rows.csv"
for rate in "${rates[@]}"; do
  compare lookup GET /balances "$rate"
done
compare booking POST /pickups "$booking_rate"
column -s, -t "$work/rows.csv"
[ -z "${CSV:-}" ] || cp "$work/rows.csv" "$CSV"
