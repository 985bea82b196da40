#!/usr/bin/env bash
# Runs a randomized soak test of real node processes. Ends only processes that it started.
# Usage: scripts/soak.sh [--seed N] [--seconds S] [--processes P] [--keep FOLDER]
#        scripts/soak.sh --seeds FIRST LAST [other options]   runs a series of seeds
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh snipeweir-platform >/dev/null
if [ "${1:-}" != "--seeds" ]; then
    exec python3 tests/relay/soak.py "$@"
fi
first=$2
last=$3
shift 3
failed=()
for seed in $(seq "$first" "$last"); do
    python3 tests/relay/soak.py --seed "$seed" "$@" >"build/soak-$seed.log" 2>&1 || failed+=("$seed")
    tail -n 1 "build/soak-$seed.log"
done
echo "$((last - first + 1 - ${#failed[@]})) passed, ${#failed[@]} failed: ${failed[*]:-}"
[ ${#failed[@]} -eq 0 ]
