# Helpers of the experiments; sourced by the scripts of this folder.
#
# Each experiment runs the same load with the same seed against the policies
# `grants` and `baseline`, each on its own deployment of real daemons and
# stand-ins, and prints ratios. Settings, as environment variables:
#   BUILD      build directory (default build)
#   SEED       seed of arrivals and lengths (default 1)
#   BASE_PORT  first port (default 28000); the baseline's deployment is SLOT_PORTS above
#   OUT        folder for results and logs (default a new one)
#   POLICIES   policies to run (default "grants baseline")
# Both deployments run at the same time, so that noise of the machine meets both.

cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
BUILD="${BUILD:-build}"
SEED="${SEED:-1}"
BASE_PORT="${BASE_PORT:-28000}"
OUT="${OUT:-$(mktemp -d)}"
POLICIES="${POLICIES:-grants baseline}"
# cluster.sh spreads its ports over blocks of 100, so four deployments of up to 8 VMs and 25
# endpoints fit beside each other at this distance: 28000 to 28075, 28200 to 28275 and so on.
SLOT_PORTS=25
mkdir -p "$OUT"

# Runs `experiment POLICY` for each policy at once, then prints `summary`.
run_policies() {
  local offset=0 policy pids=()
  for policy in $POLICIES; do
    (
      POLICY=$policy
      BASE_PORT=$((BASE_PORT + offset))
      RUN_DIR="$OUT/$policy"
      mkdir -p "$RUN_DIR"
      source scripts/cluster.sh
      trap cluster_stop EXIT
      experiment >"$RUN_DIR/experiment.log" 2>&1
    ) &
    pids+=($!)
    offset=$((offset + SLOT_PORTS))
  done
  local pid failed=0
  for pid in "${pids[@]}"; do wait "$pid" || failed=1; done
  [ "$failed" = 0 ] || { tail -n 5 "$OUT"/*/experiment.log >&2; return 1; }
}

targets() {
  local i list=""
  for ((i = 0; i < VM_COUNT; ++i)); do
    list+="${list:+,}$(cluster_caller "$i")@${DOMAINS[$((i % ${#DOMAINS[@]}))]}"
  done
  echo "$list"
}

# load NAME SCENARIO [FLAGS...]: runs a load and keeps its results as NAME.json.
load() {
  local name=$1 scenario=$2
  shift 2
  "$BUILD/apps/zinniarill_load/zinniarill-load" --targets="$(targets)" --scenario="$scenario" \
    --seed="$SEED" --run="$name-$SEED" --json="$RUN_DIR/$name.json" \
    --fault_ports="$(cluster_engine_fault)" "$@" >"$RUN_DIR/$name.txt" 2>&1
}

# Runs short requests until the owners' ramps have passed. TEAM_KEY, MODEL and SHORT_CLASS are set.
warm_up() {
  cat >"$RUN_DIR/warm.scenario" <<INI
[load]
seconds = ${1:-12}
model = $MODEL
rates = 0:20, 2:${2:-60}
[team t]
key = $TEAM_KEY
[class $SHORT_CLASS]
deadline_ms = 4000
prompt_tokens = 5-100
answer_tokens = 2-5
INI
  load warm "$RUN_DIR/warm.scenario"
}

fault() { curl -sf -X POST "http://$(cluster_engine_fault)/fault/$1" >/dev/null; }
engine_state() { curl -sf "http://$(cluster_engine_fault)/fault/state" >"$RUN_DIR/$1.engines.json"; }

# first_token POLICY RUN CLASS QUANTILE: milliseconds.
first_token() { jq ".classes[\"$3\"].first_token.all.$4" "$OUT/$1/$2.json"; }
outcomes() { jq -c '.classes | map_values(.outcomes)' "$OUT/$1/$2.json"; }
# Sum over the classes of calls with one of the outcomes.
count() {
  local policy=$1 run=$2
  shift 2
  jq '[.classes[].outcomes | to_entries[] | select(.key as $k | $ARGS.positional | index($k)) | .value] | add // 0' \
    --args "$@" <"$OUT/$policy/$run.json"
}
# p95_between POLICY RUN FROM TO: median of the seconds' p95 of the first token.
p95_between() {
  jq "[.seconds[] | select(.second >= $3 and .second < $4 and .sent > 0) | .first_token_p95_ms] | sort | .[length / 2 | floor]" "$OUT/$1/$2.json"
}
failed_between() {
  jq "[.seconds[] | select(.second >= $3 and .second < $4) | .failed + .late + .refused] | add // 0" "$OUT/$1/$2.json"
}
ratio() { awk -v a="$1" -v b="$2" 'BEGIN { if (b > 0) printf("%.3f", a / b); else printf("n/a") }'; }
