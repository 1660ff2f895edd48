#!/usr/bin/env bash
# Runs operations_driver.py against a deployment of real daemons and stand-ins.
# Usage: operations_test.sh BUILD_DIR [STORY...]; ZR_SEED sets the seed of lost answers.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD="$1"
shift
BASE_PORT="${BASE_PORT:-23000}"
ENGINES=1 MODEL=reader POOL=assay SERVICES=3 SERVICE=register
export ZR_SEED="${ZR_SEED:-1}"
PLATFORM_FLAGS="--seed=$ZR_SEED"
source scripts/cluster.sh
RUN_DIR=$(mktemp -d)
finish() {
  local status=$?
  trap - EXIT
  set +e
  [ "$status" -eq 0 ] || tail -n 30 "$RUN_DIR"/vm-*.log >&2
  cluster_stop
  rm -rf "$RUN_DIR"
  exit "$status"
}
trap finish EXIT

cat >"$RUN_DIR/environment.ini" <<INI
[environment]
name = operations-test
[pool assay]
kind = model
model = reader
[pool register]
kind = service
repeatable = false
[class held]
deadline_ms = 120000
repeatable = false
may_wait = true
[class prompt]
deadline_ms = 120000
repeatable = false
[team customs]
key_digests = $(printf %s customs-key | sha256sum | cut -d' ' -f1)
classes = held, prompt
INI

store_record() {  # key state age_in_ms
  curl -sf -X PUT -H "If-None-Match: *" "http://$(cluster_platform)/v1/objects/operations/customs.register.$1" \
    -d "{\"format\": 1, \"state\": \"$2\", \"team\": \"customs\", \"service\": \"register\", \"key\": \"$1\",
      \"vm\": \"vm-9\", \"incarnation\": 1, \"nonce\": 1, \"fingerprint\": 1,
      \"updated_unix_ms\": $(($(date +%s%3N) - $3))}" >/dev/null
}
cluster_platform_ready() {
  store_record old-released released $((26 * 3600000))
  store_record old-dispatched dispatched $((26 * 3600000))
  store_record young-released released $((23 * 3600000))
}

echo "seed $ZR_SEED"
cluster_start "$RUN_DIR/environment.ini" 4 east west || { ctl status >&2; ctl --output=json status >&2; exit 1; }
cluster_wait_endpoints
callers="" pids=""
for i in 0 1 2 3; do callers+=" $(cluster_caller "$i")" pids+=" ${VM_PID[$i]}"; done
PLATFORM=$(cluster_platform) PLATFORM_FAULT=$(cluster_platform_fault) \
  SERVICE_FAULT=$(cluster_service_fault) OPERATOR=$(cluster_operator 0) \
  TOKEN="$OPERATOR_TOKEN" ENGINE="127.0.0.1:$((BASE_PORT + 400))" CALLERS="$callers" PIDS="$pids" \
  SERVICE_FIRST_PORT=$((BASE_PORT + 700)) python3 tests/system/operations_driver.py "$@"
# The last story stops vm-1; a planned stop ends with 0.
if [ $# -eq 0 ]; then
  wait "${VM_PID[1]}" || { echo "vm-1 ended with $?" >&2; exit 1; }
fi
