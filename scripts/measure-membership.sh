#!/usr/bin/env bash
# Measures membership and writes docs/measured/membership.json: for each fleet size, one JSON object with all figures and
# a short one for each role. Usage: scripts/measure-membership.sh [nodes ...]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh MembershipMeasurement >/dev/null
mkdir -p docs/measured
output=$(mktemp -d)
trap 'rm -rf "$output"' EXIT
[ $# -gt 0 ] || set -- 13 50 100 200 500 1000 2000 3500
# Uses one process for each size, because memory freed after one size would hide the memory of the next. The largest
# sizes start first.
printf '%s\n' "$@" | sort -rn | xargs -P 3 -I{} sh -c 'build/bin/MembershipMeasurement charts/member.json {} >"$0/{}"' "$output"
for nodes in "$@"; do cat "$output/$nodes"; done >"$output/all"
cp "$output/all" docs/measured/membership.json
echo "Wrote $(wc -l <docs/measured/membership.json) lines to docs/measured/membership.json."
