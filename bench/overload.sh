#!/usr/bin/env bash
# Completed work by class weight at twice the capacity over that at capacity (Ordvakt's classes).
set -euo pipefail
source "$(dirname "$0")/common.sh"
MODEL=glossary POOL=glossary SERVICE=termbank
TEAM_KEY=example-key-medicine SHORT_CLASS=term-check
ENGINES="${ENGINES:-10}" SERVICES=3
ENGINE_FLAGS="--prefill_tps=12000 --decode_tps=60 --start_warm --checks_fencing=false --max_requests=64"
# Deadlines are short against the run, so that the tail after the last arrival adds little.
SECONDS_OF_LOAD="${SECONDS_OF_LOAD:-40}"
# Prompt tokens a call on average: 0.70 x 72 + 0.25 x 12.7 k + 0.05 x 41 k = 5.3 k. Ten engines
# read 120 k tokens/s, so 22.7 calls/s are the capacity.
CAPACITY_RATE="${CAPACITY_RATE:-22.7}"

scenario() {  # rate
  cat <<INI
[load]
seconds = $SECONDS_OF_LOAD
model = $MODEL
score = weighted
rates = 0:$1
[team medicine]
key = $TEAM_KEY
share = 2
[team law]
key = example-key-law
share = 1
[class term-check]
share = 70
weight = 2
deadline_ms = 2000
prompt_tokens = 5-300
answer_tokens = 5-20
[class chapter-review]
share = 25
weight = 8
deadline_ms = 8000
prompt_tokens = 2000-40000
answer_tokens = 20-60
[class corpus-audit]
share = 5
weight = 100
deadline_ms = 15000
prompt_tokens = 20000-75000
answer_tokens = 20-60
INI
}

experiment() {
  cluster_start examples/ordvakt.ini 6 vest-a vest-b vest-c
  cluster_wait_endpoints
  warm_up 12 60
  scenario "$CAPACITY_RATE" >"$RUN_DIR/once.scenario"
  scenario "$(awk -v r="$CAPACITY_RATE" 'BEGIN { print 2 * r }')" >"$RUN_DIR/twice.scenario"
  load once "$RUN_DIR/once.scenario" --policy=ordvakt
  load twice "$RUN_DIR/twice.scenario" --policy=ordvakt
  engine_state end
}

run_policies
echo "overload, seed $SEED, capacity $CAPACITY_RATE/s"
for p in $POLICIES; do
  echo "$p completed work twice/once: $(ratio "$(jq .completed_work "$OUT/$p/twice.json")" "$(jq .completed_work "$OUT/$p/once.json")")"
  echo "$p late or failed after admission: once $(count "$p" once late may_have_run ran broken expired wrong_answer), twice $(count "$p" twice late may_have_run ran broken expired wrong_answer)"
  echo "$p outcomes once $(outcomes "$p" once) twice $(outcomes "$p" twice)"
  echo "$p messages $(jq -c .messages "$OUT/$p/twice.json")"
done
echo "completed work at twice the capacity, grants/baseline: $(ratio "$(jq .completed_work "$OUT/grants/twice.json")" "$(jq .completed_work "$OUT/baseline/twice.json")")"
echo "results in $OUT"
