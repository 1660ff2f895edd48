#!/usr/bin/env bash
# Endpoints go through a cold start under 60% load, with and without a new boot number.
set -euo pipefail
source "$(dirname "$0")/common.sh"
source bench/fleet.sh

events() {
  sleep 10
  fault "engine-0/cold?boot=1"
  sleep 10
  fault "engine-1/cold?boot=0"
  sleep 10
  fault "engine-2/crash?restart_ms=1000"
}
experiment() { fleet_experiment 0.6; }

run_policies
fleet_summary fresh
for p in $POLICIES; do
  echo "$p overruns: $(jq -c 'map_values(.overruns) | with_entries(select(.value > 0))' "$OUT/$p/end.engines.json")"
done
echo "results in $OUT"
