#!/usr/bin/env bash
# Measures document distribution and writes docs/measured/distribution.json.
# Usage: scripts/measure-distribution.sh [nodes ...]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh DistributionMeasurement >/dev/null
mkdir -p docs/measured
output=$(mktemp)
trap 'rm -f "$output"' EXIT
build/bin/DistributionMeasurement charts/document.json "$@" >"$output"
cp "$output" docs/measured/distribution.json
echo "Wrote $(wc -l <docs/measured/distribution.json) lines to docs/measured/distribution.json."
