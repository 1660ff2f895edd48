#!/usr/bin/env bash
# Configures and builds everything. Usage: scripts/build.sh [BUILD_DIR] [TARGET...]
# JOBS sets the number of parallel jobs (default: all cores).
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
[ $# -gt 0 ] && shift
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${JOBS:-$(nproc)}" ${*:+--target "$@"}
