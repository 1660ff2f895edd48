# Kontrollkontor with a steady mix of classes, for experiments in which capacity leaves; sourced.
# An experiment defines `events`, which runs beside the load, and prints its own figures.

MODEL=assay-reader POOL=assay SERVICE=register
TEAM_KEY=example-key-customs SHORT_CLASS=lookup
ENGINES="${ENGINES:-12}" SERVICES=3
ENGINE_FLAGS="--prefill_tps=12000 --decode_tps=50 --start_warm --max_requests=48"
SECONDS_OF_LOAD="${SECONDS_OF_LOAD:-45}"
FLEET_DOMAINS=(sala enkoping arboga)

# Prompt tokens a call on average: 0.7 x 316 + 0.25 x 8.5 k + 0.05 x 27.9 k = 3.7 k. Twelve engines
# read 144 k tokens/s, so 39 calls/s are the capacity.
CAPACITY_RATE="${CAPACITY_RATE:-39}"

fleet_scenario() {  # rate
  cat <<INI
[load]
seconds = $SECONDS_OF_LOAD
model = $MODEL
rates = 0:$1
[team customs]
key = $TEAM_KEY
[class lookup]
share = 70
weight = 4
deadline_ms = 5000
prompt_tokens = 5-2000
answer_tokens = 10-40
[class submission]
share = 25
weight = 6
deadline_ms = 30000
prompt_tokens = 1000-30000
answer_tokens = 30-100
[class dossier-check]
share = 5
weight = 40
deadline_ms = 60000
prompt_tokens = 10000-60000
answer_tokens = 50-150
INI
}

fleet_experiment() {  # load factor
  cluster_start examples/kontrollkontor.ini 6 "${FLEET_DOMAINS[@]}"
  cluster_wait_endpoints
  warm_up 14 60
  fleet_scenario "$(awk -v r="$CAPACITY_RATE" -v f="$1" 'BEGIN { print r * f }')" >"$RUN_DIR/fleet.scenario"
  LOAD_START=$(date +%s%3N)
  load fleet "$RUN_DIR/fleet.scenario" --policy=kontrollkontor --reattach &
  local pid=$!
  sleep 0.5
  events
  wait "$pid"
  engine_state end
}

# Names of the engines of a domain; cluster.sh assigns domains round robin.
engines_of() {  # domain index
  local i
  for ((i = $1; i < ENGINES; i += ${#FLEET_DOMAINS[@]})); do echo "engine-$i"; done
}

fleet_summary() {  # name
  echo "$1, seed $SEED"
  local p
  for p in $POLICIES; do
    echo "$p not answered in time: $(count "$p" fleet late not_run may_have_run ran broken expired wrong_answer) of $(jq '[.classes[].outcomes[]] | add' "$OUT/$p/fleet.json"), outcomes $(outcomes "$p" fleet)"
    echo "$p messages $(jq -c .messages "$OUT/$p/fleet.json")"
    echo "$p standins $(jq -c .standins "$OUT/$p/fleet.json")"
  done
}
