#!/usr/bin/env bash
# Measures the control plane with real daemons over loopback, without backend
# servers or calls: BUILD_DIRECTORY [BASE_PORT] [SIZES...]. Prints a table, fits
# and extrapolations to 4,100 members; writes the rows to ${CSV:-fleet.csv}.
# Peer bytes are those of the frames between daemons, without TCP/IP headers.
set -euo pipefail
cd "$(dirname "$0")/.."
source tests/e2e/lib.sh
source tests/e2e/atlas.sh

build_directory=${1:-build}
port=${2:-28500}
sizes=("${@:3}")
[ ${#sizes[@]} -gt 0 ] || sizes=(25 50 100 200)
csv=${CSV:-fleet.csv}
window_seconds=${WINDOW_SECONDS:-20}
changes=5
work=$(mktemp -d)
fleet_begin "$work" "$build_directory" "$port"
trap 'code=$?; fleet_end; [ $code = 0 ] || tail -qn 5 "$work"/*.log | tail -n 40; rm -rf "$work"; exit $code' EXIT
export CHIVEFOLD_LOG_URL=$log_url
CHIVEFOLD_ADMIN=$(admin_address 1)
export CHIVEFOLD_ADMIN

milliseconds() { date +%s%3N; }

# write_services FILE TIMEOUT_MS: 150 services; the first route of service 7 has
# the given timeout. Service i depends on service i/2, which is 7 levels deep.
write_services() {
  {
    echo '[fleet]'
    echo 'data_centres = ["dc0", "dc1", "dc2", "dc3", "dc4", "dc5", "dc6", "dc7", "dc8", "dc9"]'
    local i ms
    for i in $(seq 150); do
      ms=3000
      [ "$i" != 7 ] || ms=$2
      echo "[service.service-$i]"
      [ "$i" = 1 ] || echo "depends_on = [\"service-$((i / 2))\"]"
      printf 'versions = ["v1"]\ncurrent = "v1"\nslots = 20\nconnections = 120\nqueue = 40\ncold_slots = 2\n'
      printf '[[service.service-%d.route]]\nmethod = "POST"\npath = "/work"\nkind = "work"\nworth = 5\ntimeout_ms = %d\n' "$i" "$ms"
      printf '[[service.service-%d.route]]\nmethod = "GET"\npath = "/items"\nkind = "item"\nrepeatable = true\nworth = 1\ntimeout_ms = 2000\n' "$i"
    done
  } >"$1"
}

start_member() {
  start "daemon$1" "$build/tools/chivefoldd" \
    --caller-listen "$(caller_address "$1")" --peer-listen "$(peer_address "$1")" \
    --admin-listen "$(admin_address "$1")" --backend-server "$(backend_address "$1")" \
    --data-centre "dc$(($1 % 10))" --region "region$(($1 % 10 % 3))" \
    --service "service-$((($1 - 1) % 150 + 1))" --service-version v1 --log-url "$log_url" \
    --seeds "$(peer_address 1),$(peer_address 2),$(peer_address 3)" --log-level warn
}

# metrics N... prints the metrics of daemons, read by one process.
metrics() {
  local n urls=()
  for n in "$@"; do
    urls+=("http://$(admin_address "$n")/-/metrics")
  done
  curl -fsS "${urls[@]}" 2>/dev/null
}
sum_of() { awk -v name="$1" '$1 == name { sum += $2 } END { printf "%.0f\n", sum }' "$2"; }

# processor_ticks prints utime + stime of each daemon, in units of 1/CLK_TCK s.
processor_ticks() {
  local n stat
  for n in "${daemons[@]}"; do
    stat=$(<"/proc/${pid_of[daemon$n]}/stat")
    # shellcheck disable=SC2086
    set -- ${stat##*) }
    echo $((${12} + ${13}))
  done
}
resident_kb() {
  local n
  for n in "${daemons[@]}"; do
    awk '/^VmRSS/ { print $2 }' "/proc/${pid_of[daemon$n]}/status"
  done
}
next_offset() { curl -fsS -o /dev/null -D - "$log_url/read?from=1&max=1&wait_ms=0" | tr -d '\r' | awk 'tolower($1) == "log-next:" { print $2 }'; }

everyone_knows_everyone() {
  local n=${#daemons[@]}
  [ "$(metrics "${daemons[@]}" | awk -v n="$n" '$1 == "chivefold_members_alive" && $2 == n' | wc -l)" = "$n" ]
}

# in_force_ms OFFSET START prints the time until all daemons have the version
# and the longest interval between two polls, in ms.
in_force_ms() {
  local waiting=("${daemons[@]}") last now slowest=0 text
  last=$(milliseconds)
  while [ ${#waiting[@]} -gt 0 ]; do
    text=$(metrics "${waiting[@]}" | awk -v v="$1" '$1 == "chivefold_configuration_version" { print ($2 >= v) }')
    local done_flags=($text) left=() i
    for i in "${!waiting[@]}"; do
      [ "${done_flags[$i]}" = 1 ] || left+=("${waiting[$i]}")
    done
    waiting=("${left[@]}")
    now=$(milliseconds)
    [ $((now - last)) -le "$slowest" ] || slowest=$((now - last))
    last=$now
    [ $((now - $2)) -lt 30000 ] || fail "not in force within 30 s"
  done
  echo "$((last - $2)) $slowest"
}

apply_services() {
  local out
  write_services "$work/services.toml" "$1"
  out=$("$build/tools/chivefold" apply "$work/services.toml") || fail "apply: $out"
  accepted_offset "$out"
}

# percentage of a core: mean and worst daemon, from two files of ticks.
processor_share() {
  paste "$1" "$2" | awk -v s="$3" -v hz="$(getconf CLK_TCK)" '{ p = ($2 - $1) / hz / s * 100; sum += p; if (p > m) m = p }
    END { printf "%.3f %.3f\n", sum / NR, m }'
}

measure() {
  local n=$1 i t0 t1 seconds begun=$SECONDS
  daemons=()
  start_log
  for i in $(seq "$n"); do
    start_member "$i"
    daemons+=("$i")
  done
  wait_until 60 all_ready || fail "daemons are not ready"
  # Another process may hold a port; its answers must not count.
  for i in "${daemons[@]}"; do
    kill -0 "${pid_of[daemon$i]}" 2>/dev/null || fail "daemon $i has ended"
  done
  wait_until "${MEMBERS_SECONDS:-180}" everyone_knows_everyone || fail "members are missing"
  echo "$n daemons all know each other $((SECONDS - begun)) s after the start of the first" >&2
  apply_services 3000 >/dev/null
  # Each update of a member is sent 3 log2(N) times, 16 in each of about 2
  # messages per second; a shorter wait measures the end of the joins.
  sleep "${SETTLE_SECONDS:-$(awk -v n="$n" 'BEGIN { l = 0; while (2 ^ l < n + 1) l++; print int(n * 3 * l / 32) + 5 }')}"

  metrics "${daemons[@]}" >"$work/before"
  processor_ticks >"$work/ticks0"
  local offset0 offset1
  offset0=$(next_offset)
  t0=$(milliseconds)
  sleep "$window_seconds"
  t1=$(milliseconds)
  processor_ticks >"$work/ticks1"
  offset1=$(next_offset)
  metrics "${daemons[@]}" >"$work/after"
  seconds=$(bc <<<"scale=3; ($t1 - $t0) / 1000")
  local sent received cpu rss load
  # The first metrics are read before the window begins, the second after it.
  sent=$(($(sum_of chivefold_peer_bytes_sent_total "$work/after") - $(sum_of chivefold_peer_bytes_sent_total "$work/before")))
  received=$(($(sum_of chivefold_peer_bytes_received_total "$work/after") - $(sum_of chivefold_peer_bytes_received_total "$work/before")))
  cpu=$(processor_share "$work/ticks0" "$work/ticks1" "$seconds")
  rss=$(resident_kb | awk '{ s += $1; if ($1 > m) m = $1 } END { printf "%.1f %.1f", s / NR / 1024, m / 1024 }')
  load=$(cut -d' ' -f1 /proc/loadavg)

  local times="" poll=0 result offset
  for i in $(seq "$changes"); do
    t0=$(milliseconds)
    offset=$(apply_services $((3000 + i)))
    result=$(in_force_ms "$offset" "$t0")
    times+="${result% *}"$'\n'
    [ "${result#* }" -le "$poll" ] || poll=${result#* }
    sleep 1
  done
  local median worst
  median=$(printf %s "$times" | sort -n | sed -n "$(((changes + 1) / 2))p")
  worst=$(printf %s "$times" | sort -n | tail -1)
  awk -v n="$n" -v s="$seconds" -v out="$sent" -v in_="$received" -v cpu="$cpu" -v rss="$rss" \
    -v appends=$((offset1 - offset0)) -v median="$median" -v worst="$worst" -v poll="$poll" -v load="$load" \
    'BEGIN { split(cpu, c, " "); split(rss, r, " ");
      printf "%d,%.1f,%.1f,%.3f,%.3f,%.1f,%.1f,%.3f,%d,%d,%d,%s\n", n, out / n / s, in_ / n / s,
        c[1], c[2], r[1], r[2], appends / s, median, worst, poll, load }' | tee -a "$csv" >&2
  for i in "${daemons[@]}"; do
    kill -KILL "${pid_of[daemon$i]}"
  done
  for i in "${daemons[@]}"; do
    stop "daemon$i" KILL || true
  done
  stop log KILL || true
  rm -f "$work"/*.log
}

echo "daemons,sent_bytes_per_s,received_bytes_per_s,core_percent,core_percent_worst,rss_mib,rss_mib_worst,appends_per_s,in_force_ms_median,in_force_ms_worst,poll_ms_worst,load_average" >"$csv"
for size in "${sizes[@]}"; do
  measure "$size"
done
column -s, -t "$csv"
benchmark/fit.sh "$csv"
