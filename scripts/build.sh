#!/usr/bin/env bash
# Builds the given targets, or all, into build/. Usage: scripts/build.sh [target ...]
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/build.ninja ] || cmake -S . -B build -G Ninja >/dev/null
if [ $# -gt 0 ]; then
    ninja -C build "$@"
else
    ninja -C build
fi
