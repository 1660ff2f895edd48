#!/usr/bin/env bash
# Installs the build's packages with apt; does nothing when all are present.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < <(grep -vE '^\s*(#|$)' .ci/packages.txt)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
$sudo apt-get update -qq
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
