#!/usr/bin/env bash
# Checks that the words of the platform's wire (headers, paths, fields) stay in
# platform/, its tests and its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
headers='X-Seal|X-Not-Run|X-Token-Count|X-Prompt-Prefix|X-Expect-Instance|X-Helpers|X-Load-Report'
headers+='|X-Timeout-Ms|X-Tenant|X-Length-Hint|At-Server|X-Cold-Ms|Api-Key|Last-Event-Id|ZINNIARILL_BOOT'
fields='coldLeftMs|coldPerS|coldS|pathPrefix|finalizers|currentRev|numTokens|holdMs|gapAimMs|apiKeys'
fields+='|targetLatencyMs|timeoutMs|healthPath|maxConns|kvCapacity|hopMs|pairs_per_m|read_per_s|waitMs'
paths='/v1/ready|/v1/report|/v1/order\b|evacuations/|"servers"'
search() { grep -rnE "$@" modules apps --include='*.h' --include='*.cc' --exclude-dir=tests; }
if search -i "$headers" || search "\b($fields)\b|$paths"; then
  echo "error: words of the platform's wire belong into platform/ only" >&2
  exit 1
fi
