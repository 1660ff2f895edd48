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

echo "seed $ZR_SEED"
cluster_start "$RUN_DIR/environment.ini" 4 east west
cluster_wait_endpoints
callers="" pids=""
for i in 0 1 2 3; do callers+=" $(cluster_caller "$i")" pids+=" ${VM_PID[$i]}"; done
PLATFORM=$(cluster_platform) PLATFORM_FAULT=$(cluster_platform_fault) \
  SERVICE_FAULT=$(cluster_service_fault) CALLERS="$callers" PIDS="$pids" \
  SERVICE_FIRST_PORT=$((BASE_PORT + 700)) python3 tests/system/operations_driver.py "$@"
