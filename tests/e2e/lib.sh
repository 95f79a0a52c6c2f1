# Functions for tests with real processes over loopback. Source it, then call
# fleet_begin DIR BUILD BASE_PORT. Every process that was started is ended by
# its id at exit.

declare -A pid_of=()
daemons=()

fleet_begin() {
  run_dir=$1
  build=$2
  base_port=$3
  mkdir -p "$run_dir"
  trap fleet_end EXIT
  log_address=127.0.0.1:$base_port
  log_url=http://$log_address
}

# start NAME COMMAND... runs a process with its output in DIR/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$run_dir/$name.log" 2>&1 &
  pid_of[$name]=$!
}

# stop NAME SIGNAL ends one process and waits for it; returns its exit code.
stop() {
  local pid=${pid_of[$1]:-} code=0
  [ -n "$pid" ] || return 0
  kill "-$2" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || code=$?
  unset "pid_of[$1]"
  return "$code"
}

fleet_end() {
  local name
  for name in "${!pid_of[@]}"; do
    kill -CONT "${pid_of[$name]}" 2>/dev/null || true
    kill -KILL "${pid_of[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

# wait_until SECONDS COMMAND... polls until the command succeeds.
wait_until() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.05
  done
}

start_log() {
  start log "$build/tests/standins/log_service" --listen "$log_address" "$@"
  wait_until 10 grep -q listening "$run_dir/log.log"
}

# Ports of daemon number N: callers, peers, admin, backend server.
caller_address() { echo "127.0.0.1:$((base_port + 10 * $1 + 1))"; }
peer_address() { echo "127.0.0.1:$((base_port + 10 * $1 + 2))"; }
admin_address() { echo "127.0.0.1:$((base_port + 10 * $1 + 3))"; }
backend_address() { echo "127.0.0.1:$((base_port + 10 * $1 + 4))"; }

# start_daemon N DATA_CENTRE SERVICE VERSION runs only the daemon.
start_daemon() {
  start "daemon$1" "$build/tools/chivefoldd" \
    --caller-listen "$(caller_address "$1")" --peer-listen "$(peer_address "$1")" \
    --admin-listen "$(admin_address "$1")" --backend-server "$(backend_address "$1")" \
    --data-centre "$2" --region west --service "$3" --service-version "$4" \
    --log-url "$log_url" --seeds "$(peer_address 1),$(peer_address 2)" "${daemon_flags[@]}"
}
daemon_flags=()

# start_host N DATA_CENTRE SERVICE VERSION BACKEND_FLAGS... runs a backend
# server and its daemon.
start_host() {
  local n=$1 data_centre=$2 service=$3 version=$4
  shift 4
  start "backend$n" "$build/tests/standins/backend_server" \
    --listen "$(backend_address "$n")" --name "host$n" --version-name "$version" "$@"
  start_daemon "$n" "$data_centre" "$service" "$version"
  daemons+=("$n")
}

is_ready() { curl -fsS -o /dev/null "http://$(admin_address "$1")/-/ready" 2>/dev/null; }

all_ready() {
  local n
  for n in "${daemons[@]}"; do
    is_ready "$n" || return 1
  done
}

# state_field N NAME prints a number from a daemon's state.
state_field() {
  curl -fsS "http://$(admin_address "$1")/-/state" 2>/dev/null | jq ".$2"
}

# all_at_version V succeeds once every daemon has version V or a later one in force.
all_at_version() {
  local n v
  for n in "${daemons[@]}"; do
    v=$(state_field "$n" version) || return 1
    [ "${v:-0}" -ge "$1" ] || return 1
  done
}

fail() {
  failure="FAILED: $*"
  echo "$failure" >&2
  exit 1
}
failure="FAILED: a command of the test"

# show_logs prints the warnings of all processes, then the failure once more.
show_logs() {
  grep -hE 'WARN|ERROR|Sanitizer|runtime error' "$run_dir"/*.log | sort | head -n 60 || true
  echo "$failure"
}

# check_at_most_once LOAD_REPORT compares the executions of all backend servers
# that still run with what the load generator was told.
check_at_most_once() {
  local n executions twice lied
  executions=$(for n in "${daemons[@]}"; do
    curl -fsS "http://$(backend_address "$n")/-/executions?keys=1" 2>/dev/null || true
  done | jq -s -c '[.[].keys // {} | to_entries[]] | group_by(.key) | map({key: .[0].key, value: (map(.value) | add)}) | from_entries')
  twice=$(jq '[.[] | select(. > 1)] | length' <<<"$executions")
  # A repeat of a key that was truly not run may run later.
  lied=$(jq -s '.[0] as $runs | .[1].keys as $told
    | ($told["not-run"] // []) - ($told.succeeded // []) - ($told.answered // []) - ($told.unknown // [])
    | [.[] | select($runs[.] != null)] | length' \
    <(echo "$executions") "$1")
  echo "at most once: $(jq length <<<"$executions") keys run, $twice run twice, $lied run after \"not run\""
  [ "$twice" = 0 ] || fail "$twice keys ran twice"
  [ "$lied" = 0 ] || fail "$lied keys ran that a caller was told were not run"
}

# apply_text FILE applies a text and waits until it is in force everywhere.
apply_text() {
  local out
  out=$("$build/tools/chivefold" apply "$1") || fail "apply: $out"
  echo "$out"
  wait_until 11 all_at_version "$(accepted_offset "$out")" || fail "not in force everywhere within 11 s"
}

# start_load REPORT_NAME FLAGS... runs the load generator in the background.
start_load() {
  local name=$1
  shift
  "$build/tests/standins/load_generator" "$@" --list-keys >"$run_dir/$name.json" 2>"$run_dir/$name.log" &
  pid_of[$name]=$!
}

# end_load REPORT_NAME waits for it and prints its counts.
end_load() {
  local code=0
  wait "${pid_of[$1]}" || code=$?
  unset "pid_of[$1]"
  [ "$code" = 0 ] || fail "load generator: $(cat "$run_dir/$1.log")"
  jq -c '{sent, repeats, outcomes, statuses, versions, transport_errors, wrong_bodies}' "$run_dir/$1.json"
}

# count REPORT_NAME JQ_PATH prints a number of a load report, 0 if absent.
count() { jq "$2 // 0" "$run_dir/$1.json"; }

set_log_mode() { curl -fsS -o /dev/null -X POST "http://$log_address/control?mode=$1${2:+&delay_ms=$2}"; }
