#!/usr/bin/env bash
# Runs the fault soak with another version's build beside this one, as during an upgrade: half of
# the VMs begin with each, and each start of a VM changes its version. Seeds that are multiples of
# three stop and start VMs as planned; no request may be lost then.
# Usage: scripts/mixed-soak.sh COMMIT FIRST_SEED COUNT [SECONDS]
#   OTHER  folder for the other version's source and build (default: a new folder)
# JOBS, VMS and BUILD as for scripts/soak.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
commit="${1:?commit of the other version}"
shift
other="${OTHER:-$(mktemp -d)}"
[ -d "$other/.git" ] || git clone --quiet --no-checkout . "$other"
git -C "$other" checkout --quiet --detach "$commit"
cmake -S "$other" -B "$other/target" -G Ninja -DCMAKE_BUILD_TYPE=Release -DZR_PRODUCT_ONLY=ON >/dev/null
cmake --build "$other/target" --target zinniarill-entry -- --quiet
export OTHER_BUILD="$other/target"
scripts/soak.sh "$@"
