#!/usr/bin/env bash
# Exit code: 1 rule broken, 0 rule held, 2 could not run. TROUBLE=0: without the disruption.
timeout -k 5 112 python3 "$(dirname "$0")/case.py"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
