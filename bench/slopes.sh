#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md, prints a table and writes docs/capacity/*.csv, *.svg.
# Usage: bench/slopes.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
scripts/build.sh "$build" slopes >/dev/null
mkdir -p docs/capacity
"$build/bench/slopes/slopes" examples/kontrollkontor.ini | python3 bench/slopes/plot.py docs/capacity
