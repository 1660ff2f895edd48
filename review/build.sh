#!/usr/bin/env bash
# Checks the stand-ins that the cases start. They are Python programs of the standard library, so
# nothing is built; the entry program comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.py review/[0-9]/*.py review/more/*/*.py tests/platform/deployment.py tests/platform/standins.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
