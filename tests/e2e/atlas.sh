# The Atlas deployment: sourced by the demo and the end-to-end tests.

# write_configuration FILE MOVE_SECTION [TAKEN_OUT]
write_configuration() {
  cat >"$1" <<TOML
[fleet]
data_centres = ["ain-sebaa", "sidi-maarouf", "bouskoura"]
taken_out = [${3:-}]

[service.client-desk]
depends_on = ["depot-ledger"]
versions = ["v1", "v2"]
current = "v1"
slots = 20
connections = 120
queue = 40
cold_slots = 2

[[service.client-desk.route]]
method = "POST"
path = "/pickups"
kind = "booking"
worth = 5
timeout_ms = ${booking_timeout_ms:-3000}

[[service.client-desk.route]]
method = "GET"
path = "/balances"
kind = "balance"
repeatable = true
worth = 1
timeout_ms = 2000

[service.depot-ledger]
versions = ["v1"]
current = "v1"
slots = 20
connections = 120
queue = 40
cold_slots = 2

[[service.depot-ledger.route]]
method = "POST"
path = "/credits"
kind = "payout"
worth = 10
timeout_ms = 3000

[[service.depot-ledger.route]]
method = "GET"
path = "/credits"
kind = "credit"
repeatable = true
worth = 2
timeout_ms = 2000

$2
TOML
}

# start_depot_ledger N DATA_CENTRE, start_client_desk N DATA_CENTRE VERSION FLAGS...
start_depot_ledger() {
  start_host "$1" "$2" depot-ledger v1 --slots 20 --service-ms 3 "${backend_flags[@]}"
}
start_client_desk() {
  local n=$1
  start_host "$n" "$2" client-desk "$3" --slots 20 --service-ms 4 \
    --depends "http://$(caller_address "$n")/depot-ledger/credits" "${@:4}" "${backend_flags[@]}"
}
[ -v backend_flags ] || backend_flags=()

# Hosts 1 to 3 run depot-ledger, 4 to 11 client-desk v1, 12 to 14 client-desk v2.
data_centres=(ain-sebaa sidi-maarouf bouskoura)
start_atlas() {
  local n
  for n in 1 2 3; do
    start_depot_ledger "$n" "${data_centres[$((n - 1))]}"
  done
  for n in 4 5 6 7 8 9 10 11; do
    start_client_desk "$n" "${data_centres[$(((n - 4) % 3))]}" v1
  done
  for n in 12 13 14; do
    start_client_desk "$n" "${data_centres[$((n - 12))]}" v2 "${new_version_flags[@]}"
  done
}
[ -v new_version_flags ] || new_version_flags=()

# accepted_offset OUTPUT prints the offset of "accepted at offset N".
accepted_offset() { grep -oE 'accepted at offset [0-9]+' <<<"$1" | grep -oE '[0-9]+$'; }

# caller_addresses N... prints the addresses for callers.
caller_addresses() {
  local n
  for n in "$@"; do
    caller_address "$n"
  done
}
