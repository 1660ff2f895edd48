#!/usr/bin/env bash
exec bash "$(dirname "$0")/../../lib/run.sh" more/retry-after
