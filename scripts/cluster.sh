# Starts a small local deployment from real daemons and stand-ins; sourced by
# other scripts. All processes listen on 127.0.0.1.
#
#   cluster_start DOCUMENT VM_COUNT DOMAIN...   starts everything and applies the document
#   cluster_stop                                ends the processes that were started;
#                                               some may have ended before
#
# Settings, as environment variables:
#   BUILD         build directory (default build)
#   BASE_PORT     first port (default 21000); uses BASE_PORT to BASE_PORT+999
#   POLICY        grants or baseline (default grants)
#   ENGINES       engines (default 6), ENGINE_FLAGS adds flags
#   MODEL POOL    model and pool of the engines
#   SERVICES      instances of the plain service (default 3), SERVICE its pool
#   LOG_LEVEL     of the daemons (default info)

BUILD="${BUILD:-build}"
BASE_PORT="${BASE_PORT:-21000}"
POLICY="${POLICY:-grants}"
ENGINES="${ENGINES:-6}"
SERVICES="${SERVICES:-3}"
LOG_LEVEL="${LOG_LEVEL:-info}"
OPERATOR_TOKEN="local-operator-token-1"
PEER_KEY="local-peer-key-of-the-demo"
CLUSTER_PIDS=()
declare -A VM_PID=()

cluster_platform() { echo "127.0.0.1:$BASE_PORT"; }
cluster_platform_fault() { echo "127.0.0.1:$((BASE_PORT + 1))"; }
cluster_engine_fault() { echo "127.0.0.1:$((BASE_PORT + 2))"; }
cluster_service_fault() { echo "127.0.0.1:$((BASE_PORT + 3))"; }
cluster_caller() { echo "127.0.0.1:$((BASE_PORT + 100 + 3 * $1))"; }
cluster_operator() { echo "127.0.0.1:$((BASE_PORT + 101 + 3 * $1))"; }
cluster_peer() { echo "127.0.0.1:$((BASE_PORT + 102 + 3 * $1))"; }

# Waits until a URL answers with 200; the bound only ends a broken run.
wait_for_url() {
  for _ in $(seq 1 600); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

cluster_start_vm() {  # index domain
  local index=$1 domain=$2 seeds="" i
  for ((i = 0; i < VM_COUNT; ++i)); do seeds+="${seeds:+, }$(cluster_peer "$i")"; done
  cat >"$RUN_DIR/vm-$index.ini" <<INI
[vm]
name = vm-$index
domain = $domain
region = local
[listen]
callers = $(cluster_caller "$index")
operators = $(cluster_operator "$index")
peers = $(cluster_peer "$index")
[peers]
key = $PEER_KEY
seeds = $seeds
[operators]
token = $OPERATOR_TOKEN
[platform]
address = $(cluster_platform)
[routing]
policy = $POLICY
[limits]
worker_threads = ${WORKER_THREADS:-2}
[log]
level = $LOG_LEVEL
INI
  "$BUILD/apps/zinniarilld/zinniarilld" --settings="$RUN_DIR/vm-$index.ini" 2>>"$RUN_DIR/vm-$index.log" &
  VM_PID[$index]=$!
  CLUSTER_PIDS+=($!)
  # Without the platform's list a young VM doesn't know all its peers, so no configuration is accepted.
  curl -sf -X POST "http://$(cluster_platform)/v1/vms" -d "{\"name\": \"vm-$index\",
    \"address\": \"$(cluster_peer "$index")\", \"domain\": \"$domain\", \"state\": \"live\"}" >/dev/null
}

cluster_start() {  # document vm_count domains...
  local document=$1
  VM_COUNT=$2
  shift 2
  DOMAINS=("$@")
  local domain_list
  domain_list=$(IFS=,; echo "${DOMAINS[*]}")
  RUN_DIR="${RUN_DIR:-$(mktemp -d)}"
  "$BUILD/standins/standin_platform" --listen="$(cluster_platform)" \
    --fault_listen="$(cluster_platform_fault)" ${PLATFORM_FLAGS:-} 2>"$RUN_DIR/platform.log" &
  CLUSTER_PIDS+=($!)
  wait_for_url "http://$(cluster_platform)/v1/vms"
  # A script may define cluster_platform_ready to store objects before any VM starts.
  if declare -F cluster_platform_ready >/dev/null; then cluster_platform_ready; fi
  "$BUILD/standins/standin_engine" --listen="127.0.0.1:$((BASE_PORT + 400))" --count="$ENGINES" \
    --fault_listen="$(cluster_engine_fault)" --model="$MODEL" --pool="$POOL" \
    --domains="$domain_list" --register="$(cluster_platform)" ${ENGINE_FLAGS:-} 2>"$RUN_DIR/engines.log" &
  CLUSTER_PIDS+=($!)
  ENGINE_PID=$!
  "$BUILD/standins/standin_service" --listen="127.0.0.1:$((BASE_PORT + 700))" --count="$SERVICES" \
    --fault_listen="$(cluster_service_fault)" --pool="$SERVICE" --name_prefix="$SERVICE" \
    --domains="$domain_list" --register="$(cluster_platform)" ${SERVICE_FLAGS:-} 2>"$RUN_DIR/services.log" &
  CLUSTER_PIDS+=($!)
  local i
  for ((i = 0; i < VM_COUNT; ++i)); do
    cluster_start_vm "$i" "${DOMAINS[$((i % ${#DOMAINS[@]}))]}"
  done
  for ((i = 0; i < VM_COUNT; ++i)); do wait_for_url "http://$(cluster_caller "$i")/healthz"; done
  ctl apply "$document" --wait >"$RUN_DIR/apply.log" || { cat "$RUN_DIR/apply.log" >&2; return 1; }
  for ((i = 0; i < VM_COUNT; ++i)); do wait_for_url "http://$(cluster_caller "$i")/readyz"; done
}

# Waits until every endpoint of the deployment takes work.
cluster_wait_endpoints() {
  local wanted=$((ENGINES + SERVICES))
  for _ in $(seq 1 600); do
    [ "$(ctl endpoints | grep -c 'in service')" -ge "$wanted" ] && return 0
    sleep 0.1
  done
  echo "not all endpoints are in service" >&2
  ctl endpoints >&2
  return 1
}

ctl() {
  "$BUILD/apps/zinniarillctl/zinniarillctl" --server="$(cluster_operator "${CTL_VM:-0}")" \
    --token="$OPERATOR_TOKEN" "$@"
}

cluster_stop() {
  local pid
  for pid in "${CLUSTER_PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${CLUSTER_PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  CLUSTER_PIDS=()
}
