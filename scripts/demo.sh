#!/usr/bin/env bash
# Builds zinniarill and shows both example deployments in small, one after the other, with real
# daemons and stand-in engines on 127.0.0.1.
# Usage: scripts/demo.sh [kontrollkontor|ordvakt]...
#   BASE_PORT  first of 1000 ports (default 21000)
#   BUILD      use this build directory as it is instead of building in build/
# The exit code is 1 if anything failed. All processes that it starts end with it.
set -uo pipefail
cd "$(dirname "$0")/.."
names=("${@:-kontrollkontor}")
[ $# -eq 0 ] && names=(kontrollkontor ordvakt)
work="$(mktemp -d)"
failures=()
load_pid=""

if [ -z "${BUILD:-}" ]; then
  echo "Installing packages and building; the first time takes some minutes (log: $work/build.log)."
  { scripts/install-packages.sh && scripts/build.sh build zinniarilld zinniarillctl \
    zinniarill-load standin_platform standin_engine standin_service; } >"$work/build.log" 2>&1 ||
    { tail -30 "$work/build.log"; exit 1; }
fi
. scripts/cluster.sh

clean_up() {
  [ -n "$load_pid" ] && kill "$load_pid" 2>/dev/null
  cluster_stop
}
trap clean_up EXIT
trap 'exit 1' INT TERM

fail() {
  failures+=("$1")
  echo "   FAILED: $1"
}

json() { python3 -c "import json,sys; d=json.load(sys.stdin); print($1)"; }

show_answer() {  # model key class question
  echo "1. A question, answered token by token (first VM of ${DOMAINS[0]})"
  local body
  body="{\"model\": \"$1\", \"prompt\": \"$4\", \"max_tokens\": 40, \"stream\": true}"
  printf '   %s\n   > ' "$4"
  curl -sN "http://$(cluster_caller 0)/v1/completions" -H "Authorization: Bearer $2" \
    -H "x-zr-class: $3" -d "$body" | tee "$RUN_DIR/answer" |
    sed -u -nE 's/^data: .*"text":"([^"]*)".*/\1/p' |
    while IFS= read -r token; do printf '%s' "$token"; done
  echo
  grep -q '^data: \[DONE\]' "$RUN_DIR/answer" || fail "the answer has no end: $(tail -c 300 "$RUN_DIR/answer")"
}

send_operation() {  # vm key class path idempotency_key
  curl -s "http://$(cluster_caller "$1")$4" -H "Authorization: Bearer $2" -H "x-zr-class: $3" \
    -H "idempotency-key: $5" -d '{"entry": 17}'
}

show_operation() {  # team key class path
  local id="$3-17" first second ran=0 i count
  echo "2. One $3 sent twice, through two VMs, with the same idempotency key"
  first=$(send_operation 0 "$2" "$3" "$4" "$id")
  echo "   first answer:  $first"
  if ! ctl operations show "$1/$SERVICE/$id" >/dev/null 2>&1; then
    echo "   This build keeps no operation records yet, so the second call is left out."
    return
  fi
  second=$(send_operation 1 "$2" "$3" "$4" "$id")
  echo "   second answer: $second"
  for ((i = 0; i < SERVICES; ++i)); do
    count=$(curl -s "http://127.0.0.1:$((BASE_PORT + 700 + i))/executions" |
      json "d['executions'].get('$id', 0)")
    ran=$((ran + count))
  done
  echo "   The $SERVICE service ran it $ran time(s)."
  [ "$ran" = 1 ] && [ "$first" = "$second" ] || fail "a $3 sent twice ran $ran time(s)"
}

start_load() {  # phase
  local targets="" i
  for ((i = 0; i < VM_COUNT; ++i)); do
    targets+="${targets:+,}$(cluster_caller "$i")@${DOMAINS[$((i % ${#DOMAINS[@]}))]}"
  done
  "$BUILD/apps/zinniarill_load/zinniarill-load" --targets="$targets" --run="$1-$$" \
    --scenario="$RUN_DIR/load.ini" --json="$RUN_DIR/$1.json" >"$RUN_DIR/$1.log" 2>&1 &
  load_pid=$!
}

wait_load() {
  wait "$load_pid" || fail "the load tool failed: $(tail -1 "$RUN_DIR/$1.log")"
  load_pid=""
}

change_domain() {  # drain|undrain domain
  local begin=$EPOCHREALTIME
  if ctl "$1" domain "$2" --wait >"$RUN_DIR/$1.log" 2>&1; then
    echo "   $1 domain $2: in force on all VMs after $(seconds_since "$begin") s"
  else
    fail "$1 domain $2: $(tail -1 "$RUN_DIR/$1.log")"
  fi
}

seconds_since() { python3 -c "print(f'{$EPOCHREALTIME - $1:.1f}')"; }

show_drain() {  # model key class domain
  cat >"$RUN_DIR/load.ini" <<INI
[load]
seconds = 7
model = $1
rates = 0:20
[team caller]
key = $2
[class short]
request_class = $3
deadline_ms = 20000
prompt_tokens = 20-400
answer_tokens = 5-20
INI
  echo "3. Domain $4 drained and brought back under load (20 short requests/s on all VMs)"
  start_load before; wait_load before
  start_load during; sleep 0.5
  change_domain drain "$4"
  local accepted=${EPOCHREALTIME/./}
  wait_load during
  curl -s "http://$(cluster_engine_fault)/fault/state" >"$RUN_DIR/engines.json"
  ctl endpoints --output=json >"$RUN_DIR/endpoints.json"
  start_load after
  change_domain undrain "$4"
  wait_load after
  python3 scripts/demo_table.py "$RUN_DIR" "$4" "$((accepted / 1000))" ||
    fail "requests failed or were late, or $4 got new work (logs: $RUN_DIR)"
}

show_deployment() {  # name title team class operation path question domains...
  local name=$1 title=$2 team=$3 class=$4 operation=$5 path=$6 question=$7
  shift 7
  RUN_DIR="$work/$name"
  mkdir -p "$RUN_DIR"
  local begin=$EPOCHREALTIME
  echo
  echo "== $title: domains $*"
  ENGINES=6 SERVICES=3 LOG_LEVEL=warning
  ENGINE_FLAGS="--start_warm --cache_event_gap=0"
  if ! { cluster_start "examples/$name.ini" 6 "$@" && cluster_wait_endpoints; }; then
    fail "$name does not start (logs: $RUN_DIR)"
  else
    echo "6 VMs, 6 engines ($MODEL) and 3 services ($SERVICE) are in service after" \
      "$(seconds_since "$begin") s."
    show_answer "$MODEL" "example-key-$team" "$class" "$question"
    show_operation "$team" "example-key-$team" "$operation" "/services/$SERVICE/$path"
    show_drain "$MODEL" "example-key-$team" "$class" "$1"
  fi
  cluster_stop
}

for name in "${names[@]}"; do
  case "$name" in
    kontrollkontor)
      MODEL=assay-reader POOL=assay SERVICE=register
      show_deployment "$name" "Kontrollkontor (hallmark register)" customs submission registration \
        registrations "Which hallmark is on the silver cup from Sala?" sala enkoping arboga ;;
    ordvakt)
      MODEL=glossary POOL=glossary SERVICE=termbank
      show_deployment "$name" "Ordvakt (bilingual termbanks)" medicine chapter-review approval \
        approvals "Is the term used alike in both languages?" vest-a vest-b vest-c ;;
    *) fail "unknown deployment $name" ;;
  esac
done

echo
if [ ${#failures[@]} -gt 0 ]; then
  echo "${#failures[@]} step(s) failed:"
  printf '  %s\n' "${failures[@]}"
  exit 1
fi
rm -rf "$work"
echo "All steps passed. Next: docs/callers.md to call it, docs/operators.md to run it."
