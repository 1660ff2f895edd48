#!/usr/bin/env bash
# Checks that core modules perform no I/O: no socket, thread, clock, file or
# global random source may be included or named in them.
set -euo pipefail
cd "$(dirname "$0")/.."
core="zr_base zr_wire zr_config zr_membership zr_admission zr_request zr_records zr_placement zr_gateway"
forbidden='#include <(asio|restinio|curl|websocketpp|thread|mutex|shared_mutex|condition_variable|future|fstream|filesystem|iostream|cstdio|random|ctime|sys/|unistd|netinet|arpa|boost/log|boost/asio|boost/thread)|system_clock|steady_clock|std::rand\b|random_device'
status=0
for module in $core; do
  [ -d "modules/$module" ] || continue
  if grep -rnE "$forbidden" "modules/$module" --include='*.h' --include='*.cc' --exclude-dir=tests; then
    echo "error: $module is a core module and must not use the lines above" >&2
    status=1
  fi
done
exit $status
