#!/usr/bin/env bash
# Half of the endpoints leave at 40% load (Kontrollkontor).
set -euo pipefail
source "$(dirname "$0")/common.sh"
source bench/fleet.sh

events() {
  sleep 15
  local i
  for ((i = 0; i < ENGINES; i += 2)); do fault "engine-$i/leave"; done
  date +%s%3N >"$RUN_DIR/left_at"
  sleep 20
  engine_state left
  ctl endpoints >"$RUN_DIR/endpoints.txt" || true
}
experiment() { fleet_experiment 0.4; }

run_policies
fleet_summary halve
for p in $POLICIES; do
  echo "$p p95 halved/before: $(ratio "$(p95_between "$p" fleet 15 45)" "$(p95_between "$p" fleet 3 15)")"
  echo "$p last new work after leaving: $(jq --argjson at "$(cat "$OUT/$p/left_at")" '[to_entries[] | select((.key | ltrimstr("engine-") | tonumber) % 2 == 0) | .value.last_new_work_ms] | max - $at' "$OUT/$p/left.engines.json") ms"
done
echo "results in $OUT"
