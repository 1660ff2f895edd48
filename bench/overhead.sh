#!/usr/bin/env bash
# Overhead of one daemon: latency over a direct call at 500 requests/s, and memory per stream.
set -euo pipefail
source "$(dirname "$0")/common.sh"
MODEL=assay-reader POOL=assay SERVICE=register
TEAM_KEY=example-key-customs SHORT_CLASS=lookup
ENGINES=4 SERVICES=3
ENGINE_FLAGS="--prefill_tps=12000 --decode_tps=20 --start_warm --max_requests=1024 --kv_capacity=4000000"
SERVICE_FLAGS="--service_time_ms=10"
SECONDS_OF_LOAD="${SECONDS_OF_LOAD:-12}"
RATE="${RATE:-500}"
STREAM_STEPS="${STREAM_STEPS:-100 1000 2000}"

service_scenario() {
  cat <<INI
[load]
seconds = $1
rates = 0:30, 3:$RATE
[team customs]
key = $TEAM_KEY
[class lookup]
kind = service
path = /services/register/entries
deadline_ms = 5000
INI
}

stream_scenario() {  # streams; each lasts 30 s at 20 tokens/s
  cat <<INI
[load]
seconds = 32
model = $MODEL
rates = 0:$(($1 / 10)), 10:0
[team customs]
key = $TEAM_KEY
[class lookup]
deadline_ms = 60000
prompt_tokens = 5-50
answer_tokens = 500
INI
}

rss_kb() { awk '/^VmRSS/ { print $2 }' "/proc/${VM_PID[0]}/status"; }
running() { curl -sf "http://$(cluster_engine_fault)/fault/state" | jq '[.[].running // 0] | add'; }

in_progress() {
  curl -sf "http://$(cluster_caller 0)/metrics" | awk '/^zr_requests_in_progress / { print $2 }'
}

experiment() {
  # More concurrent requests than the example allows, a longer deadline and one VM.
  sed -e '/^\[pool assay\]/,/^\[pool reg/s/^max_requests = .*/max_requests = 1024/' \
    -e '/^\[pool register\]/,/^\[class/s/^fresh_requests = .*/fresh_requests = 64/' \
    -e '/^\[class lookup\]/,/^\[class sub/s/^deadline_ms = .*/deadline_ms = 60000/' \
    examples/kontrollkontor.ini >"$RUN_DIR/document.ini"
  cluster_start "$RUN_DIR/document.ini" 1 sala
  cluster_wait_endpoints
  service_scenario "$((SECONDS_OF_LOAD + 3))" >"$RUN_DIR/service.scenario"
  local direct i
  direct=$(for ((i = 0; i < SERVICES; ++i)); do echo "127.0.0.1:$((BASE_PORT + 700 + i))@sala"; done | paste -sd,)
  load warm-service "$RUN_DIR/service.scenario" --seconds=4
  load daemon "$RUN_DIR/service.scenario"
  load direct "$RUN_DIR/service.scenario" --targets="$direct"
  load daemon-again "$RUN_DIR/service.scenario"
  warm_up 10 60
  local streams pid
  : >"$RUN_DIR/memory.txt"
  for streams in $STREAM_STEPS; do
    stream_scenario "$streams" >"$RUN_DIR/streams.scenario"
    load "streams-$streams" "$RUN_DIR/streams.scenario" &
    pid=$!
    sleep 15
    echo "$(in_progress) $(rss_kb) $(running)" >>"$RUN_DIR/memory.txt"
    wait "$pid"
  done
  engine_state end
}

run_policies
echo "overhead, seed $SEED, $RATE requests/s to one VM"
for p in $POLICIES; do
  for q in p50_ms p99_ms; do
    echo "$p $q over direct: $(ratio "$(first_token "$p" daemon lookup $q)" "$(first_token "$p" direct lookup $q)"), again $(ratio "$(first_token "$p" daemon-again lookup $q)" "$(first_token "$p" direct lookup $q)")"
  done
  echo "$p outcomes $(outcomes "$p" daemon) again $(outcomes "$p" daemon-again) direct $(outcomes "$p" direct)"
  echo "$p streams, RSS in KB and streams at the engines: $(paste -sd';' "$OUT/$p/memory.txt")"
  awk -v p="$p" 'NR == 1 { s = $1; m = $2 } END { if ($1 > s) printf "%s memory per stream: %.1f KB\n", p, ($2 - m) / ($1 - s) }' "$OUT/$p/memory.txt"
done
echo "results in $OUT"
