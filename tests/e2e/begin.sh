# Common start of the end-to-end tests: BUILD_DIRECTORY BASE_PORT. The array
# log_flags, if it is set before, holds flags of the log.
set -euo pipefail
cd "$(dirname "$0")/../.."
source tests/e2e/lib.sh
source tests/e2e/atlas.sh
work=$(mktemp -d)
fleet_begin "$work" "$1" "$2"
trap 'code=$?; fleet_end; [ $code = 0 ] || show_logs; rm -rf "$work"; exit $code' EXIT
export CHIVEFOLD_LOG_URL=$log_url
CHIVEFOLD_ADMIN=$(admin_address 4)
export CHIVEFOLD_ADMIN
start_log ${log_flags[@]+"${log_flags[@]}"}
start_atlas
wait_until 30 all_ready || fail "daemons are not ready"
write_configuration "$work/atlas.toml" ""
apply_text "$work/atlas.toml"
