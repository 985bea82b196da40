#!/usr/bin/env bash
# Measures what it costs a fleet that the store was restored from a copy and writes docs/measured/source-eras.json.
# Usage: scripts/measure-source-eras.sh [nodes ...]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh SourceEraMeasurement >/dev/null
mkdir -p docs/measured
output=$(mktemp)
trap 'rm -f "$output"' EXIT
build/bin/SourceEraMeasurement "$@" >"$output"
cp "$output" docs/measured/source-eras.json
echo "Wrote $(wc -l <docs/measured/source-eras.json) lines to docs/measured/source-eras.json."
