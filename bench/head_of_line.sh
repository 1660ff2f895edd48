#!/usr/bin/env bash
# Time to first token of short requests beside long ones, over that without (Ordvakt).
set -euo pipefail
source "$(dirname "$0")/common.sh"
MODEL=glossary POOL=glossary SERVICE=termbank
TEAM_KEY=example-key-medicine SHORT_CLASS=term-check
ENGINES="${ENGINES:-12}" SERVICES=3
ENGINE_FLAGS="--prefill_tps=12000 --decode_tps=60 --start_warm --checks_fencing=false --max_requests=64"
SECONDS_OF_LOAD="${SECONDS_OF_LOAD:-30}"
# At one long prompt in fifty, 14 calls/s offer about 60% of the engines' prefill speed with seed 1.
RATE="${RATE:-14}"
LONG_TOKENS="${LONG_TOKENS:-100000-180000}"

scenario() {  # long share
  cat <<INI
[load]
seconds = $SECONDS_OF_LOAD
model = $MODEL
score = weighted
rates = 0:$RATE
[team medicine]
key = $TEAM_KEY
[class term-check]
share = 49
weight = 2
deadline_ms = 4000
prompt_tokens = 100-3000
answer_tokens = 5-20
INI
  [ "$1" = 0 ] || cat <<INI
[class corpus-audit]
share = $1
weight = 100
deadline_ms = 90000
prompt_tokens = $LONG_TOKENS
answer_tokens = 50-150
INI
}

experiment() {
  cluster_start examples/ordvakt.ini 6 vest-a vest-b vest-c
  cluster_wait_endpoints
  warm_up 12 70
  scenario 0 >"$RUN_DIR/alone.scenario"
  scenario 1 >"$RUN_DIR/mixed.scenario"
  load alone "$RUN_DIR/alone.scenario" --policy=ordvakt
  load mixed "$RUN_DIR/mixed.scenario" --policy=ordvakt &
  local pid=$!
  sleep $((SECONDS_OF_LOAD / 2))
  ctl endpoints >"$RUN_DIR/endpoints.txt" || true
  wait "$pid"
  engine_state end
}

run_policies
echo "head_of_line, seed $SEED, rate $RATE/s, long $LONG_TOKENS"
for p in $POLICIES; do
  for q in p50_ms p99_ms; do
    echo "$p short $q mixed/alone: $(ratio "$(first_token "$p" mixed term-check $q)" "$(first_token "$p" alone term-check $q)")"
  done
  echo "$p outcomes alone $(outcomes "$p" alone) mixed $(outcomes "$p" mixed)"
  echo "$p standins $(jq -c .standins "$OUT/$p/mixed.json")"
done
tokens() { jq '[.classes[].answer_tokens] | add' "$OUT/$1/mixed.json"; }
echo "short p99 grants/baseline: $(ratio "$(first_token grants mixed term-check p99_ms)" "$(first_token baseline mixed term-check p99_ms)")"
echo "answer tokens grants/baseline: $(ratio "$(tokens grants)" "$(tokens baseline)")"
echo "completed work grants/baseline: $(ratio "$(jq .completed_work "$OUT/grants/mixed.json")" "$(jq .completed_work "$OUT/baseline/mixed.json")")"
echo "results in $OUT"
