#!/usr/bin/env bash
# A failure domain is drained and returned at 60% load (Kontrollkontor).
set -euo pipefail
source "$(dirname "$0")/common.sh"
source bench/fleet.sh

events() {
  sleep 15
  ctl drain domain sala >"$RUN_DIR/drain.txt"
  date +%s%3N >"$RUN_DIR/drained_at"
  sleep 14
  engine_state drained
  date +%s%3N >"$RUN_DIR/returned_at"
  ctl endpoints >"$RUN_DIR/endpoints.txt" || true
  ctl undrain domain sala >>"$RUN_DIR/drain.txt"
}
experiment() { fleet_experiment 0.6; }

run_policies
fleet_summary drain
for p in $POLICIES; do
  calm=$(p95_between "$p" fleet 3 15)
  echo "$p p95 drained/calm: $(ratio "$(p95_between "$p" fleet 15 30)" "$calm"), returned/calm: $(ratio "$(p95_between "$p" fleet 30 45)" "$calm")"
  # Milliseconds from the drain to the last new work in the domain.
  echo "$p last new work after the drain: $(jq --argjson at "$(cat "$OUT/$p/drained_at")" '[to_entries[] | select((.key | ltrimstr("engine-") | tonumber) % 3 == 0) | .value.last_new_work_ms] | max - $at' "$OUT/$p/drained.engines.json") ms"
done
echo "results in $OUT"
