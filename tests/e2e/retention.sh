#!/usr/bin/env bash
# Guards against a fleet that cannot recover, or goes back to an older version,
# because the log no longer retains its first records.
log_flags=(--retain-records 60)
source "$(dirname "$0")/begin.sh"

log_first() { curl -fsS -o /dev/null -D - "$log_url/read?from=1000000&wait_ms=0" | tr -d '\r' | sed -n 's/^Log-First: //p'; }
# Newest applied offset and version of all daemons.
newest() { for n in "${daemons[@]}"; do state_field "$n" "$1"; done | sort -n | tail -1; }

start_load load --target $(caller_addresses 4 5 6 7) --kind POST:/client-desk/pickups:1 --rate 30 --seconds 6 --seed 20261204
for ((n = 0; n < 12; ++n)); do
  booking_timeout_ms=$((2500 + n)) write_configuration "$work/atlas.toml" ""
  "$build/tools/chivefold" apply "$work/atlas.toml" >/dev/null || fail "apply $n"
done
end_load load
first=$(log_first)
[ "$first" -gt 1 ] || fail "the log still retains its first record"
version=$(newest version)
applied=$(newest applied)
written() { cat "$work"/daemon*.log | grep -c 'snapshot begins' || true; }
echo "retained from $first, applied $applied, version $version, $(written) snapshots appended"
[ "$(written)" -le $((applied / 16 + 1)) ] || fail "more snapshots than one per 16 records"

for n in "${daemons[@]}"; do stop "daemon$n" KILL || true; done
for n in 1 2 3; do start_daemon "$n" "${data_centres[$((n - 1))]}" depot-ledger v1; done
for n in 4 5 6 7 8 9 10 11; do start_daemon "$n" "${data_centres[$(((n - 4) % 3))]}" client-desk v1; done
for n in 12 13 14; do start_daemon "$n" "${data_centres[$((n - 12))]}" client-desk v2; done
wait_until 30 all_ready || fail "not ready after the restart: $(curl -sS "http://$(admin_address 4)/-/ready")"
all_at_version "$version" || fail "a daemon is ready below version $version"
installed=$(cat "$work"/daemon*.log | grep -c 'state installed from the log' || true)
[ "$installed" -gt 0 ] || fail "no daemon installed a snapshot from the log"
echo "after the restart: $installed of ${#daemons[@]} daemons took the state from the log"
"$build/tools/chivefold" diff "$work/atlas.toml" >"$work/diff.out" || fail "diff: $(cat "$work/diff.out")"
cat "$work/diff.out"
booking_timeout_ms=2600 write_configuration "$work/atlas.toml" ""
apply_text "$work/atlas.toml"

# Records that no daemon follows take the place of the last snapshot.
for n in "${daemons[@]}"; do stop "daemon$n" KILL || true; done
for ((n = 0; n < 70; ++n)); do curl -fsS -o /dev/null -d "unreadable $n" "$log_url/append"; done
start_daemon 4 "${data_centres[0]}" client-desk v1
lost() { curl -sS "http://$(admin_address 4)/-/ready" 2>/dev/null | grep 'no complete snapshot'; }
wait_until 10 lost || fail "a daemon does not say that the log lost the state: $(curl -sS "http://$(admin_address 4)/-/ready")"
is_ready 4 && fail "a daemon is ready without the state"
code=0
"$build/tools/chivefold" diff "$work/atlas.toml" >"$work/diff.out" 2>&1 || code=$?
[ "$code" != 0 ] || fail "diff knows a state that the log does not retain"
cat "$work/diff.out"
