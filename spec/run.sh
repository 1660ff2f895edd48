#!/usr/bin/env bash
# Checks the SPIN models and their mutants. Usage: spec/run.sh [NAME_PATTERN]
# Exits non-zero if a model has an error, a mutant has none or another than
# expected, or a search is incomplete. JOBS sets the number of parallel runs.
set -euo pipefail
spec="$(cd "$(dirname "$0")" && pwd)"
pattern="${1:-.}"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# model | flags | expected failing assertion ("-": none)
cat >"$work/runs" <<'END'
operations|-DATTEMPTS=2|-
operations|-DATTEMPTS=3 -DNO_SWEEPER -DMAX_UNKNOWN=2|-
operations|-DATTEMPTS=2 -DREACH_DONE|known_state[id]!=3
operations|-DATTEMPTS=2 -DONLY_AT_MOST_ONCE -DM_NO_REREAD|executions<=1
operations|-DATTEMPTS=2 -DONLY_AT_MOST_ONCE -DM_TAKE_DISPATCHED|executions<=1
operations|-DATTEMPTS=2 -DONLY_AT_MOST_ONCE -DM_UNCONDITIONAL|executions<=1
operations|-DATTEMPTS=2 -DONLY_AT_MOST_ONCE -DM_CALL_ON_CLAIM|executions<=1
operations|-DATTEMPTS=2 -DONLY_AT_MOST_ONCE -DM_RELEASE_UNKNOWN|executions<=1
operations|-DATTEMPTS=2 -DONLY_AT_MOST_ONCE -DM_STATE_ONLY|executions<=1
operations|-DATTEMPTS=2 -DM_CALL_AFTER_NOT_RUN|said_not_run
operations|-DATTEMPTS=2 -DM_MATCH_STATE|delayed[id]
operations|-DATTEMPTS=2 -DM_NO_RELEASE_OVER_ABSENT|delayed[id]
grants|-DGRANTS=3|-
grants|-DGRANTS=4 -DNO_REPORTS|-
grants|-DGRANTS=5 -DNO_REPORTS -DMAX_DEATHS=0|-
grants|-DNO_REPORTS -DREACH_END|completed<2
grants|-DNO_REPORTS -DM_FULL_AT_TAKE_OVER|running<=
grants|-DNO_REPORTS -DGRANTS=5 -DMAX_DEATHS=0 -DM_CREDIT_ALL|running<=
grants|-DNO_REPORTS -DGRANTS=5 -DMAX_DEATHS=0 -DM_CREDIT_ADOPTED|running<=
grants|-DGRANTS=3 -DM_TRUST_REPORT|running<=
grants|-DNO_REPORTS -DM_START_EXPIRED|running<=
grants|-DNO_REPORTS -DM_RECLAIM_UNEXPIRED|running<=
grants|-DNO_REPORTS -DM_REUSE_BEFORE_CANCEL|running<=
grants|-DNO_REPORTS -DM_NO_RECLAIM|count==0
grants|-DNO_REPORTS -DM_NO_DEAD_RECLAIM|count==0
grants|-DNO_REPORTS -DM_NO_ENGINE_LIST|running==0
grants|-DNO_REPORTS -DGRANTS=3 -DOWNERS=3|running<=
grants|-DNO_REPORTS -DL_SILENT_RESTART|running<=
suspects||-
suspects|-DREACH_BLAME|answered[0]
suspects|-DM_NO_SNAPSHOT|blamed
suspects|-DM_NO_EXPLAIN|blamedS
suspects|-DM_KEEP_CLEARANCE|blamedS
suspects|-DM_FORGET_ANSWERS|blamedS
company||-
company|-DREACH_BOTH|blameBoth
company|-DM_ONE_OF_BOTH|blameS
company|-DM_NEVER_APART|deadly<=
company|-DM_EITHER|blameS
company|-DUNRELATED=2|blameS
limits||-
limits|-DREACH_CHANGE|clock<=
limits|-DM_LAST_MESSAGE|known[
limits|-DM_NO_SNAPSHOT|known[
limits|-DM_SILENT|known[
eras||-
eras|-DREACH_ERAS|vm_version[1]<
eras|-DM_VERSION_ONLY|vm_state[v]==
eras|-DM_NO_LIST|vm_state[v]==
eras|-DM_NO_FROM|vm_state[v]==
deltas||-
deltas|-DREACH_NEWEST|read_store
deltas|-DM_NO_DIGEST|document==
deltas|-DM_NO_VERSION|>=vm_version[1]
paths||-
paths|-DREACH_RUN|runs==0
paths|-DM_RESEND|runs<=1
paths|-DM_CHAIN|hops<=1
END

check() {
  local model="$1" flags="$2" expected="$3" dir states errors
  dir="$(mktemp -d -p "$work")"
  cd "$dir"
  # shellcheck disable=SC2086
  spin -a $flags "$spec/$model.pml" >spin.txt 2>&1 || { cat spin.txt; return 1; }
  gcc -O2 -w -DSAFETY -DNOFAIR -DMEMLIM=4000 -o pan pan.c
  ./pan -m200000 >pan.txt 2>&1 || true
  states="$(sed -nE 's/^ *([0-9.e+]+) states, stored.*/\1/p' pan.txt)"
  errors="$(sed -nE 's/.*errors: ([0-9]+).*/\1/p' pan.txt)"
  if grep -qE 'max search depth too small|out of memory|reached -DMEMLIM' pan.txt || [ -z "$errors" ]; then
    echo "INCOMPLETE $model $flags"; tail -20 pan.txt; return 1
  fi
  if [ "$expected" = "-" ]; then
    if [ "$errors" != 0 ]; then echo "FAILED $model $flags"; tail -30 pan.txt; return 1; fi
    echo "ok      $model $flags: $states states"
  else
    if ! grep -F 'assertion violated' pan.txt | grep -qF -- "$expected"; then
      echo "SURVIVED $model $flags (expected a violation of $expected)"; tail -30 pan.txt; return 1
    fi
    echo "refuted $model $flags"
  fi
}
export -f check
export spec work

grep -E -- "$pattern" "$work/runs" | tr '|\n' '\0\0' |
  xargs -0 -n 3 -P "${JOBS:-4}" bash -c 'check "$@"' check
echo "spec: ok"
