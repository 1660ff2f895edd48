#!/usr/bin/env bash
# VMs and engines of a failure domain are killed without notice at 60% load (Kontrollkontor).
set -euo pipefail
source "$(dirname "$0")/common.sh"
source bench/fleet.sh

events() {
  sleep 15
  engine_state before
  kill -9 "${VM_PID[0]}" "${VM_PID[3]}"
  local engine
  for engine in $(engines_of 0); do fault "$engine/kill"; done
  sleep 14
  engine_state lost
  for engine in $(engines_of 0); do fault "$engine/start"; done
  cluster_start_vm 0 sala
  cluster_start_vm 3 sala
}
experiment() { CTL_VM=1 fleet_experiment 0.6; }

run_policies
fleet_summary domain_loss
for p in $POLICIES; do
  calm=$(p95_between "$p" fleet 3 15)
  for from in 15 20 25 30 35 40; do
    echo "$p seconds $from to $((from + 5)): p95 over calm $(ratio "$(p95_between "$p" fleet $from $((from + 5)))" "$calm"), not in time $(failed_between "$p" fleet $from $((from + 5)))"
  done
  echo "$p running in the domain before: $(jq -c '[to_entries[] | select((.key | ltrimstr("engine-") | tonumber) % 3 == 0) | .value.running] | add' "$OUT/$p/before.engines.json")"
done
echo "results in $OUT"
