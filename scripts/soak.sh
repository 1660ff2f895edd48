#!/usr/bin/env bash
# Runs the fault soak of real entry processes with a range of seeds.
# Usage: scripts/soak.sh FIRST_SEED COUNT [SECONDS]
#   JOBS   runs at once (default 3)
#   VMS    entry processes of a run (default 4)
#   BUILD  build directory (default build)
# A seed that fails is printed with the folder of its logs.
set -euo pipefail
cd "$(dirname "$0")/.."
first="${1:?first seed}"
count="${2:?number of seeds}"
seconds="${3:-15}"
export BUILD="${BUILD:-build}" VMS="${VMS:-4}"
run() {
  # Each run has its own block of ports between 10000 and 24000.
  local ports=$((VMS > 14 ? 50 + 4 * VMS : 100))
  local first_port=$((10000 + $1 % (14000 / ports) * ports))
  python3 tests/platform/soak.py "$1" "$2" "$first_port" 2>&1 || echo "FAILED: seed $1"
}
export -f run
seq "$first" $((first + count - 1)) | xargs -P "${JOBS:-3}" -I{} bash -c "run {} $seconds" | tee soak.log
failed=$(grep -c '^FAILED' soak.log || true)
echo "$((count - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
