#!/usr/bin/env bash
# Runs the formatter check, the include rule and clang-tidy.
# Usage: scripts/lint.sh [--changed] [BUILD_DIR]
#   --changed  run clang-tidy only on files that differ from main
set -euo pipefail
cd "$(dirname "$0")/.."
changed=0
if [ "${1:-}" = "--changed" ]; then changed=1; shift; fi
build="${1:-build}"
[ -f "$build/compile_commands.json" ] || cmake -S . -B "$build" -G Ninja >/dev/null
mapfile -t files < <(git ls-files -co --exclude-standard '*.h' '*.cc')
clang-format --dry-run --Werror "${files[@]}"
scripts/check-includes.sh
scripts/check-platform-words.sh
if [ $changed -eq 1 ]; then
  base=$(git merge-base main HEAD)
  mapfile -t sources < <({ git diff --name-only --diff-filter=d "$base" -- '*.cc'; git ls-files -o --exclude-standard '*.cc'; } | sort -u)
else
  mapfile -t sources < <(git ls-files -co --exclude-standard '*.cc')
fi
# Fuzz targets are built only with clang and ZR_FUZZ, so they are in no compile database.
mapfile -t sources < <(printf '%s\n' "${sources[@]}" | grep -vE '(^$|^fuzz/)' || true)
if [ ${#sources[@]} -gt 0 ]; then
  printf '%s\0' "${sources[@]}" | xargs -0 -n 2 -P "${JOBS:-$(nproc)}" clang-tidy --quiet -p "$build" 2>/dev/null
fi
echo "lint: ok"
