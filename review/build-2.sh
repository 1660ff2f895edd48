#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start. All are Python and run from the source, those of
# tests/platform too, so this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import sys
sys.dont_write_bytecode = True
sys.path[:0] = ["review/lib-2", "tests/platform"]
import deployment, harness, idle, spoiled, standins
PYTHON
echo "review/build-2.sh: ok"
