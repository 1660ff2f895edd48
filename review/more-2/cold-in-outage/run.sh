#!/usr/bin/env bash
# Exit code: 1 rule broken, 0 rule held, 2 could not run. TROUBLE=0: without the disruption.
exec timeout -k 5 115 python3 "$(dirname "$0")/case.py"
